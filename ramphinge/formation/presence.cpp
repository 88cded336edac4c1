// Tracking of servers in and out of the fleet view: see presence.h.

#include "ramphinge/formation/presence.h"

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

void Presence::observe(const FleetView &fleet, MonotonicTime now)
{
    if (m_generation == fleet.generation())
        return;
    m_generation = fleet.generation();
    std::map<HostId, MonotonicTime> presentSince;
    for (const auto &[host, server] : fleet.servers()) {
        const auto known = m_presentSince.find(host);
        const bool isNew = known == m_presentSince.end();
        presentSince[host] = isNew ? now : known->second;
        if (isNew && m_missingSince.erase(host) == 0)
            m_newestServerAt = now;
    }
    for (const auto &[host, since] : m_presentSince) {
        if (presentSince.count(host) == 0)
            m_missingSince[host] = now;
    }
    m_presentSince = std::move(presentSince);
    pruneMissing(now);
    if (m_firstServerAt == MonotonicTime() && !m_presentSince.empty())
        m_firstServerAt = now;
}

void Presence::pruneMissing(MonotonicTime now)
{
    // The planner gave up the replicas of these servers when they were presumed lost.
    const Duration longest = 2 * m_options.lossTimeout;
    eraseIf(m_missingSince, [&](const auto &entry) { return now - entry.second >= longest; });
}

bool Presence::isAwaitingRegistrations(MonotonicTime now) const
{
    return m_firstServerAt == MonotonicTime()
        || (now - m_newestServerAt < m_options.registrationQuietTime
            && now - m_firstServerAt < m_options.maxRegistrationWait);
}

std::set<HostId> Presence::settled(MonotonicTime now) const
{
    std::set<HostId> hosts;
    for (const auto &[host, since] : m_presentSince) {
        if (now - since >= m_options.settlingTime)
            hosts.insert(host);
    }
    return hosts;
}

std::set<HostId> Presence::presumedLost(const ReplicaPlan &plan, MonotonicTime now)
{
    std::set<HostId> hosts;
    for (const PlannedReplica &replica : plan.replicas) {
        for (const HostId &host : replica.hosts) {
            if (m_presentSince.count(host) > 0)
                continue;
            const MonotonicTime since = m_missingSince.emplace(host, now).first->second;
            if (now - since >= m_options.lossTimeout)
                hosts.insert(host);
        }
    }
    return hosts;
}

} // namespace ramphinge
