// Slots of idempotency keys: see slots.h.

#include "ramphinge/claims/slots.h"

#include <algorithm>

#include "ramphinge/base/hash.h"
#include "ramphinge/claims/key_stamp.h"

namespace ramphinge {

SlotId slotOf(const ClaimKey &key, const std::vector<ZoneId> &zones, int slotsPerZone)
{
    const std::uint64_t hash = stableHash(key.key.text(), stableHash(key.account.text()));
    const SlotNumber number(static_cast<int>(hash % static_cast<std::uint64_t>(slotsPerZone)));
    const std::optional<KeyStamp> stamp = parseKeyStamp(key.key);
    if (stamp && std::find(zones.begin(), zones.end(), stamp->zone) != zones.end())
        return { stamp->zone, number };
    const auto home =
        std::max_element(zones.begin(), zones.end(), [hash](const ZoneId &a, const ZoneId &b) {
            return rendezvousScore(hash, a.text()) < rendezvousScore(hash, b.text());
        });
    return { *home, number };
}

DaemonId preferredHolder(const SlotId &slot, const std::vector<DaemonId> &alive)
{
    const std::uint64_t hash =
        stableHash(slot.zone.text(), static_cast<std::uint64_t>(slot.number.count()));
    return *std::max_element(
        alive.begin(), alive.end(), [hash](const DaemonId &a, const DaemonId &b) {
            return rendezvousScore(hash, a.text()) < rendezvousScore(hash, b.text());
        });
}

} // namespace ramphinge
