// The targets that requests can be sent to, with this daemon's statistics of each: plain servers
// and the heads of open replicas.
//
// The expected time to a target's response comes from the engine's published cost model (for plain
// servers, from the service's mean), from the requests in flight there, and from the ratio of
// actual to expected times before. That ratio decays, so that a target which was slow or failed is
// tried again.
//
//   table.rebuild(fleet, plan, *catalog);
//   if (const Target *target = table.choose(query, now)) ...

#pragma once

#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/random.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/dispatch/target_draw.h"
#include "ramphinge/dispatch/urgency.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/fleet/target_load.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/reachability/reachability.h"
#include "ramphinge/replicas/plan.h"

namespace ramphinge {

// A plain server or a replica that takes requests, or a daemon to which they are forwarded.
struct Target
{
    HostId host; // The server, or a replica's head.
    Endpoint endpoint;
    ZoneId zone;
    ServiceId service;
    ReplicaId replica; // Empty for plain servers.
    ModelId model;
    int slots = 1; // Requests that it runs at once.
    // The daemon to which the request is forwarded; empty for servers. `host` bears its name.
    DaemonId daemon {};

    bool isDaemon() const { return !daemon.empty(); }
    ServerAddress address() const { return { host, endpoint, zone, service }; }
};

struct TargetQuery
{
    ServiceId service;
    ModelId model; // Empty for plain services.
    Tokens promptTokens;
    std::set<HostId> exclude; // Hosts that were already tried.
    const ServerGate *gate = nullptr; // If not null, targets that it doesn't admit are excluded.
    // If not null, targets that it doesn't admit are chosen only if there is no other.
    const Reachability *reachability = nullptr;
    std::set<ZoneId> avoidedZones {}; // Their targets are chosen only if there is no other.
    // Takes a target first where a request of this daemon has ended since the others' load was
    // reported: a slot is free there, whatever the reported load.
    bool prefersFreedSlots = false;
};

// The targets that a query can be sent to now, taken together: without those that are avoided, have
// stalled, or may be unreachable.
struct TargetRoom
{
    int targets = 0;
    double slots = 0;
    double inFlight = 0; // Of this daemon, and of the others if their load was reported recently.
    Duration leastExpected {}; // Least expected time to the first event.
    bool othersKnown = false;
    // When the others' load was last reported; the clock's epoch if never.
    MonotonicTime reportedAt;
};

struct TargetTableOptions
{
    ZoneId ownZone;
    // Added to the expected time of a target in another zone: traffic between zones takes 1.4 ms
    // one way and costs money, and the load of the own zone is known better.
    Duration zonePenalty = std::chrono::milliseconds(15);
    // Half-life of the deviation of a target's averages from their neutral values.
    Duration averageHalfLife = std::chrono::seconds(4);
    // A target with active streams counts as stalled if nothing has arrived from it for this many
    // of its mean pass intervals, within the bounds below. A stream gets data on every engine pass:
    // every 40 ms from a small model, and up to 300 ms apart while a large one prefills many
    // prompts.
    double stallIntervals = 4;
    Duration minStallTimeout = std::chrono::milliseconds(200);
    Duration maxStallTimeout = std::chrono::milliseconds(450);
    // How long a target gets no requests after it was unreachable; doubles with each repetition.
    Duration avoidDuration = std::chrono::milliseconds(800);
    Duration maxAvoidDuration = std::chrono::seconds(6);
    // How long the other daemons' reported load is used: six report intervals of 250 ms, about the
    // duration of a request. After that, the load is extrapolated from the daemon's own requests.
    Duration othersLoadMaxAge = std::chrono::milliseconds(1500);
    TargetDrawOptions targetDraw;
};

// Not thread-safe: used on the request loop only.
class TargetTable
{
public:
    TargetTable(TargetTableOptions options, std::uint64_t seed);

    // Replaces the targets by those that exist now. Statistics of remaining targets are kept,
    // except that a head of another replica than before loses its averages.
    void rebuild(const FleetView &fleet, const ReplicaPlan &plan, const ServiceCatalog &catalog);

    // Sets how many daemons send to the same targets: while their load is unknown, the total is
    // extrapolated from this daemon's requests.
    void setSharers(int daemons) { m_sharers = std::max(1, daemons); }

    // Sets the sum of the other daemons' load; replaces the previous sum.
    void setOthersLoad(const TargetLoads &loads, MonotonicTime now);
    // This daemon's load, without targets that have none.
    TargetLoads ownLoad() const;

    // Chooses the target with the least expected time; for a model, while the other daemons' load
    // is known, the better of two that are drawn by their free slots. Null if all are excluded. The
    // pointer is valid until rebuild().
    const Target *choose(const TargetQuery &query, MonotonicTime now);

    TargetRoom roomOf(const TargetQuery &query, MonotonicTime now) const;

    // The hosts of all targets that match the query.
    std::vector<HostId> candidates(const TargetQuery &query, MonotonicTime now) const;

    // Predicted time until the first event or the response from `host`, for a request that is not
    // late.
    Duration expectedTime(const HostId &host, Tokens prompt, MonotonicTime now) const;

    // A request was sent. Its prompt counts as waiting until began() or ended().
    void sent(const HostId &host, Tokens prompt, Urgency urgency = Urgency::InTime);
    // The first event or the response's head arrived after `took`; `expected` is the prediction
    // from before sending. Late requests don't change the averages, since they wait for all others.
    void began(const HostId &host, Tokens prompt, Duration took, Duration expected,
               MonotonicTime now, Urgency urgency = Urgency::InTime);
    // The request has ended; `hadBegun` tells whether began() was called for it.
    void ended(const HostId &host, Tokens prompt, bool hadBegun, Urgency urgency = Urgency::InTime);

    // Data arrived from the target.
    void progressed(const HostId &host, MonotonicTime now);
    // The target counts as stalled if nothing arrives from it for this long.
    Duration stallTimeoutOf(const HostId &host) const;
    // When data last arrived; the epoch of the clock if never.
    MonotonicTime lastProgress(const HostId &host) const;

    void succeeded(const HostId &host, MonotonicTime now);
    // It responded with a failure or a refusal.
    void failed(const HostId &host, MonotonicTime now);
    // It was unreachable, refused, or stalled: gets no requests for a while, unless there is no
    // other target.
    void avoid(const HostId &host, MonotonicTime now);

    bool knows(const HostId &host) const { return m_targets.count(host) > 0; }
    // Whether statistics of the host are kept.
    bool hasStats(const HostId &host) const { return m_stats.count(host) > 0; }
    std::size_t size() const { return m_targets.size(); }
    int inFlight(const HostId &host) const;
    // This daemon's requests there that have begun and not ended.
    int activeStreams(const HostId &host) const;

    // Endpoints of servers that have left the fleet since the last call.
    std::vector<Endpoint> takeRemovedEndpoints();

private:
    struct TargetStats
    {
        int inFlight = 0; // Invariant: calls of sent() minus calls of ended().
        int begun = 0; // Requests in flight that have begun.
        int lateWaiting = 0; // Late requests in flight that have not begun.
        std::int64_t pendingPrompt = 0; // Tokens of other requests that have not begun.
        double slowness = 1; // Ratio of actual to expected time, smoothed.
        double success = 1; // Share of successful requests, smoothed.
        MonotonicTime averagedAt; // When `slowness` and `success` were last updated.
        MonotonicTime progressAt;
        double passIntervalMilliseconds = 0; // Between engine passes, smoothed; 0: unknown.
        MonotonicTime avoidUntil;
        Duration avoidDuration {};
    };

    void addPlainServer(const UpstreamServer &server);
    void addReplicas(const FleetView &fleet, const ReplicaPlan &plan,
                     const ServiceCatalog &catalog);
    static void resetAverages(TargetStats &stats);
    // The statistics of a host to be updated; null if it is no target any more and has no request
    // in flight.
    TargetStats *statsToUpdate(const HostId &host);
    void collectRemovedEndpoints(const FleetView &fleet);
    const Target *chooseFreed(const TargetQuery &query, MonotonicTime now);
    const Target *chooseByFreeSlots(const TargetQuery &query, MonotonicTime now);
    static bool isCandidate(const Target &target, const TargetQuery &query, MonotonicTime now);
    // Whether the target may be unreachable, so that others are preferred.
    static bool isDoubtful(const Target &target, const TargetQuery &query, MonotonicTime now);
    // Whether it is a candidate and neither doubtful nor avoided nor stalled.
    bool isUsable(const Target &target, const TargetQuery &query, MonotonicTime now) const;
    // The statistics of a host; the defaults if none are kept.
    const TargetStats &statsOf(const HostId &host) const;
    // Requests of all daemons that run or wait there, without late ones that wait.
    double runningAt(const Target &target, const TargetStats &stats, MonotonicTime now) const;
    bool hasRecentOthersLoad(MonotonicTime now) const;
    double predictedMilliseconds(const Target &target, const TargetStats &stats, Tokens prompt,
                                 MonotonicTime now) const;
    double score(const Target &target, Tokens prompt, MonotonicTime now) const;
    double decayed(double value, const TargetStats &stats, MonotonicTime now) const;
    Duration stallTimeoutOf(const TargetStats &stats) const;
    bool isStalled(const TargetStats &stats, MonotonicTime now) const;
    static void adjustWaiting(TargetStats &stats, Tokens prompt, Urgency urgency, int change);
    void updateAverages(TargetStats &stats, double slowness, double success, MonotonicTime now);

    TargetTableOptions m_options;
    Random m_random;
    int m_sharers = 1;
    std::map<HostId, TargetLoad> m_othersLoad; // As last reported.
    std::optional<MonotonicTime> m_othersLoadAt; // When it was last reported; empty if never.
    // Targets where own requests have ended since then, the latest last.
    std::vector<HostId> m_freed;
    std::map<HostId, Target> m_targets;
    std::map<HostId, TargetStats> m_stats; // Includes former targets with requests in flight.
    std::map<ServiceId, EngineProfile> m_engines;
    std::map<ServiceId, double> m_plainMeanMilliseconds; // Response time, smoothed.
    // Time to the first event beyond the cost model, which excludes the engine's own overhead.
    std::map<ModelId, double> m_overheadMilliseconds; // Smoothed.
    // Servers of the fleet view that are targets, or have been since they joined it.
    std::map<HostId, Endpoint> m_usedServers;
    // Of servers in m_usedServers that have left the fleet view.
    std::vector<Endpoint> m_removedEndpoints;
};

} // namespace ramphinge
