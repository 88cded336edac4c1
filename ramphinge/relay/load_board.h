// Sums what daemons have under way by place, so that each can choose places by the load of all, and
// the work that they are asked for by model, so that the planner knows all of it.
//
// A follower tells its relay its own load. A relay sums those of its followers and its own, and
// tells that sum to the other relays; what it tells its followers is the sum over all relays. Each
// load counts for as long as it is fresh: of a daemon that falls silent nothing stays.
//
// Pure: no clock, no network.

#pragma once

#include <map>

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/place_load.h"

namespace ramphinge {

struct LoadBoardOptions
{
    // Four reports of 250 ms; requests last 1 to 2 s.
    Duration fresh = std::chrono::milliseconds(1000);
    // Daemons that are kept in mind; bounds what strange names could pile up.
    std::size_t mostReports = 1024;
};

// Not thread-safe: lives on the event loop.
class LoadBoard
{
public:
    explicit LoadBoard(LoadBoardOptions options) : m_options(options) { }

    // The load of one daemon that follows this one; replaces the one before.
    void noteFollower(const DaemonId &daemon, SharedLoad load, MonotonicTime now);
    // The sum of another relay.
    void noteRelay(const DaemonId &relay, SharedLoad load, MonotonicTime now);

    // Who follows this daemon, as of `now`.
    std::vector<DaemonId> followers(MonotonicTime now) const;

    // The sum of `own` and the followers.
    SharedLoad groupSum(const SharedLoad &own, MonotonicTime now) const;
    // That and the other relays' sums.
    SharedLoad totalSum(const SharedLoad &own, MonotonicTime now) const;

private:
    struct Report
    {
        SharedLoad load;
        MonotonicTime at;
    };
    using Reports = std::map<DaemonId, Report>;

    void note(Reports &reports, const DaemonId &from, SharedLoad load, MonotonicTime now);
    std::vector<SharedLoad> freshOf(const Reports &reports, MonotonicTime now) const;

    LoadBoardOptions m_options;
    Reports m_followers;
    Reports m_relays;
};

// What is left of `total` without `own`; nothing below zero.
SharedLoad withoutOwn(const SharedLoad &total, const SharedLoad &own);

} // namespace ramphinge
