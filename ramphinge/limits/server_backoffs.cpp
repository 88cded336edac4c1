// Servers that asked for nothing: see server_backoffs.h.

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

// The same at each return to the server, and another one for each daemon and server.
Duration ServerBackoffs::returnDelay(const HostId &host) const
{
    const Duration spread = std::min(
        m_options.longestSpread, m_options.returnSpacing * static_cast<std::int64_t>(m_daemons));
    const std::uint64_t score = rendezvousScore(stableHash(host.text()), m_self.text());
    return scaled(spread, std::ldexp(static_cast<double>(score), -64));
}

BackoffChange ServerBackoffs::noteRefusal(const HostId &host, Duration backoff, MonotonicTime now)
{
    const auto known = m_backoffs.find(host);
    if (known == m_backoffs.end() && m_backoffs.size() >= m_options.mostServers)
        return BackoffChange::None;
    const MonotonicTime until = now + backoff;
    if (known != m_backoffs.end() && until <= known->second.until)
        return BackoffChange::None;
    const bool lasts = isBackingOff(host, now);
    m_backoffs[host] = { until, until + returnDelay(host), {}, {} };
    return lasts ? BackoffChange::Extended : BackoffChange::Asked;
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
    const bool isTried = backoff.trialAt && now - *backoff.trialAt < m_options.trialTimeout;
    return now >= backoff.returnAt && !isTried;
}

std::optional<MonotonicTime> ServerBackoffs::returnsAt(const HostId &host, MonotonicTime now) const
{
    const auto known = m_backoffs.find(host);
    if (known == m_backoffs.end() || now >= known->second.returnAt)
        return std::nullopt;
    return known->second.returnAt;
}

void ServerBackoffs::take(const HostId &host, MonotonicTime now)
{
    const auto known = m_backoffs.find(host);
    if (known != m_backoffs.end())
        known->second.trialAt = now;
}

void ServerBackoffs::forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now)
{
    eraseIf(m_backoffs, [&](auto &entry) {
        Backoff &backoff = entry.second;
        if (now - backoff.returnAt > m_options.endedMemory)
            return true;
        if (exists(entry.first)) {
            backoff.missingSince.reset();
            return false;
        }
        backoff.missingSince = backoff.missingSince.value_or(now);
        return now - *backoff.missingSince > m_options.goneMemory;
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
