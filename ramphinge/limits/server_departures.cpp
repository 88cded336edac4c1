// Servers that leave: see server_departures.h.

#include "ramphinge/limits/server_departures.h"

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

bool ServerDepartures::note(const HostId &host)
{
    if (m_leaving.size() >= m_options.maxServers)
        return false;
    return m_leaving.emplace(host, Departure { m_options.broadcasts, {} }).second;
}

std::vector<HostId> ServerDepartures::takeUpdates()
{
    std::vector<HostId> due;
    for (auto &[host, departure] : m_leaving) {
        if (due.size() == m_options.maxServersPerBroadcast)
            break;
        if (departure.broadcastsLeft == 0)
            continue;
        --departure.broadcastsLeft;
        due.push_back(host);
    }
    return due;
}

void ServerDepartures::forgetOld(const std::function<bool(const HostId &)> &exists,
                                 MonotonicTime now)
{
    eraseIf(m_leaving, [&](auto &entry) {
        std::optional<MonotonicTime> &missingSince = entry.second.missingSince;
        if (exists(entry.first)) {
            missingSince.reset();
            return false;
        }
        missingSince = missingSince.value_or(now);
        return now - *missingSince > m_options.goneRetention;
    });
}

std::vector<HostId> ServerDepartures::servers() const
{
    std::vector<HostId> all;
    for (const auto &[host, departure] : m_leaving)
        all.push_back(host);
    return all;
}

} // namespace ramphinge
