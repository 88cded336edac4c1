// Owned slots: see claim_owner.h.

#include "ramphinge/control/claim_owner.h"

namespace ramphinge {

namespace {
constexpr std::size_t maxHandedRecords = 12'000; // The maximum in one peer message.
} // namespace

void ClaimOwner::begin(const SlotReign &reign, LeaseId lease)
{
    const auto known = m_owned.find(reign.slot);
    if (reign.continued && known != m_owned.end()) {
        known->second.lease = lease;
        return;
    }
    const auto received = m_received.find(reign.slot);
    const bool adopts = reign.adoptedFrom != 0 && received != m_received.end()
        && received->second.reign == reign.adoptedFrom;
    ClaimTable table =
        adopts ? std::move(received->second.table) : ClaimTable(m_options, reign.soleOwnerSince);
    m_received.erase(reign.slot);
    m_owned.erase(reign.slot);
    m_owned.emplace(reign.slot, Owned { std::move(table), reign.number, lease, false });
}

ClaimAnswer ClaimOwner::claim(const SlotId &slot, const ClaimAttempt &attempt,
                              const GrantRight &right)
{
    const auto owned = m_owned.find(slot);
    const bool held =
        owned != m_owned.end() && owned->second.lease == right.lease && !owned->second.frozen;
    if (!held)
        return { ClaimVerdict::NotOwner, {}, std::nullopt };
    return owned->second.table.claim(attempt, right.left, m_clock);
}

void ClaimOwner::settle(const SlotId &slot, const ClaimAttempt &attempt, ClaimOutcome outcome,
                        std::optional<KeptAnswer> answer)
{
    const auto received = m_received.find(slot);
    if (received != m_received.end())
        received->second.table.settle(attempt, outcome, answer, m_clock);
    const auto owned = m_owned.find(slot);
    if (owned != m_owned.end())
        owned->second.table.settle(attempt, outcome, std::move(answer), m_clock);
}

std::optional<HandoverMessage> ClaimOwner::copyOf(const SlotId &slot) const
{
    const auto owned = m_owned.find(slot);
    if (owned == m_owned.end() || owned->second.table.size() > maxHandedRecords)
        return std::nullopt;
    return HandoverMessage { slot, owned->second.reign, owned->second.table.soleOwnerSince(),
                             owned->second.table.records(), false };
}

std::optional<HandoverMessage> ClaimOwner::freeze(const SlotId &slot)
{
    const auto owned = m_owned.find(slot);
    if (owned != m_owned.end())
        owned->second.frozen = true;
    return copyOf(slot);
}

void ClaimOwner::receive(const HandoverMessage &handover)
{
    ClaimTable table(m_options, handover.soleOwnerSince);
    table.adopt(handover.records);
    m_received.erase(handover.slot);
    m_received.emplace(handover.slot, Received { std::move(table), handover.reign });
}

bool ClaimOwner::rememberGrant(const CopyGrantMessage &grant)
{
    const auto received = m_received.find(grant.slot);
    if (received == m_received.end() || received->second.reign != grant.reign)
        return false;
    received->second.table.recordGrant(grant.attempt, m_clock);
    return true;
}

std::vector<SlotId> ClaimOwner::owned() const
{
    std::vector<SlotId> slots;
    for (const auto &[slot, owned] : m_owned)
        slots.push_back(slot);
    return slots;
}

std::size_t ClaimOwner::remembered() const
{
    std::size_t count = 0;
    for (const auto &[slot, owned] : m_owned)
        count += owned.table.size();
    return count;
}

} // namespace ramphinge
