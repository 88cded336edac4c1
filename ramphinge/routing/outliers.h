// Finds stragglers: replicas much slower than their like, from this daemon's own observations.
//
// A straggler is set aside for a while, then tried again with few requests (slow start). The number
// set aside at once is capped, so that a fault of the whole zone can't empty it.
//
//   outliers.observe(replica, timeToFirstToken, now);
//   if (outliers.admission(replica, peersOfItsModel, now) > 0) ...

#pragma once

#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct OutlierOptions
{
    double slowFactor = 3.0; // Against the median of its like.
    int minSamples = 5;
    double smoothing = 0.2; // Weight of the newest sample.
    Duration ejection = std::chrono::seconds(10); // Doubles with each relapse, up to 8 times.
    Duration slowStart = std::chrono::seconds(10);
    double maxEjectedShare = 0.34; // Of the replicas of one model.
    int failuresInRow = 3; // Broken answers that eject at once.
};

// Not thread-safe.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options);

    // A served request's latency, in whatever unit of work is alike over the replicas.
    void observe(const ReplicaId &replica, Duration latency, MonotonicTime now);

    // A request that broke off or found nobody.
    void observeFailure(const ReplicaId &replica, MonotonicTime now);

    // Share of its normal number of requests that the replica should get, in [0, 1]: 0 while
    // ejected, rising during slow start. `alike` are all replicas of its model, itself included.
    double admission(const ReplicaId &replica, const std::vector<ReplicaId> &alike,
                     MonotonicTime now);

    // The replica came back as another (new epoch): forgets its past, begins a slow start.
    void restart(const ReplicaId &replica, MonotonicTime now);

    // Forgets replicas that are not in `known`.
    void retain(const std::set<ReplicaId> &known);

    int ejections() const { return m_ejections; }

private:
    struct Record
    {
        double smoothed = 0; // Milliseconds.
        int samples = 0;
        int failures = 0; // In a row.
        int relapses = 0;
        bool ejected = false;
        MonotonicTime until; // End of the ejection.
        MonotonicTime rampStart; // Start of the slow start; epoch time means "long ago".
    };

    bool isSlow(const Record &record, const std::vector<ReplicaId> &alike) const;
    bool mayEjectOneMore(const std::vector<ReplicaId> &alike, MonotonicTime now) const;
    void eject(Record &record, MonotonicTime now);

    OutlierOptions m_options;
    std::map<ReplicaId, Record> m_records;
    int m_ejections = 0;
};

} // namespace ramphinge
