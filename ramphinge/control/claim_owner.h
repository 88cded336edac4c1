// The slots of idempotency keys that this daemon owns, and its right to grant from them.

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

// Why and for how long a daemon may grant, as of now.
struct GrantRight
{
    LeaseId lease; // Under which slots must have been won; of the last registration.
    Duration left {}; // Zero: none.
};

// Not thread-safe: lives on the I/O loop.
class ClaimOwner
{
public:
    ClaimOwner(const Clock &clock, ClaimTableOptions options) : m_clock(clock), m_options(options)
    { }

    // A reign was won under a lease, or goes on under a new one.
    void begin(const SlotReign &reign, LeaseId lease);

    ClaimAnswer claim(const SlotId &slot, const ClaimAttempt &attempt, const GrantRight &right);
    void settle(const SlotId &slot, const ClaimAttempt &attempt, ClaimOutcome outcome,
                std::optional<KeptAnswer> answer);

    // Freezes the slot and gives its memory for a successor. Nothing if it is not owned or too
    // large for one message; the successor then vouches only for newer keys.
    std::optional<HandoverMessage> freeze(const SlotId &slot);

    // The same of a slot that goes on, for a copy.
    std::optional<HandoverMessage> copyOf(const SlotId &slot) const;

    // Keeps a predecessor's memory until the slot is won.
    void receive(const HandoverMessage &handover);

    // Adds a grant to the copy of this reign; false if there is none here.
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
    std::map<SlotId, Received> m_received; // Of predecessors, and copies of owners that go on.
};

} // namespace ramphinge
