// Since when servers have been in the view, or out of it: what tells a server that is gone from one
// whose entry will be back.

#pragma once

#include <map>
#include <set>

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/replicas/plan.h"

namespace ramphinge {

struct PresenceOptions
{
    // Entries that vanished for a common cause come back within two heartbeats of each other.
    Duration settling = std::chrono::milliseconds(2600);
    // A replica all of whose members are missing is kept for so long: they may be behind a cut.
    Duration forgetting = std::chrono::seconds(30);
    // The first replicas are formed once no server has appeared for so long: formed earlier, small
    // replicas would take the places of large ones. But not later than `gatherAtMost`.
    Duration gatherQuiet = std::chrono::milliseconds(700);
    Duration gatherAtMost = std::chrono::milliseconds(3500);
};

// Not thread-safe: lives on the event loop.
class Presence
{
public:
    explicit Presence(PresenceOptions options) : m_options(options) { }

    void observe(const ServerMap &servers, MonotonicTime now);

    // Servers still register, one after the other.
    bool isGathering(MonotonicTime now) const;

    // Servers that have been there for `settling`.
    std::set<HostId> settled(MonotonicTime now) const;

    // Members of the plan that have been missing for `forgetting`, counted from when this object
    // first knew of them.
    std::set<HostId> forgotten(const ReplicaPlan &plan, MonotonicTime now);

private:
    PresenceOptions m_options;
    std::map<HostId, MonotonicTime> m_presentSince; // Exactly the servers in the view.
    std::map<HostId, MonotonicTime> m_lastSeen; // Every server that was ever in the view or plan.
    MonotonicTime m_firstServerAt;
    MonotonicTime m_newestServerAt;
};

} // namespace ramphinge
