// Wins slots of idempotency keys for this daemon, and says since when it may vouch for them.
//
// An owner's memory is in its process. A slot's reign counts its owners; whoever wins the slot
// after another reign can vouch only for keys born since, unless the other handed its memory over.
// An owner that lost its lease and wins the slot back at its own reign has missed nothing.
//
// Blocking; belongs to one actor.

#pragma once

#include <map>
#include <vector>

#include "ramphinge/control/documents.h"
#include "ramphinge/control/registrar.h"
#include "ramphinge/control/store_view.h"

namespace ramphinge {

// A reign that has begun, or goes on after a new registration.
struct SlotReign
{
    SlotId slot;
    std::int64_t number = 0;
    bool continued = false; // The memory of the same reign is still good.
    std::int64_t adoptedFrom = 0; // The reign whose handed-over memory must be taken in; or 0.
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

    // Tries to win the zone's vacant slots that fall to this daemon. Returns what it won.
    std::vector<SlotReign> step(const StoreView &view, const RegistrationState &registration);

    // An owner that stops has sent its memory of this reign here.
    void expectHandover(const SlotId &slot, std::int64_t reign) { m_handedOver[slot] = reign; }

    // The owner of this reign has sent a copy of its memory here, and keeps it complete.
    void expectCopy(const SlotId &slot, std::int64_t reign) { m_copies[slot] = reign; }

    // Records who holds a complete copy of a reign's memory; an empty daemon: nobody. True if it
    // stands in the record; false if that is not sure.
    bool recordCopy(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt,
                    const std::string &copyIncarnation);

    // Gives a slot up, after its memory was handed over or at the end.
    void release(const SlotId &slot, LeaseId lease);

private:
    bool fallsToUs(const SlotId &slot, const StoreView &view) const;
    std::optional<SlotReign> win(const SlotId &slot, const RegistrationState &registration);
    std::optional<SlotReign> beginReign(const SlotId &slot);
    bool mayAdopt(const SlotId &slot, const ReignRecord &last) const;

    PlatformStore &m_store;
    const Clock &m_clock;
    SlotKeeperOptions m_options;
    std::map<SlotId, std::int64_t> m_reigns; // Reigns begun here whose memory was not given away.
    std::map<SlotId, std::int64_t> m_handedOver;
    std::map<SlotId, std::int64_t> m_copies;
    std::map<SlotId, LeaseId> m_heldUnder; // Owner keys that were written, and their leases.
};

} // namespace ramphinge
