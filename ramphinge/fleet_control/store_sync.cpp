// The daemon's view of the store: see store_sync.h.

#include "ramphinge/fleet_control/store_sync.h"

#include <algorithm>
#include <exception>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

constexpr const char *ownPrefix = "ramphinge/";
constexpr double retrySpread = 1.0;
// Part of the allowed delay of a change that is spent on batching, since store calls are billed.
// The rest is for the call itself and for scheduling delays of a busy daemon.
constexpr double gatherShare = 0.5;
// Subtracted from the lifetime of a proof, for network and scheduling delays.
constexpr Duration proofSlack = std::chrono::milliseconds(500);
constexpr Duration shortestWatch = std::chrono::milliseconds(300);
// Longer watches save no calls: servers' entries change more often.
constexpr Duration longestWatch = std::chrono::seconds(5);
// From the failure of a watch until the view is current again: the retry delay, a call of a few
// milliseconds, and a margin for scheduling delays.
constexpr Duration recovery = std::chrono::milliseconds(400);
// The first call after a failed one only checks whether the store answers.
constexpr Duration probeWait = std::chrono::milliseconds(1);
// Subtracted from the grace period of retained servers, for one expiry interval and requests in
// flight.
constexpr Duration graceSlack = std::chrono::milliseconds(200);

// If the bounds allow no older view than this, relays aren't used: their own watches, at least 300
// ms each, and the request to the relay would take all of that time.
constexpr Duration leastRelayedAge = std::chrono::milliseconds(1200);
// Parts of the maximum age that a request to a relay may wait, and that may pass between two
// requests. The rest is for the relay's own watches.
constexpr double relayedWaitShare = 0.3;
constexpr double relayedGatherShare = 0.2;
// Minimum number of store calls within the connectivity grace during an outage; two would suffice.
// In an outage of 5.6 s 295 daemons make 950 calls, and 4,800 with one call every 100 to 200 ms.
constexpr int lostCalls = 3;
// With half a second of batching, ten relays make 20 calls a second to the store; without relays
// 295 daemons made 470 a second.
constexpr Duration gatherAsRelay = std::chrono::milliseconds(500);

// A zone has this many relays and reserve relays.
constexpr int mostRelaysAsked = 4;
// A relay without a view refuses within a few milliseconds. After a slower failure there is no time
// left to ask another relay.
constexpr Duration quickRefusal = std::chrono::milliseconds(100);

bool isOwn(const StoreKey &key)
{
    return key.text().rfind(ownPrefix, 0) == 0;
}

} // namespace

namespace {

// In the worst case the view is already `relayedAge` old when a relay is asked, and the request
// fails only after `watchLateness`. Then the store is called, which takes up to `recovery`. All of
// that must fit within the bounds. A relay's own proof is up to two of its watches and one batching
// delay old, and the relay may let the request wait.
void setRelayTimes(StoreSyncOptions &options, const PictureBounds &bounds)
{
    Duration strictest = std::min(bounds.changeInForce, bounds.connectivityGrace);
    if (bounds.proofLasts)
        strictest = std::min(strictest, *bounds.proofLasts);
    const Duration age = strictest - watchLateness - 2 * recovery;
    if (age < leastRelayedAge)
        return;
    options.relayedAge = age;
    options.relayedWait = scaled(age, relayedWaitShare);
    options.lostInterval = bounds.connectivityGrace / lostCalls;
    options.gatherRelayed = std::min(gatherAsRelay, scaled(age, relayedGatherShare));
    options.gatherAsRelay = std::min(gatherAsRelay, scaled(age, relayedGatherShare));
    options.watchWaitAsRelay =
        std::max(shortestWatch, (age - options.relayedWait - options.gatherAsRelay) / 2);
}

} // namespace

StoreSyncOptions storeSyncOptions(const PictureBounds &bounds)
{
    StoreSyncOptions options;
    options.connectivityGrace = bounds.connectivityGrace;
    options.entriesStand = 2 * bounds.serverHeartbeat;
    options.gather =
        std::min(scaled(bounds.changeInForce, gatherShare), bounds.connectivityGrace / 3);
    if (bounds.proofLasts)
        options.gather = std::min(options.gather, *bounds.proofLasts / 3);
    // A connection may stall at the beginning of the batching delay: the delay, the watch that
    // times out and the call after it must fit within the connectivity grace. With watches of 5 s,
    // one daemon of 68 got no changes for 8 s after an outage of 2.4 s.
    Duration longest = bounds.connectivityGrace - options.gather - watchLateness - recovery;
    // A watch that ends proves that the view was current when the watch began. So during a watch,
    // the proof dates from the beginning of the previous one.
    if (bounds.proofLasts)
        longest = std::min(longest, (*bounds.proofLasts - options.gather - proofSlack) / 2);
    options.watchWait = std::clamp(longest, shortestWatch, longestWatch);
    setRelayTimes(options, bounds);
    return options;
}

StoreSync::StoreSync(IoContext &io, const Clock &clock, StoreSyncOptions options,
                     KeyValueStore &store, const DocumentDecoder &decoder, FleetState &fleet,
                     DispatchState &dispatch, DecisionLog &log, std::function<bool()> isPlanner,
                     std::function<void()> onChange)
    : m_io(io), m_clock(clock), m_options(options), m_store(store), m_decoder(decoder),
      m_fleet(fleet), m_dispatch(dispatch), m_log(log), m_isPlanner(std::move(isPlanner)),
      m_onChange(std::move(onChange)), m_random(entropySeed())
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
    if (!m_fleet.storeReachable)
        return m_random.jittered(m_options.retry, retrySpread);
    const bool gathers = m_fleet.synced && m_hadNews && m_reachedPresent;
    return gathers ? gatherTime() : Duration::zero();
}

void StoreSync::useRelays(NewsSource &source, PictureListener &listener,
                          std::function<bool()> isRelay)
{
    m_source = &source;
    m_listener = &listener;
    m_isRelay = std::move(isRelay);
}

Duration StoreSync::gatherTime() const
{
    if (m_isPlanner())
        return m_options.gatherAsPlanner;
    if (m_isRelay() && m_options.relayedAge > Duration::zero())
        return m_options.gatherAsRelay;
    return m_relayed ? m_options.gatherRelayed : m_options.gather;
}

Duration StoreSync::watchWait() const
{
    if (!m_fleet.storeReachable || !m_reachedPresent)
        return probeWait;
    const bool forOthers = m_isRelay() && m_options.relayedAge > Duration::zero();
    return forOthers ? m_options.watchWaitAsRelay : m_options.watchWait;
}

// After an exception, changes that count as applied may be missing from the view. So the store is
// listed again, and counts as unreachable until then.
void StoreSync::round(Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    try {
        bringUpToDate(startedAt, yield);
    } catch (const std::exception &e) {
        m_fleet.synced = false;
        if (m_listener != nullptr)
            m_listener->pictureStopped();
        noteFailed(startedAt, Error(ErrorKind::Unknown, e.what()));
        throw;
    }
}

void StoreSync::bringUpToDate(MonotonicTime startedAt, Yield yield)
{
    const bool relayed = m_source != nullptr && m_options.relayedAge > Duration::zero()
        && !m_isPlanner() && m_source->canAsk(!m_fleet.storeReachable);
    const Status status = !m_fleet.synced ? synchronize(yield)
        : relayed                         ? askRelay(yield)
                                          : watchOnce(watchWait(), yield);
    expireKept();
    if (status.ok())
        return;
    if (m_listener != nullptr)
        m_listener->pictureStopped();
    if (status.error().kind() == ErrorKind::NotFound) {
        m_log.write("history_lost", LogWeight::Belief, { { "after", m_upTo.count() } });
        m_fleet.synced = false;
    } else {
        noteFailed(startedAt, status.error());
    }
}

void StoreSync::runExpiry(Yield yield)
{
    while (!m_stopping) {
        sleepFor(m_io, m_options.expiryInterval, yield);
        expireKept();
    }
}

// Connectivity may have been restored right after m_brokenAt, and `connectivityGrace` later
// departed servers must get no requests.
MonotonicTime StoreSync::believedUntil() const
{
    return m_brokenAt + m_options.connectivityGrace - graceSlack;
}

void StoreSync::expireKept()
{
    if (!m_fleet.storeReachable)
        m_fleet.servers.keepMissing(believedUntil());
    const std::vector<HostId> gone = m_fleet.servers.expire(m_clock.now());
    for (const HostId &host : gone)
        m_log.write("server_not_back", LogWeight::Belief, { { "host", host.text() } });
    if (!gone.empty())
        m_onChange();
}

// Must be called before the answer's changes are applied: it decides which missing servers are
// retained.
void StoreSync::noteAnswered(MonotonicTime answeredAt)
{
    const MonotonicTime now = m_clock.now();
    const Duration away = now - m_answeredAt;
    m_answeredAt = std::max(m_answeredAt, answeredAt);
    if (m_fleet.storeReachable)
        return;
    m_fleet.storeReachable = true;
    const MonotonicTime graceEnd = std::min(now + m_options.returnGrace, believedUntil());
    const bool mayHaveLapsed = away >= m_options.entriesStand;
    if (mayHaveLapsed)
        m_fleet.servers.storeReturned(graceEnd);
    m_log.write("store_regained", LogWeight::Belief,
                { { "up_to", m_upTo.count() },
                  { "away_ms", toMilliseconds(away) },
                  { "keeps_missing_ms", mayHaveLapsed ? toMilliseconds(graceEnd - now) : 0 } });
}

// Dates the outage by the earliest moment at which connectivity may have been restored. The first
// failure in a row may be due to its persistent connection alone, which may have stalled right
// after the last answer, one batching delay earlier; if more time has passed, the process itself
// was suspended. Later calls use new connections. A store that rejects calls as overloaded is
// reachable. Dating it by the failed call instead would retain departed servers after a stalled
// connection for 0.8 s longer than the 3 s that the default bounds allow.
void StoreSync::noteFailed(MonotonicTime startedAt, const Error &error)
{
    // With a relay, the persistent connection may have stalled earlier.
    const MonotonicTime silentSince =
        m_relayed ? m_directlyAnsweredAt : std::max(m_answeredAt, startedAt - m_options.gather);
    if (error.kind() != ErrorKind::Overloaded)
        m_brokenAt = m_fleet.storeReachable ? silentSince : startedAt;
    if (!m_fleet.storeReachable)
        return;
    m_fleet.storeReachable = false;
    m_log.write("store_lost", LogWeight::Belief,
                { { "up_to", m_upTo.count() }, { "why", error.message() } });
}

Status StoreSync::synchronize(Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    const Result<StoreSnapshot> snapshot = m_store.list(StoreKey(), yield);
    if (!snapshot.ok())
        return snapshot.error();
    m_relayed = false;
    m_directlyAnsweredAt = m_clock.now();
    noteAnswered(m_directlyAnsweredAt);
    m_upTo = snapshot.value().upTo;
    std::vector<UpstreamServer> servers;
    eraseIf(m_fleet.ownKeys, [&](const auto &entry) { return entry.second.revision <= m_upTo; });
    for (const StoredEntry &entry : snapshot.value().entries) {
        const ServerName name = m_decoder.serverOf(entry.key);
        if (name.empty()) {
            apply(entry.key, entry.stored);
            continue;
        }
        Result<UpstreamServer> server = m_decoder.decodeServer(name, entry.stored.value);
        if (server.ok())
            servers.push_back(std::move(server.value()));
        else
            noteUnreadable(name, server.error());
    }
    m_fleet.servers.replaceAll(std::move(servers), m_clock.now());
    m_hadNews = true;
    m_reachedPresent = true;
    m_fleet.synced = true;
    proveFresh(startedAt);
    if (m_listener != nullptr)
        m_listener->pictureListed(m_upTo, startedAt);
    m_log.write("store_listed", LogWeight::Belief,
                { { "up_to", m_upTo.count() }, { "servers", m_fleet.servers.servers().size() } });
    m_onChange();
    return Done {};
}

Status StoreSync::watchOnce(Duration wait, Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    m_calledAt = startedAt;
    const Result<WatchBatch> batch = m_store.watch(StoreKey(), m_upTo, wait, yield);
    if (!batch.ok())
        return batch.error();
    m_relayed = false;
    m_directlyAnsweredAt = m_clock.now();
    noteAnswered(m_directlyAnsweredAt);
    applyBatch(batch.value());
    if (m_reachedPresent)
        proveFresh(startedAt);
    if (m_listener != nullptr)
        m_listener->pictureAdvanced(batch.value(), m_reachedPresent ? startedAt : m_provenAt);
    if (m_hadNews)
        m_onChange();
    return Done {};
}

// Asks relays until one has a view: one without refuses immediately, and asking the next one costs
// no store call.
Result<RelayedNews> StoreSync::nextNews(Duration wait, Yield yield)
{
    const bool storeLost = !m_fleet.storeReachable;
    for (int relays = 1;; ++relays) {
        const MonotonicTime askedAt = m_clock.now();
        Result<RelayedNews> news = m_source->next(m_upTo, wait, storeLost, yield);
        const bool wasQuick = m_clock.now() - askedAt < quickRefusal;
        const bool mayAskNext = !news.ok() && news.error().kind() == ErrorKind::Unavailable
            && wasQuick && relays < mostRelaysAsked && m_source->canAsk(storeLost);
        if (!mayAskNext)
            return news;
    }
}

// One watch through a relay; on the store itself if that fails or the view is too old.
Status StoreSync::askRelay(Yield yield)
{
    const Duration left = m_provenAt + m_options.relayedAge - m_clock.now();
    // While the relay has more changes to deliver, the store would return the same ones.
    const bool isCatchingUp = m_relayed && !m_reachedPresent;
    if (m_fleet.storeReachable && left <= Duration::zero() && !isCatchingUp)
        return watchOnce(probeWait, yield);
    const Duration patience = m_reachedPresent ? m_options.relayedWait : Duration::zero();
    const Duration wait = m_fleet.storeReachable ? std::clamp(left, Duration::zero(), patience)
                                                 : m_options.relayedWait;
    const MonotonicTime askedAt = m_clock.now();
    const Result<RelayedNews> news = nextNews(wait, yield);
    if (!news.ok()) {
        m_log.write("relay_not_used", LogWeight::Routine,
                    { { "up_to", m_upTo.count() }, { "why", news.error().message() } });
        const bool waited = m_clock.now() - askedAt >= wait;
        if (!m_fleet.storeReachable && waited
            && m_clock.now() - m_calledAt < m_options.lostInterval)
            return news.error();
        const bool isOld = m_clock.now() - m_provenAt >= m_options.relayedAge / 2;
        return watchOnce(isOld || !m_fleet.storeReachable ? probeWait : watchWait(), yield);
    }
    m_relayed = true;
    noteAnswered(news.value().provenAt);
    applyBatch(news.value().batch);
    proveFresh(news.value().provenAt);
    if (m_hadNews)
        m_onChange();
    return Done {};
}

void StoreSync::applyBatch(const WatchBatch &batch)
{
    // A relay's view may be older than what the store itself returned.
    m_upTo = std::max(m_upTo, batch.upTo);
    for (const StoreChange &change : batch.changes)
        apply(change.key, change.stored);
    m_hadNews = !batch.changes.empty();
    m_reachedPresent = batch.reachesPresent;
}

void StoreSync::apply(const StoreKey &key, const std::optional<StoredValue> &stored)
{
    if (const ServerName name = m_decoder.serverOf(key); !name.empty())
        applyServer(name, stored);
    else if (m_decoder.isCatalog(key) && stored)
        applyCatalog(*stored);
    else if (isOwn(key))
        applyOwn(key, stored);
}

// Records that the view includes every change up to `startedAt`, when its list or watch began.
void StoreSync::proveFresh(MonotonicTime startedAt)
{
    m_provenAt = std::max(m_provenAt, startedAt);
    if (m_catalogReadable)
        m_dispatch.freshness.prove(startedAt);
}

void StoreSync::applyCatalog(const StoredValue &stored)
{
    Result<CatalogContent> content = m_decoder.decodeCatalog(stored.value);
    m_catalogReadable = content.ok();
    if (!content.ok()) {
        m_log.write(
            "catalog_unreadable", LogWeight::Belief,
            { { "revision", stored.revision.count() }, { "why", content.error().message() } });
        return;
    }
    const CatalogVersion version = content.value().version;
    if (m_dispatch.catalog && version < m_dispatch.catalog->version())
        return;
    const bool isNew = !m_dispatch.catalog || m_dispatch.catalog->version() != version;
    m_dispatch.catalog = std::make_shared<const ServiceCatalog>(std::move(content.value()));
    if (isNew)
        m_log.write("catalog_in_force", LogWeight::Belief,
                    { { "version", version.count() }, { "revision", stored.revision.count() } });
}

// A server whose entry can't be decoded, such as one that another program wrote, is dropped even if
// it was known before. Other servers are unaffected.
void StoreSync::noteUnreadable(const ServerName &name, const Error &why)
{
    ++m_fleet.unreadableEntries;
    m_log.write("entry_unreadable", LogWeight::Failure,
                { { "host", name.text() },
                  { "was_known", m_fleet.servers.drop(name) },
                  { "why", why.message() } });
}

void StoreSync::applyServer(const ServerName &name, const std::optional<StoredValue> &stored)
{
    if (!stored) {
        const bool gone = m_fleet.servers.remove(name, m_clock.now());
        m_log.write("server_gone", LogWeight::Belief,
                    { { "host", name.text() }, { "kept_for_now", !gone } });
        return;
    }
    Result<UpstreamServer> server = m_decoder.decodeServer(name, stored->value);
    if (!server.ok()) {
        noteUnreadable(name, server.error());
        return;
    }
    const UpstreamServer after = server.value();
    const UpstreamServer *before = m_fleet.servers.find(after.host);
    const bool news = before == nullptr || before->draining != after.draining;
    const PutOutcome outcome = m_fleet.servers.put(std::move(server.value()));
    if (news || outcome == PutOutcome::Outdated)
        m_log.write("server_seen", LogWeight::Belief,
                    { { "host", after.host.text() },
                      { "service", after.service.text() },
                      { "draining", after.draining },
                      { "restarted", outcome == PutOutcome::Restarted },
                      { "outdated", outcome == PutOutcome::Outdated },
                      { "revision", stored->revision.count() } });
}

void StoreSync::applyOwn(const StoreKey &key, const std::optional<StoredValue> &stored)
{
    if (key == FleetKeys::plan()) {
        if (!stored)
            return;
        if (const Status taken = m_fleet.takePlan(*stored); !taken.ok())
            m_log.write(
                "plan_unreadable", LogWeight::Belief,
                { { "revision", stored->revision.count() }, { "why", taken.error().message() } });
        return;
    }
    // This daemon's own write may be newer than the store's answer.
    const auto present = m_fleet.ownKeys.find(key);
    if (present != m_fleet.ownKeys.end() && m_upTo < present->second.revision)
        return;
    if (stored)
        m_fleet.ownKeys[key] = *stored;
    else
        m_fleet.ownKeys.erase(key);
}

} // namespace ramphinge
