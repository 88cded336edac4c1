// Slots of the directory of relays: see relay_slot.h.

#include "ramphinge/fleet_control/relay_slot.h"

#include <algorithm>
#include <set>

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
    const bool isDue =
        !m_directoryReadAt || now - *m_directoryReadAt >= m_options.directoryInterval;
    if (!m_fleet.synced && isDue)
        refreshDirectory(yield);
    if (!m_stopping && wantsSlot(m_clock.now()))
        claim(yield);
}

void RelaySlot::refreshDirectory(Yield yield)
{
    const Result<StoreSnapshot> listed = m_claimFailed
        ? m_store.list(linkKeysPrefix(), yield)
        : m_store.listPossiblyOld(linkKeysPrefix(), yield);
    m_claimFailed = false;
    // Jittered, or a fleet that starts would read it in step.
    m_directoryReadAt =
        m_clock.now() + scaled(m_options.directoryInterval, intervalJitter * m_random.fraction());
    if (!listed.ok() || m_fleet.synced)
        return;
    std::map<StoreKey, StoredValue> keys;
    for (const StoredEntry &entry : listed.value().entries)
        keys[entry.key] = entry.stored;
    const auto linkKey = keys.find(FleetKeys::linkKey());
    m_directory.linkKey = linkKey == keys.end() ? std::string() : linkKey->second.value;
    m_directory.relays = parseRelayDirectory(keys);
    m_onDirectory(m_directory);
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

void RelaySlot::request()
{
    const MonotonicTime now = m_clock.now();
    if (!m_requestedSince || now - m_lastRequestAt > m_options.requestLifetime) {
        m_requestedSince = now;
        m_claimDelay = scaled(m_options.maxClaimJitter, m_random.fraction());
        if (m_options.self.processor < m_options.minProcessorShare)
            m_claimDelay += m_random.jittered(m_options.smallDaemonClaimDelay, intervalJitter);
    }
    m_lastRequestAt = now;
}

bool RelaySlot::wantsSlot(MonotonicTime now) const
{
    if (now < m_mayClaimAt)
        return false;
    const bool isRequested = m_requestedSince && now - m_lastRequestAt <= m_options.requestLifetime;
    if (isRequested)
        return now - *m_requestedSince >= m_claimDelay && (m_fleet.synced || m_directoryReadAt);
    const RelayDirectory directory = zoneDirectory();
    // The slot of this daemon's previous process, from which the others expect a view.
    const bool isListed =
        std::any_of(directory.begin(), directory.end(), [this](const RelayDirectoryEntry &entry) {
            return entry.relay.daemon == m_options.self.daemon;
        });
    // The zone's vacant slots are filled while everybody has a view, too.
    const bool isVacant = static_cast<int>(directory.size()) < m_wantedRelays;
    return isListed || (m_fleet.synced && m_fleet.storeReachable && m_isPreferred && isVacant);
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
        m_directoryReadAt.reset();
        m_mayClaimAt = m_clock.now() + scaled(m_options.maxClaimJitter, m_random.fraction());
        return;
    }
    m_slot = { key, granted.value().lease, granted.value().lifetime, sentAt };
    m_term = LeaseTerm(sentAt, granted.value().lifetime, m_options.margin);
    m_renewAt = sentAt + m_options.renewalInterval;
    m_requestedSince.reset();
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
