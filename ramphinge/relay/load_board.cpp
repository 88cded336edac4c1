// Sums of loads: see load_board.h.

#include "ramphinge/relay/load_board.h"

#include <algorithm>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

void addTo(std::map<HostId, PlaceLoad> &sum, const PlaceLoads &loads)
{
    for (const PlaceLoad &load : loads) {
        PlaceLoad &place = sum[load.host];
        place.host = load.host;
        place.running += load.running;
        place.waitingPrompt += load.waitingPrompt;
    }
}

PlaceLoads toList(const std::map<HostId, PlaceLoad> &sum)
{
    PlaceLoads list;
    for (const auto &[host, load] : sum)
        list.push_back(load);
    return list;
}

} // namespace

void LoadBoard::note(Reports &reports, const DaemonId &from, PlaceLoads loads, MonotonicTime now)
{
    if (reports.size() >= m_options.mostReports)
        eraseIf(reports,
                [&](const auto &entry) { return now - entry.second.at > m_options.fresh; });
    if (reports.size() >= m_options.mostReports && reports.count(from) == 0)
        return;
    reports[from] = { std::move(loads), now };
}

void LoadBoard::noteFollower(const DaemonId &daemon, PlaceLoads loads, MonotonicTime now)
{
    note(m_followers, daemon, std::move(loads), now);
}

void LoadBoard::noteRelay(const DaemonId &relay, PlaceLoads loads, MonotonicTime now)
{
    note(m_relays, relay, std::move(loads), now);
}

std::vector<DaemonId> LoadBoard::followers(MonotonicTime now) const
{
    std::vector<DaemonId> daemons;
    for (const auto &[daemon, report] : m_followers) {
        if (now - report.at <= m_options.fresh)
            daemons.push_back(daemon);
    }
    return daemons;
}

void LoadBoard::add(std::map<HostId, PlaceLoad> &sum, const Reports &reports,
                    MonotonicTime now) const
{
    for (const auto &[daemon, report] : reports) {
        if (now - report.at <= m_options.fresh)
            addTo(sum, report.loads);
    }
}

PlaceLoads LoadBoard::groupSum(const PlaceLoads &own, MonotonicTime now) const
{
    std::map<HostId, PlaceLoad> sum;
    addTo(sum, own);
    add(sum, m_followers, now);
    return toList(sum);
}

PlaceLoads LoadBoard::totalSum(const PlaceLoads &own, MonotonicTime now) const
{
    std::map<HostId, PlaceLoad> sum;
    addTo(sum, own);
    add(sum, m_followers, now);
    add(sum, m_relays, now);
    return toList(sum);
}

PlaceLoads withoutOwn(const PlaceLoads &total, const PlaceLoads &own)
{
    std::map<HostId, PlaceLoad> rest;
    addTo(rest, total);
    for (const PlaceLoad &load : own) {
        const auto place = rest.find(load.host);
        if (place == rest.end())
            continue;
        place->second.running = std::max(0, place->second.running - load.running);
        place->second.waitingPrompt =
            std::max<std::int64_t>(0, place->second.waitingPrompt - load.waitingPrompt);
    }
    return toList(rest);
}

} // namespace ramphinge
