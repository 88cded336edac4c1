// Backoffs that servers asked for: see server_backoffs.h.

#include "ramphinge/limits/server_backoffs.h"

#include <algorithm>
#include <cmath>

#include "ramphinge/base/erase_if.h"
#include "ramphinge/base/hash.h"

namespace ramphinge {

const char *toString(BackoffChange change)
{
    switch (change) {
    case BackoffChange::None:
        break;
    case BackoffChange::Asked:
        return "asked";
    case BackoffChange::Extended:
        return "extended";
    case BackoffChange::Ended:
        return "ended";
    }
    return "none";
}

void ServerBackoffs::setDaemons(const DaemonId &self, std::size_t daemons)
{
    m_self = self;
    m_daemons = std::max<std::size_t>(1, daemons);
}

// A hash of daemon and server: constant for each pair, and spread over the daemons of a server.
Duration ServerBackoffs::resumeDelay(const HostId &host) const
{
    const Duration spread = std::min(
        m_options.maxSpread, m_options.resumeSpacing * static_cast<std::int64_t>(m_daemons));
    const std::uint64_t score = rendezvousScore(stableHash(host.text()), m_self.text());
    return scaled(spread, std::ldexp(static_cast<double>(score), -64));
}

BackoffChange ServerBackoffs::noteRefusal(const HostId &host, Duration backoff, MonotonicTime now)
{
    const auto known = m_backoffs.find(host);
    if (known == m_backoffs.end() && m_backoffs.size() >= m_options.maxServers)
        return BackoffChange::None;
    const MonotonicTime until = now + backoff;
    if (known != m_backoffs.end() && until <= known->second.until)
        return BackoffChange::None;
    const bool isOngoing = isBackingOff(host, now);
    m_backoffs[host] = { until, until + resumeDelay(host), {}, {} };
    return isOngoing ? BackoffChange::Extended : BackoffChange::Asked;
}

BackoffChange ServerBackoffs::noteAnswer(const HostId &host, MonotonicTime sentAt)
{
    const auto known = m_backoffs.find(host);
    if (known == m_backoffs.end() || sentAt < known->second.until)
        return BackoffChange::None;
    m_backoffs.erase(known);
    return BackoffChange::Ended;
}

bool ServerBackoffs::isBackingOff(const HostId &host, MonotonicTime now) const
{
    const auto known = m_backoffs.find(host);
    return known != m_backoffs.end() && now < known->second.until;
}

bool ServerBackoffs::admits(const HostId &host, MonotonicTime now) const
{
    const auto known = m_backoffs.find(host);
    if (known == m_backoffs.end())
        return true;
    const Backoff &backoff = known->second;
    const bool isProbePending =
        backoff.lastSentAt && now - *backoff.lastSentAt < m_options.probeTimeout;
    return now >= backoff.resumeAt && !isProbePending;
}

std::optional<MonotonicTime> ServerBackoffs::resumesAt(const HostId &host, MonotonicTime now) const
{
    const auto known = m_backoffs.find(host);
    if (known == m_backoffs.end() || now >= known->second.resumeAt)
        return std::nullopt;
    return known->second.resumeAt;
}

void ServerBackoffs::recordSend(const HostId &host, MonotonicTime now)
{
    const auto known = m_backoffs.find(host);
    if (known != m_backoffs.end())
        known->second.lastSentAt = now;
}

void ServerBackoffs::forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now)
{
    eraseIf(m_backoffs, [&](auto &entry) {
        Backoff &backoff = entry.second;
        if (now - backoff.resumeAt > m_options.endedRetention)
            return true;
        if (exists(entry.first)) {
            backoff.missingSince.reset();
            return false;
        }
        backoff.missingSince = backoff.missingSince.value_or(now);
        return now - *backoff.missingSince > m_options.goneRetention;
    });
}

std::vector<ServerBackoffState> ServerBackoffs::states(MonotonicTime now) const
{
    std::vector<ServerBackoffState> all;
    for (const auto &[host, backoff] : m_backoffs)
        all.push_back({ host, std::max(Duration::zero(), backoff.until - now) });
    return all;
}

} // namespace ramphinge
