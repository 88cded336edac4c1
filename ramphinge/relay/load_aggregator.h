// Sums the requests in flight of all daemons by host, so that each daemon can choose targets by the
// load of all, and the work requested of all daemons by model, as input for the planner.
//
// A follower reports its own load to its relay. A relay sums the loads of its followers and its
// own, sends that sum to the other relays, and sends its followers the sum over all relays. A
// report expires after reportLifetime, so the load of a daemon that falls silent is dropped.
//
// Pure: no clock, no network.

#pragma once

#include <map>

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/target_load.h"

namespace ramphinge {

struct LoadAggregatorOptions
{
    // Four report intervals of 250 ms; requests last 1 to 2 s.
    Duration reportLifetime = std::chrono::milliseconds(1000);
    // Reports kept per kind; bounds the memory for reports under many daemon ids.
    std::size_t maxReports = 1024;
};

// Not thread-safe: used on the event loop only.
class LoadAggregator
{
public:
    explicit LoadAggregator(LoadAggregatorOptions options) : m_options(options) { }

    // The load of one follower of this daemon; replaces its previous report. At maxReports, expired
    // reports are removed, and a new daemon's report is dropped if that makes no room.
    void setFollowerLoad(const DaemonId &daemon, SharedLoad load, MonotonicTime now);
    // The group sum of another relay; replaced and limited in the same way.
    void setRelayLoad(const DaemonId &relay, SharedLoad load, MonotonicTime now);

    // The daemons with an unexpired follower report.
    std::vector<DaemonId> followers(MonotonicTime now) const;

    // The sum of `own` and the followers' loads.
    SharedLoad groupSum(const SharedLoad &own, MonotonicTime now) const;
    // The group sum and those of the other relays.
    SharedLoad totalSum(const SharedLoad &own, MonotonicTime now) const;

private:
    struct Report
    {
        SharedLoad load;
        MonotonicTime at;
    };
    using Reports = std::map<DaemonId, Report>;

    void setReport(Reports &reports, const DaemonId &from, SharedLoad load, MonotonicTime now);
    std::vector<SharedLoad> freshLoads(const Reports &reports, MonotonicTime now) const;

    LoadAggregatorOptions m_options;
    Reports m_followers;
    Reports m_relays;
};

// `total` minus `own`, each amount clamped at zero.
SharedLoad subtractOwnLoad(const SharedLoad &total, const SharedLoad &own);

} // namespace ramphinge
