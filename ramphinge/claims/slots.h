// Which owner a key belongs to: a home zone, and one of a few slots in it.

#pragma once

#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/claims/claim_table.h"

namespace ramphinge {

using SlotNumber = Quantity<struct SlotTag, int>;

struct SlotId
{
    ZoneId zone;
    SlotNumber number;

    friend bool operator<(const SlotId &a, const SlotId &b)
    {
        return a.zone != b.zone ? a.zone < b.zone : a.number < b.number;
    }
    friend bool operator==(const SlotId &a, const SlotId &b)
    {
        return a.zone == b.zone && a.number == b.number;
    }
};

// A stamped key belongs to the zone that made it, so that a zone cut off serves its own; an opaque
// one to a zone by its hash. `zones` are all zones of the settings, in any order.
SlotId slotOf(const ClaimKey &key, const std::vector<ZoneId> &zones, int slotsPerZone);

// The daemon that should hold a slot, of those alive: by rendezvous hashing. `alive` is not empty.
DaemonId preferredHolder(const SlotId &slot, const std::vector<DaemonId> &alive);

} // namespace ramphinge
