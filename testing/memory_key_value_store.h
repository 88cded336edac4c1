// An in-memory key-value store for coroutines, with revisions, watches, leases on an injected
// clock, and faults: discarded history, outages, lost answers.

#pragma once

#include <limits>
#include <map>
#include <vector>

#include "ramphinge/base/time.h"
#include "ramphinge/store/key_value_store.h"

namespace ramphinge {

class MemoryKeyValueStore : public KeyValueStore
{
public:
    MemoryKeyValueStore(IoContext &io, ManualClock &clock) : m_io(io), m_clock(clock) { }

    Result<StoreSnapshot> list(const StoreKey &prefix, Yield yield) override;
    // The same as list().
    Result<StoreSnapshot> listPossiblyOld(const StoreKey &prefix, Yield yield) override
    {
        return list(prefix, yield);
    }
    // Never blocks: returns the changes; if there are none, first advances the clock by `wait`.
    Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait,
                             Yield yield) override;
    Result<Revision> commit(const std::vector<StoreWrite> &writes, Yield yield) override;
    Result<GrantedLease> grantLease(Duration lifetime, Yield yield) override;
    Status renewLease(LeaseId lease, Yield yield) override;
    Status revokeLease(LeaseId lease, Yield yield) override;

    // A write by the platform or by another daemon.
    void put(const StoreKey &key, const std::string &value, LeaseId lease = noLease);
    void erase(const StoreKey &key);
    std::optional<std::string> value(const StoreKey &key);

    void setDown(bool down) { m_down = down; }
    // The next `calls` calls are rejected as exceeding the rate limit, without effect.
    void turnAwayNext(int calls) { m_turnAway = calls; }
    // The next write takes effect, but its answer is lost.
    void loseNextAnswer() { m_loseAnswer = true; }
    // The next write takes effect, and throws std::length_error instead of its answer.
    void failNextCommitInside() { m_failInside = true; }
    // The caller's connection stalls: the next watch gets no answer, and later calls use a new one.
    void silenceConnection() { m_silent = true; }
    void forgetHistory() { m_oldest = m_revision; }
    // Answers to watches are truncated after this many changes.
    void limitWatches(std::size_t mostChanges) { m_mostChanges = mostChanges; }
    int calls() const { return m_calls; }

private:
    struct Item
    {
        std::string value;
        Revision revision;
        LeaseId lease;
    };
    struct Lease
    {
        MonotonicTime expires;
        Duration lifetime {};
    };

    Status enter(Yield yield);
    void expire();

    IoContext &m_io;
    ManualClock &m_clock;
    std::map<StoreKey, Item> m_items;
    std::vector<StoreChange> m_history; // Index i holds the change of revision i + 1.
    std::map<LeaseId, Lease> m_leases;
    Revision m_revision;
    Revision m_oldest; // History up to here was discarded.
    std::int64_t m_nextLease = 1;
    bool m_down = false;
    int m_turnAway = 0; // Remaining calls to reject.
    bool m_loseAnswer = false;
    bool m_failInside = false;
    bool m_silent = false;
    std::size_t m_mostChanges = std::numeric_limits<std::size_t>::max();
    int m_calls = 0;
};

} // namespace ramphinge
