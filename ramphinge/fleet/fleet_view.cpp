// The view of upstream servers: see fleet_view.h.

#include "ramphinge/fleet/fleet_view.h"

#include <algorithm>
#include <set>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Starts that are remembered of names, beyond those of present servers: some hundred names come and
// go in a day.
constexpr std::size_t mostStarts = 8192;

} // namespace

bool FleetView::isOutdated(const Incarnation &incarnation) const
{
    const auto latest = m_latestStarts.find(incarnation.name);
    return latest != m_latestStarts.end() && incarnation.startedAt < latest->second;
}

void FleetView::erase(const HostId &host)
{
    m_servers.erase(host);
    m_missing.erase(host);
    m_lives.erase(incarnationOf(host).name);
    ++m_generation;
}

PutOutcome FleetView::put(UpstreamServer server)
{
    const Incarnation incarnation = incarnationOf(server.host);
    if (isOutdated(incarnation))
        return PutOutcome::Outdated;
    PutOutcome outcome = PutOutcome::Taken;
    const auto life = m_lives.find(incarnation.name);
    if (life != m_lives.end() && life->second != server.host) {
        erase(HostId(life->second));
        outcome = PutOutcome::Restarted;
    }
    if (m_latestStarts.size() >= mostStarts)
        eraseIf(m_latestStarts, [this](const auto &entry) { return !m_lives.count(entry.first); });
    if (incarnation.startedAt != StartTime())
        m_latestStarts[incarnation.name] = incarnation.startedAt;
    m_missing.erase(server.host);
    m_lives[incarnation.name] = server.host;
    UpstreamServer &present = m_servers[server.host];
    server.lastModel = server.model.empty() ? present.lastModel : server.model;
    present = std::move(server);
    ++m_generation;
    return outcome;
}

bool FleetView::markDraining(const HostId &host)
{
    const auto server = m_servers.find(host);
    if (server == m_servers.end() || server->second.draining)
        return false;
    server->second.draining = true;
    ++m_generation;
    return true;
}

bool FleetView::remove(const ServerName &name, MonotonicTime now)
{
    const auto life = m_lives.find(name);
    if (life == m_lives.end())
        return false;
    if (now < m_graceEnd) {
        m_missing.emplace(life->second, m_graceEnd);
        return false;
    }
    erase(HostId(life->second));
    return true;
}

bool FleetView::drop(const ServerName &name)
{
    const auto life = m_lives.find(name);
    if (life == m_lives.end())
        return false;
    erase(HostId(life->second));
    return true;
}

void FleetView::keepMissing(MonotonicTime until)
{
    for (auto &[host, end] : m_missing)
        end = std::max(end, until);
}

void FleetView::replaceAll(std::vector<UpstreamServer> servers, MonotonicTime now)
{
    std::set<ServerName> listed;
    for (UpstreamServer &server : servers) {
        listed.insert(incarnationOf(server.host).name);
        put(std::move(server));
    }
    std::vector<ServerName> vanished;
    for (const auto &[name, host] : m_lives) {
        if (listed.count(name) == 0)
            vanished.push_back(name);
    }
    for (const ServerName &name : vanished)
        remove(name, now);
}

std::vector<HostId> FleetView::expire(MonotonicTime now)
{
    std::vector<HostId> gone;
    for (const auto &[host, until] : m_missing) {
        if (now >= until)
            gone.push_back(host);
    }
    for (const HostId &host : gone)
        erase(host);
    return gone;
}

const UpstreamServer *FleetView::find(const HostId &host) const
{
    const auto found = m_servers.find(host);
    return found == m_servers.end() ? nullptr : &found->second;
}

} // namespace ramphinge
