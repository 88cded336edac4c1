// Places by their room: see placing.h.

#include "ramphinge/dispatch/placing.h"

#include <algorithm>

namespace ramphinge {

namespace {

double roomOf(const PlaceRoom &place)
{
    return std::max(0.0, place.slots - place.running);
}

// What a free place of another zone counts, against one of the own zone.
double weightOfFar(const std::vector<PlaceRoom> &places, const PlacingOptions &options)
{
    double slots = 0;
    double room = 0;
    for (const PlaceRoom &place : places) {
        if (!place.isNear)
            continue;
        slots += place.slots;
        room += roomOf(place);
    }
    if (slots <= 0)
        return 1;
    return std::clamp(1 - room / slots / options.freeNearEnough, 0.0, 1.0);
}

} // namespace

std::optional<std::size_t> drawPlace(const std::vector<PlaceRoom> &places,
                                     const PlacingOptions &options, Random &random)
{
    const double far = weightOfFar(places, options);
    std::vector<double> weights;
    double total = 0;
    bool hasRoom = false;
    for (const PlaceRoom &place : places) {
        const double room = roomOf(place);
        const double zone = place.isNear ? 1 : far;
        hasRoom = hasRoom || (room >= 1 && zone > 0);
        weights.push_back(std::max(room, options.leastRoom) * zone);
        total += weights.back();
    }
    if (!hasRoom)
        return std::nullopt;
    double drawn = random.fraction() * total;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        drawn -= weights[i];
        if (drawn < 0)
            return i;
    }
    return weights.size() - 1;
}

} // namespace ramphinge
