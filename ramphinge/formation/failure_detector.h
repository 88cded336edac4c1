// Detects dead servers whose store entries have not lapsed yet, by probing them.
//
// The planner probes the members of a replica that routers suspect, each of them twice. An
// unresponsive one is taken for dead if a server of the same zone answered at about that time:
// otherwise the planner itself may be partitioned from that zone. The verdict expires after a few
// seconds; by then the entry of a dead server has lapsed.
//
//   for (const HostId &host : detector.beginCheck(replica, servers, now)) {
//       ask(host) ? detector.recordAnswer(host, now) : detector.recordNoAnswer(host, now);
//   }
//   const std::set<HostId> dead = detector.dead(servers, now);

#pragma once

#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/replicas/plan.h"

namespace ramphinge {

struct FailureDetectorOptions
{
    // A server is taken for dead after this many unanswered probes in a row.
    int unansweredProbes = 2;
    // How long the verdict holds. Longer than a dead server's entry needs to lapse: three
    // heartbeats, some 4 s.
    Duration verdictLifetime = std::chrono::seconds(6);
    // Shortest time between two checks of a replica.
    Duration checkInterval = std::chrono::seconds(1);
    // Other servers of the replica's zones that are probed too, to tell dead servers from a network
    // partition.
    int referenceServers = 2;
};

// Not thread-safe: lives on the event loop.
class FailureDetector
{
public:
    explicit FailureDetector(FailureDetectorOptions options) : m_options(options) { }

    // The servers to probe for the replica: its members that are in `servers` and a few reference
    // servers. Empty if the replica was checked within the check interval.
    std::vector<HostId> beginCheck(const PlannedReplica &replica, const ServerMap &servers,
                                   MonotonicTime now);

    // The outcome of one probe of the host.
    void recordAnswer(const HostId &host, MonotonicTime now);
    void recordNoAnswer(const HostId &host, MonotonicTime now);

    // Those of `servers` that are taken for dead at `now`.
    std::set<HostId> dead(const ServerMap &servers, MonotonicTime now) const;

private:
    struct UnansweredProbes
    {
        int consecutive = 0;
        MonotonicTime since;
        MonotonicTime last;
    };

    void dropExpired(MonotonicTime now);
    bool zoneAnsweredSince(const ZoneId &zone, MonotonicTime since, const ServerMap &servers) const;

    FailureDetectorOptions m_options;
    // The last check of each replica; dropped after `checkInterval`.
    std::map<ReplicaId, MonotonicTime> m_checkedAt;
    // Both reach back as far as a verdict holds; older entries are dropped.
    std::map<HostId, UnansweredProbes> m_unresponsive;
    std::map<HostId, MonotonicTime> m_answeredAt;
};

} // namespace ramphinge
