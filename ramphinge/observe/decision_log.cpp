// Rate-limited log lines for decisions: see decision_log.h.

#include "ramphinge/observe/decision_log.h"

#include <algorithm>

#include "ramphinge/base/process_status.h"
#include "ramphinge/observe/log.h"

namespace ramphinge {

bool DecisionLog::takeToken(Bucket &bucket, double perSecond)
{
    const MonotonicTime now = m_clock.now();
    const double seconds =
        bucket.refilledAt == MonotonicTime() ? 1.0 : toMilliseconds(now - bucket.refilledAt) / 1000;
    bucket.tokens = std::min(perSecond, bucket.tokens + seconds * perSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        ++bucket.leftOut;
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

void DecisionLog::write(const char *event, LogWeight weight, nlohmann::json fields)
{
    processStatus().lastDecision.store(event, std::memory_order_relaxed);
    if (weight != LogWeight::Belief) {
        const double perSecond =
            weight == LogWeight::Routine ? m_options.routinePerSecond : m_options.failuresPerSecond;
        if (!takeToken(m_buckets[event], perSecond))
            return;
    }
    if (weight == LogWeight::Failure)
        logWarning("decision", event, std::move(fields));
    else
        logInfo("decision", event, std::move(fields));
}

std::int64_t DecisionLog::leftOut(const std::string &event) const
{
    const auto found = m_buckets.find(event);
    return found == m_buckets.end() ? 0 : found->second.leftOut;
}

void DecisionLog::reportLeftOut()
{
    nlohmann::json counts = nlohmann::json::object();
    for (auto &[event, bucket] : m_buckets) {
        if (bucket.leftOut > 0)
            counts[event] = bucket.leftOut;
        bucket.leftOut = 0;
    }
    if (!counts.empty())
        logWarning("decision", "lines_left_out", { { "count", counts } });
}

} // namespace ramphinge
