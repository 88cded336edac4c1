// The hub's part in claims: finding a key's owner, granting as an owner, handing slots over.

#include "ramphinge/control/internal/hub_impl.h"

#include <algorithm>

#include "ramphinge/claims/key_stamp.h"

namespace ramphinge {

namespace {

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
        return impl.claims.claim(slot, attempt, impl.grantRight(impl.clock.now()));
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
    impl.pendingClaims[id] = &pending;
    pending.signal.wait(claimTimeout, yield);
    impl.pendingClaims.erase(id);
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
        m_impl->claims.settle(slot, attempt, outcome, std::move(answer));
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
