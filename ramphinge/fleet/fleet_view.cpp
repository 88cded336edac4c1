// The view of upstream servers: see fleet_view.h.

#include "ramphinge/fleet/fleet_view.h"

#include <algorithm>
#include <set>

namespace ramphinge {

void FleetView::put(UpstreamServer server)
{
    m_missing.erase(server.host);
    const HostId host = server.host;
    UpstreamServer &present = m_servers[host];
    server.lastModel = server.model.empty() ? present.lastModel : server.model;
    present = std::move(server);
    ++m_generation;
}

bool FleetView::remove(const HostId &host, MonotonicTime now)
{
    if (m_servers.count(host) == 0)
        return false;
    if (now < m_graceEnd) {
        m_missing.emplace(host, m_graceEnd);
        return false;
    }
    m_servers.erase(host);
    m_missing.erase(host);
    ++m_generation;
    return true;
}

void FleetView::keepMissing(MonotonicTime until)
{
    for (auto &[host, end] : m_missing)
        end = std::max(end, until);
}

void FleetView::replaceAll(std::vector<UpstreamServer> servers, MonotonicTime now)
{
    std::set<HostId> listed;
    for (UpstreamServer &server : servers) {
        listed.insert(server.host);
        put(std::move(server));
    }
    std::vector<HostId> vanished;
    for (const auto &[host, server] : m_servers) {
        if (listed.count(host) == 0)
            vanished.push_back(host);
    }
    for (const HostId &host : vanished)
        remove(host, now);
}

std::vector<HostId> FleetView::expire(MonotonicTime now)
{
    std::vector<HostId> gone;
    for (const auto &[host, until] : m_missing) {
        if (now >= until)
            gone.push_back(host);
    }
    for (const HostId &host : gone) {
        m_missing.erase(host);
        m_servers.erase(host);
        ++m_generation;
    }
    return gone;
}

const UpstreamServer *FleetView::find(const HostId &host) const
{
    const auto found = m_servers.find(host);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace ramphinge
