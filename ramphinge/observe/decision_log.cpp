// Bounded log lines for decisions: see decision_log.h.

#include "ramphinge/observe/decision_log.h"

#include <algorithm>

#include "ramphinge/base/process_marks.h"
#include "ramphinge/observe/log.h"

namespace ramphinge {

bool DecisionLog::mayWrite(Kind &kind, double perSecond)
{
    const MonotonicTime now = m_clock.now();
    const double seconds =
        kind.refilledAt == MonotonicTime() ? 1.0 : toMilliseconds(now - kind.refilledAt) / 1000;
    kind.tokens = std::min(perSecond, kind.tokens + seconds * perSecond);
    kind.refilledAt = now;
    if (kind.tokens < 1) {
        ++kind.leftOut;
        return false;
    }
    kind.tokens -= 1;
    return true;
}

void DecisionLog::write(const char *event, LogWeight weight, nlohmann::json fields)
{
    processMarks().lastDecision.store(event, std::memory_order_relaxed);
    if (weight != LogWeight::Belief) {
        const double perSecond =
            weight == LogWeight::Routine ? m_options.routinePerSecond : m_options.failuresPerSecond;
        if (!mayWrite(m_kinds[event], perSecond))
            return;
    }
    if (weight == LogWeight::Failure)
        logWarning("decision", event, std::move(fields));
    else
        logInfo("decision", event, std::move(fields));
}

std::int64_t DecisionLog::leftOut(const std::string &event) const
{
    const auto found = m_kinds.find(event);
    return found == m_kinds.end() ? 0 : found->second.leftOut;
}

void DecisionLog::reportLeftOut()
{
    nlohmann::json counts = nlohmann::json::object();
    for (auto &[event, kind] : m_kinds) {
        if (kind.leftOut > 0)
            counts[event] = kind.leftOut;
        kind.leftOut = 0;
    }
    if (!counts.empty())
        logWarning("decision", "lines_left_out", { { "count", counts } });
}

} // namespace ramphinge
