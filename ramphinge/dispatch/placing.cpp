// Weighted random choice by free slots: see placing.h.

#include "ramphinge/dispatch/placing.h"

#include <algorithm>

namespace ramphinge {

namespace {

double freeSlots(const PlaceRoom &place)
{
    return std::max(0.0, place.slots - place.running);
}

// Weight of a free slot in another zone, relative to one in the local zone.
double remoteZoneWeight(const std::vector<PlaceRoom> &places, const PlacingOptions &options)
{
    double slots = 0;
    double available = 0;
    for (const PlaceRoom &place : places) {
        if (!place.isLocalZone)
            continue;
        slots += place.slots;
        available += freeSlots(place);
    }
    if (slots <= 0)
        return 1;
    return std::clamp(1 - available / slots / options.localFreeShareThreshold, 0.0, 1.0);
}

} // namespace

std::optional<std::size_t> drawPlace(const std::vector<PlaceRoom> &places,
                                     const PlacingOptions &options, Random &random)
{
    const double remoteWeight = remoteZoneWeight(places, options);
    std::vector<double> weights;
    double total = 0;
    bool hasFreeSlot = false;
    for (const PlaceRoom &place : places) {
        const double available = freeSlots(place);
        const double zoneWeight = place.isLocalZone ? 1 : remoteWeight;
        hasFreeSlot = hasFreeSlot || (available >= 1 && zoneWeight > 0);
        weights.push_back(std::max(available, options.minFreeSlotsWeight) * zoneWeight);
        total += weights.back();
    }
    if (!hasFreeSlot)
        return std::nullopt;
    double remaining = random.fraction() * total;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        remaining -= weights[i];
        if (remaining < 0)
            return i;
    }
    return weights.size() - 1;
}

} // namespace ramphinge
