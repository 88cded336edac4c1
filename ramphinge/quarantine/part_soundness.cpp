// Which parts of prompts ran without harm: see part_soundness.h.

#include "ramphinge/quarantine/part_soundness.h"

#include <algorithm>
#include <utility>

namespace ramphinge {

void PartSoundness::note(const Fingerprint &part, MonotonicTime begunAt)
{
    const std::optional<MonotonicTime> known = soundAt(part);
    if (m_younger.size() >= m_maxPerGeneration && m_younger.count(part) == 0)
        m_older = std::exchange(m_younger, {});
    m_younger[part] = known ? std::max(*known, begunAt) : begunAt;
}

std::optional<MonotonicTime> PartSoundness::soundAt(const Fingerprint &part) const
{
    for (const auto *generation : { &m_younger, &m_older }) {
        if (const auto found = generation->find(part); found != generation->end())
            return found->second;
    }
    return std::nullopt;
}

} // namespace ramphinge
