// The store's changes since some revision, the newest of each key: what a daemon with an older view
// needs to bring it up to date.
//
//   log.restart(listed.upTo);
//   log.add(batch);
//   if (log.reachesBackTo(after))
//       reply(log.changesAfter(after, maxBytes));

#pragma once

#include <map>
#include <vector>

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct ChangeLogOptions
{
    // Limit of the memory for keys and values. The entries of 760 servers and 300 daemons take
    // 0.5 MB. Beyond the limit the oldest changes are discarded, and a daemon that needs them reads
    // the store.
    std::size_t maxBytes = 4 * 1024 * 1024;
};

// Changes after some revision, in revision order.
struct LoggedChanges
{
    std::vector<StoreChange> changes;
    Revision upTo; // Each change up to here is included, or superseded by a later one of its key.
    bool isComplete = true; // False: more changes follow after `upTo`.
};

// Not thread-safe: used on the event loop only.
class ChangeLog
{
public:
    explicit ChangeLog(ChangeLogOptions options) : m_options(options) { }

    // Clears the log: the next batch holds the changes after `upTo`.
    void restart(Revision upTo);

    // Appends the batch that follows upTo().
    void add(const WatchBatch &batch);

    // Whether the log holds every change after `after`, up to upTo().
    bool reachesBackTo(Revision after) const { return after >= m_startsAfter; }
    Revision upTo() const { return m_upTo; }
    bool hasChangesAfter(Revision after) const;

    // The newest change of each key after `after`, limited to `maxBytes` of keys and values. A
    // revision is never split. nullopt if the first revision alone exceeds the limit. A value of
    // `deltaKey` counts as `deltaBytes`.
    std::optional<LoggedChanges> changesAfter(Revision after, std::size_t maxBytes,
                                              const StoreKey &deltaKey = {},
                                              std::size_t deltaBytes = 0) const;

private:
    struct Change
    {
        Revision at; // For a deletion, the end revision of the batch that reported it.
        std::optional<StoredValue> stored;
    };

    void discard(Revision at, const StoreKey &key);
    static std::size_t sizeOf(const StoreKey &key, const Change &change);

    ChangeLogOptions m_options;
    Revision m_startsAfter; // Changes up to here may be missing.
    Revision m_upTo;
    std::map<StoreKey, Change> m_changes;
    // Size in bytes of each entry of m_changes, oldest first. Invariant: the same keys.
    std::map<std::pair<Revision, StoreKey>, std::size_t> m_sizeByRevision;
    std::size_t m_bytes = 0; // Sum of the sizes.
};

} // namespace ramphinge
