// The hub's part in claims: finding a key's owner, granting as an owner, handing slots over.

#include "ramphinge/control/internal/hub_impl.h"

#include <algorithm>

#include "ramphinge/claims/key_stamp.h"

namespace ramphinge {

namespace {

constexpr Duration copyTimeout = std::chrono::milliseconds(150);
constexpr Duration copyPatience = std::chrono::milliseconds(500);
constexpr Duration claimTimeout = std::chrono::milliseconds(400);
constexpr Duration linkWait = std::chrono::milliseconds(150);
constexpr Duration linkPoll = std::chrono::milliseconds(5);
constexpr Duration handoverLimit = std::chrono::milliseconds(800);

} // namespace

GrantRight Hub::Impl::grantRight(MonotonicTime now) const
{
    if (registration.term.mayAct(now))
        return { registration.lease, registration.term.expiry() - now };
    // A zone cut off goes on with its slots: nobody can take them over meanwhile.
    if (hub.serving(now).mode == ServingMode::ZoneAlone)
        return { lastLease, ServingOptions().promise };
    return {};
}

// Grants as the slot's owner. While a copy of its memory is kept elsewhere, a grant counts only
// once the copy has it.
ClaimAnswer Hub::Impl::grant(const SlotId &slot, const ClaimAttempt &attempt, Yield yield)
{
    const ClaimAnswer notNow { ClaimVerdict::NotOwner, {}, std::nullopt };
    const MonotonicTime asked = clock.now();
    const auto known = copies.find(slot);
    const SlotCopy copy = known == copies.end() ? SlotCopy() : known->second;
    if (copy.phase == CopyPhase::Dropping)
        return notNow;
    ClaimAnswer answer = claims.claim(slot, attempt, grantRight(asked));
    if (answer.verdict != ClaimVerdict::Granted || copy.phase == CopyPhase::None)
        return answer;
    if (!copyRemembers(slot, copy, attempt, yield)) {
        settleOwned(slot, attempt, ClaimOutcome::NotSent, std::nullopt);
        return notNow;
    }
    answer.sendWithin -= clock.now() - asked;
    return answer;
}

bool Hub::Impl::copyRemembers(const SlotId &slot, const SlotCopy &copy, const ClaimAttempt &attempt,
                              Yield yield)
{
    const CorrelationId id(nextCorrelation++);
    PendingClaim pending(io);
    if (network->send(copy.at, CopyGrantMessage { id, slot, copy.reign, attempt })) {
        pendingClaims[id] = &pending;
        pending.signal.wait(copyTimeout, yield);
        pendingClaims.erase(id);
    }
    if (pending.answer)
        return true;
    SlotCopy &present = copies[slot];
    if (present.at == copy.at && present.reign == copy.reign)
        dropCopy(slot, present, clock.now());
    return false;
}

// The copy hears of it too; without that it would keep the key as in progress, which is safe.
void Hub::Impl::settleOwned(const SlotId &slot, const ClaimAttempt &attempt, ClaimOutcome outcome,
                            std::optional<KeptAnswer> answer)
{
    const auto copy = copies.find(slot);
    if (claims.owns(slot) && copy != copies.end() && copy->second.phase != CopyPhase::None)
        network->send(copy->second.at, SettleMessage { slot, attempt, outcome, answer });
    claims.settle(slot, attempt, outcome, std::move(answer));
}

// Gives each owned slot a copy at another daemon of the zone, and drops copies whose holder is
// lost.
void Hub::Impl::maintainCopies(MonotonicTime now)
{
    if (!registration.term.mayAct(now) || stopping)
        return;
    for (const SlotId &slot : claims.owned()) {
        SlotCopy &copy = copies[slot];
        const bool overdue = now - copy.since > copyPatience;
        const bool unanswered =
            copy.phase == CopyPhase::Sending || copy.phase == CopyPhase::Dropping;
        const bool lost = copy.phase == CopyPhase::Recorded && !network->linked(copy.at);
        if (copy.phase == CopyPhase::None && overdue)
            placeCopy(slot, now);
        else if (lost || (unanswered && overdue))
            dropCopy(slot, copy, now);
    }
}

void Hub::Impl::placeCopy(const SlotId &slot, MonotonicTime now)
{
    SlotCopy &copy = copies[slot];
    copy.since = now;
    std::vector<DaemonId> others;
    for (const DaemonRecord &record : view->daemonsIn(settings.zone)) {
        if (record.daemon != settings.daemon && network->linked(record.daemon))
            others.push_back(record.daemon);
    }
    std::optional<HandoverMessage> memory = claims.copyOf(slot);
    if (others.empty() || !memory)
        return;
    memory->isCopy = true;
    const DaemonId holder = preferredHolder(slot, others);
    if (network->send(holder, *memory))
        copy = { CopyPhase::Sending, memory->reign, holder, now };
}

void Hub::Impl::onCopyAnswer(const DaemonId &from, const HandoverAckMessage &ack)
{
    const auto copy = copies.find(ack.slot);
    const DaemonRecord *holder = view->daemon(from);
    const bool expected = copy != copies.end() && copy->second.phase == CopyPhase::Sending
        && copy->second.at == from && copy->second.reign == ack.reign;
    if (!expected || holder == nullptr)
        return;
    copy->second.phase = CopyPhase::Recording;
    listener->onCopyPlaced(ack.slot, ack.reign, from, holder->incarnation);
}

void Hub::Impl::dropCopy(const SlotId &slot, SlotCopy &copy, MonotonicTime now)
{
    copy.phase = CopyPhase::Dropping;
    copy.since = now;
    listener->onCopyPlaced(slot, copy.reign, DaemonId(), "");
}

void Hub::noteCopy(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt, bool recorded)
{
    const auto found = m_impl->copies.find(slot);
    if (found == m_impl->copies.end() || found->second.reign != reign)
        return;
    SlotCopy &copy = found->second;
    const bool dropping = copy.phase == CopyPhase::Dropping;
    if (dropping && copyAt.empty() && recorded)
        copy.phase = CopyPhase::None;
    else if (!dropping && copyAt == copy.at && recorded)
        copy.phase = CopyPhase::Recorded;
    else if (!dropping && copyAt == copy.at)
        m_impl->dropCopy(slot, copy, m_impl->clock.now()); // Not sure what the record says.
}

SlotId Hub::Impl::slotOf(const ClaimKey &key) const
{
    return ramphinge::slotOf(key, settings.zones, settings.slotsPerZone);
}

Result<ClaimAnswer> Hub::claim(const ClaimAttempt &attempt, Yield yield)
{
    Impl &impl = *m_impl;
    const SlotId slot = impl.slotOf(attempt.key);
    const SlotOwner *owner = impl.view->owner(slot);
    if (owner == nullptr)
        return Error(ErrorKind::Unavailable, "the key's slot has no owner now; try again");
    if (owner->daemon == impl.settings.daemon)
        return impl.grant(slot, attempt, yield);
    const DaemonId ownerDaemon = owner->daemon;
    const MonotonicTime until = impl.clock.now() + linkWait;
    while (!impl.network->linked(ownerDaemon) && impl.clock.now() < until) {
        if (const DaemonRecord *record = impl.view->daemon(ownerDaemon))
            impl.network->connect(ownerDaemon, record->peers);
        sleepFor(impl.io, linkPoll, yield);
    }
    const CorrelationId id(impl.nextCorrelation++);
    PendingClaim pending(impl.io);
    if (!impl.network->send(ownerDaemon, ClaimRequestMessage { id, slot, attempt }))
        return Error(ErrorKind::Unavailable, "the key's owner is out of reach; try again");
    const PendingClaimEntry entry(impl.pendingClaims, id, pending);
    pending.signal.wait(claimTimeout, yield);
    if (!pending.answer)
        return Error(ErrorKind::Unavailable, "the key's owner did not answer; try again");
    return *pending.answer;
}

void Hub::settle(const ClaimAttempt &attempt, ClaimOutcome outcome,
                 std::optional<KeptAnswer> answer)
{
    const SlotId slot = m_impl->slotOf(attempt.key);
    const SlotOwner *owner = m_impl->view->owner(slot);
    if (owner == nullptr)
        return;
    if (owner->daemon == m_impl->settings.daemon)
        m_impl->settleOwned(slot, attempt, outcome, std::move(answer));
    else
        m_impl->network->send(owner->daemon,
                              SettleMessage { slot, attempt, outcome, std::move(answer) });
}

IdempotencyKey Hub::makeKey()
{
    return makeStampedKey(m_impl->settings.zone, m_impl->clock.wallNow(), m_impl->random);
}

void Hub::handOver(Yield yield)
{
    Impl &impl = *m_impl;
    impl.stopping = true;
    std::vector<DaemonId> others;
    for (const DaemonRecord &record : impl.view->daemonsIn(impl.settings.zone)) {
        if (record.daemon != impl.settings.daemon && impl.network->linked(record.daemon))
            others.push_back(record.daemon);
    }
    std::vector<SlotId> sent;
    for (const SlotId &slot : impl.claims.owned()) {
        const std::optional<HandoverMessage> handover = impl.claims.freeze(slot);
        if (handover && !others.empty()
            && impl.network->send(preferredHolder(slot, others), *handover))
            sent.push_back(slot);
    }
    const MonotonicTime until = impl.clock.now() + handoverLimit;
    const auto allSaid = [&] {
        return std::all_of(sent.begin(), sent.end(),
                           [&](const SlotId &slot) { return impl.handedOver[slot]; });
    };
    while (!allSaid() && impl.clock.now() < until)
        sleepFor(impl.io, linkPoll, yield);
    for (const SlotId &slot : impl.claims.owned())
        impl.listener->onReleased(slot);
}

void Hub::stop()
{
    m_impl->stopped = true;
    m_impl->prober.stop();
    m_impl->network->close();
}

} // namespace ramphinge
