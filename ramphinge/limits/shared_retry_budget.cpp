// The bound on retries over all daemons: see shared_retry_budget.h.

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

double SharedRetryBudget::capacity() const
{
    return std::max(minCapacity, heldSlackFraction * slackPart());
}

void SharedRetryBudget::advance(MonotonicTime now)
{
    const double windows =
        toMilliseconds(now - m_filledAt) / toMilliseconds(Duration(m_options.window));
    m_tokens = std::min(capacity(), m_tokens + windows * addedSlackFraction * slackPart());
    m_filledAt = now;
    dropBefore(m_requests, now - scaled(m_options.window, requestWindowFraction));
    dropBefore(m_retries, now - m_options.window);
}

void SharedRetryBudget::onRequest(MonotonicTime now)
{
    advance(now);
    m_tokens = std::min(capacity(), m_tokens + m_options.ratio);
    m_requests.push_back(now);
}

double SharedRetryBudget::available(MonotonicTime now)
{
    advance(now);
    const double inWindow = m_options.ratio * static_cast<double>(m_requests.size())
        + (heldSlackFraction + addedSlackFraction) * slackPart();
    return std::min(m_tokens, inWindow - static_cast<double>(m_retries.size()));
}

bool SharedRetryBudget::allows(MonotonicTime now)
{
    return available(now) >= 1;
}

bool SharedRetryBudget::take(MonotonicTime now)
{
    if (!allows(now))
        return false;
    m_tokens -= 1;
    m_retries.push_back(now);
    return true;
}

void SharedRetryBudget::giveBack(MonotonicTime now)
{
    advance(now);
    m_tokens = std::min(capacity(), m_tokens + 1);
    if (!m_retries.empty())
        m_retries.pop_back();
}

} // namespace ramphinge
