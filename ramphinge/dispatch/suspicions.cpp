// Replicas suspected of having lost a member: see suspicions.h.

#include "ramphinge/dispatch/suspicions.h"

#include <utility>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

void Suspicions::note(const ReplicaId &replica, MonotonicTime now)
{
    if (replica.empty())
        return;
    eraseIf(m_notedAt, [&](const auto &entry) { return now - entry.second >= m_repeatInterval; });
    if (m_notedAt.emplace(replica, now).second)
        m_pending.push_back(replica);
}

std::vector<ReplicaId> Suspicions::take()
{
    return std::exchange(m_pending, {});
}

} // namespace ramphinge
