// The in-memory store: see memory_store.h.

#include "testing/memory_store.h"

#include <set>

namespace ramphinge {

namespace {

constexpr std::size_t historyLimit = 4096;

Error down()
{
    return { ErrorKind::Unavailable, "the platform is down or refuses the rate; try later" };
}

Error answerLost()
{
    return { ErrorKind::Unknown, "no answer from the platform; read back before deciding" };
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

void MemoryStore::injectFault(StoreFault fault, int calls)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    m_faultCalls = calls;
}

void MemoryStore::setMembers(std::vector<Member> members)
{
    const std::lock_guard lock(m_mutex);
    m_members.members = std::move(members);
    m_members.revision += Revision(1);
}

StoreFault MemoryStore::enter()
{
    ++m_calls;
    dropLapsed();
    if (overRate())
        return StoreFault::Down;
    const StoreFault fault = m_fault;
    if (m_faultCalls > 0 && --m_faultCalls == 0)
        m_fault = StoreFault::None;
    return fault;
}

bool MemoryStore::overRate()
{
    if (m_callsPerSecond == 0)
        return false;
    if (m_clock.now() - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = m_clock.now();
        m_callsInSecond = 0;
    }
    return ++m_callsInSecond > m_callsPerSecond;
}

void MemoryStore::dropLapsed()
{
    std::set<LeaseId> lapsed;
    for (const auto &[id, lease] : m_leases) {
        if (m_clock.now() >= lease.expiry)
            lapsed.insert(id);
    }
    if (lapsed.empty())
        return;
    std::vector<StoreKey> orphans;
    for (const auto &[key, slot] : m_slots) {
        if (lapsed.count(slot.lease) > 0)
            orphans.push_back(key);
    }
    for (const StoreKey &key : orphans)
        eraseSlot(key);
    for (const LeaseId id : lapsed)
        m_leases.erase(id);
}

void MemoryStore::eraseSlot(const StoreKey &key)
{
    m_slots.erase(key);
    record(key);
}

void MemoryStore::record(const StoreKey &key)
{
    m_revision += Revision(1);
    m_history.emplace_back(m_revision, key);
    if (m_history.size() > historyLimit) {
        m_forgottenUpTo = m_history.front().first;
        m_history.pop_front();
    }
}

Result<std::optional<StoredValue>> MemoryStore::read(const StoreKey &key)
{
    const std::lock_guard lock(m_mutex);
    if (enter() == StoreFault::Down)
        return down();
    const auto found = m_slots.find(key);
    if (found == m_slots.end())
        return std::optional<StoredValue>();
    return std::optional<StoredValue>(found->second.stored);
}

Result<std::vector<StoredEntry>> MemoryStore::list(const StoreKey &prefix)
{
    const std::lock_guard lock(m_mutex);
    if (enter() == StoreFault::Down)
        return down();
    std::vector<StoredEntry> entries;
    for (auto it = m_slots.lower_bound(prefix);
         it != m_slots.end() && startsWith(it->first.text(), prefix.text()); ++it)
        entries.push_back({ it->first, it->second.stored });
    return entries;
}

void MemoryStore::callHook(const StoreKey &key, const std::string &value)
{
    const WriteHook hook = m_beforeWrite; // A copy, since the hook may replace itself.
    if (hook)
        hook(key, value);
}

Result<Revision> MemoryStore::compareAndSwap(const StoreKey &key, const std::string &value,
                                             Revision expected, LeaseId lease)
{
    callHook(key, value);
    const std::lock_guard lock(m_mutex);
    const StoreFault fault = enter();
    if (fault == StoreFault::Down)
        return down();
    if (lease != noLease && m_leases.count(lease) == 0)
        return Error(ErrorKind::Fenced, "the lease has lapsed; win a new one");
    const auto found = m_slots.find(key);
    const Revision current =
        found == m_slots.end() ? absentRevision : found->second.stored.revision;
    if (current != expected)
        return Error(ErrorKind::Conflict, key.text() + " was changed by another; read it again");
    record(key);
    m_slots[key] = Slot { { value, m_revision }, lease };
    if (fault == StoreFault::LoseAnswer)
        return answerLost();
    return m_revision;
}

Status MemoryStore::erase(const StoreKey &key, Revision expected)
{
    callHook(key, "");
    const std::lock_guard lock(m_mutex);
    const StoreFault fault = enter();
    if (fault == StoreFault::Down)
        return down();
    const auto found = m_slots.find(key);
    if (found == m_slots.end() || found->second.stored.revision != expected)
        return Error(ErrorKind::Conflict, key.text() + " was changed by another; read it again");
    eraseSlot(key);
    if (fault == StoreFault::LoseAnswer)
        return answerLost();
    return Done {};
}

Result<LeaseId> MemoryStore::grantLease(Duration length)
{
    const std::lock_guard lock(m_mutex);
    const StoreFault fault = enter();
    if (fault == StoreFault::Down)
        return down();
    const LeaseId id(m_nextLease++);
    m_leases[id] = Lease { length, m_clock.now() + length };
    if (fault == StoreFault::LoseAnswer)
        return answerLost();
    return id;
}

Status MemoryStore::renewLease(LeaseId lease)
{
    const std::lock_guard lock(m_mutex);
    const StoreFault fault = enter();
    if (fault == StoreFault::Down)
        return down();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return Error(ErrorKind::Fenced, "the lease has lapsed; win a new one");
    found->second.expiry = m_clock.now() + found->second.length;
    if (fault == StoreFault::LoseAnswer)
        return answerLost();
    return Done {};
}

Status MemoryStore::revokeLease(LeaseId lease)
{
    const std::lock_guard lock(m_mutex);
    if (enter() == StoreFault::Down)
        return down();
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return Done {};
    found->second.expiry = m_clock.now();
    dropLapsed();
    return Done {};
}

Result<WatchBatch> MemoryStore::watch(const StoreKey &prefix, Revision after, Duration /*wait*/)
{
    const std::lock_guard lock(m_mutex);
    if (enter() == StoreFault::Down)
        return down();
    return changesSince(prefix, after);
}

WatchBatch MemoryStore::changesSince(const StoreKey &prefix, Revision after)
{
    const std::lock_guard lock(m_mutex);
    dropLapsed();
    WatchBatch batch { m_revision, after >= m_forgottenUpTo && after <= m_revision, {} };
    std::set<StoreKey> seen;
    for (auto it = m_history.rbegin(); it != m_history.rend() && it->first > after; ++it) {
        if (!startsWith(it->second.text(), prefix.text()) || !seen.insert(it->second).second)
            continue;
        const auto slot = m_slots.find(it->second);
        batch.changes.push_back({ it->second,
                                  slot == m_slots.end()
                                      ? std::nullopt
                                      : std::optional<StoredValue>(slot->second.stored) });
    }
    return batch;
}

Result<MemberList> MemoryStore::members(Revision /*after*/, Duration /*wait*/)
{
    const std::lock_guard lock(m_mutex);
    if (enter() == StoreFault::Down)
        return down();
    return currentMembers();
}

MemberList MemoryStore::currentMembers()
{
    const std::lock_guard lock(m_mutex);
    return m_members;
}

} // namespace ramphinge
