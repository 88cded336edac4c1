// Detection of dead servers by probes: see failure_detector.h.

#include "ramphinge/formation/failure_detector.h"

#include <algorithm>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

std::vector<HostId> FailureDetector::beginCheck(const PlannedReplica &replica,
                                                const ServerMap &servers, MonotonicTime now)
{
    eraseIf(m_checkedAt,
            [&](const auto &entry) { return now - entry.second >= m_options.checkInterval; });
    if (!m_checkedAt.emplace(replica.replica, now).second)
        return {};
    dropExpired(now);
    std::vector<HostId> hosts;
    std::set<ZoneId> zones;
    for (const HostId &host : replica.hosts) {
        const auto found = servers.find(host);
        if (found == servers.end())
            continue;
        hosts.push_back(host);
        zones.insert(found->second.zone);
    }
    int referenceServers = 0;
    for (const auto &[host, server] : servers) {
        // Reference servers are of another domain, since a domain may be lost as a whole. Servers
        // without a domain belong to plain services; their answers say nothing here.
        if (server.domain.empty() || server.domain == replica.domain
            || zones.count(server.zone) == 0 || m_unresponsive.count(host) > 0
            || referenceServers >= m_options.referenceServers)
            continue;
        hosts.push_back(host);
        ++referenceServers;
    }
    return hosts;
}

void FailureDetector::dropExpired(MonotonicTime now)
{
    eraseIf(m_unresponsive, [&](const auto &entry) {
        return now - entry.second.last >= m_options.verdictLifetime;
    });
    eraseIf(m_answeredAt,
            [&](const auto &entry) { return now - entry.second >= m_options.verdictLifetime; });
}

void FailureDetector::recordAnswer(const HostId &host, MonotonicTime now)
{
    m_unresponsive.erase(host);
    m_answeredAt[host] = now;
}

void FailureDetector::recordNoAnswer(const HostId &host, MonotonicTime now)
{
    UnansweredProbes &unanswered = m_unresponsive[host];
    if (unanswered.consecutive == 0 || now - unanswered.last > m_options.verdictLifetime)
        unanswered = { 0, now, now };
    ++unanswered.consecutive;
    unanswered.last = now;
}

bool FailureDetector::zoneAnsweredSince(const ZoneId &zone, MonotonicTime since,
                                        const ServerMap &servers) const
{
    return std::any_of(m_answeredAt.begin(), m_answeredAt.end(), [&](const auto &entry) {
        const auto server = servers.find(entry.first);
        return entry.second >= since && server != servers.end() && server->second.zone == zone;
    });
}

std::set<HostId> FailureDetector::dead(const ServerMap &servers, MonotonicTime now) const
{
    // Reference servers answer shortly before the first probe of a dead server times out.
    const Duration answerLead = m_options.checkInterval;
    std::set<HostId> hosts;
    for (const auto &[host, unanswered] : m_unresponsive) {
        const auto server = servers.find(host);
        if (server != servers.end() && unanswered.consecutive >= m_options.unansweredProbes
            && now - unanswered.last < m_options.verdictLifetime
            && zoneAnsweredSince(server->second.zone, unanswered.since - answerLead, servers))
            hosts.insert(host);
    }
    return hosts;
}

} // namespace ramphinge
