// The daemon's view of the store: see store_sync.h.

#include "ramphinge/fleet_control/store_sync.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

constexpr const char *daemonKeyPrefix = "ramphinge/";
constexpr double retryJitter = 1.0;
// Part of the allowed delay of a change that is spent on batching, since store calls are billed.
// The rest is for the call itself and for scheduling delays of a busy daemon.
constexpr double batchDelayShare = 0.5;
// Subtracted from the lifetime of a proof, for network and scheduling delays.
constexpr Duration proofMargin = std::chrono::milliseconds(500);
constexpr Duration minWatchWait = std::chrono::milliseconds(300);
// Longer watches save no calls: servers' entries change more often.
constexpr Duration maxWatchWait = std::chrono::seconds(5);
// From the failure of a watch until the view is current again: the retry delay, a call of a few
// milliseconds, and a margin for scheduling delays.
constexpr Duration recoveryTime = std::chrono::milliseconds(400);
// The first call after a failed one only checks whether the store answers.
constexpr Duration probeWait = std::chrono::milliseconds(1);
// Subtracted from the grace period of retained servers, for one expiry interval and requests in
// flight.
constexpr Duration graceMargin = std::chrono::milliseconds(200);

// If the bounds allow no older view than this, relays aren't used: their own watches, at least 300
// ms each, and the request to the relay would take all of that time.
constexpr Duration minRelayedAge = std::chrono::milliseconds(1200);
// Parts of the maximum age that a request to a relay may wait, and that may pass between two
// requests. The rest is for the relay's own watches.
constexpr double relayRequestWaitShare = 0.3;
constexpr double relayedBatchDelayShare = 0.2;
// Minimum number of store calls within the connectivity grace during an outage; two would suffice.
// In an outage of 5.6 s 295 daemons make 950 calls, and 4,800 with one call every 100 to 200 ms.
constexpr int minCallsInGrace = 3;
// With half a second of batching, ten relays make 20 calls a second to the store; without relays
// 295 daemons made 470 a second.
constexpr Duration batchDelayAsRelay = std::chrono::milliseconds(500);

// A zone has this many relays and reserve relays.
constexpr int maxRelaysAsked = 4;
// A relay without a view refuses within a few milliseconds. After a slower failure there is no time
// left to ask another relay.
constexpr Duration maxRefusalTime = std::chrono::milliseconds(100);

bool isDaemonWrittenKey(const StoreKey &key)
{
    return key.text().rfind(daemonKeyPrefix, 0) == 0;
}

} // namespace

namespace {

// In the worst case the view is already `maxRelayedAge` old when a relay is asked, and the request
// fails only after `maxWatchLateness`. Then the store is called, which takes up to `recoveryTime`.
// All of that must fit within the bounds. A relay's own proof is up to two of its watches and one
// batching delay old, and the relay may let the request wait.
void setRelayTimes(StoreSyncOptions &options, const StalenessBounds &bounds)
{
    Duration strictest = std::min(bounds.changeInForce, bounds.connectivityGrace);
    if (bounds.proofLifetime)
        strictest = std::min(strictest, *bounds.proofLifetime);
    const Duration age = strictest - maxWatchLateness - 2 * recoveryTime;
    if (age < minRelayedAge)
        return;
    options.maxRelayedAge = age;
    options.relayRequestWait = scaled(age, relayRequestWaitShare);
    options.disconnectedCallInterval = bounds.connectivityGrace / minCallsInGrace;
    options.batchDelayRelayed = std::min(batchDelayAsRelay, scaled(age, relayedBatchDelayShare));
    options.batchDelayAsRelay = std::min(batchDelayAsRelay, scaled(age, relayedBatchDelayShare));
    options.watchWaitAsRelay =
        std::max(minWatchWait, (age - options.relayRequestWait - options.batchDelayAsRelay) / 2);
}

} // namespace

StoreSyncOptions storeSyncOptions(const StalenessBounds &bounds)
{
    StoreSyncOptions options;
    options.connectivityGrace = bounds.connectivityGrace;
    options.minLapseOutage = 2 * bounds.serverHeartbeat;
    options.batchDelay =
        std::min(scaled(bounds.changeInForce, batchDelayShare), bounds.connectivityGrace / 3);
    if (bounds.proofLifetime)
        options.batchDelay = std::min(options.batchDelay, *bounds.proofLifetime / 3);
    // A connection may stall at the beginning of the batching delay: the delay, the watch that
    // times out and the call after it must fit within the connectivity grace. With watches of 5 s,
    // one daemon of 68 got no changes for 8 s after an outage of 2.4 s.
    Duration watchLimit =
        bounds.connectivityGrace - options.batchDelay - maxWatchLateness - recoveryTime;
    // A watch that ends proves that the view was current when the watch began. So during a watch,
    // the proof dates from the beginning of the previous one.
    if (bounds.proofLifetime)
        watchLimit =
            std::min(watchLimit, (*bounds.proofLifetime - options.batchDelay - proofMargin) / 2);
    options.watchWait = std::clamp(watchLimit, minWatchWait, maxWatchWait);
    setRelayTimes(options, bounds);
    return options;
}

StoreSync::StoreSync(IoContext &io, const Clock &clock, StoreSyncOptions options,
                     KeyValueStore &store, const DocumentDecoder &decoder, FleetState &fleet,
                     DispatchState &dispatch, DecisionLog &log, std::function<bool()> isPlanner,
                     std::function<void()> onChange)
    : m_io(io), m_clock(clock), m_options(options), m_store(store), m_decoder(decoder),
      m_fleet(fleet), m_dispatch(dispatch), m_log(log), m_isPlanner(std::move(isPlanner)),
      m_onChange(std::move(onChange)), m_random(options.seed.value_or(entropySeed()))
{ }

void StoreSync::run(Yield yield)
{
    while (!m_stopping) {
        round(yield);
        if (m_stopping)
            return;
        if (const Duration pause = pauseAfterRound(); pause > Duration::zero())
            sleepFor(m_io, pause, yield);
    }
}

// No batching while an answer was truncated: the view would fall further behind for as long as
// changes exceed the size of one answer.
Duration StoreSync::pauseAfterRound()
{
    if (!m_fleet.storeReachable || m_awaitsPermit)
        return m_random.jittered(m_options.retryDelay, retryJitter);
    const bool batches = m_fleet.synced && m_hadChanges && m_isCaughtUp;
    return batches ? currentBatchDelay() : Duration::zero();
}

void StoreSync::useRelays(UpdateSource &source, ViewListener &listener,
                          std::function<bool()> isRelay)
{
    m_relaySource = &source;
    m_viewListener = &listener;
    m_isRelay = std::move(isRelay);
}

Duration StoreSync::currentBatchDelay() const
{
    if (m_isPlanner())
        return m_options.batchDelayAsPlanner;
    if (m_isRelay() && m_options.maxRelayedAge > Duration::zero())
        return m_options.batchDelayAsRelay;
    return m_lastAnswerWasRelayed ? m_options.batchDelayRelayed : m_options.batchDelay;
}

Duration StoreSync::watchWait() const
{
    if (!m_fleet.storeReachable || !m_isCaughtUp)
        return probeWait;
    const bool servesFollowers = m_isRelay() && m_options.maxRelayedAge > Duration::zero();
    return servesFollowers ? m_options.watchWaitAsRelay : m_options.watchWait;
}

// After an exception, changes that count as applied may be missing from the view. So the store is
// listed again, and counts as unreachable until then.
void StoreSync::round(Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    try {
        updateView(startedAt, yield);
    } catch (const std::exception &e) {
        m_fleet.synced = false;
        if (m_viewListener != nullptr)
            m_viewListener->viewStopped();
        handleFailure(startedAt, Error(ErrorKind::Unknown, e.what()));
        throw;
    }
}

void StoreSync::updateView(MonotonicTime startedAt, Yield yield)
{
    m_awaitsPermit = false;
    const Status status = readChanges(yield);
    expireRetained();
    if (status.ok())
        return;
    if (m_viewListener != nullptr)
        m_viewListener->viewStopped();
    if (status.error().kind() == ErrorKind::NotFound) {
        m_log.write("history_lost", LogWeight::Belief, { { "after", m_syncedRevision.count() } });
        m_fleet.synced = false;
    } else {
        handleFailure(startedAt, status.error());
    }
}

bool StoreSync::canAskRelay() const
{
    return m_relaySource != nullptr && m_options.maxRelayedAge > Duration::zero() && !m_isPlanner()
        && m_relaySource->canAsk(!m_fleet.storeReachable);
}

Status StoreSync::readChanges(Yield yield)
{
    const bool isListed = m_fleet.synced;
    for (int attempt = 0; !isListed && attempt < maxRelaysAsked && canAskRelay(); ++attempt) {
        if (listRelay(yield).ok())
            return Done {};
    }
    if (!isListed)
        return mayReadBulk() ? listStore(yield) : awaitPermit();
    const bool sendsSnapshots = m_isRelay() && m_options.maxRelayedAge > Duration::zero();
    if (sendsSnapshots && m_viewListener->wantsListing() && mayReadBulk())
        return listStore(yield);
    return canAskRelay() ? watchRelay(yield) : watchStoreIfPermitted(watchWait(), yield);
}

// Not a failure: the store may well be reachable.
Status StoreSync::awaitPermit()
{
    m_permit->request();
    m_awaitsPermit = true;
    return Done {};
}

// A caught-up view needs only what has changed since. One that isn't would be followed by all the
// others that fell behind with it, and their answers fill the store's link, behind which leases and
// configurations wait.
Status StoreSync::watchStoreIfPermitted(Duration wait, Yield yield)
{
    return m_isCaughtUp || mayReadBulk() ? watchStore(wait, yield) : awaitPermit();
}

void StoreSync::runExpiry(Yield yield)
{
    while (!m_stopping) {
        sleepFor(m_io, m_options.expiryInterval, yield);
        expireRetained();
    }
}

// Connectivity may have been restored right after m_disconnectedAt, and `connectivityGrace` later
// departed servers must get no requests.
MonotonicTime StoreSync::retainedUntil() const
{
    return m_disconnectedAt + m_options.connectivityGrace - graceMargin;
}

void StoreSync::expireRetained()
{
    if (!m_fleet.storeReachable)
        m_fleet.servers.extendRetention(retainedUntil());
    const std::vector<HostId> gone = m_fleet.servers.expire(m_clock.now());
    for (const HostId &host : gone)
        m_log.write("server_not_back", LogWeight::Belief, { { "host", host.text() } });
    if (!gone.empty())
        m_onChange();
}

// Must be called before the answer's changes are applied: it decides which missing servers are
// retained.
void StoreSync::handleAnswer(MonotonicTime answeredAt)
{
    const MonotonicTime now = m_clock.now();
    const Duration outage = now - m_lastAnswerAt;
    m_lastAnswerAt = std::max(m_lastAnswerAt, answeredAt);
    if (m_fleet.storeReachable)
        return;
    m_fleet.storeReachable = true;
    const MonotonicTime graceEnd = std::min(now + m_options.returnGrace, retainedUntil());
    const bool mayHaveLapsed = outage >= m_options.minLapseOutage;
    if (mayHaveLapsed)
        m_fleet.servers.startGracePeriod(graceEnd);
    m_log.write("store_regained", LogWeight::Belief,
                { { "up_to", m_syncedRevision.count() },
                  { "away_ms", toMilliseconds(outage) },
                  { "keeps_missing_ms", mayHaveLapsed ? toMilliseconds(graceEnd - now) : 0 } });
}

// Dates the outage by the earliest moment at which connectivity may have been restored. The first
// failure in a row may be due to its persistent connection alone, which may have stalled right
// after the last answer, one batching delay earlier; if more time has passed, the process itself
// was suspended. Later calls use new connections. A store that rejects calls as overloaded is
// reachable. Dating it by the failed call instead would retain departed servers after a stalled
// connection for 0.8 s longer than the 3 s that the default bounds allow.
void StoreSync::handleFailure(MonotonicTime startedAt, const Error &error)
{
    // With a relay, the persistent connection may have stalled earlier.
    const MonotonicTime stalledSince = m_lastAnswerWasRelayed
        ? m_lastDirectAnswerAt
        : std::max(m_lastAnswerAt, startedAt - m_options.batchDelay);
    if (error.kind() != ErrorKind::Overloaded)
        m_disconnectedAt = m_fleet.storeReachable ? stalledSince : startedAt;
    if (!m_fleet.storeReachable)
        return;
    m_fleet.storeReachable = false;
    m_log.write("store_lost", LogWeight::Belief,
                { { "up_to", m_syncedRevision.count() }, { "why", error.message() } });
}

Status StoreSync::listStore(Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    const Result<StoreSnapshot> snapshot = m_store.list(StoreKey(), yield);
    if (!snapshot.ok())
        return snapshot.error();
    const MonotonicTime answeredAt = m_clock.now();
    decodeNewestCatalog(snapshot.value(), yield);
    m_lastAnswerWasRelayed = false;
    m_lastDirectAnswerAt = answeredAt;
    handleAnswer(answeredAt);
    applySnapshot(snapshot.value());
    recordFreshness(startedAt);
    if (m_viewListener != nullptr)
        m_viewListener->viewListed(snapshot.value(), startedAt);
    m_onChange();
    return Done {};
}

// A relay's snapshot that is older than the view would revert it.
Status StoreSync::listRelay(Yield yield)
{
    const Result<RelayedSnapshot> relayed = m_relaySource->snapshot(yield);
    if (!relayed.ok())
        return relayed.error();
    if (relayed.value().snapshot.upTo < m_syncedRevision) {
        m_log.write("snapshot_rejected", LogWeight::Belief,
                    { { "up_to", relayed.value().snapshot.upTo.count() },
                      { "own", m_syncedRevision.count() } });
        return Error(ErrorKind::InvalidInput, "the relay's snapshot is older than the view");
    }
    decodeNewestCatalog(relayed.value().snapshot, yield);
    m_lastAnswerWasRelayed = true;
    handleAnswer(relayed.value().freshAsOf);
    applySnapshot(relayed.value().snapshot);
    recordFreshness(relayed.value().freshAsOf);
    m_onChange();
    return Done {};
}

void StoreSync::applySnapshot(const StoreSnapshot &snapshot)
{
    m_syncedRevision = snapshot.upTo;
    std::vector<UpstreamServer> servers;
    m_fleet.evacuatedZones.clear();
    eraseIf(m_fleet.daemonKeys,
            [&](const auto &entry) { return entry.second.revision <= m_syncedRevision; });
    std::map<StoreKey, Revision> droppedBefore = std::exchange(m_droppedEntries, {});
    for (const StoredEntry &entry : snapshot.entries) {
        if (auto dropped = droppedBefore.extract(entry.key); !dropped.empty())
            m_droppedEntries.insert(std::move(dropped));
        applyAlone(entry.key, entry.stored, [&] { applyListed(entry, servers); });
    }
    m_fleet.servers.replaceAll(std::move(servers), m_clock.now());
    m_hadChanges = true;
    m_isCaughtUp = true;
    m_fleet.synced = true;
    m_log.write("store_listed", LogWeight::Belief,
                { { "up_to", m_syncedRevision.count() },
                  { "servers", m_fleet.servers.servers().size() },
                  { "relayed", m_lastAnswerWasRelayed } });
}

void StoreSync::applyListed(const StoredEntry &entry, std::vector<UpstreamServer> &servers)
{
    const ServerName name = m_decoder.serverOf(entry.key);
    if (name.empty()) {
        apply(entry.key, entry.stored);
        return;
    }
    Result<UpstreamServer> server = decodeServer(name, entry.stored.value);
    if (server.ok())
        servers.push_back(std::move(server.value()));
    else
        dropEntry(entry.key, entry.stored, server.error());
}

// Contains the failure of one entry: the others are applied, and the round goes on.
template <typename Apply>
void StoreSync::applyAlone(const StoreKey &key, const std::optional<StoredValue> &stored,
                           Apply apply)
{
    try {
        apply();
    } catch (const std::exception &e) {
        dropEntry(key, stored.value_or(StoredValue()), Error(ErrorKind::InvalidInput, e.what()));
    }
}

Status StoreSync::watchStore(Duration wait, Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    m_lastWatchCallAt = startedAt;
    const Result<WatchBatch> batch = m_store.watch(StoreKey(), m_syncedRevision, wait, yield);
    if (!batch.ok())
        return batch.error();
    const MonotonicTime answeredAt = m_clock.now();
    decodeNewestCatalog(batch.value(), yield);
    m_lastAnswerWasRelayed = false;
    m_lastDirectAnswerAt = answeredAt;
    handleAnswer(answeredAt);
    applyBatch(batch.value());
    if (m_isCaughtUp)
        recordFreshness(startedAt);
    if (m_viewListener != nullptr)
        m_viewListener->viewAdvanced(batch.value(), m_isCaughtUp ? startedAt : m_freshAsOf);
    if (m_hadChanges)
        m_onChange();
    return Done {};
}

// Asks relays until one has a view: one without refuses immediately, and asking the next one costs
// no store call.
Result<RelayedUpdate> StoreSync::nextRelayedChanges(Duration wait, Yield yield)
{
    const bool storeLost = !m_fleet.storeReachable;
    for (int attempt = 1;; ++attempt) {
        const MonotonicTime askedAt = m_clock.now();
        Result<RelayedUpdate> update =
            m_relaySource->next(m_syncedRevision, wait, storeLost, yield);
        const bool wasQuick = m_clock.now() - askedAt < maxRefusalTime;
        const bool mayAskNext = !update.ok() && update.error().kind() == ErrorKind::Unavailable
            && wasQuick && attempt < maxRelaysAsked && m_relaySource->canAsk(storeLost);
        if (!mayAskNext)
            return update;
    }
}

// One watch through a relay; on the store itself if that fails or the view is too old.
Status StoreSync::watchRelay(Yield yield)
{
    const Duration remaining = m_freshAsOf + m_options.maxRelayedAge - m_clock.now();
    // While the relay has more changes to deliver, the store would return the same ones.
    const bool isCatchingUp = m_lastAnswerWasRelayed && !m_isCaughtUp;
    const bool mayWatchStore = m_isCaughtUp || mayReadBulk();
    if (m_fleet.storeReachable && remaining <= Duration::zero() && !isCatchingUp && mayWatchStore)
        return watchStore(probeWait, yield);
    const Duration maxWait = m_isCaughtUp ? m_options.relayRequestWait : Duration::zero();
    const Duration wait = m_fleet.storeReachable ? std::clamp(remaining, Duration::zero(), maxWait)
                                                 : m_options.relayRequestWait;
    const MonotonicTime askedAt = m_clock.now();
    const Result<RelayedUpdate> update = nextRelayedChanges(wait, yield);
    if (!update.ok()) {
        m_log.write("relay_not_used", LogWeight::Routine,
                    { { "up_to", m_syncedRevision.count() }, { "why", update.error().message() } });
        if (update.error().kind() == ErrorKind::NotFound && listRelay(yield).ok())
            return Done {};
        const bool waited = m_clock.now() - askedAt >= wait;
        if (!m_fleet.storeReachable && waited
            && m_clock.now() - m_lastWatchCallAt < m_options.disconnectedCallInterval)
            return update.error();
        const bool isOld = m_clock.now() - m_freshAsOf >= m_options.maxRelayedAge / 2;
        return watchStoreIfPermitted(isOld || !m_fleet.storeReachable ? probeWait : watchWait(),
                                     yield);
    }
    decodeNewestCatalog(update.value().batch, yield);
    m_lastAnswerWasRelayed = true;
    handleAnswer(update.value().freshAsOf);
    applyBatch(update.value().batch);
    recordFreshness(update.value().freshAsOf);
    if (m_hadChanges)
        m_onChange();
    return Done {};
}

void StoreSync::applyBatch(const WatchBatch &batch)
{
    // A relay's view may be older than what the store itself returned.
    m_syncedRevision = std::max(m_syncedRevision, batch.upTo);
    for (const StoreChange &change : batch.changes) {
        if (!change.stored)
            m_droppedEntries.erase(change.key);
        applyAlone(change.key, change.stored, [&] { apply(change.key, change.stored); });
    }
    m_hadChanges = !batch.changes.empty();
    m_isCaughtUp = batch.reachesPresent;
}

void StoreSync::apply(const StoreKey &key, const std::optional<StoredValue> &stored)
{
    if (const ServerName name = m_decoder.serverOf(key); !name.empty())
        applyServer(key, name, stored);
    else if (m_decoder.isCatalog(key) && stored)
        applyCatalog(key, *stored);
    else if (const ZoneId zone = m_decoder.evacuatedZoneOf(key); !zone.empty())
        applyEvacuation(zone, stored.has_value());
    else if (isDaemonWrittenKey(key))
        applyDaemonKey(key, stored);
}

void StoreSync::applyEvacuation(const ZoneId &zone, bool isRequested)
{
    const bool isNew = isRequested ? m_fleet.evacuatedZones.insert(zone).second
                                   : m_fleet.evacuatedZones.erase(zone) > 0;
    if (isNew)
        m_log.write(isRequested ? "zone_evacuated" : "zone_evacuation_ended", LogWeight::Belief,
                    { { "zone", zone.text() } });
}

// The entry was written earlier than it is received, so the coldness is overestimated, never
// underestimated.
Result<UpstreamServer> StoreSync::decodeServer(const ServerName &name,
                                               const std::string &value) const
{
    Result<UpstreamServer> server = m_decoder.decodeServer(name, value);
    if (server.ok() && server.value().coldRemaining > Duration::zero())
        server.value().coldUntil = m_clock.now() + server.value().coldRemaining;
    return server;
}

// Records that the view includes every change up to `startedAt`, when its list or watch began.
void StoreSync::recordFreshness(MonotonicTime startedAt)
{
    m_freshAsOf = std::max(m_freshAsOf, startedAt);
    if (m_catalogReadable)
        m_dispatch.freshness.confirm(startedAt);
}

void StoreSync::decodeNewestCatalog(const StoreSnapshot &snapshot, Yield yield)
{
    m_decodedCatalog.reset();
    for (const StoredEntry &entry : snapshot.entries) {
        if (m_decoder.isCatalog(entry.key))
            decodeCatalog(entry.stored, yield);
    }
}

void StoreSync::decodeNewestCatalog(const WatchBatch &batch, Yield yield)
{
    m_decodedCatalog.reset();
    const auto newest =
        std::find_if(batch.changes.rbegin(), batch.changes.rend(), [this](const auto &change) {
            return change.stored && m_decoder.isCatalog(change.key);
        });
    if (newest != batch.changes.rend())
        decodeCatalog(*newest->stored, yield);
}

// Suspends between steps, so that a large catalog doesn't delay the event loop's other handlers.
// Called before anything of the answer is applied, which happens without suspension.
void StoreSync::decodeCatalog(const StoredValue &stored, Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    Result<CatalogPointer> catalog = Error(ErrorKind::InvalidInput, "not decoded");
    try {
        catalog = decodeInSteps(stored.value, yield);
    } catch (const std::exception &e) {
        catalog = Error(ErrorKind::InvalidInput, e.what());
    }
    m_decodedCatalog =
        DecodedCatalog { stored.revision, std::move(catalog), m_clock.now() - startedAt };
}

Result<CatalogPointer> StoreSync::decodeInSteps(const std::string &value, Yield yield) const
{
    const std::unique_ptr<CatalogDecoding> decoding = m_decoder.beginCatalog(value);
    while (true) {
        yieldToLoop(m_io, yield);
        const Result<bool> isComplete = decoding->step();
        if (!isComplete.ok())
            return isComplete.error();
        if (isComplete.value())
            break;
    }
    CatalogBuilder builder(decoding->take());
    do {
        yieldToLoop(m_io, yield);
    } while (!builder.step());
    return builder.take();
}

// Ignores versions that a later one of the same answer replaces.
void StoreSync::applyCatalog(const StoreKey &key, const StoredValue &stored)
{
    if (!m_decodedCatalog || m_decodedCatalog->revision != stored.revision)
        return;
    if (m_relaySource != nullptr)
        m_relaySource->setDeltaBase({ key, stored });
    const Result<CatalogPointer> &catalog = m_decodedCatalog->catalog;
    m_catalogReadable = catalog.ok();
    if (!catalog.ok()) {
        dropEntry(key, stored, catalog.error());
        return;
    }
    const CatalogVersion version = catalog.value()->version();
    if (m_dispatch.catalog && version < m_dispatch.catalog->version())
        return;
    const bool isNew = !m_dispatch.catalog || m_dispatch.catalog->version() != version;
    m_dispatch.setCatalog(catalog.value());
    if (isNew)
        m_log.write("catalog_in_force", LogWeight::Belief,
                    { { "version", version.count() },
                      { "revision", stored.revision.count() },
                      { "bytes", stored.value.size() },
                      { "took_ms", toMilliseconds(m_decodedCatalog->took) } });
}

// Makes nothing of an entry that can't be used, such as one that another program wrote. A server is
// dropped even if it was known before; the catalog and the plan in use stay.
void StoreSync::dropEntry(const StoreKey &key, const StoredValue &stored, const Error &why)
{
    const ServerName name = m_decoder.serverOf(key);
    const bool wasKnown = !name.empty() && m_fleet.servers.removeAtOnce(name);
    const bool isCatalog = name.empty() && m_decoder.isCatalog(key);
    if (isCatalog)
        m_catalogReadable = false;
    const auto [dropped, isNew] = m_droppedEntries.try_emplace(key, stored.revision);
    if (!isNew && dropped->second == stored.revision)
        return; // Listed again, or a relay's view.
    dropped->second = stored.revision;
    ++m_fleet.unreadableEntries;
    if (!name.empty())
        m_log.write("entry_unreadable", LogWeight::Failure,
                    { { "host", name.text() },
                      { "was_known", wasKnown },
                      { "revision", stored.revision.count() },
                      { "why", why.message() } });
    else
        m_log.write(isCatalog                      ? "catalog_unreadable"
                        : key == FleetKeys::plan() ? "plan_unreadable"
                                                   : "daemon_key_unreadable",
                    LogWeight::Belief,
                    { { "key", key.text() },
                      { "revision", stored.revision.count() },
                      { "why", why.message() } });
}

void StoreSync::applyServer(const StoreKey &key, const ServerName &name,
                            const std::optional<StoredValue> &stored)
{
    if (!stored) {
        const bool gone = m_fleet.servers.remove(name, m_clock.now());
        m_log.write("server_gone", LogWeight::Belief,
                    { { "host", name.text() }, { "kept_for_now", !gone } });
        return;
    }
    Result<UpstreamServer> server = decodeServer(name, stored->value);
    if (!server.ok()) {
        dropEntry(key, *stored, server.error());
        return;
    }
    const UpstreamServer after = server.value();
    const UpstreamServer *before = m_fleet.servers.find(after.host);
    const bool isNoteworthy = before == nullptr || before->draining != after.draining;
    const PutOutcome outcome = m_fleet.servers.put(std::move(server.value()));
    if (isNoteworthy || outcome == PutOutcome::Outdated)
        m_log.write("server_seen", LogWeight::Belief,
                    { { "host", after.host.text() },
                      { "service", after.service.text() },
                      { "draining", after.draining },
                      { "restarted", outcome == PutOutcome::Restarted },
                      { "outdated", outcome == PutOutcome::Outdated },
                      { "revision", stored->revision.count() } });
}

void StoreSync::applyDaemonKey(const StoreKey &key, const std::optional<StoredValue> &stored)
{
    if (key == FleetKeys::plan()) {
        if (!stored)
            return;
        if (const Status taken = m_fleet.applyPlan(*stored); !taken.ok())
            dropEntry(key, *stored, taken.error());
        return;
    }
    // This daemon's own write may be newer than the store's answer.
    const auto present = m_fleet.daemonKeys.find(key);
    if (present != m_fleet.daemonKeys.end() && m_syncedRevision < present->second.revision)
        return;
    if (!stored) {
        m_fleet.daemonKeys.erase(key);
        return;
    }
    if (key == FleetKeys::keyRequirement())
        m_dispatch.hasRequiredKeys = true;
    // Kept even if it can't be used: who replaces it needs its revision.
    m_fleet.daemonKeys[key] = *stored;
    if (const Status usable = checkDaemonKey(key, *stored); !usable.ok())
        dropEntry(key, *stored, usable.error());
}

} // namespace ramphinge
