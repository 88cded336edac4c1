// Slots of the directory of relays: see relay_slot.h.

#include "ramphinge/fleet_control/relay_slot.h"

#include <algorithm>
#include <set>
#include <utility>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(100);
constexpr double intervalJitter = 0.5;

} // namespace

RelaySlot::RelaySlot(IoContext &io, const Clock &clock, RelaySlotOptions options,
                     KeyValueStore &store, FleetState &fleet, DecisionLog &log,
                     std::function<void(const LinkDirectory &)> onDirectory)
    : m_io(io), m_clock(clock), m_options(std::move(options)), m_store(store), m_fleet(fleet),
      m_log(log), m_onDirectory(std::move(onDirectory)),
      m_random(m_options.seed.value_or(entropySeed()))
{ }

void RelaySlot::run(Yield yield)
{
    while (!m_stopping) {
        round(yield);
        sleepFor(m_io, pollInterval, yield);
    }
}

void RelaySlot::round(Yield yield)
{
    const MonotonicTime now = m_clock.now();
    if (m_slot) {
        if (isSurplus(now))
            release(yield);
        else if (now >= m_renewAt)
            renew(yield);
        return;
    }
    if ((m_claimFailed || !m_fleet.synced) && now >= m_nextReadAt)
        static_cast<void>(refreshDirectory(!m_claimFailed, yield));
    if (m_stopping || !wantsSlot(m_clock.now()))
        return;
    const bool isOwnClaim = isListed() || !isRequested(m_clock.now());
    if (isOwnClaim || confirmRequest(yield))
        claim(yield);
}

bool RelaySlot::refreshDirectory(bool mayBeOld, Yield yield)
{
    const Result<StoreSnapshot> listed = mayBeOld ? m_store.listPossiblyOld(linkKeysPrefix(), yield)
                                                  : m_store.list(linkKeysPrefix(), yield);
    // Jittered, or a fleet that starts would read it in step.
    m_nextReadAt = m_clock.now() + m_random.jittered(m_options.directoryInterval, intervalJitter);
    const bool isBack = std::exchange(m_isStoreLost, !listed.ok()) && listed.ok();
    if (!listed.ok())
        return false;
    m_claimFailed = false;
    std::map<StoreKey, StoredValue> keys;
    for (const StoredEntry &entry : listed.value().entries)
        keys[entry.key] = entry.stored;
    const auto linkKey = keys.find(FleetKeys::linkKey());
    m_directory.linkKey = linkKey == keys.end() ? std::string() : linkKey->second.value;
    m_directory.relays = parseRelayDirectory(keys);
    m_zoneDirectory = entriesOfZone(m_directory.relays, m_options.self.zone);
    if (!m_directoryReadAt)
        m_claimsConsidered = latestClaim(); // The relays that it names now are asked already.
    m_directoryReadAt = m_clock.now();
    if (isBack && isSmall())
        startClaimDelay(); // During the outage larger machines couldn't claim either.
    if (!m_fleet.synced)
        m_onDirectory(m_directory);
    return true;
}

RelayDirectory RelaySlot::zoneDirectory() const
{
    return m_fleet.synced ? m_zoneDirectory
                          : entriesOfZone(m_directory.relays, m_options.self.zone);
}

void RelaySlot::setDaemons(const std::vector<DaemonRegistration> &daemons,
                           const RelayDirectory &directory)
{
    const ZoneId &zone = m_options.self.zone;
    m_zoneDirectory = entriesOfZone(directory, zone);
    if (daemons == m_daemons)
        return; // Most changes of the view don't affect them.
    m_daemons = daemons;
    const int inZone = countInZone(daemons, zone);
    if (inZone != m_daemonsInZone)
        m_daemonsChangedAt = m_clock.now();
    m_daemonsInZone = inZone;
    const RelayChoice choice = chooseRelays(zone, daemons, m_options.choice);
    m_wantedRelays = static_cast<int>(choice.relays.size());
    m_isPreferred = std::any_of(choice.relays.begin(), choice.relays.end(),
                                [this](const DaemonRegistration &daemon) {
                                    return daemon.daemon == m_options.self.daemon;
                                });
}

bool RelaySlot::isGranted() const
{
    const bool isZoneSmall = m_fleet.synced && m_daemonsInZone < m_options.choice.minDaemons;
    return isZoneSmall || holds(m_clock.now());
}

bool RelaySlot::isListed() const
{
    const RelayDirectory directory = zoneDirectory();
    return std::any_of(directory.begin(), directory.end(),
                       [this](const RelayDirectoryEntry &entry) {
                           return entry.relay.daemon == m_options.self.daemon;
                       });
}

Revision RelaySlot::latestClaim() const
{
    Revision latest = absentRevision;
    for (const RelayDirectoryEntry &entry : zoneDirectory()) {
        if (entry.relay.daemon != m_options.self.daemon)
            latest = std::max(latest, entry.revision);
    }
    return latest;
}

bool RelaySlot::isRequested(MonotonicTime now) const
{
    return m_isRequested && now - m_lastRequestAt <= m_options.requestLifetime;
}

void RelaySlot::request()
{
    const MonotonicTime now = m_clock.now();
    const bool isNew = !isRequested(now);
    m_isRequested = true;
    m_lastRequestAt = now;
    if (isNew)
        startClaimDelay();
}

void RelaySlot::startClaimDelay()
{
    Duration delay = scaled(m_options.maxClaimJitter, m_random.fraction());
    if (isSmall())
        delay += m_random.jittered(m_options.smallDaemonClaimDelay, intervalJitter);
    m_claimDueAt = m_clock.now() + delay;
    m_claimsConsidered = latestClaim();
}

bool RelaySlot::confirmRequest(Yield yield)
{
    // With a view, surplus slots that were released must not attract daemons whose relay lags.
    if (m_fleet.synced)
        return true;
    const bool isRecent =
        m_directoryReadAt && m_clock.now() - *m_directoryReadAt <= m_options.maxDirectoryAge;
    const bool isRead = isRecent || refreshDirectory(true, yield);
    if (m_stopping)
        return false;
    // Larger machines claim without waiting again: a zone of hundreds of daemons needs many relays
    // at once.
    const bool hasNewRelay = isSmall() && m_claimsConsidered < latestClaim();
    if (!isRead || hasNewRelay)
        startClaimDelay();
    return m_clock.now() >= m_claimDueAt;
}

bool RelaySlot::wantsSlot(MonotonicTime now) const
{
    if (m_claimFailed || now < m_mayClaimAt)
        return false;
    // The slot of this daemon's previous process, from which the others expect a view.
    if (isListed())
        return true;
    // Without a vacant slot, reading the directory for a claim would only cost calls.
    const RelayDirectory directory = zoneDirectory();
    if (isRequested(now))
        return now >= m_claimDueAt
            && static_cast<int>(directory.size()) < m_options.choice.maxRelaysPerZone;
    // The zone's vacant slots are filled while everybody has a view, too.
    const bool isVacant = static_cast<int>(directory.size()) < m_wantedRelays;
    return m_fleet.synced && m_fleet.storeReachable && m_isPreferred && isVacant;
}

bool RelaySlot::isSurplus(MonotonicTime now) const
{
    const MonotonicTime changedAt = std::max(m_daemonsChangedAt, m_slot->claimedAt);
    if (!m_fleet.synced || now - changedAt < m_options.settleTime)
        return false;
    RelayDirectory holders = zoneDirectory();
    if (static_cast<int>(holders.size()) <= m_wantedRelays)
        return false;
    const auto rank = [](const RelayDirectoryEntry &entry) {
        return std::make_tuple(-entry.relay.processor, entry.slot);
    };
    std::sort(holders.begin(), holders.end(),
              [&](const RelayDirectoryEntry &a, const RelayDirectoryEntry &b) {
                  return rank(a) < rank(b);
              });
    return std::none_of(holders.begin(), holders.begin() + m_wantedRelays,
                        [this](const RelayDirectoryEntry &entry) {
                            return entry.relay.daemon == m_options.self.daemon;
                        });
}

std::optional<RelayDirectoryEntry> RelaySlot::claimableSlot()
{
    std::set<int> taken;
    for (const RelayDirectoryEntry &entry : zoneDirectory()) {
        if (entry.relay.daemon == m_options.self.daemon)
            return entry;
        taken.insert(entry.slot);
    }
    std::vector<int> vacant;
    for (int slot = 0; slot < m_options.choice.maxRelaysPerZone; ++slot) {
        if (taken.count(slot) == 0)
            vacant.push_back(slot);
    }
    if (vacant.empty())
        return std::nullopt;
    const auto index =
        static_cast<std::size_t>(m_random.fraction() * static_cast<double>(vacant.size()));
    return RelayDirectoryEntry { m_options.self, vacant[std::min(index, vacant.size() - 1)],
                                 absentRevision };
}

void RelaySlot::claim(Yield yield)
{
    m_mayClaimAt = m_clock.now() + m_random.jittered(m_options.directoryInterval, intervalJitter);
    const std::optional<RelayDirectoryEntry> slot = claimableSlot();
    if (!slot)
        return;
    const MonotonicTime sentAt = m_clock.now();
    const Result<GrantedLease> granted = m_store.grantLease(m_options.lifetime, yield);
    if (!granted.ok())
        return;
    const StoreKey key = relaySlotKey(m_options.self.zone, slot->slot);
    const std::string value = serializeRelay(m_options.self);
    const Result<Revision> written =
        m_store.commit({ { key, value, slot->revision, granted.value().lease } }, yield);
    if (!written.ok()) {
        // Whether or not the key was written, it is removed with the lease. Another daemon's claim
        // came first, so the directory has changed.
        static_cast<void>(m_store.revokeLease(granted.value().lease, yield));
        m_claimFailed = true;
        m_mayClaimAt = m_clock.now() + scaled(m_options.maxClaimJitter, m_random.fraction());
        m_nextReadAt = m_mayClaimAt;
        return;
    }
    m_slot = { key, granted.value().lease, granted.value().lifetime, sentAt };
    m_term = LeaseTerm(sentAt, granted.value().lifetime, m_options.margin);
    m_renewAt = sentAt + m_options.renewalInterval;
    m_isRequested = false;
    const StoredValue stored { value, written.value() };
    m_fleet.recordWrite(key, stored);
    const RelayDirectoryEntry entry = *parseRelayEntry(key, stored);
    m_directory.relays.push_back(entry);
    m_zoneDirectory.push_back(entry);
    m_onDirectory(m_directory);
    m_log.write("relay_slot_claimed", LogWeight::Belief, { { "key", key.text() } });
}

void RelaySlot::renew(Yield yield)
{
    const MonotonicTime sentAt = m_clock.now();
    const Status renewed = m_store.renewLease(m_slot->lease, yield);
    if (!m_slot)
        return; // Released meanwhile.
    if (renewed.ok()) {
        m_term = LeaseTerm(sentAt, m_slot->lifetime, m_options.margin);
        m_renewAt = sentAt + m_options.renewalInterval;
        return;
    }
    const bool isLost =
        renewed.error().kind() == ErrorKind::Fenced || !m_term.mayAct(m_clock.now());
    m_renewAt = m_clock.now() + m_random.jittered(m_options.retryInterval, intervalJitter);
    if (!isLost)
        return;
    m_log.write("relay_slot_lost", LogWeight::Belief,
                { { "key", m_slot->key.text() }, { "why", renewed.error().message() } });
    m_slot.reset();
}

void RelaySlot::release(Yield yield)
{
    if (!m_slot)
        return;
    const HeldSlot held = *m_slot;
    m_slot.reset();
    const Status ended = m_store.revokeLease(held.lease, yield);
    if (ended.ok())
        m_fleet.daemonKeys.erase(held.key);
    eraseIf(m_zoneDirectory, [this](const RelayDirectoryEntry &entry) {
        return entry.relay.daemon == m_options.self.daemon;
    });
    m_log.write("relay_slot_released", LogWeight::Belief,
                { { "key", held.key.text() }, { "store_confirmed", ended.ok() } });
}

} // namespace ramphinge
