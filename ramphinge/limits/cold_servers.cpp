// Rate limits of cold servers: see cold_servers.h.

#include "ramphinge/limits/cold_servers.h"

#include <algorithm>
#include <limits>

namespace ramphinge {

namespace {

ServerLimitsOptions limitOptions(const ColdServersOptions &options)
{
    ServerLimitsOptions limits;
    limits.baseSharers = std::max(1.0, options.tolerance);
    limits.sharersPerRequestRate = std::max(0.0, options.overshoot - 1);
    limits.minRate = RequestRate(0);
    limits.minBurstRequests = 1;
    limits.burstTime = {};
    // Coldness ends at a known time, so nobody probes.
    limits.probeAfter = std::chrono::hours(24);
    limits.constantSteps = 1; // Limits never end, so they don't recover.
    limits.doublingSteps = 0;
    limits.maxServers = std::numeric_limits<std::size_t>::max(); // The fleet bounds them.
    return limits;
}

} // namespace

ColdServers::ColdServers(ColdServersOptions options) : m_limits(limitOptions(options)) { }

void ColdServers::setDaemons(const RegisteredDaemon &self,
                             const std::vector<RegisteredDaemon> &daemons, MonotonicTime now)
{
    m_limits.setDaemons(self, daemons, now);
}

void ColdServers::setServers(const std::vector<ColdServer> &servers, MonotonicTime now)
{
    m_coldUntil.clear();
    for (const ColdServer &cold : servers) {
        m_limits.noteAnswer(cold.server, cold.rate, now, now);
        m_coldUntil[cold.server.host] = cold.coldUntil;
    }
    m_limits.retain([this](const HostId &host) { return m_coldUntil.count(host) > 0; });
}

bool ColdServers::isCold(const HostId &host, MonotonicTime now) const
{
    const auto known = m_coldUntil.find(host);
    return known != m_coldUntil.end() && now < known->second;
}

bool ColdServers::admits(const HostId &host, MonotonicTime now) const
{
    return !isCold(host, now) || m_limits.admits(host, now);
}

void ColdServers::recordSend(const HostId &host, MonotonicTime now)
{
    if (isCold(host, now))
        m_limits.recordSend(host, now);
}

std::optional<RequestRate> ColdServers::rateOf(const HostId &host, MonotonicTime now) const
{
    return isCold(host, now) ? m_limits.rateOf(host, now) : std::nullopt;
}

std::vector<HostId> ColdServers::servers(MonotonicTime now) const
{
    std::vector<HostId> cold;
    for (const auto &[host, until] : m_coldUntil) {
        if (now < until)
            cold.push_back(host);
    }
    return cold;
}

} // namespace ramphinge
