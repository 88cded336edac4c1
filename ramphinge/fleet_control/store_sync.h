// Keeps the daemon's view of the store current: one list at the start, then consecutive watches
// over all keys. A watch that returns also proves that the catalog was current when the watch
// began, so no watch waits for longer than the maximum age of that proof.
//
// With relays the watch goes to one of them instead: each change of a key completes all watches, so
// the calls on the store grow with daemons times changes. A relay's answer says up to which moment
// it is complete; a view that gets too old that way, for whatever reason, is updated from the store
// immediately.

#pragma once

#include <functional>
#include <map>

#include "ramphinge/base/random.h"
#include "ramphinge/catalog/catalog_decoding.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/store/update_source.h"

namespace ramphinge {

// Classifies and decodes the keys that daemons don't write. Makes no decisions.
class DocumentDecoder
{
public:
    virtual ~DocumentDecoder() = default;

    virtual bool isCatalog(const StoreKey &key) const = 0;
    // The server whose entry the key holds; empty if it is not a server's key.
    virtual ServerName serverOf(const StoreKey &key) const = 0;
    // The zone whose evacuation the key requests for as long as it exists; empty if it is another
    // key.
    virtual ZoneId evacuatedZoneOf(const StoreKey &key) const = 0;
    // `value` must outlive what is returned.
    virtual std::unique_ptr<CatalogDecoding> beginCatalog(const std::string &value) const = 0;
    // The incarnation of the server that the entry describes. Errors: InvalidInput; then the server
    // must not be used.
    virtual Result<UpstreamServer> decodeServer(const ServerName &name,
                                                const std::string &value) const = 0;
};

// Grants a daemon the right to read large parts of the store. Few daemons of a zone hold it at any
// moment: the store's link would not carry the reads of all of them.
class BulkReadPermit
{
public:
    virtual ~BulkReadPermit() = default;

    virtual bool isGranted() const = 0;
    // The daemon has no relay to get its view from, and needs the permit.
    virtual void request() = 0;
};

struct StoreSyncOptions
{
    // How long one watch waits. Two watches plus `batchDelay` must be shorter than the maximum
    // age of the freshness proof; `batchDelay` plus one watch and the call after it, than
    // `connectivityGrace`.
    Duration watchWait = std::chrono::milliseconds(1000);
    // Delay after a watch that returned changes, so that changes in quick succession cost one call.
    Duration batchDelay = std::chrono::milliseconds(1000);
    Duration batchDelayAsPlanner = std::chrono::milliseconds(100);
    // Delay after a failed call, with jitter up to twice as long. No exponential backoff: after an
    // outage, departed servers must be known soon.
    Duration retryDelay = std::chrono::milliseconds(100);
    // How long after its connectivity is restored the daemon's view must be within its bounds
    // again.
    Duration connectivityGrace = std::chrono::seconds(3);
    // How long servers are retained whose entries are missing when the store is back: live servers
    // register again within two seconds. Not longer: departed ones must get no requests.
    Duration returnGrace = std::chrono::milliseconds(2200);
    // Shortest outage of the store in which an entry can lapse: entries last for three heartbeats,
    // and the last heartbeat was up to one interval before the outage.
    Duration minLapseOutage = std::chrono::milliseconds(2400);
    // Maximum age of the freshness proof of a view that follows a relay; the store itself is called
    // if it is older. Zero: the bounds leave no time for relaying, so relays aren't used.
    Duration maxRelayedAge {};
    Duration relayRequestWait {}; // How long a relay may wait for a change before it answers.
    // Between two store calls of a daemon that can't reach the store and whose relay can't either:
    // a relay answers once the store is back.
    Duration disconnectedCallInterval {};
    Duration batchDelayRelayed {}; // Delay after changes from a relay.
    Duration watchWaitAsRelay {}; // For the watches of a daemon that is a relay.
    Duration batchDelayAsRelay {};
    std::optional<std::uint64_t> seed; // Of the jitter; from the system's entropy if absent.
    // How often retained servers are checked for the end of their grace period.
    Duration expiryInterval = std::chrono::milliseconds(100);
};

// Operators' limits on the staleness of a daemon's view.
struct StalenessBounds
{
    // Maximum time from the acknowledgment of a change until a connected daemon applies it.
    Duration changeInForce = std::chrono::seconds(2);
    // A daemon counts as connected once its connectivity has been restored for this long.
    Duration connectivityGrace = std::chrono::seconds(3);
    // How long a proof that keys have not been revoked is valid; unlimited if absent.
    std::optional<Duration> proofLifetime;
    // How often servers renew their entries.
    Duration serverHeartbeat = std::chrono::milliseconds(1200);
};

StoreSyncOptions storeSyncOptions(const StalenessBounds &bounds);

// Lives on the event loop.
class StoreSync
{
public:
    StoreSync(IoContext &io, const Clock &clock, StoreSyncOptions options, KeyValueStore &store,
              const DocumentDecoder &decoder, FleetState &fleet, DispatchState &dispatch,
              DecisionLog &log, std::function<bool()> isPlanner, std::function<void()> onChange);

    // From now on changes come from `source` while it has a relay to ask, and `listener` is
    // notified of what the store itself returns. `isRelay` says whether other daemons follow this
    // view. `source` and `listener` must outlive this object.
    void useRelays(UpdateSource &source, ViewListener &listener, std::function<bool()> isRelay);

    // From now on the store is listed, and a view that isn't caught up is updated from the store,
    // only with the permit. `permit` must outlive this object.
    void limitBulkReads(BulkReadPermit &permit) { m_permit = &permit; }

    // How old the view may be: the time since it is known to include all changes.
    Duration viewAge() const { return m_clock.now() - m_freshAsOf; }

    // Runs until stop(). Calls `onChange` after each change of the view.
    void run(Yield yield);

    // One iteration of run(): one list or watch, and the update of the view.
    // Throws what a part of it throws; the next iteration then lists the store again.
    void round(Yield yield);
    // How long run() waits before the next iteration.
    Duration pauseAfterRound();

    // Runs until stop(): removes retained servers when their grace period ends. Concurrent to
    // run(), which may be waiting for the store at that time.
    void runExpiry(Yield yield);
    // One iteration of runExpiry().
    void expireRetained();
    void stop() { m_stopping = true; }

private:
    struct DecodedCatalog
    {
        Revision revision;
        Result<CatalogPointer> catalog;
        Duration took {};
    };

    void updateView(MonotonicTime startedAt, Yield yield);
    Status readChanges(Yield yield);
    bool canAskRelay() const;
    // Relays and the planner are few, too.
    bool mayReadBulk() const
    {
        return m_permit == nullptr || m_permit->isGranted() || m_isRelay() || m_isPlanner();
    }
    Status awaitPermit();
    Status listStore(Yield yield);
    Status listRelay(Yield yield);
    void applySnapshot(const StoreSnapshot &snapshot);
    void applyListed(const StoredEntry &entry, std::vector<UpstreamServer> &servers);
    template <typename Apply>
    void applyAlone(const StoreKey &key, const std::optional<StoredValue> &stored, Apply apply);
    Status watchStoreIfPermitted(Duration wait, Yield yield);
    Status watchStore(Duration wait, Yield yield);
    Status watchRelay(Yield yield);
    Result<RelayedUpdate> nextRelayedChanges(Duration wait, Yield yield);
    void applyBatch(const WatchBatch &batch);
    Duration watchWait() const;
    Duration currentBatchDelay() const;
    void apply(const StoreKey &key, const std::optional<StoredValue> &stored);
    void recordFreshness(MonotonicTime startedAt);
    void decodeNewestCatalog(const StoreSnapshot &snapshot, Yield yield);
    void decodeNewestCatalog(const WatchBatch &batch, Yield yield);
    void decodeCatalog(const StoredValue &stored, Yield yield);
    Result<CatalogPointer> decodeInSteps(const std::string &value, Yield yield) const;
    void applyCatalog(const StoreKey &key, const StoredValue &stored);
    void applyServer(const StoreKey &key, const ServerName &name,
                     const std::optional<StoredValue> &stored);
    void applyEvacuation(const ZoneId &zone, bool isRequested);
    Result<UpstreamServer> decodeServer(const ServerName &name, const std::string &value) const;
    void dropEntry(const StoreKey &key, const StoredValue &stored, const Error &why);
    void applyDaemonKey(const StoreKey &key, const std::optional<StoredValue> &stored);
    // Until when servers that may have departed are retained during an outage.
    MonotonicTime retainedUntil() const;
    void handleAnswer(MonotonicTime answeredAt);
    void handleFailure(MonotonicTime startedAt, const Error &error);

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
    Revision m_syncedRevision; // The view includes every change up to this revision.
    // The store's last answer, to this daemon or to the relay whose changes were applied.
    MonotonicTime m_lastAnswerAt;
    MonotonicTime m_lastDirectAnswerAt; // The store's last answer to this daemon itself.
    MonotonicTime m_lastWatchCallAt; // The start of this daemon's last watch on the store.
    MonotonicTime m_freshAsOf; // The view includes all changes up to this time. Never decreases.
    // Latest time at which failed calls prove that the store could not be reached.
    MonotonicTime m_disconnectedAt;
    // Present entries that could not be decoded, with the revision that was logged and counted.
    std::map<StoreKey, Revision> m_droppedEntries;
    // The newest catalog of the answer that is applied next; empty if it has none.
    std::optional<DecodedCatalog> m_decodedCatalog;
    bool m_catalogReadable = true; // The newest catalog could be decoded, so it is in use.
    bool m_hadChanges = false; // The last answer contained changes.
    // The last answer was complete; else the next iteration follows immediately.
    bool m_isCaughtUp = true;
    bool m_lastAnswerWasRelayed = false; // The last answer came from a relay.
    UpdateSource *m_relaySource = nullptr; // Null if there are no relays.
    BulkReadPermit *m_permit = nullptr; // Null if bulk reads are not limited.
    bool m_awaitsPermit = false; // The last iteration did nothing for want of the permit.
    ViewListener *m_viewListener = nullptr; // Null if m_relaySource is.
    std::function<bool()> m_isRelay = [] { return false; };
    bool m_stopping = false;
};

} // namespace ramphinge
