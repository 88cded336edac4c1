// The picture of the store: see store_sync.h.

#include "ramphinge/fleet_control/store_sync.h"

#include <algorithm>
#include <exception>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

constexpr const char *ownPrefix = "ramphinge/";
constexpr double retrySpread = 1.0;
// Each call is paid for, so changes are gathered for as long as can be: the rest of the time is for
// the call, and for a busy daemon.
constexpr double gatherShare = 0.5;
// Taken off the time that a proof lasts: answers on their way, and a busy daemon.
constexpr Duration proofSlack = std::chrono::milliseconds(500);
constexpr Duration shortestWatch = std::chrono::milliseconds(300);
// Longer watches save nothing: servers' entries change more often.
constexpr Duration longestWatch = std::chrono::seconds(5);
// From the failure of a watch until the picture is new again: a retry, a call that takes a few
// milliseconds, and slack for a busy daemon.
constexpr Duration recovery = std::chrono::milliseconds(400);
// The first call after a failed one only finds out whether the store answers.
constexpr Duration probeWait = std::chrono::milliseconds(1);
// Taken off the time that kept servers get: a round of expiry, and requests on their way.
constexpr Duration graceSlack = std::chrono::milliseconds(200);

// Where the bounds allow a picture to be this old at most, relays aren't asked: their own watches,
// 300 ms each at least, and a question would use all of it.
constexpr Duration leastRelayedAge = std::chrono::milliseconds(1200);
// Part of that age that a question to a relay waits, and part that passes between two: the rest is
// for the relay's own watches.
constexpr double relayedWaitShare = 0.3;
constexpr double relayedGatherShare = 0.2;
// Calls that a daemon makes at least, while it has lost the store, within the time after which it
// must be in touch again. Two would do; in 5.6 s of an outage 295 daemons make 950 calls so, and
// made 4,800 with one every 100 to 200 ms.
constexpr int lostCalls = 3;
// A relay's calls: ten relays that gather for half a second make 20 calls a second for 295 daemons,
// which made 470 a second by themselves.
constexpr Duration gatherAsRelay = std::chrono::milliseconds(500);

// A zone's relays and reserves.
constexpr int mostRelaysAsked = 4;
// A relay that has nothing to tell says so within a few milliseconds; one that took longer has used
// up the time for another.
constexpr Duration quickRefusal = std::chrono::milliseconds(100);

bool isOwn(const StoreKey &key)
{
    return key.text().rfind(ownPrefix, 0) == 0;
}

} // namespace

namespace {

// A picture that is as old as `relayedAge` when a relay is asked gets no answer, in the worst case,
// for the question's lateness; then the store is asked, for which `recovery` is kept. All that must
// be over when the bounds end. A relay's own proof is two of its watches and one gathering old, and
// a question may wait.
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
    // A connection may go silent as the daemon begins to gather: that, the watch on it and the call
    // after it must be over when the daemon's picture has to be in time again. A watch of 5 s left
    // one daemon of 68 without news for 8 s after the store had been away for 2.4 s.
    Duration longest = bounds.connectivityGrace - options.gather - watchLateness - recovery;
    // A watch proves, when it ends, what held when it began. So while one waits, the proof dates
    // from the beginning of the one before.
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

// Where changes come faster than one answer holds, gathering would let the picture fall behind for
// as long as they do.
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

// What is thrown inside may have left out a part of the news that are counted as taken in, so the
// picture is listed anew, and counts as one whose store is lost until then.
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

// The daemon's ways may be sound since m_brokenAt, and `connectivityGrace` later it must not
// believe in servers that left.
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

// Before what the answer brings is applied: whose entries are kept depends on it.
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

// What a failed call proves of the ways to the store is dated by the earliest moment at which they
// may have been sound again. The first one in a row may have failed by its kept connection alone,
// which may have gone silent right after the last answer, a gathering before; where more time has
// passed the process itself stood still. Later ones use connections of their own.
// A store that turns calls away for being too many has answered. This guards against requests to
// servers that left: one silent connection would keep them for 0.8 s longer than the 3 s that are
// allowed (test of a silent connection, default bounds).
void StoreSync::noteFailed(MonotonicTime startedAt, const Error &error)
{
    // With a relay's news, the kept connection may have been silent for longer.
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

// From the first relay that has a picture: one that has none says so at once, and the next one
// costs no call of the store.
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

// A watch by way of a relay; by way of the store if that fails, or leaves the picture too old.
Status StoreSync::askRelay(Yield yield)
{
    const Duration left = m_provenAt + m_options.relayedAge - m_clock.now();
    // While a relay still has changes to tell, the store would tell the same ones.
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
    // A relay's picture may be behind what the store itself told.
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

// A picture begun at `startedAt` holds every change up to then.
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

// An entry that can't be understood, of another writer say, names no server to use, whatever it
// named before. The others hold.
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
    // This daemon's own write may be newer than all that the store's answer tells.
    const auto present = m_fleet.ownKeys.find(key);
    if (present != m_fleet.ownKeys.end() && m_upTo < present->second.revision)
        return;
    if (stored)
        m_fleet.ownKeys[key] = *stored;
    else
        m_fleet.ownKeys.erase(key);
}

} // namespace ramphinge
