// Maps idempotency keys to slots: a home zone, and a slot number within it. Each slot has one
// owner.

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

// A stamped key belongs to the zone that created it, so that a partitioned zone can serve its own
// keys; an opaque key to a zone chosen by its hash. `zones` are all configured zones, in any order;
// not empty.
SlotId slotOf(const ClaimKey &key, const std::vector<ZoneId> &zones, int slotsPerZone);

// The daemon that should own a slot, chosen by rendezvous hashing. `alive` is not empty.
DaemonId preferredHolder(const SlotId &slot, const std::vector<DaemonId> &alive);

} // namespace ramphinge
