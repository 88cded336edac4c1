// Loads that end servers: see load_backoff.h.

#include "ramphinge/formation/load_backoff.h"

#include <algorithm>

namespace ramphinge {

void LoadBackoff::otherEnded(MonotonicTime now)
{
    m_otherEnds.push_back(now);
    while (now - m_otherEnds.front() > m_options.together)
        m_otherEnds.pop_front();
}

void LoadBackoff::ended(const ModelId &model, MonotonicTime now)
{
    const bool othersToo = !m_otherEnds.empty() && now - m_otherEnds.back() <= m_options.together;
    if (othersToo)
        return;
    Record &record = m_models[model];
    ++record.ends;
    if (record.ends < m_options.endsBorne)
        return;
    record.wait = record.wait == Duration::zero()
        ? m_options.firstWait
        : std::min(record.wait * 2, m_options.longestWait);
    record.mayLoadAt = now + record.wait;
}

bool LoadBackoff::mayLoad(const ModelId &model, MonotonicTime now) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() || now >= found->second.mayLoadAt;
}

int LoadBackoff::ends(const ModelId &model) const
{
    const auto found = m_models.find(model);
    return found == m_models.end() ? 0 : found->second.ends;
}

} // namespace ramphinge
