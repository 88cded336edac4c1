// Outlier detection: finds replicas that fail or are much slower than the others of their model,
// from this daemon's own observations.
//
// An outlier is ejected for a while, then gets few requests at first (slow start). The number of
// replicas ejected at once is capped, so that a fault of the whole zone can't eject all of them.
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
    double slowFactor = 3.0; // Relative to the median of the model's replicas.
    int minSamples = 5;
    double smoothing = 0.2; // Weight of the newest sample.
    Duration ejection = std::chrono::seconds(10); // Doubles with each ejection, up to eightfold.
    Duration slowStart = std::chrono::seconds(10);
    double maxEjectedShare = 0.34; // Of the replicas of a model.
    int failuresInRow = 3; // Consecutive failures that eject a replica.
};

// Not thread-safe.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierOptions options);

    // Latency of a served request, measured over work that is comparable between the replicas.
    void observe(const ReplicaId &replica, Duration latency, MonotonicTime now);

    // A request whose answer was truncated or whose replica could not be reached.
    void observeFailure(const ReplicaId &replica, MonotonicTime now);

    // Share of its normal number of requests that the replica should get, in [0, 1]: 0 while
    // ejected, rising during slow start. `alike` are all replicas of its model, including itself.
    double admission(const ReplicaId &replica, const std::vector<ReplicaId> &alike,
                     MonotonicTime now);

    // The replica was formed again (new epoch): clears its record and begins a slow start.
    void restart(const ReplicaId &replica, MonotonicTime now);

    // Removes the records of replicas that are not in `known`.
    void retain(const std::set<ReplicaId> &known);

    int ejections() const { return m_ejections; }

private:
    struct Record
    {
        double smoothed = 0; // Milliseconds.
        int samples = 0;
        int failures = 0; // Consecutive.
        int ejectionCount = 0;
        bool ejected = false;
        MonotonicTime until; // End of the ejection.
        MonotonicTime rampStart; // Start of the slow start; the default value means none.
    };

    bool isSlow(const Record &record, const std::vector<ReplicaId> &alike) const;
    bool mayEjectOneMore(const std::vector<ReplicaId> &alike, MonotonicTime now) const;
    void eject(Record &record, MonotonicTime now);

    OutlierOptions m_options;
    std::map<ReplicaId, Record> m_records;
    int m_ejections = 0;
};

} // namespace ramphinge
