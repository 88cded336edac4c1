// Dead servers whose entries stand: see death_watch.h.

#include "ramphinge/formation/death_watch.h"

#include <algorithm>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

std::vector<HostId> DeathWatch::beginCheck(const PlannedReplica &replica, const ServerMap &servers,
                                           MonotonicTime now)
{
    eraseIf(m_checkedAt,
            [&](const auto &entry) { return now - entry.second >= m_options.interval; });
    if (!m_checkedAt.emplace(replica.replica, now).second)
        return {};
    dropOld(now);
    std::vector<HostId> hosts;
    std::set<ZoneId> zones;
    for (const HostId &host : replica.hosts) {
        const auto found = servers.find(host);
        if (found == servers.end())
            continue;
        hosts.push_back(host);
        zones.insert(found->second.zone);
    }
    int witnesses = 0;
    for (const auto &[host, server] : servers) {
        // Not of the same domain, which may be lost as a whole; nor a server without one, which
        // is of a plain service and has nothing to tell.
        if (server.domain.empty() || server.domain == replica.domain
            || zones.count(server.zone) == 0 || m_silent.count(host) > 0
            || witnesses >= m_options.witnesses)
            continue;
        hosts.push_back(host);
        ++witnesses;
    }
    return hosts;
}

void DeathWatch::dropOld(MonotonicTime now)
{
    eraseIf(m_silent,
            [&](const auto &entry) { return now - entry.second.last >= m_options.belief; });
    eraseIf(m_answeredAt,
            [&](const auto &entry) { return now - entry.second >= m_options.belief; });
}

void DeathWatch::answered(const HostId &host, MonotonicTime now)
{
    m_silent.erase(host);
    m_answeredAt[host] = now;
}

void DeathWatch::silent(const HostId &host, MonotonicTime now)
{
    Silence &silence = m_silent[host];
    if (silence.times == 0 || now - silence.last > m_options.belief)
        silence = { 0, now, now };
    ++silence.times;
    silence.last = now;
}

bool DeathWatch::zoneAnswers(const ZoneId &zone, MonotonicTime since,
                             const ServerMap &servers) const
{
    return std::any_of(m_answeredAt.begin(), m_answeredAt.end(), [&](const auto &entry) {
        const auto server = servers.find(entry.first);
        return entry.second >= since && server != servers.end() && server->second.zone == zone;
    });
}

std::set<HostId> DeathWatch::dead(const ServerMap &servers, MonotonicTime now) const
{
    // Answers to the same check come a moment before the first silence is certain.
    const Duration together = m_options.interval;
    std::set<HostId> hosts;
    for (const auto &[host, silence] : m_silent) {
        const auto server = servers.find(host);
        if (server != servers.end() && silence.times >= m_options.silences
            && now - silence.last < m_options.belief
            && zoneAnswers(server->second.zone, silence.since - together, servers))
            hosts.insert(host);
    }
    return hosts;
}

} // namespace ramphinge
