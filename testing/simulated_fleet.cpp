// A fleet of daemons on virtual time: see simulated_fleet.h.

#include "testing/simulated_fleet.h"

#include <algorithm>
#include <map>
#include <queue>
#include <vector>

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/relay_slot.h"
#include "ramphinge/relay/relay_node.h"

namespace ramphinge {

namespace {

constexpr Duration pollInterval = std::chrono::milliseconds(50); // Of emulated long polls.
constexpr Duration startJitter = std::chrono::milliseconds(200);
constexpr Duration registrationTime = std::chrono::seconds(2); // Of all servers.
constexpr Duration linkKeyDelay = std::chrono::milliseconds(500);
constexpr std::int64_t callBytes = 200; // Of a call and an answer without content.
constexpr std::int64_t entryOverheadBytes = 60; // Of a key in an answer, beside key and value.
constexpr std::int64_t bulkAnswerBytes = 64 * 1024;

// A link that transfers one answer after the other.
class SimulatedLink
{
public:
    SimulatedLink(const Clock &clock, double bytesPerSecond)
        : m_clock(clock), m_bytesPerSecond(bytesPerSecond)
    { }

    // Returns when the transfer ends.
    MonotonicTime transfer(std::int64_t bytes)
    {
        m_bytes += bytes;
        m_busyUntil = std::max(m_busyUntil, m_clock.now())
            + scaled(std::chrono::seconds(1), static_cast<double>(bytes) / m_bytesPerSecond);
        return m_busyUntil;
    }

    std::int64_t bytes() const { return m_bytes; }
    void resetFigures() { m_bytes = 0; }

private:
    const Clock &m_clock;
    double m_bytesPerSecond;
    MonotonicTime m_busyUntil;
    std::int64_t m_bytes = 0;
};

std::int64_t sizeOf(const StoreKey &key, const std::optional<StoredValue> &stored)
{
    const std::size_t valueBytes = stored ? stored->value.size() : 0;
    return static_cast<std::int64_t>(key.text().size() + valueBytes) + entryOverheadBytes;
}

struct StoreFigures
{
    std::int64_t calls = 0;
    std::map<DaemonId, int> bulkAnswers;
};

// One daemon's connection to the shared store: counts its calls and the time of its transfers.
class MeteredStore : public KeyValueStore
{
public:
    MeteredStore(MemoryKeyValueStore &store, const Clock &clock, SimulatedLink &storeLink,
                 SimulatedLink &ownLink, StoreFigures &figures, DaemonId daemon)
        : m_store(store), m_clock(clock), m_storeLink(storeLink), m_ownLink(ownLink),
          m_figures(figures), m_daemon(std::move(daemon))
    { }

    Result<StoreSnapshot> list(const StoreKey &prefix, Yield yield) override
    {
        Result<StoreSnapshot> listed = m_store.list(prefix, yield);
        std::int64_t bytes = callBytes;
        if (listed.ok()) {
            for (const StoredEntry &entry : listed.value().entries)
                bytes += sizeOf(entry.key, entry.stored);
        }
        ++m_figures.calls;
        receive(bytes);
        return listed;
    }

    Result<StoreSnapshot> listPossiblyOld(const StoreKey &prefix, Yield yield) override
    {
        return list(prefix, yield);
    }

    Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait,
                             Yield yield) override
    {
        const MonotonicTime now = m_clock.now();
        Result<WatchBatch> batch = m_store.watch(prefix, after, Duration::zero(), yield);
        if (now >= m_watchEnds) {
            ++m_figures.calls;
            m_watchEnds = now + wait;
        }
        std::int64_t bytes = callBytes;
        isIdle = batch.ok() && batch.value().changes.empty() && wait > pollInterval;
        if (batch.ok() && !isIdle) {
            for (const StoreChange &change : batch.value().changes)
                bytes += sizeOf(change.key, change.stored);
        }
        if (!isIdle)
            m_watchEnds = now;
        receive(isIdle ? 0 : bytes);
        return batch;
    }

    Result<Revision> commit(const std::vector<StoreWrite> &writes, Yield yield) override
    {
        ++m_figures.calls;
        receive(callBytes);
        return m_store.commit(writes, yield);
    }

    Result<GrantedLease> grantLease(Duration lifetime, Yield yield) override
    {
        ++m_figures.calls;
        receive(callBytes);
        return m_store.grantLease(lifetime, yield);
    }

    Status renewLease(LeaseId lease, Yield yield) override
    {
        receive(callBytes);
        return m_store.renewLease(lease, yield);
    }

    Status revokeLease(LeaseId lease, Yield yield) override
    {
        ++m_figures.calls;
        receive(callBytes);
        return m_store.revokeLease(lease, yield);
    }

    bool isIdle = false; // The last watch found nothing, and would still be waiting.
    MonotonicTime receivedAt; // When the last answer has arrived completely.

private:
    void receive(std::int64_t bytes)
    {
        if (bytes >= bulkAnswerBytes)
            ++m_figures.bulkAnswers[m_daemon];
        receivedAt = std::max(m_storeLink.transfer(bytes), m_ownLink.transfer(bytes));
    }

    MemoryKeyValueStore &m_store;
    const Clock &m_clock;
    SimulatedLink &m_storeLink;
    SimulatedLink &m_ownLink;
    StoreFigures &m_figures;
    DaemonId m_daemon;
    MonotonicTime m_watchEnds; // Of the long poll that is being emulated.
};

class SimulatedDaemon;

using DaemonsById = std::map<DaemonId, std::unique_ptr<SimulatedDaemon>>;

// One daemon: its view, its part in the directory, and its feed for followers.
class SimulatedDaemon : public UpdateSource, public ViewListener
{
public:
    SimulatedDaemon(IoContext &io, ManualClock &clock, MemoryKeyValueStore &sharedStore,
                    SimulatedLink &storeLink, StoreFigures &figures, DaemonsById &others,
                    const SimulatedFleetOptions &options, DaemonRegistration self,
                    std::uint64_t seed)
        : link(clock,
               self.processor >= 1 ? options.largeLinkBytesPerSecond
                                   : options.smallLinkBytesPerSecond),
          store(sharedStore, clock, storeLink, link, figures, self.daemon),
          parts(io, clock, store, self.daemon.text(), syncOptions(seed)),
          slot(io, clock, slotOptions(self, seed), store, parts.fleet, parts.log,
               [this](const LinkDirectory &directory) { m_firstDirectory = directory; }),
          feed({}, {}), registration(std::move(self)), m_clock(clock), m_others(others),
          m_limitsBulkReads(options.limitsBulkReads)
    {
        parts.sync.useRelays(*this, *this, [this] { return isRelay(); });
        if (m_limitsBulkReads)
            parts.sync.limitBulkReads(slot);
    }

    static StoreSyncOptions syncOptions(std::uint64_t seed)
    {
        StalenessBounds bounds;
        bounds.changeInForce = std::chrono::seconds(5);
        bounds.connectivityGrace = std::chrono::seconds(6);
        bounds.proofLifetime = std::chrono::milliseconds(4500);
        bounds.serverHeartbeat = std::chrono::seconds(5);
        StoreSyncOptions options = storeSyncOptions(bounds);
        options.seed = seed;
        return options;
    }

    static RelaySlotOptions slotOptions(const DaemonRegistration &self, std::uint64_t seed)
    {
        RelaySlotOptions options;
        options.self = self;
        options.seed = seed;
        return options;
    }

    // One iteration of the daemon's loops. Returns when the next one is due.
    MonotonicTime round(Yield yield)
    {
        const MonotonicTime now = m_clock.now();
        store.isIdle = false;
        store.receivedAt = now;
        if (m_limitsBulkReads)
            slot.round(yield);
        feed.setServing(isRelay());
        parts.sync.round(yield);
        if (parts.fleet.synced && parts.changes != m_appliedChanges) {
            m_appliedChanges = parts.changes;
            const std::vector<DaemonRegistration> daemons = parts.fleet.daemons();
            slot.setDaemons(daemons, parseRelayDirectory(parts.fleet.daemonKeys));
            updateRelays(daemons);
        }
        const Duration pause = std::max(parts.sync.pauseAfterRound(), pollInterval);
        return std::max(now + pause, store.receivedAt);
    }

    bool isRelay() const { return m_limitsBulkReads ? slot.holds(m_clock.now()) : m_isChosen; }

    bool canAsk(bool) const override { return !isRelay() && firstAvailable() != nullptr; }

    void setDeltaBase(const StoredEntry &) override { }
    Result<RelayedUpdate> next(Revision after, Duration, bool storeLost, Yield) override
    {
        StoreUpdateRequestMessage message;
        message.after = after;
        message.storeLost = storeLost;
        Result<StoreUpdateMessage> update = request(message);
        if (!update.ok())
            return update.error();
        RelayedUpdate relayed;
        relayed.batch.upTo = update.value().upTo;
        relayed.batch.reachesPresent = !update.value().moreFollow;
        relayed.batch.changes = std::move(update.value().changes);
        relayed.freshAsOf = localFreshnessTime(update.value(), m_clock.now(), m_clock.now());
        return relayed;
    }

    Result<RelayedSnapshot> snapshot(Yield) override
    {
        RelayedSnapshot result;
        StoreUpdateRequestMessage message;
        message.snapshotAfter = StoreKey();
        while (true) {
            const Result<StoreUpdateMessage> part = request(message);
            if (!part.ok())
                return part.error();
            if (message.snapshotAfter->empty()) {
                result.snapshot.upTo = part.value().upTo;
                result.freshAsOf = localFreshnessTime(part.value(), m_clock.now(), m_clock.now());
            }
            for (const StoreChange &entry : part.value().changes)
                result.snapshot.entries.push_back({ entry.key, *entry.stored });
            if (!part.value().moreFollow)
                return result;
            message.snapshotAfter = result.snapshot.entries.back().key;
        }
    }

    void viewListed(const StoreSnapshot &listed, MonotonicTime freshAsOf) override
    {
        feed.onListed(listed, freshAsOf);
    }
    void viewAdvanced(const WatchBatch &batch, MonotonicTime freshAsOf) override
    {
        feed.onAdvanced(batch, freshAsOf);
    }
    void viewStopped() override { feed.onStoreLost(); }
    bool wantsListing() const override { return m_limitsBulkReads && feed.wantsListing(); }

    SimulatedLink link;
    MeteredStore store;
    DaemonParts parts;
    RelaySlot slot;
    UpdateFeed feed;
    DaemonRegistration registration;
    std::int64_t sentToFollowers = 0;
    bool isRegistered = false;
    std::optional<MonotonicTime> firstViewAt;

private:
    void updateRelays(const std::vector<DaemonRegistration> &daemons)
    {
        if (m_limitsBulkReads)
            return;
        const RelayChoice choice = chooseRelays(registration.zone, daemons, {});
        m_chosenRelays = choice.relays;
        m_isChosen = std::any_of(choice.relays.begin(), choice.relays.end(),
                                 [this](const DaemonRegistration &relay) {
                                     return relay.daemon == registration.daemon;
                                 });
    }

    std::vector<DaemonRegistration> relays() const
    {
        if (!m_limitsBulkReads)
            return m_chosenRelays;
        const RelayDirectory directory = parts.fleet.synced
            ? parseRelayDirectory(parts.fleet.daemonKeys)
            : m_firstDirectory.relays;
        std::vector<DaemonRegistration> relays;
        for (const RelayDirectoryEntry &entry : entriesOfZone(directory, registration.zone))
            relays.push_back(entry.relay);
        return relays;
    }

    bool hasLinkKey() const
    {
        return parts.fleet.synced ? parts.fleet.daemonKeys.count(FleetKeys::linkKey()) > 0
                                  : !m_firstDirectory.linkKey.empty();
    }

    SimulatedDaemon *firstAvailable() const
    {
        if (!hasLinkKey())
            return nullptr;
        for (const DaemonRegistration &relay : orderRelays(registration.daemon, relays())) {
            const auto backoff = m_backoffs.find(relay.daemon);
            const auto found = m_others.find(relay.daemon);
            const bool isAvailable = found != m_others.end() && found->second.get() != this
                && (backoff == m_backoffs.end() || m_clock.now() >= backoff->second);
            if (isAvailable)
                return found->second.get();
        }
        return nullptr;
    }

    Result<StoreUpdateMessage> request(const StoreUpdateRequestMessage &message)
    {
        SimulatedDaemon *const relay = firstAvailable();
        if (relay == nullptr)
            return Error(ErrorKind::Unavailable, "no relay is available");
        relay->feed.addRequest(registration.daemon, message, m_clock.now());
        const std::vector<UpdateResponse> due = relay->feed.takeDue(m_clock.now());
        StoreUpdateMessage update = due.at(0).update;
        const auto bytes = static_cast<std::int64_t>(encode(update).size());
        relay->sentToFollowers += bytes;
        store.receivedAt =
            std::max({ store.receivedAt, relay->link.transfer(bytes), link.transfer(bytes) });
        if (update.verdict == UpdateVerdict::Update)
            return update;
        if (update.verdict == UpdateVerdict::TooOld)
            return Error(ErrorKind::NotFound, "too old");
        m_backoffs[relay->registration.daemon] = m_clock.now() + RelayNodeOptions().noViewBackoff;
        return Error(ErrorKind::Unavailable, "declined");
    }

    ManualClock &m_clock;
    DaemonsById &m_others;
    bool m_limitsBulkReads;
    LinkDirectory m_firstDirectory; // Before there is a view.
    std::vector<DaemonRegistration> m_chosenRelays; // Without a directory.
    bool m_isChosen = false;
    int m_appliedChanges = 0; // Of the view, when the relays were last chosen.
    std::map<DaemonId, MonotonicTime> m_backoffs;
};

} // namespace

class SimulatedFleet::State
{
public:
    explicit State(const SimulatedFleetOptions &options)
        : m_options(options), m_store(m_io, m_clock), m_random(options.seed),
          m_storeLink(m_clock, options.storeBytesPerSecond), m_startedAt(m_clock.now())
    {
        m_store.limitWatches(options.storeAnswerLimit);
        startAll();
        scheduleServers();
        m_events.push({ m_clock.now() + std::chrono::seconds(1), [this] { changeCatalog(); } });
    }

    void run(Duration duration)
    {
        const MonotonicTime end = m_clock.now() + duration;
        m_io.restart();
        runCoroutine(m_io, [&](Yield yield) { runUntil(end, yield); });
    }

    void changeCatalog()
    {
        ++m_catalogVersion;
        m_catalogChangedAt = m_clock.now();
        m_store.put(catalogKey,
                    std::to_string(m_catalogVersion) + ' '
                        + std::string(m_options.catalogBytes, 'c'));
        m_catalogApplied.clear();
    }

    void forgetHistory() { m_store.forgetHistory(); }

    void restartAll()
    {
        m_daemons.clear();
        ++m_generation;
        m_startedAt = m_clock.now();
        startAll();
    }

    void killRelays()
    {
        for (auto daemon = m_daemons.begin(); daemon != m_daemons.end();) {
            const bool isRelay = daemon->second->isRelay();
            if (isRelay)
                m_store.erase(FleetKeys::daemon(daemon->first));
            daemon = isRelay ? m_daemons.erase(daemon) : std::next(daemon);
        }
    }

    FleetReport report() const
    {
        FleetReport report;
        report.storeCalls = m_figures.calls;
        report.storeBytes = m_storeLink.bytes();
        report.bulkReaders = static_cast<int>(
            std::count_if(m_figures.bulkAnswers.begin(), m_figures.bulkAnswers.end(),
                          [](const auto &entry) { return entry.second > 1; }));
        for (const auto &[id, daemon] : m_daemons) {
            report.busiestRelayBytes = std::max(report.busiestRelayBytes, daemon->sentToFollowers);
            if (!daemon->firstViewAt)
                continue;
            ++report.daemonsWithView;
            report.lastView = std::max(report.lastView, *daemon->firstViewAt - m_startedAt);
        }
        report.lastCatalog = m_lastCatalogAt - m_catalogChangedAt;
        return report;
    }

    void resetFigures()
    {
        m_figures = {};
        m_storeLink.resetFigures();
        for (auto &[id, daemon] : m_daemons)
            daemon->sentToFollowers = 0;
    }

private:
    struct Event
    {
        MonotonicTime at;
        std::function<void()> action; // Empty: a round of `daemon`.
        DaemonId daemon;
        int generation = 0; // Of the daemon: rounds of killed processes are passed over.

        friend bool operator<(const Event &a, const Event &b) { return b.at < a.at; }
    };

    Duration jitter(Duration most) { return scaled(most, m_random.fraction()); }

    void startAll()
    {
        for (int i = 0; i < m_options.daemons; ++i) {
            DaemonRegistration self;
            self.daemon = DaemonId("d" + std::to_string(i));
            self.zone = ZoneId("z" + std::to_string(i % m_options.zones));
            self.links = { "10.0.0.1", static_cast<std::uint16_t>(1 + i) };
            const bool isLarge = i / m_options.zones < m_options.largeDaemonsPerZone;
            self.processor = isLarge ? 1 : 0.125;
            m_daemons[self.daemon] = std::make_unique<SimulatedDaemon>(
                m_io, m_clock, m_store, m_storeLink, m_figures, m_daemons, m_options, self,
                m_options.seed * 1'000'003 + static_cast<std::uint64_t>(i));
            m_events.push({ m_clock.now() + jitter(startJitter), {}, self.daemon, m_generation });
        }
    }

    void scheduleServers()
    {
        const int servers = static_cast<int>(m_options.daemons * m_options.serversPerDaemon);
        for (int i = 0; i < servers; ++i) {
            const auto write = [this, i] {
                m_store.put(StoreKey("server/" + std::to_string(i)),
                            "chat 0 " + std::string(m_options.serverEntryBytes, 'e'));
            };
            m_events.push({ m_clock.now() + jitter(registrationTime), write });
            for (int change = 0; change < m_options.changesPerServer; ++change)
                m_events.push({ m_clock.now() + m_options.formingBegins
                                    + jitter(m_options.formingEnds - m_options.formingBegins),
                                write });
        }
    }

    void runUntil(MonotonicTime end, Yield yield)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.advance(std::max(Duration::zero(), event.at - m_clock.now()));
            if (event.action)
                event.action();
            else
                runDaemon(event, yield);
        }
        m_clock.advance(std::max(Duration::zero(), end - m_clock.now()));
    }

    void runDaemon(const Event &event, Yield yield)
    {
        const auto found = m_daemons.find(event.daemon);
        if (found == m_daemons.end() || event.generation != m_generation)
            return;
        SimulatedDaemon &daemon = *found->second;
        const MonotonicTime next = daemon.round(yield);
        m_events.push({ next, {}, event.daemon, m_generation });
        if (!daemon.parts.fleet.synced)
            return;
        if (!daemon.firstViewAt)
            daemon.firstViewAt = daemon.store.receivedAt;
        if (!daemon.isRegistered) {
            daemon.isRegistered = true;
            m_figures.calls += 2; // The lease and the key.
            m_store.put(FleetKeys::daemon(event.daemon),
                        serializeRegistration(daemon.registration));
        }
        const bool isPlanner = daemon.registration.processor >= 1 && !m_writesLinkKey;
        if (isPlanner) {
            m_writesLinkKey = true;
            m_events.push({ m_clock.now() + linkKeyDelay,
                            [this] { m_store.put(FleetKeys::linkKey(), "secret"); } });
        }
        const CatalogPointer &catalog = daemon.parts.dispatch.catalog;
        if (catalog && catalog->version() == CatalogVersion(m_catalogVersion)
            && m_catalogApplied.insert(event.daemon).second)
            m_lastCatalogAt = std::max(m_lastCatalogAt, daemon.store.receivedAt);
    }

    SimulatedFleetOptions m_options;
    IoContext m_io { 1 };
    ManualClock m_clock;
    MemoryKeyValueStore m_store;
    Random m_random;
    SimulatedLink m_storeLink;
    StoreFigures m_figures;
    MonotonicTime m_startedAt;
    DaemonsById m_daemons;
    int m_generation = 0; // Incremented when all daemons restart.
    bool m_writesLinkKey = false;
    std::priority_queue<Event> m_events;
    int m_catalogVersion = 0;
    MonotonicTime m_catalogChangedAt;
    MonotonicTime m_lastCatalogAt;
    std::set<DaemonId> m_catalogApplied; // Daemons with the latest version.
};

SimulatedFleet::SimulatedFleet(const SimulatedFleetOptions &options)
    : m_state(std::make_unique<State>(options))
{ }

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::run(Duration duration)
{
    m_state->run(duration);
}

void SimulatedFleet::changeCatalog()
{
    m_state->changeCatalog();
}

void SimulatedFleet::forgetHistory()
{
    m_state->forgetHistory();
}

void SimulatedFleet::restartAll()
{
    m_state->restartAll();
}

void SimulatedFleet::killRelays()
{
    m_state->killRelays();
}

FleetReport SimulatedFleet::report() const
{
    return m_state->report();
}

void SimulatedFleet::resetFigures()
{
    m_state->resetFigures();
}

} // namespace ramphinge
