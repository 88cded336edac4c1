// An in-memory store with fault injection: the core of the stand-in process, and a fake for unit
// tests.
//
//   ManualClock clock;
//   MemoryStore store(clock);
//   store.injectFault(StoreFault::LoseAnswer, 1);   // the next write takes effect, answers Unknown

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

enum class StoreFault {
    None,
    Down, // Calls have no effect and return Unavailable.
    LoseAnswer, // Writes take effect and return Unknown.
};

// Thread-safe. watch() and members() never block: the stand-in process polls them.
class MemoryStore : public PlatformStore
{
public:
    explicit MemoryStore(const Clock &clock) : m_clock(clock) { }

    // Injects `fault` into the next `calls` calls; negative: into all until the next injection.
    void injectFault(StoreFault fault, int calls = -1);

    // Called before each write takes effect, without the lock, so that tests can interleave calls.
    using WriteHook = std::function<void(const StoreKey &, const std::string &value)>;
    void beforeWrite(WriteHook hook) { m_beforeWrite = std::move(hook); }

    // Rejects calls beyond this rate per second as Unavailable; 0: no limit.
    void limitRate(int callsPerSecond) { m_callsPerSecond = callsPerSecond; }

    void setMembers(std::vector<Member> members);
    std::int64_t calls() const { return m_calls; }

    // The current answers of watch() and members(), for a stand-in that polls during a long poll.
    WatchBatch changesSince(const StoreKey &prefix, Revision after);
    MemberList currentMembers();

    Result<std::optional<StoredValue>> read(const StoreKey &key) override;
    Result<std::vector<StoredEntry>> list(const StoreKey &prefix) override;
    Result<Revision> compareAndSwap(const StoreKey &key, const std::string &value,
                                    Revision expected, LeaseId lease) override;
    Status erase(const StoreKey &key, Revision expected) override;
    Result<LeaseId> grantLease(Duration length) override;
    Status renewLease(LeaseId lease) override;
    Status revokeLease(LeaseId lease) override;
    Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait) override;
    Result<MemberList> members(Revision after, Duration wait) override;

private:
    struct Slot
    {
        StoredValue stored;
        LeaseId lease;
    };
    struct Lease
    {
        Duration length {};
        MonotonicTime expiry;
    };

    void callHook(const StoreKey &key, const std::string &value);

    // Counts the call, drops expired leases, and returns the fault to inject.
    StoreFault enter();
    bool overRate();
    void dropLapsed();
    void eraseSlot(const StoreKey &key);
    void record(const StoreKey &key);

    const Clock &m_clock;
    std::recursive_mutex m_mutex;
    std::map<StoreKey, Slot> m_slots;
    std::map<LeaseId, Lease> m_leases;
    std::deque<std::pair<Revision, StoreKey>> m_history; // Invariant: ascending revisions.
    Revision m_revision { 0 };
    Revision m_forgottenUpTo { 0 };
    std::int64_t m_nextLease = 1;
    MemberList m_members { Revision(1), {} };
    StoreFault m_fault = StoreFault::None;
    int m_faultCalls = 0;
    int m_callsPerSecond = 0;
    int m_callsInSecond = 0;
    MonotonicTime m_secondStart;
    std::atomic<std::int64_t> m_calls { 0 };
    WriteHook m_beforeWrite;
};

} // namespace ramphinge
