// The slots of idempotency keys that this daemon owns, and whether it may grant claims from them.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ramphinge/claims/claim_table.h"
#include "ramphinge/claims/slots.h"
#include "ramphinge/control/slot_keeper.h"
#include "ramphinge/peers/message.h"

namespace ramphinge {

// For how long a daemon may grant claims, as of now.
struct GrantRight
{
    LeaseId lease; // Of the last registration; slots must have been acquired under it.
    Duration left {}; // Zero if it may not grant.
};

// Not thread-safe: lives on the I/O loop.
class ClaimOwner
{
public:
    ClaimOwner(const Clock &clock, ClaimTableOptions options) : m_clock(clock), m_options(options)
    { }

    // A reign began under a lease, or continues under a new one.
    void begin(const SlotReign &reign, LeaseId lease);

    ClaimAnswer claim(const SlotId &slot, const ClaimAttempt &attempt, const GrantRight &right);
    void settle(const SlotId &slot, const ClaimAttempt &attempt, ClaimOutcome outcome,
                std::optional<KeptAnswer> answer);

    // Freezes the slot and returns its records for a successor. nullopt if the slot is not owned,
    // or too large for one message; the successor can then decide only about newer keys.
    std::optional<HandoverMessage> freeze(const SlotId &slot);

    // The same for a copy of a slot that stays active.
    std::optional<HandoverMessage> copyOf(const SlotId &slot) const;

    // Stores a predecessor's records until the slot is acquired.
    void receive(const HandoverMessage &handover);

    // Adds a grant to the copy of this reign. Returns false if there is no such copy.
    bool rememberGrant(const CopyGrantMessage &grant);

    bool owns(const SlotId &slot) const { return m_owned.count(slot) > 0; }

    std::vector<SlotId> owned() const;
    std::size_t remembered() const;

private:
    struct Owned
    {
        ClaimTable table;
        std::int64_t reign;
        LeaseId lease;
        bool frozen = false;
    };

    const Clock &m_clock;
    ClaimTableOptions m_options;
    std::map<SlotId, Owned> m_owned;
    struct Received
    {
        ClaimTable table;
        std::int64_t reign;
    };
    std::map<SlotId, Received> m_received; // From predecessors, and copies for active owners.
};

} // namespace ramphinge
