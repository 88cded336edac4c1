// Acquires slots of idempotency keys for this daemon, and tells since when it knows all their keys.
//
// An owner's records are in the memory of its process. A slot's reign counts its owners. A new
// owner can decide only about keys created since it acquired the slot, unless its predecessor
// handed its records over. An owner that lost its lease and acquires the slot again in its own
// reign has missed nothing.
//
// Blocking; used by one actor.

#pragma once

#include <map>
#include <vector>

#include "ramphinge/control/documents.h"
#include "ramphinge/control/registrar.h"
#include "ramphinge/control/store_view.h"

namespace ramphinge {

// A reign that has begun, or continues after a new registration.
struct SlotReign
{
    SlotId slot;
    std::int64_t number = 0;
    bool continued = false; // The records of the same reign are still valid.
    std::int64_t adoptedFrom =
        0; // The reign whose records were handed over and must be adopted; or 0.
    WallTime
        soleOwnerSince; // Unless continued or adopted. The epoch time: there was no earlier owner.
};

struct SlotKeeperOptions
{
    DaemonId daemon;
    ZoneId zone;
    std::string incarnation;
    int slots = 8;
};

class SlotKeeper
{
public:
    SlotKeeper(PlatformStore &store, const Clock &clock, SlotKeeperOptions options)
        : m_store(store), m_clock(clock), m_options(std::move(options))
    { }

    // Tries to acquire the zone's vacant slots that are assigned to this daemon. Returns those that
    // it acquired.
    std::vector<SlotReign> step(const StoreView &view, const RegistrationState &registration);

    // An owner that stops has sent its records of this reign to this daemon.
    void expectHandover(const SlotId &slot, std::int64_t reign) { m_handedOver[slot] = reign; }

    // The owner of this reign has sent a copy of its records to this daemon, and keeps it complete.
    void expectCopy(const SlotId &slot, std::int64_t reign) { m_copies[slot] = reign; }

    // Records in the store who holds a complete copy of a reign's records; an empty daemon: nobody.
    // Returns false if the write may have failed.
    bool recordCopy(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt,
                    const std::string &copyIncarnation);

    // Releases a slot, after its records were handed over or at shutdown.
    void release(const SlotId &slot, LeaseId lease);

private:
    bool fallsToUs(const SlotId &slot, const StoreView &view) const;
    std::optional<SlotReign> win(const SlotId &slot, const RegistrationState &registration);
    std::optional<SlotReign> beginReign(const SlotId &slot);
    bool mayAdopt(const SlotId &slot, const ReignRecord &last) const;

    PlatformStore &m_store;
    const Clock &m_clock;
    SlotKeeperOptions m_options;
    std::map<SlotId, std::int64_t>
        m_reigns; // Reigns that began here and whose records were not handed over.
    std::map<SlotId, std::int64_t> m_handedOver;
    std::map<SlotId, std::int64_t> m_copies;
    std::map<SlotId, LeaseId> m_heldUnder; // Owner keys that this daemon wrote, and their leases.
};

} // namespace ramphinge
