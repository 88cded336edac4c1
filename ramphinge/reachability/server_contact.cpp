// Whether any upstream server is reached: see server_contact.h.

#include "ramphinge/reachability/server_contact.h"

#include <algorithm>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

const char *toString(ContactState state)
{
    switch (state) {
    case ContactState::Sound:
        return "sound";
    case ContactState::Doubtful:
        return "doubtful";
    case ContactState::Lost:
        return "lost";
    }
    return "unknown";
}

const char *toString(ContactProbeResult result)
{
    switch (result) {
    case ContactProbeResult::Answered:
        return "answered";
    case ContactProbeResult::Failed:
        return "failed";
    case ContactProbeResult::Inconclusive:
        return "inconclusive";
    }
    return "unknown";
}

void ServerContact::noteSent(MonotonicTime now)
{
    if (++m_waiting == 1)
        m_waitingSince = now;
}

void ServerContact::noteFailure(const HostId &host, MonotonicTime now)
{
    eraseIf(m_failures,
            [&](const auto &entry) { return now - entry.second >= m_options.failureWindow; });
    m_failures[host] = now;
}

bool ServerContact::isSilent(MonotonicTime now) const
{
    return m_waiting > 0 && now - std::max(m_lastArrival, m_waitingSince) >= m_options.silence
        && now - m_provenAt >= m_options.silenceInterval;
}

bool ServerContact::hasManyFailures(MonotonicTime now) const
{
    const auto failures =
        std::count_if(m_failures.begin(), m_failures.end(), [&](const auto &entry) {
            return now - entry.second < m_options.failureWindow;
        });
    const std::size_t hosts = std::min<std::size_t>(m_options.failedHosts, m_hosts.size());
    return failures > 0 && static_cast<std::size_t>(failures) >= hosts;
}

bool ServerContact::isDoubtful(MonotonicTime now) const
{
    return isSilent(now) || (hasManyFailures(now) && now - m_provenAt >= m_options.failureInterval);
}

// Prefers hosts that were not probed since contact came into doubt.
std::vector<HostId> ServerContact::drawProbes(std::size_t count)
{
    std::vector<HostId> hosts;
    for (const bool isRepeated : { false, true }) {
        std::vector<HostId> eligible;
        for (const HostId &host : m_hosts) {
            if (m_probing.count(host) == 0 && (m_failedProbes.count(host) > 0) == isRepeated)
                eligible.push_back(host);
        }
        while (hosts.size() < count && !eligible.empty()) {
            const std::size_t drawn = m_random.below(eligible.size());
            hosts.push_back(eligible[drawn]);
            m_probing.insert(eligible[drawn]);
            eligible.erase(eligible.begin() + static_cast<std::ptrdiff_t>(drawn));
        }
    }
    return hosts;
}

std::vector<HostId> ServerContact::takeProbes(MonotonicTime now)
{
    if (m_hosts.empty()) {
        m_state = ContactState::Sound;
        return {};
    }
    if (m_state == ContactState::Sound) {
        if (!isDoubtful(now) && !m_isProbeRequested)
            return {};
        m_isProbeRequested = false;
        m_state = ContactState::Doubtful;
        m_failedProbes.clear();
    }
    if (m_state == ContactState::Lost) {
        if (now - m_probedAt < m_options.lostProbeInterval)
            return {};
        m_probedAt = now;
        return drawProbes(1);
    }
    if (!m_probing.empty())
        return {};
    m_probedAt = now;
    const std::size_t failed = m_failedProbes.size();
    return drawProbes(failed == 0 ? 1 : static_cast<std::size_t>(m_options.probes) - failed);
}

void ServerContact::noteProbe(const HostId &host, ContactProbeResult result, MonotonicTime now)
{
    m_probing.erase(host);
    switch (result) {
    case ContactProbeResult::Answered:
        m_state = ContactState::Sound;
        m_provenAt = now;
        m_failures.clear();
        m_failedProbes.clear();
        return;
    case ContactProbeResult::Inconclusive:
        return;
    case ContactProbeResult::Failed:
        break;
    }
    if (m_state == ContactState::Sound) // A probe that another one's answer has overtaken.
        return;
    m_failedProbes.insert(host);
    const std::size_t needed = std::min<std::size_t>(m_options.probes, m_hosts.size());
    if (m_failedProbes.size() >= needed)
        m_state = ContactState::Lost;
}

} // namespace ramphinge
