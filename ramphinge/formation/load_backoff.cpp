// Backoff of model loads that crash servers: see load_backoff.h.

#include "ramphinge/formation/load_backoff.h"

#include <algorithm>

namespace ramphinge {

void LoadBackoff::recordOtherCrash(MonotonicTime now)
{
    m_otherCrashes.push_back(now);
    while (now - m_otherCrashes.front() > m_options.correlationWindow)
        m_otherCrashes.pop_front();
}

void LoadBackoff::recordCrash(const ModelId &model, MonotonicTime now)
{
    const bool isCorrelated =
        !m_otherCrashes.empty() && now - m_otherCrashes.back() <= m_options.correlationWindow;
    if (isCorrelated)
        return;
    Record &record = m_models[model];
    ++record.crashes;
    if (record.crashes < m_options.crashesBeforeBackoff)
        return;
    record.backoff = record.backoff == Duration::zero()
        ? m_options.initialBackoff
        : std::min(record.backoff * 2, m_options.maxBackoff);
    record.retryAt = now + record.backoff;
}

bool LoadBackoff::mayLoad(const ModelId &model, MonotonicTime now) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() || now >= found->second.retryAt;
}

int LoadBackoff::crashes(const ModelId &model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? 0 : found->second.crashes;
}

} // namespace ramphinge
