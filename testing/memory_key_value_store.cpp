// The in-memory key-value store: see memory_key_value_store.h.

#include "testing/memory_key_value_store.h"

#include <stdexcept>
#include <utility>

#include <boost/asio/post.hpp>

namespace ramphinge {

namespace {

bool startsWith(const StoreKey &key, const StoreKey &prefix)
{
    return key.text().compare(0, prefix.text().size(), prefix.text()) == 0;
}

} // namespace

Status MemoryKeyValueStore::enter(Yield yield)
{
    boost::asio::post(m_io, yield); // Other coroutines run, as during a real call.
    ++m_calls;
    expire();
    if (m_down)
        return Error(ErrorKind::Unknown, "the store is down");
    if (m_turnAway > 0) {
        --m_turnAway;
        return Error(ErrorKind::Overloaded, "too many calls");
    }
    return Done {};
}

void MemoryKeyValueStore::expire()
{
    std::vector<StoreKey> lapsed;
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (m_clock.now() < lease->second.expires) {
            ++lease;
            continue;
        }
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease->first)
                lapsed.push_back(key);
        }
        lease = m_leases.erase(lease);
    }
    for (const StoreKey &key : lapsed)
        erase(key);
}

void MemoryKeyValueStore::put(const StoreKey &key, const std::string &value, LeaseId lease)
{
    m_revision += Revision(1);
    m_items[key] = { value, m_revision, lease };
    m_history.push_back({ key, StoredValue { value, m_revision } });
}

void MemoryKeyValueStore::erase(const StoreKey &key)
{
    if (m_items.erase(key) == 0)
        return;
    m_revision += Revision(1);
    m_history.push_back({ key, std::nullopt });
}

std::optional<std::string> MemoryKeyValueStore::value(const StoreKey &key)
{
    expire();
    const auto found = m_items.find(key);
    if (found == m_items.end())
        return std::nullopt;
    return found->second.value;
}

Result<StoreSnapshot> MemoryKeyValueStore::list(const StoreKey &prefix, Yield yield)
{
    if (const Status entered = enter(yield); !entered.ok())
        return entered.error();
    StoreSnapshot snapshot { m_revision, {} };
    for (const auto &[key, item] : m_items) {
        if (startsWith(key, prefix))
            snapshot.entries.push_back({ key, { item.value, item.revision } });
    }
    return snapshot;
}

Result<WatchBatch> MemoryKeyValueStore::watch(const StoreKey &prefix, Revision after, Duration wait,
                                              Yield yield)
{
    if (std::exchange(m_silent, false)) {
        m_clock.advance(wait + maxWatchLateness);
        return Error(ErrorKind::Unknown, "the connection is silent");
    }
    if (const Status entered = enter(yield); !entered.ok())
        return entered.error();
    if (after < m_oldest)
        return Error(ErrorKind::NotFound, "this history is gone");
    WatchBatch batch;
    batch.upTo = m_revision;
    for (auto i = static_cast<std::size_t>(after.count()); i < m_history.size(); ++i) {
        if (batch.changes.size() == m_mostChanges) {
            batch.upTo = Revision(static_cast<std::int64_t>(i));
            batch.reachesPresent = false;
            break;
        }
        if (startsWith(m_history[i].key, prefix))
            batch.changes.push_back(m_history[i]);
    }
    if (batch.changes.empty())
        m_clock.advance(wait);
    return batch;
}

Result<Revision> MemoryKeyValueStore::commit(const std::vector<StoreWrite> &writes, Yield yield)
{
    if (const Status entered = enter(yield); !entered.ok())
        return entered.error();
    for (const StoreWrite &write : writes) {
        const auto found = m_items.find(write.key);
        const Revision present = found == m_items.end() ? absentRevision : found->second.revision;
        if (present != write.expected)
            return Error(ErrorKind::Conflict, "somebody else was first");
        if (write.lease != noLease && m_leases.count(write.lease) == 0)
            return Error(ErrorKind::Fenced, "no such lease");
    }
    for (const StoreWrite &write : writes)
        put(write.key, write.value, write.lease);
    if (std::exchange(m_failInside, false))
        throw std::length_error("a test's failure");
    if (m_loseAnswer) {
        m_loseAnswer = false;
        return Error(ErrorKind::Unknown, "the answer was lost");
    }
    return m_revision;
}

Result<GrantedLease> MemoryKeyValueStore::grantLease(Duration lifetime, Yield yield)
{
    if (const Status entered = enter(yield); !entered.ok())
        return entered.error();
    const LeaseId lease(m_nextLease++);
    m_leases[lease] = { m_clock.now() + lifetime, lifetime };
    return GrantedLease { lease, lifetime };
}

Status MemoryKeyValueStore::renewLease(LeaseId lease, Yield yield)
{
    if (const Status entered = enter(yield); !entered.ok())
        return entered;
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return Error(ErrorKind::Fenced, "no such lease");
    found->second.expires = m_clock.now() + found->second.lifetime;
    return Done {};
}

Status MemoryKeyValueStore::revokeLease(LeaseId lease, Yield yield)
{
    if (const Status entered = enter(yield); !entered.ok())
        return entered;
    const auto found = m_leases.find(lease);
    if (found == m_leases.end())
        return Error(ErrorKind::Fenced, "no such lease");
    found->second.expires = m_clock.now();
    expire();
    return Done {};
}

} // namespace ramphinge
