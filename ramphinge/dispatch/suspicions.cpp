// Replicas that seem to have lost a member: see suspicions.h.

#include "ramphinge/dispatch/suspicions.h"

#include <utility>

namespace ramphinge {

void Suspicions::note(const ReplicaId &replica, MonotonicTime now)
{
    if (replica.empty())
        return;
    for (auto entry = m_notedAt.begin(); entry != m_notedAt.end();)
        entry = now - entry->second >= m_again ? m_notedAt.erase(entry) : std::next(entry);
    if (m_notedAt.emplace(replica, now).second)
        m_pending.push_back(replica);
}

std::vector<ReplicaId> Suspicions::take()
{
    return std::exchange(m_pending, {});
}

} // namespace ramphinge
