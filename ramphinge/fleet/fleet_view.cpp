// The view of upstream servers: see fleet_view.h.

#include "ramphinge/fleet/fleet_view.h"

#include <algorithm>
#include <set>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Bound on the start times that are remembered of names, beyond those of present servers: a few
// hundred names come and go in a day.
constexpr std::size_t maxRememberedStarts = 8192;

} // namespace

bool FleetView::isOutdated(const Incarnation &incarnation) const
{
    const auto latest = m_latestStarts.find(incarnation.name);
    return latest != m_latestStarts.end() && incarnation.startedAt < latest->second;
}

void FleetView::erase(const HostId &host)
{
    m_servers.erase(host);
    m_retained.erase(host);
    m_incarnations.erase(incarnationOf(host).name);
    ++m_generation;
}

PutOutcome FleetView::put(UpstreamServer server)
{
    const Incarnation incarnation = incarnationOf(server.host);
    if (isOutdated(incarnation))
        return PutOutcome::Outdated;
    PutOutcome outcome = PutOutcome::Stored;
    const auto current = m_incarnations.find(incarnation.name);
    if (current != m_incarnations.end() && current->second != server.host) {
        erase(HostId(current->second));
        outcome = PutOutcome::Restarted;
    }
    if (m_latestStarts.size() >= maxRememberedStarts)
        eraseIf(m_latestStarts,
                [this](const auto &entry) { return !m_incarnations.count(entry.first); });
    if (incarnation.startedAt != StartTime())
        m_latestStarts[incarnation.name] = incarnation.startedAt;
    m_retained.erase(server.host);
    m_incarnations[incarnation.name] = server.host;
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
    const auto current = m_incarnations.find(name);
    if (current == m_incarnations.end())
        return false;
    if (now < m_graceEnd) {
        m_retained.emplace(current->second, m_graceEnd);
        return false;
    }
    erase(HostId(current->second));
    return true;
}

bool FleetView::removeAtOnce(const ServerName &name)
{
    const auto current = m_incarnations.find(name);
    if (current == m_incarnations.end())
        return false;
    erase(HostId(current->second));
    return true;
}

void FleetView::extendRetention(MonotonicTime until)
{
    for (auto &[host, end] : m_retained)
        end = std::max(end, until);
}

void FleetView::replaceAll(std::vector<UpstreamServer> servers, MonotonicTime now)
{
    std::set<ServerName> listed;
    for (UpstreamServer &server : servers) {
        listed.insert(incarnationOf(server.host).name);
        put(std::move(server));
    }
    std::vector<ServerName> unlisted;
    for (const auto &[name, host] : m_incarnations) {
        if (listed.count(name) == 0)
            unlisted.push_back(name);
    }
    for (const ServerName &name : unlisted)
        remove(name, now);
}

std::vector<HostId> FleetView::expire(MonotonicTime now)
{
    std::vector<HostId> gone;
    for (const auto &[host, until] : m_retained) {
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
