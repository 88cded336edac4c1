// Tracks since when servers have been in the fleet view, or missing from it. Tells servers that are
// gone from those whose store entries will come back.

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
    // A server is settled after this time in the view: entries that disappeared for a common cause
    // come back within two heartbeats of each other.
    Duration settlingTime = std::chrono::milliseconds(2600);
    // A server that is missing for this long is presumed lost. Until then a replica all of whose
    // members are missing is kept: they may be behind a network partition.
    Duration lossTimeout = std::chrono::seconds(30);
    // The first replicas are formed once no new server has registered for this long: formed
    // earlier, small replicas would take the servers that large ones need. Waits for
    // `maxRegistrationWait` at most.
    Duration registrationQuietTime = std::chrono::milliseconds(700);
    Duration maxRegistrationWait = std::chrono::milliseconds(3500);
};

// Not thread-safe: lives on the event loop.
class Presence
{
public:
    explicit Presence(PresenceOptions options) : m_options(options) { }

    void observe(const FleetView &fleet, MonotonicTime now);

    // Whether servers are still registering after the start, so that the first replicas should
    // wait.
    bool isAwaitingRegistrations(MonotonicTime now) const;

    // Servers that have been in the view for `settlingTime`.
    std::set<HostId> settled(MonotonicTime now) const;

    // Members of the plan that have been missing for `lossTimeout`, counted from when this object
    // first saw them missing.
    std::set<HostId> presumedLost(const ReplicaPlan &plan, MonotonicTime now);

private:
    void pruneMissing(MonotonicTime now);

    PresenceOptions m_options;
    std::map<HostId, MonotonicTime> m_presentSince; // Exactly the servers in the view.
    // When a server that is missing left the view, or when the plan first named it. Dropped after
    // twice `lossTimeout`.
    std::map<HostId, MonotonicTime> m_missingSince;
    std::optional<std::uint64_t> m_generation; // Of the last observed view.
    MonotonicTime m_firstServerAt;
    MonotonicTime m_newestServerAt;
};

} // namespace ramphinge
