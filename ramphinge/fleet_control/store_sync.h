// Keeps the daemon's picture equal to the store's: one list at the start, then one watch over all
// keys. A watch that returns also proves that the catalog is the newest, so it never waits for
// longer than the proof may be old.
//
// Where there are relays the watch goes to one of them instead: each change of a key wakes all
// watches, so watches on the store grow with daemons times changes. What a relay tells comes with
// the moment up to which it holds; a picture that gets too old that way, for whatever reason, is
// renewed from the store at once.

#pragma once

#include <functional>

#include "ramphinge/base/random.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/store/news_source.h"

namespace ramphinge {

// Tells what a key that daemons don't write is, and decodes it. Decides nothing.
class DocumentDecoder
{
public:
    virtual ~DocumentDecoder() = default;

    virtual bool isCatalog(const StoreKey &key) const = 0;
    // The server that a key is the entry of; empty if it is no server's.
    virtual ServerName serverOf(const StoreKey &key) const = 0;
    virtual Result<CatalogContent> decodeCatalog(const std::string &value) const = 0;
    // The life of that server that the entry is of. Errors: InvalidInput; then the entry names no
    // server to use.
    virtual Result<UpstreamServer> decodeServer(const ServerName &name,
                                                const std::string &value) const = 0;
};

struct StoreSyncOptions
{
    // How long one watch waits. Two of them and `gather` must be shorter than the proof may be old.
    // And `gather`, one of them and the call after it must be shorter than `connectivityGrace`.
    Duration watchWait = std::chrono::milliseconds(1000);
    // After a watch that brought changes, before the next: changes that come close together cost
    // one call, not many.
    Duration gather = std::chrono::milliseconds(1000);
    Duration gatherAsPlanner = std::chrono::milliseconds(100);
    // Before the next call after a failed one; up to twice as long, at random. Not longer after
    // many failures: the sooner the store is back, the sooner servers that left are known.
    Duration retry = std::chrono::milliseconds(100);
    // How long after the daemon's ways are sound again its picture must be in time.
    Duration connectivityGrace = std::chrono::seconds(3);
    // How long servers are kept whose entries are gone when the store returns: those that live are
    // back within two seconds. Not longer: some have left meanwhile, and must get no requests.
    Duration returnGrace = std::chrono::milliseconds(2200);
    // An entry lapses only if the store was away for so long: it stands for three heartbeats, and
    // the last one came up to one before the store went away.
    Duration entriesStand = std::chrono::milliseconds(2400);
    // With news from a relay: how old the proof may be that the picture holds every change. Beyond
    // it the store itself is asked. Zero: the bounds leave no time for a hop, relays aren't asked.
    Duration relayedAge {};
    Duration relayedWait {}; // How long a relay may wait for a first change.
    // Between two calls of a daemon that has lost the store and hears from a relay that it has lost
    // it too: that one tells when the store is back.
    Duration lostInterval {};
    Duration gatherRelayed {}; // After a relay's news, before the next question.
    Duration watchWaitAsRelay {}; // A relay's own watches.
    Duration gatherAsRelay {};
    // Between two looks at whether the time of kept servers is over.
    Duration expiryInterval = std::chrono::milliseconds(100);
};

// The bounds that the operators set on how old a daemon's picture may be.
struct PictureBounds
{
    // Changes must be heeded so long after they were acknowledged ...
    Duration changeInForce = std::chrono::seconds(2);
    // ... by a daemon whose ways have been sound for so long.
    Duration connectivityGrace = std::chrono::seconds(3);
    // How long the proof that keys hold is good; without a limit if absent.
    std::optional<Duration> proofLasts;
    // How often servers renew their entries.
    Duration serverHeartbeat = std::chrono::milliseconds(1200);
};

StoreSyncOptions storeSyncOptions(const PictureBounds &bounds);

// Lives on the event loop.
class StoreSync
{
public:
    StoreSync(IoContext &io, const Clock &clock, StoreSyncOptions options, KeyValueStore &store,
              const DocumentDecoder &decoder, FleetState &fleet, DispatchState &dispatch,
              DecisionLog &log, std::function<bool()> isPlanner, std::function<void()> onChange);

    // From now on changes come from `source` while it can be asked, and `listener` follows what the
    // store itself tells. `isRelay` says whether others depend on this picture. All outlive this.
    void useRelays(NewsSource &source, PictureListener &listener, std::function<bool()> isRelay);

    // Runs until stop(). `onChange` is called after each change of the picture.
    void run(Yield yield);

    // One round of run(): a list or a watch, and what follows from its outcome.
    // Throws what a part of it throws; the next round then lists the store anew.
    void round(Yield yield);
    // How long run() waits after the round that is over.
    Duration pauseAfterRound();

    // Runs until stop(), beside run(), which may wait for the store when their time is over: lets
    // go of servers that were kept after the store's return.
    void runExpiry(Yield yield);
    // One step of runExpiry().
    void expireKept();
    void stop() { m_stopping = true; }

private:
    void bringUpToDate(MonotonicTime startedAt, Yield yield);
    Status synchronize(Yield yield);
    Status watchOnce(Duration wait, Yield yield);
    Status askRelay(Yield yield);
    Result<RelayedNews> nextNews(Duration wait, Yield yield);
    void applyBatch(const WatchBatch &batch);
    Duration watchWait() const;
    Duration gatherTime() const;
    void apply(const StoreKey &key, const std::optional<StoredValue> &stored);
    void proveFresh(MonotonicTime startedAt);
    void applyCatalog(const StoredValue &stored);
    void applyServer(const ServerName &name, const std::optional<StoredValue> &stored);
    void noteUnreadable(const ServerName &name, const Error &why);
    void applyOwn(const StoreKey &key, const std::optional<StoredValue> &stored);
    // Until when servers may be believed in that may have left.
    MonotonicTime believedUntil() const;
    void noteAnswered(MonotonicTime answeredAt);
    void noteFailed(MonotonicTime startedAt, const Error &error);

    IoContext &m_io;
    const Clock &m_clock;
    StoreSyncOptions m_options;
    KeyValueStore &m_store;
    const DocumentDecoder &m_decoder;
    FleetState &m_fleet;
    DispatchState &m_dispatch;
    DecisionLog &m_log;
    std::function<bool()> m_isPlanner;
    std::function<void()> m_onChange;
    Random m_random;
    Revision m_upTo; // The picture holds every change up to here.
    // When the store last answered, this daemon or the relay whose news were taken over.
    MonotonicTime m_answeredAt;
    MonotonicTime m_directlyAnsweredAt; // This daemon.
    MonotonicTime m_calledAt; // When this daemon last called the store.
    MonotonicTime m_provenAt; // The picture holds every change up to then. Never moves back.
    // The ways to the store were not sound at this moment, as far as failed calls prove.
    MonotonicTime m_brokenAt;
    bool m_catalogReadable = true; // The newest one was understood, so it is in force.
    bool m_hadNews = false; // The last round brought changes.
    bool m_reachedPresent = true; // And left none out: else the next round follows at once.
    bool m_relayed = false; // The last answer came by way of a relay.
    NewsSource *m_source = nullptr; // Null: there are no relays.
    PictureListener *m_listener = nullptr; // Null as long as m_source is.
    std::function<bool()> m_isRelay = [] { return false; };
    bool m_stopping = false;
};

} // namespace ramphinge
