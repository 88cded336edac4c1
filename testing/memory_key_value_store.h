// The platform's key-value service in memory, for coroutines: revisions, leases on an injected
// clock, watches, lost history, outages, answers that are lost.

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
    // Returns at once: with what changed, or, after the clock was moved by `wait`, with nothing.
    Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait,
                             Yield yield) override;
    Result<Revision> commit(const std::vector<StoreWrite> &writes, Yield yield) override;
    Result<GrantedLease> grantLease(Duration lifetime, Yield yield) override;
    Status renewLease(LeaseId lease, Yield yield) override;
    Status revokeLease(LeaseId lease, Yield yield) override;

    // Writes as the platform itself or another daemon would.
    void put(const StoreKey &key, const std::string &value, LeaseId lease = noLease);
    void erase(const StoreKey &key);
    std::optional<std::string> value(const StoreKey &key);

    void setDown(bool down) { m_down = down; }
    // So many calls are turned away, as too many come at once; nothing is done for them.
    void turnAwayNext(int calls) { m_turnAway = calls; }
    // The next write takes effect, and its answer is lost.
    void loseNextAnswer() { m_loseAnswer = true; }
    // The next write takes effect, and throws std::length_error instead of its answer.
    void failNextCommitInside() { m_failInside = true; }
    // The caller's connection goes silent: the next watch on it gets no answer, later calls use a
    // new one.
    void silenceConnection() { m_silent = true; }
    void forgetHistory() { m_oldest = m_revision; }
    // Answers to watches are cut short after so many changes.
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
    std::vector<StoreChange> m_history; // Of revision i + 1 at index i.
    std::map<LeaseId, Lease> m_leases;
    Revision m_revision;
    Revision m_oldest; // History up to here is gone.
    std::int64_t m_nextLease = 1;
    bool m_down = false;
    int m_turnAway = 0; // Calls that are still to be turned away.
    bool m_loseAnswer = false;
    bool m_failInside = false;
    bool m_silent = false;
    std::size_t m_mostChanges = std::numeric_limits<std::size_t>::max();
    int m_calls = 0;
};

} // namespace ramphinge
