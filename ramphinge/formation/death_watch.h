// Tells dead servers whose entries still stand from living ones, by asking them.
//
// The planner asks the members of a replica that routers suspect, each of them twice. A silent one
// is taken for dead if a server of the same zone answered meanwhile: else the planner itself is cut
// off from that zone. The belief ends after a while; by then the entry of a dead server has lapsed.
//
//   for (const HostId &host : watch.beginCheck(replica, servers, now)) {
//       ask(host) ? watch.answered(host, now) : watch.silent(host, now);
//   }
//   const std::set<HostId> dead = watch.dead(servers, now);

#pragma once

#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/replicas/plan.h"

namespace ramphinge {

struct DeathWatchOptions
{
    // A server that is asked this often in a row without an answer is taken for dead.
    int silences = 2;
    // For how long: entries lapse after three heartbeats, some 4 s.
    Duration belief = std::chrono::seconds(6);
    // A replica is not checked again for so long.
    Duration interval = std::chrono::seconds(1);
    // Servers of the replica's zone that are asked too, to tell death from a cut.
    int witnesses = 2;
};

// Not thread-safe: lives on the event loop.
class DeathWatch
{
public:
    explicit DeathWatch(DeathWatchOptions options) : m_options(options) { }

    // The servers to ask about the replica: its members and a few others. None if it was checked
    // lately.
    std::vector<HostId> beginCheck(const PlannedReplica &replica, const ServerMap &servers,
                                   MonotonicTime now);

    void answered(const HostId &host, MonotonicTime now);
    void silent(const HostId &host, MonotonicTime now);

    // Of `servers`, those that are taken for dead now.
    std::set<HostId> dead(const ServerMap &servers, MonotonicTime now) const;

private:
    struct Silence
    {
        int times = 0; // In a row.
        MonotonicTime since;
        MonotonicTime last;
    };

    void dropOld(MonotonicTime now);
    bool zoneAnswers(const ZoneId &zone, MonotonicTime since, const ServerMap &servers) const;

    DeathWatchOptions m_options;
    std::map<ReplicaId, MonotonicTime> m_checkedAt; // Within the interval; others are dropped.
    // Both of the time of a belief; what is older is dropped.
    std::map<HostId, Silence> m_silent;
    std::map<HostId, MonotonicTime> m_answeredAt;
};

} // namespace ramphinge
