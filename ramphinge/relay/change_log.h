// The store's changes since some revision, the newest of each key: what a daemon with an older
// picture needs to have the present one.
//
//   log.restart(listed.upTo);
//   log.add(batch);
//   if (log.reachesBackTo(after))
//       reply(log.changesAfter(after));

#pragma once

#include <map>
#include <vector>

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct ChangeLogOptions
{
    // Memory that changes may take. The entries of 760 servers and 300 daemons take 0.5 MB; what is
    // older than fits is forgotten, and whoever needs it asks the store.
    std::size_t mostBytes = 4 * 1024 * 1024;
};

// Changes after some revision, in order.
struct LoggedChanges
{
    std::vector<StoreChange> changes;
    Revision upTo; // Every change up to here is among them, or was replaced by a later one.
    bool reachesEnd = true; // False: more follow after `upTo`.
};

// Not thread-safe: lives on the event loop.
class ChangeLog
{
public:
    explicit ChangeLog(ChangeLogOptions options) : m_options(options) { }

    // Forgets everything: changes after `upTo` are to follow.
    void restart(Revision upTo);

    // The changes that follow, in order.
    void add(const WatchBatch &batch);

    // Every change after `after` is here, up to upTo().
    bool reachesBackTo(Revision after) const { return after >= m_since; }
    Revision upTo() const { return m_upTo; }
    bool hasChangesAfter(Revision after) const;

    // The newest change of each key after `after`; `mostBytes` of keys and values at most, but all
    // or none of one revision. Nothing if the first revision alone is larger.
    std::optional<LoggedChanges> changesAfter(Revision after, std::size_t mostBytes) const;

private:
    struct Change
    {
        Revision at; // Of a vanished key: of the batch that told it.
        std::optional<StoredValue> stored;
    };

    void forget(Revision at, const StoreKey &key);
    static std::size_t sizeOf(const StoreKey &key, const Change &change);

    ChangeLogOptions m_options;
    Revision m_since; // Changes up to here may be missing.
    Revision m_upTo;
    std::map<StoreKey, Change> m_changes;
    std::map<std::pair<Revision, StoreKey>, std::size_t> m_order; // Of exactly those; their sizes.
    std::size_t m_bytes = 0; // Sum of the sizes.
};

} // namespace ramphinge
