// Servers that leave: see server_departures.h.

#include "ramphinge/limits/server_departures.h"

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

bool ServerDepartures::note(const HostId &host)
{
    if (m_leaving.size() >= m_options.mostServers)
        return false;
    return m_leaving.emplace(host, Departure { m_options.tellings, {} }).second;
}

std::vector<HostId> ServerDepartures::takeNews()
{
    std::vector<HostId> news;
    for (auto &[host, departure] : m_leaving) {
        if (news.size() == m_options.mostToldAtOnce)
            break;
        if (departure.tellings == 0)
            continue;
        --departure.tellings;
        news.push_back(host);
    }
    return news;
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
        return now - *missingSince > m_options.goneMemory;
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
