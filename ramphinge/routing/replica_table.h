// The replicas that requests may go to, from the plan, delayed load reports and this daemon's
// requests in flight.
//
// A replica's estimated load is its last report, plus the requests that this daemon has sent since
// then, minus those that have ended: otherwise every request between two reports would go to the
// same replica.

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/routing/candidate.h"
#include "ramphinge/routing/outliers.h"

namespace ramphinge {

// A replica that is ready according to the plan.
struct ReplicaEntry
{
    ReplicaId replica;
    Epoch epoch; // Epoch in which it was formed; requests and the engine's answers carry it.
    ModelId model;
    ZoneId zone;
    Endpoint endpoint; // Of the host of rank 0.
    std::vector<HostId> hosts; // The replica is usable only while none of them is unusable.
};

struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int maxBatch = 32;
};

// Latency to another zone, one way.
struct ZoneDistance
{
    ZoneId zone;
    Duration latency;
};

struct ReplicaTableOptions
{
    ZoneId ownZone;
    std::vector<ZoneDistance> zones; // Zones not listed get the default latency.
    Duration defaultZoneLatency = std::chrono::microseconds(1500);
    OutlierOptions outliers;
    // Requests that all daemons together may have at a replica, as a multiple of its batch size.
    // Keeps the engine's own queue short, since only the daemon's queue is fair.
    double queueDepth = 1.0;
};

struct SlotCount
{
    int free = 0;
    int all = 0;
};

// Not thread-safe: used on the request loop.
class ReplicaTable
{
public:
    explicit ReplicaTable(ReplicaTableOptions options);

    // Replaces the set of ready replicas. Replicas that stay keep their in-flight counts.
    void setReplicas(const std::vector<ReplicaEntry> &entries, MonotonicTime now);

    // Hosts that get no new requests: dead, leaving, or in another state than planned.
    void setUnusableHosts(std::set<HostId> hosts);

    // Number of daemons that send to this zone's replicas. Each gets an equal share of a replica's
    // batch and borrows slots that the others leave unused.
    void setSharers(int daemons) { m_sharers = std::max(1, daemons); }

    void report(const ReplicaId &replica, const LoadReport &report);

    // Replicas of `model` that may get requests at `now`.
    std::vector<Candidate> candidates(const ModelId &model, MonotonicTime now);

    // This daemon's free slots and all its slots at the model's replicas.
    SlotCount slotCount(const ModelId &model, MonotonicTime now);

    // Nullopt if it is not ready or has an unusable host.
    std::optional<ReplicaEntry> find(const ReplicaId &replica) const;
    std::vector<ReplicaEntry> entries() const;

    void began(const ReplicaId &replica);
    void ended(const ReplicaId &replica);
    OutlierDetector &outliers() { return m_outliers; }
    int inFlight(const ReplicaId &replica) const;

private:
    struct State
    {
        ReplicaEntry entry;
        LoadReport load;
        int inFlight = 0; // Invariant: calls of began() minus calls of ended() for this replica.
        int sentSinceReport = 0;
        int endedSinceReport = 0;
        bool ready = true; // False: no longer ready in the plan; kept while requests are in flight.
        double smoothedRunning = 0; // Running requests, moving average over reports.
        double borrowed = 0; // Slots beyond this daemon's share; see adjustBorrowing().
    };

    bool usable(const State &state) const;
    Duration latencyTo(const ZoneId &zone) const;
    double estimatedRequests(const State &state) const;
    double engineSlots(const State &state) const;
    void adjustBorrowing(State &state) const;
    int slots(const State &state, double admission) const;

    ReplicaTableOptions m_options;
    OutlierDetector m_outliers;
    std::map<ReplicaId, State> m_states;
    std::set<HostId> m_unusable;
    int m_sharers = 1;
};

} // namespace ramphinge
