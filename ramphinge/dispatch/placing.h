// Chooses among places of one model by the room that they have, where the load of all daemons is
// known, though a moment old.
//
// The load it answers: hundreds of daemons send to the same hundred replicas, and each has three
// requests under way. By its own requests alone a daemon chooses blindly: some replicas get twice
// what they have places for while others are half empty. And choosing the emptiest place by a
// picture that all have in common sends everybody there at once. So a place is drawn with a chance
// in proportion to its free places: then none is expected to get more than it can take, however old
// the picture is.
//
// Pure: no clock, no network.

#pragma once

#include <optional>
#include <vector>

#include "ramphinge/base/random.h"

namespace ramphinge {

struct PlaceRoom
{
    double slots = 1; // Requests that run there at once.
    double running = 0; // Of all daemons, as far as is known.
    bool isNear = false; // In the daemon's own zone.
};

struct PlacingOptions
{
    // Places of other zones are drawn too as soon as a smaller part of the own zone's is free, the
    // more the less is free. Bytes between zones are paid for, and take 3 ms longer both ways; a
    // request that waits for a place waits 100 ms and more.
    double freeNearEnough = 0.4;
    // What a full place still counts as, in free places: the picture may be wrong.
    double leastRoom = 0.05;
};

// Index of the drawn place; nothing if no place has room.
std::optional<std::size_t> drawPlace(const std::vector<PlaceRoom> &places,
                                     const PlacingOptions &options, Random &random);

} // namespace ramphinge
