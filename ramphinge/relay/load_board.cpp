// Sums of loads: see load_board.h.

#include "ramphinge/relay/load_board.h"

#include <algorithm>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// A sum in the making.
class LoadSum
{
public:
    void add(const SharedLoad &load)
    {
        for (const PlaceLoad &more : load.places) {
            PlaceLoad &place = m_places[more.host];
            place.host = more.host;
            place.running += more.running;
            place.waitingPrompt += more.waitingPrompt;
        }
        for (const auto &[model, more] : load.work)
            m_work[model] += more;
    }

    void add(const std::vector<SharedLoad> &loads)
    {
        for (const SharedLoad &load : loads)
            add(load);
    }

    // Nothing goes below zero.
    void take(const SharedLoad &load)
    {
        for (const PlaceLoad &less : load.places) {
            const auto place = m_places.find(less.host);
            if (place == m_places.end())
                continue;
            place->second.running = std::max(0, place->second.running - less.running);
            place->second.waitingPrompt =
                std::max<std::int64_t>(0, place->second.waitingPrompt - less.waitingPrompt);
        }
        for (const auto &[model, less] : load.work) {
            ModelWork &work = m_work[model];
            work.serverMilliseconds =
                std::max(0.0, work.serverMilliseconds - less.serverMilliseconds);
            work.requests = std::max(0.0, work.requests - less.requests);
        }
    }

    SharedLoad result() const
    {
        SharedLoad load { {}, m_work };
        for (const auto &[host, place] : m_places)
            load.places.push_back(place);
        return load;
    }

private:
    std::map<HostId, PlaceLoad> m_places;
    WorkByModel m_work;
};

} // namespace

void LoadBoard::note(Reports &reports, const DaemonId &from, SharedLoad load, MonotonicTime now)
{
    if (reports.size() >= m_options.mostReports)
        eraseIf(reports,
                [&](const auto &entry) { return now - entry.second.at > m_options.fresh; });
    if (reports.size() >= m_options.mostReports && reports.count(from) == 0)
        return;
    reports[from] = { std::move(load), now };
}

void LoadBoard::noteFollower(const DaemonId &daemon, SharedLoad load, MonotonicTime now)
{
    note(m_followers, daemon, std::move(load), now);
}

void LoadBoard::noteRelay(const DaemonId &relay, SharedLoad load, MonotonicTime now)
{
    note(m_relays, relay, std::move(load), now);
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

std::vector<SharedLoad> LoadBoard::freshOf(const Reports &reports, MonotonicTime now) const
{
    std::vector<SharedLoad> loads;
    for (const auto &[daemon, report] : reports) {
        if (now - report.at <= m_options.fresh)
            loads.push_back(report.load);
    }
    return loads;
}

SharedLoad LoadBoard::groupSum(const SharedLoad &own, MonotonicTime now) const
{
    LoadSum sum;
    sum.add(own);
    sum.add(freshOf(m_followers, now));
    return sum.result();
}

SharedLoad LoadBoard::totalSum(const SharedLoad &own, MonotonicTime now) const
{
    LoadSum sum;
    sum.add(groupSum(own, now));
    sum.add(freshOf(m_relays, now));
    return sum.result();
}

SharedLoad withoutOwn(const SharedLoad &total, const SharedLoad &own)
{
    LoadSum rest;
    rest.add(total);
    rest.take(own);
    return rest.result();
}

} // namespace ramphinge
