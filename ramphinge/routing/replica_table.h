// The replicas that requests may go to, as this daemon knows them: the plan, load reports that lag,
// and its own requests in flight.
//
// The estimate of a replica's load is what it last reported plus what this daemon has sent it since
// then: without the latter, every request of a report interval would go to the same replica.

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/routing/candidate.h"
#include "ramphinge/routing/outliers.h"

namespace ramphinge {

// One replica that the plan calls ready.
struct ReplicaEntry
{
    ReplicaId replica;
    Epoch epoch; // Of the forming; requests carry it, the engine's answer repeats it.
    ModelId model;
    ZoneId zone;
    Endpoint endpoint; // Of the host of rank 0.
    std::vector<HostId> hosts; // All of them; the replica is usable only while none is missing.
};

struct LoadReport
{
    int running = 0;
    int waiting = 0;
    int maxBatch = 32;
};

// How far another zone is, one way.
struct ZoneDistance
{
    ZoneId zone;
    Duration latency;
};

struct ReplicaTableOptions
{
    ZoneId ownZone;
    std::vector<ZoneDistance> zones; // Other zones absent here count with the default.
    Duration defaultZoneLatency = std::chrono::microseconds(1500);
    OutlierOptions outliers;
    // Requests that all daemons together may have at a replica, over its batch: the engine's own
    // queue is kept this short, since only the daemon's queue is fair.
    double queueDepth = 1.0;
};

struct SlotCount
{
    int free = 0;
    int all = 0;
};

// Not thread-safe: lives on the request loop.
class ReplicaTable
{
public:
    explicit ReplicaTable(ReplicaTableOptions options);

    // Replaces the set of ready replicas. In-flight counts of those that stay are kept.
    void setReplicas(const std::vector<ReplicaEntry> &entries, MonotonicTime now);

    // Hosts that must get nothing new: dead, leaving, or not what the plan says.
    void setUnusableHosts(std::set<HostId> hosts);

    // How many daemons send to this zone's replicas; each then has its part of the batch, and
    // borrows what the others leave.
    void setSharers(int daemons) { m_sharers = std::max(1, daemons); }

    void report(const ReplicaId &replica, const LoadReport &report);

    // Replicas of `model` that may get requests now.
    std::vector<Candidate> candidates(const ModelId &model, MonotonicTime now);

    // Own requests that could start now, and that could be at the model's replicas at once.
    SlotCount slotCount(const ModelId &model, MonotonicTime now);

    // Nothing if it is not ready any more.
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
        int inFlight = 0; // Invariant: began() minus ended() over the replica's whole life.
        int sentSinceReport = 0;
        int endedSinceReport = 0;
        bool ready = true; // False: dropped from the plan while requests were in flight.
        double usualRunning = 0; // Smoothed over reports.
        double borrowed = 0; // Places beyond the own part of the batch; see adjustBorrowing().
    };

    bool usable(const State &state) const;
    Duration distance(const ZoneId &zone) const;
    double estimatedRequests(const State &state) const;
    double placesOf(const State &state) const;
    void adjustBorrowing(State &state) const;
    int slots(const State &state, double admission) const;

    ReplicaTableOptions m_options;
    OutlierDetector m_outliers;
    std::map<ReplicaId, State> m_states;
    std::set<HostId> m_unusable;
    int m_sharers = 1;
};

} // namespace ramphinge
