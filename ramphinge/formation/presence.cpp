// Since when servers are there: see presence.h.

#include "ramphinge/formation/presence.h"

namespace ramphinge {

void Presence::observe(const ServerMap &servers, MonotonicTime now)
{
    std::map<HostId, MonotonicTime> present;
    for (const auto &[host, server] : servers) {
        const auto known = m_presentSince.find(host);
        present[host] = known == m_presentSince.end() ? now : known->second;
        if (m_lastSeen.count(host) == 0)
            m_newestServerAt = now;
        m_lastSeen[host] = now;
    }
    m_presentSince = std::move(present);
    if (m_firstServerAt == MonotonicTime() && !m_presentSince.empty())
        m_firstServerAt = now;
}

bool Presence::isGathering(MonotonicTime now) const
{
    return m_firstServerAt == MonotonicTime()
        || (now - m_newestServerAt < m_options.gatherQuiet
            && now - m_firstServerAt < m_options.gatherAtMost);
}

std::set<HostId> Presence::settled(MonotonicTime now) const
{
    std::set<HostId> hosts;
    for (const auto &[host, since] : m_presentSince) {
        if (now - since >= m_options.settling)
            hosts.insert(host);
    }
    return hosts;
}

std::set<HostId> Presence::forgotten(const ReplicaPlan &plan, MonotonicTime now)
{
    std::set<HostId> hosts;
    for (const PlannedReplica &replica : plan.replicas) {
        for (const HostId &host : replica.hosts) {
            const MonotonicTime seen = m_lastSeen.emplace(host, now).first->second;
            if (now - seen >= m_options.forgetting)
                hosts.insert(host);
        }
    }
    return hosts;
}

} // namespace ramphinge
