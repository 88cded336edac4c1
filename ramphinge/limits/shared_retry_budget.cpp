// The bound on repeats over all daemons: see shared_retry_budget.h.

#include "ramphinge/limits/shared_retry_budget.h"

#include <algorithm>

namespace ramphinge {

namespace {

void dropBefore(std::deque<MonotonicTime> &times, MonotonicTime start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace

void SharedRetryBudget::setDaemons(int daemons)
{
    m_daemons = std::max(m_daemons, daemons);
}

void SharedRetryBudget::forgetOld(MonotonicTime now)
{
    const Duration requestWindow = scaled(m_options.window, requestWindowShare);
    dropBefore(m_requests, now - requestWindow);
    dropBefore(m_repeats, now - m_options.window);
}

void SharedRetryBudget::onRequest(MonotonicTime now)
{
    forgetOld(now);
    m_requests.push_back(now);
}

bool SharedRetryBudget::allows(MonotonicTime now)
{
    forgetOld(now);
    const bool settled = now - m_startedAt >= m_options.window;
    const double slack = settled ? usedShare * m_options.slack / m_daemons : 0;
    const double allowed = m_options.ratio * static_cast<double>(m_requests.size()) + slack;
    return static_cast<double>(m_repeats.size()) + 1 <= allowed;
}

bool SharedRetryBudget::take(MonotonicTime now)
{
    if (!allows(now))
        return false;
    m_repeats.push_back(now);
    return true;
}

} // namespace ramphinge
