// A key under a lease: see key_holder.h.

#include "ramphinge/fleet_control/key_holder.h"

#include <algorithm>

namespace ramphinge {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(100);

} // namespace

KeyHolder::KeyHolder(IoContext &io, const Clock &clock, KeyHolderOptions options,
                     KeyValueStore &store, FleetState &fleet, DecisionLog &log)
    : m_io(io), m_clock(clock), m_options(std::move(options)), m_store(store), m_fleet(fleet),
      m_log(log), m_random(entropySeed())
{ }

void KeyHolder::run(Yield yield)
{
    while (!m_stopping) {
        round(yield);
        if (m_held)
            awaitRenewal(yield);
        else
            sleepFor(m_io, pollInterval, yield);
    }
}

// Returns early if this daemon isn't fit to hold the key any more.
void KeyHolder::awaitRenewal(Yield yield)
{
    const MonotonicTime renewAt = m_clock.now() + m_options.renewalInterval;
    while (!m_stopping && isFit() && m_clock.now() < renewAt) {
        const Duration left = renewAt - m_clock.now();
        sleepFor(m_io, m_isFit ? std::min(left, pollInterval) : left, yield);
    }
}

void KeyHolder::round(Yield yield)
{
    if (!isFit())
        release(yield);
    else if (m_held)
        renew(yield);
    else if (m_fleet.synced && m_fleet.storeReachable
             && (m_options.replaceExisting || m_fleet.daemonKeys.count(m_options.key) == 0))
        tryToAcquire(yield);
}

void KeyHolder::tryToAcquire(Yield yield)
{
    sleepFor(m_io, m_options.acquireDelay + scaled(m_options.maxAcquireJitter, m_random.fraction()),
             yield);
    const bool taken = m_fleet.daemonKeys.count(m_options.key) > 0;
    if (m_stopping || !isFit() || !m_fleet.storeReachable || (taken && !m_options.replaceExisting))
        return;
    const MonotonicTime sentAt = m_clock.now();
    const Result<GrantedLease> granted = m_store.grantLease(m_options.lifetime, yield);
    if (!granted.ok()) {
        sleepFor(m_io, m_random.jittered(m_options.renewalInterval, 1.0), yield);
        return;
    }
    // Looked up after the grant: the key may have lapsed in the meantime.
    const auto present = m_fleet.daemonKeys.find(m_options.key);
    const bool replaces = m_options.replaceExisting && present != m_fleet.daemonKeys.end();
    const Revision expected = replaces ? present->second.revision : absentRevision;
    const Result<Revision> written = m_store.commit(
        { { m_options.key, m_options.value, expected, granted.value().lease } }, yield);
    if (!written.ok()) {
        // Whether or not the key was written, it is removed with the lease.
        static_cast<void>(m_store.revokeLease(granted.value().lease, yield));
        sleepFor(m_io, m_random.jittered(m_options.renewalInterval, 1.0), yield);
        return;
    }
    m_lease = granted.value().lease;
    m_leaseLifetime = granted.value().lifetime;
    m_term = LeaseTerm(sentAt, m_leaseLifetime, m_options.margin);
    m_held = true;
    m_fleet.recordWrite(m_options.key, { m_options.value, written.value() });
    m_log.write("key_taken", LogWeight::Belief,
                { { "key", m_options.key.text() },
                  { "revision", written.value().count() },
                  { "lease", m_lease.count() } });
}

void KeyHolder::renew(Yield yield)
{
    const MonotonicTime sentAt = m_clock.now();
    const Status renewed = m_store.renewLease(m_lease, yield);
    if (renewed.ok()) {
        m_term = LeaseTerm(sentAt, m_leaseLifetime, m_options.margin);
        return;
    }
    if (renewed.error().kind() == ErrorKind::Fenced)
        markLost("the lease has expired");
    else if (!m_term.mayAct(m_clock.now()))
        markLost("the lease could not be renewed: " + renewed.error().message());
}

void KeyHolder::markLost(const std::string &why)
{
    m_held = false;
    // The key itself stays in the view until a watch reports its removal.
    m_log.write("key_lost", LogWeight::Belief, { { "key", m_options.key.text() }, { "why", why } });
}

void KeyHolder::release(Yield yield)
{
    if (!m_held)
        return;
    m_held = false;
    const Status ended = m_store.revokeLease(m_lease, yield);
    m_log.write("key_released", LogWeight::Belief,
                { { "key", m_options.key.text() }, { "store_confirmed", ended.ok() } });
}

} // namespace ramphinge
