// Outlier detection: see outliers.h.

#include "ramphinge/routing/outliers.h"

#include <algorithm>

namespace ramphinge {

namespace {
constexpr int maxBackoffDoublings = 3;
// Minimum for a replica in slow start, so that it gets some samples.
constexpr double minAdmission = 0.1;
} // namespace

OutlierDetector::OutlierDetector(OutlierOptions options) : m_options(options) { }

void OutlierDetector::observe(const ReplicaId &replica, Duration latency, MonotonicTime /*now*/)
{
    Record &record = m_records[replica];
    const double sample = toMilliseconds(latency);
    record.failures = 0;
    record.smoothed = record.samples == 0
        ? sample
        : record.smoothed + m_options.smoothing * (sample - record.smoothed);
    ++record.samples;
}

void OutlierDetector::observeFailure(const ReplicaId &replica, MonotonicTime /*now*/)
{
    ++m_records[replica].failures;
}

double OutlierDetector::admission(const ReplicaId &replica, const std::vector<ReplicaId> &alike,
                                  MonotonicTime now)
{
    Record &record = m_records[replica];
    if (record.ejected && now < record.until)
        return 0;
    if (record.ejected) {
        record.ejected = false;
        record.rampStart = now;
        record.samples = 0;
        record.failures = 0;
    }
    const bool isOutlier = record.failures >= m_options.failuresInRow || isSlow(record, alike);
    if (isOutlier && mayEjectOneMore(alike, now)) {
        eject(record, now);
        return 0;
    }
    if (record.rampStart == MonotonicTime() || now - record.rampStart >= m_options.slowStart)
        return 1;
    const double ramp =
        toMilliseconds(now - record.rampStart) / toMilliseconds(m_options.slowStart);
    return std::max(minAdmission, ramp);
}

bool OutlierDetector::isSlow(const Record &record, const std::vector<ReplicaId> &alike) const
{
    if (record.samples < m_options.minSamples)
        return false;
    std::vector<double> others;
    for (const ReplicaId &id : alike) {
        const auto found = m_records.find(id);
        if (found != m_records.end() && found->second.samples >= m_options.minSamples)
            others.push_back(found->second.smoothed);
    }
    if (others.size() < 2)
        return false;
    // The lower median: with two replicas, the faster one is the reference.
    const auto middle = others.begin() + static_cast<std::ptrdiff_t>((others.size() - 1) / 2);
    std::nth_element(others.begin(), middle, others.end());
    return record.smoothed > *middle * m_options.slowFactor;
}

bool OutlierDetector::mayEjectOneMore(const std::vector<ReplicaId> &alike, MonotonicTime now) const
{
    int ejected = 0;
    for (const ReplicaId &id : alike) {
        const auto found = m_records.find(id);
        if (found != m_records.end() && found->second.ejected && now < found->second.until)
            ++ejected;
    }
    const int cap =
        static_cast<int>(m_options.maxEjectedShare * static_cast<double>(alike.size()) + 0.01);
    return ejected < std::max(cap, alike.size() > 1 ? 1 : 0);
}

void OutlierDetector::eject(Record &record, MonotonicTime now)
{
    record.ejected = true;
    record.until =
        now + m_options.ejection * (1 << std::min(record.ejectionCount, maxBackoffDoublings));
    ++record.ejectionCount;
    ++m_ejections;
}

void OutlierDetector::restart(const ReplicaId &replica, MonotonicTime now)
{
    Record fresh;
    fresh.rampStart = now;
    m_records[replica] = fresh;
}

void OutlierDetector::retain(const std::set<ReplicaId> &known)
{
    for (auto it = m_records.begin(); it != m_records.end();)
        it = known.count(it->first) > 0 ? std::next(it) : m_records.erase(it);
}

} // namespace ramphinge
