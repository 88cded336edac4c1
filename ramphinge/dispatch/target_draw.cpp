// Weighted random choice by free slots: see target_draw.h.

#include "ramphinge/dispatch/target_draw.h"

#include <algorithm>

namespace ramphinge {

namespace {

double freeSlots(const TargetCapacity &target)
{
    return std::max(0.0, target.slots - target.running);
}

// Weight of a free slot in another zone, relative to one in the local zone.
double remoteZoneWeight(const std::vector<TargetCapacity> &targets,
                        const TargetDrawOptions &options)
{
    double slots = 0;
    double available = 0;
    for (const TargetCapacity &target : targets) {
        if (!target.isLocalZone)
            continue;
        slots += target.slots;
        available += freeSlots(target);
    }
    if (slots <= 0)
        return 1;
    return std::clamp(1 - available / slots / options.localFreeShareThreshold, 0.0, 1.0);
}

} // namespace

std::optional<std::size_t> drawTarget(const std::vector<TargetCapacity> &targets,
                                      const TargetDrawOptions &options, Random &random)
{
    const double remoteWeight = remoteZoneWeight(targets, options);
    std::vector<double> weights;
    double total = 0;
    bool hasFreeSlot = false;
    for (const TargetCapacity &target : targets) {
        const double available = freeSlots(target);
        const double zoneWeight = target.isLocalZone ? 1 : remoteWeight;
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
