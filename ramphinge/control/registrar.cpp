// Registration: see registrar.h.

#include "ramphinge/control/registrar.h"

#include <algorithm>

#include "ramphinge/control/keys.h"

namespace ramphinge {

namespace {
constexpr double backoffSpread = 0.5;
constexpr int renewalsPerLease = 3;
} // namespace

Registrar::Registrar(PlatformStore &store, const Clock &clock, RegistrarOptions options,
                     std::uint64_t seed)
    : m_store(store), m_clock(clock), m_options(std::move(options)), m_random(seed),
      m_backoff(m_options.firstBackoff)
{
    m_state.roster.zone = m_options.self.zone;
    // An earlier process with this name may have just announced "unregistered".
    m_mayRegisterFrom = m_clock.now() + m_options.promise;
}

const RegistrationState &Registrar::step()
{
    if (m_state.registration == Registration::Registered)
        renew();
    else
        rejoin();
    return m_state;
}

void Registrar::renew()
{
    const MonotonicTime sentAt = m_clock.now();
    if (!m_state.term.mayAct(sentAt)) {
        lose();
        return;
    }
    const Status renewed = m_store.renewLease(m_state.lease);
    // The term may have ended during the call, and peers may have been notified.
    if (!m_state.term.mayAct(m_clock.now())) {
        lose();
        return;
    }
    if (renewed.ok()) {
        m_state.term = LeaseTerm(sentAt, m_options.leaseLength, m_options.margin);
        m_nextStep = sentAt + m_random.jittered(m_options.leaseLength / renewalsPerLease, -0.2);
        m_backoff = m_options.firstBackoff;
        return;
    }
    if (renewed.error().kind() == ErrorKind::Fenced) {
        lose();
        return;
    }
    retryLater();
    // The end of the term must be detected in time.
    m_nextStep = std::min(m_nextStep, m_state.term.expiry());
}

void Registrar::lose()
{
    m_state.registration = Registration::Unregistered;
    m_state.term = LeaseTerm();
    m_mayRegisterFrom = m_clock.now() + 2 * m_options.promise;
    m_backoff = m_options.firstBackoff;
    m_nextStep = m_clock.now();
}

void Registrar::rejoin()
{
    const Result<std::optional<StoredValue>> reached = m_store.read(configKey);
    const MonotonicTime now = m_clock.now();
    if (!reached.ok()) {
        if (m_state.registration == Registration::Rejoining)
            m_state.registration = Registration::Unregistered;
        // Peers may have received an announcement up to now.
        m_mayRegisterFrom = now + 2 * m_options.promise;
        retryLater();
        return;
    }
    // From now on peers are told "rejoining", which they don't rely on.
    m_state.registration = Registration::Rejoining;
    if (now < m_mayRegisterFrom) {
        m_nextStep = m_mayRegisterFrom;
        return;
    }
    if (!registerAnew())
        retryLater();
}

bool Registrar::registerAnew()
{
    const MonotonicTime sentAt = m_clock.now();
    const Result<LeaseId> lease = m_store.grantLease(m_options.leaseLength);
    if (!lease.ok())
        return false;
    if (!writeRegistration(lease.value())) {
        // Written keys are deleted with the lease.
        m_store.revokeLease(lease.value());
        return false;
    }
    m_state.lease = lease.value();
    m_state.term = LeaseTerm(sentAt, m_options.leaseLength, m_options.margin);
    m_state.registration = Registration::Registered;
    m_backoff = m_options.firstBackoff;
    m_nextStep = sentAt + m_options.leaseLength / renewalsPerLease;
    return true;
}

bool Registrar::writeRegistration(LeaseId lease)
{
    const StoreKey key = daemonKey(m_options.self.zone, m_options.self.daemon);
    // The key exists: an earlier lease of this daemon has not lapsed, or another daemon has its
    // name.
    if (!m_store.compareAndSwap(key, serialize(m_options.self), absentRevision, lease).ok())
        return false;
    if (!joinRoster())
        return false;
    const Result<std::optional<StoredValue>> stored = m_store.read(configKey);
    if (!stored.ok())
        return false;
    if (!stored.value())
        return true;
    const Result<ConfigState> config = parseConfigState(stored.value()->value);
    if (!config.ok())
        return false;
    m_state.config = config.value();
    m_state.configRevision = stored.value()->revision;
    return true;
}

bool Registrar::joinRoster()
{
    const StoreKey key = rosterKey(m_options.self.zone);
    const Result<std::optional<StoredValue>> stored = m_store.read(key);
    if (!stored.ok())
        return false;
    ZoneRoster roster { m_options.self.zone, {} };
    Revision revision = absentRevision;
    if (stored.value()) {
        const Result<ZoneRoster> parsed = parseRoster(stored.value()->value);
        if (!parsed.ok())
            return false;
        roster = parsed.value();
        revision = stored.value()->revision;
    }
    if (!roster.contains(m_options.self.daemon)) {
        roster.daemons.push_back(m_options.self.daemon);
        // After a conflict or a lost answer the next step reads it again.
        if (!m_store.compareAndSwap(key, serialize(roster), revision, noLease).ok())
            return false;
    }
    m_state.roster = roster;
    return true;
}

void Registrar::retryLater()
{
    m_nextStep = m_clock.now() + m_random.jittered(m_backoff, backoffSpread);
    m_backoff = std::min(m_backoff * 2, m_options.lastBackoff);
}

void Registrar::leave()
{
    const StoreKey key = rosterKey(m_options.self.zone);
    const Result<std::optional<StoredValue>> stored = m_store.read(key);
    if (stored.ok() && stored.value()) {
        Result<ZoneRoster> roster = parseRoster(stored.value()->value);
        if (roster.ok()) {
            auto &daemons = roster.value().daemons;
            daemons.erase(std::remove(daemons.begin(), daemons.end(), m_options.self.daemon),
                          daemons.end());
            m_store.compareAndSwap(key, serialize(roster.value()), stored.value()->revision,
                                   noLease);
        }
    }
    if (m_state.registration == Registration::Registered)
        m_store.revokeLease(m_state.lease);
    m_state.registration = Registration::Unregistered;
    m_state.term = LeaseTerm();
}

} // namespace ramphinge
