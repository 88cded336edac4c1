// Estimate of the rate of losses: see loss_rate.h.

#include "ramphinge/formation/loss_rate.h"

#include <algorithm>

namespace ramphinge {

void LossRateEstimator::observe(const ServerMap &servers, MonotonicTime now)
{
    while (!m_losses.empty() && now - m_losses.front().at > m_options.window)
        m_losses.pop_front();
    const auto isBack = [&servers](const Loss &loss) { return servers.count(loss.host) > 0; };
    m_losses.erase(std::remove_if(m_losses.begin(), m_losses.end(), isBack), m_losses.end());
    for (auto present = m_present.begin(); present != m_present.end();) {
        if (servers.count(present->first) > 0) {
            ++present;
            continue;
        }
        if (!present->second.isDraining && !present->second.domain.empty())
            add(present->first, present->second, now);
        present = m_present.erase(present);
    }
    for (const auto &[host, server] : servers) {
        Present &present = m_present[host];
        present.service = server.service;
        present.domain = server.domain;
        present.isDraining = server.draining;
    }
}

void LossRateEstimator::add(const HostId &host, const Present &server, MonotonicTime now)
{
    const bool isCorrelated = std::any_of(m_losses.begin(), m_losses.end(), [&](const Loss &loss) {
        return loss.domain == server.domain && now - loss.at <= m_options.correlationWindow;
    });
    if (!isCorrelated)
        m_losses.push_back({ host, server.service, server.domain, now });
}

double LossRateEstimator::perServerSecond(const ServiceId &service, const ServerMap &servers,
                                          MonotonicTime now) const
{
    const auto present =
        std::count_if(servers.begin(), servers.end(), [&service](const auto &entry) {
            return entry.second.service == service && !entry.second.domain.empty();
        });
    const auto lost = std::count_if(m_losses.begin(), m_losses.end(), [&](const Loss &loss) {
        return loss.service == service && now - loss.at <= m_options.window;
    });
    if (present == 0)
        return 0;
    return static_cast<double>(lost) * 1000 / toMilliseconds(m_options.window)
        / static_cast<double>(present);
}

} // namespace ramphinge
