// Chooses among the targets of one model at random, weighted by their free slots, where the load of
// all daemons is known with a short delay.
//
// Hundreds of daemons send to the same hundred replicas, and each has three requests in flight. A
// daemon that knows its own requests only balances badly: some replicas get twice as many requests
// as they have slots, while others are half idle. If all daemons chose the least loaded target from
// the same snapshot, they would all overload that one. So a target is drawn with a probability
// proportional to its free slots: then no target is expected to get more than it can run, however
// old the snapshot is.
//
// Pure: no clock, no network.

#pragma once

#include <optional>
#include <vector>

#include "ramphinge/base/random.h"

namespace ramphinge {

struct TargetCapacity
{
    double slots = 1; // Requests that the target runs at once.
    double running = 0; // Requests of all daemons, as far as is known.
    bool isLocalZone = false; // Whether it is in the daemon's own zone.
};

struct TargetDrawOptions
{
    // Targets of other zones are drawn too once a smaller share than this of the local zone's slots
    // is free, with a weight that rises as fewer are free. Traffic between zones costs money and
    // 3 ms more a round trip; a request that waits for a slot waits 100 ms or more.
    double localFreeShareThreshold = 0.4;
    // Weight of a full target, in free slots: the load that it is judged by may be outdated.
    double minFreeSlotsWeight = 0.05;
};

// Draws a target and returns its index; nothing if no target has a free slot.
std::optional<std::size_t> drawTarget(const std::vector<TargetCapacity> &targets,
                                      const TargetDrawOptions &options, Random &random);

} // namespace ramphinge
