// Since when servers have been in the view, or out of it: what tells a server that is gone from one
// whose entry will be back.

#pragma once

#include <map>
#include <optional>
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

    void observe(const FleetView &fleet, MonotonicTime now);

    // Servers still register, one after the other.
    bool isGathering(MonotonicTime now) const;

    // Servers that have been there for `settling`.
    std::set<HostId> settled(MonotonicTime now) const;

    // Members of the plan that have been missing for `forgetting`, counted from when this object
    // first knew of them.
    std::set<HostId> forgotten(const ReplicaPlan &plan, MonotonicTime now);

private:
    void dropLongMissing(MonotonicTime now);

    PresenceOptions m_options;
    std::map<HostId, MonotonicTime> m_presentSince; // Exactly the servers in the view.
    // When a server that is not in the view left it, or when the plan first named it. Those that
    // have been missing for very long are dropped.
    std::map<HostId, MonotonicTime> m_missingSince;
    std::optional<std::uint64_t> m_generation; // Of the view that was last observed.
    MonotonicTime m_firstServerAt;
    MonotonicTime m_newestServerAt;
};

} // namespace ramphinge
