// Keeps the daemon's picture equal to the store's: one list at the start, then one watch over all
// keys. A watch that returns also proves that the catalog is the newest, so it never waits for
// longer than the proof may be old.

#pragma once

#include <functional>

#include "ramphinge/base/random.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/observe/decision_log.h"

namespace ramphinge {

// Tells what a key that daemons don't write is, and decodes it. Decides nothing.
class DocumentDecoder
{
public:
    virtual ~DocumentDecoder() = default;

    virtual bool isCatalog(const StoreKey &key) const = 0;
    // The server that a key is the entry of; empty if it is no server's.
    virtual HostId serverOf(const StoreKey &key) const = 0;
    virtual Result<CatalogContent> decodeCatalog(const std::string &value) const = 0;
    virtual Result<UpstreamServer> decodeServer(const HostId &host,
                                                const std::string &value) const = 0;
};

struct StoreSyncOptions
{
    // How long one watch waits. Two of them and `gather` must be shorter than the proof may be old.
    Duration watchWait = std::chrono::milliseconds(1500);
    // After a watch that brought changes, before the next: changes that come close together cost
    // one call, not many.
    Duration gather = std::chrono::milliseconds(1000);
    Duration gatherAsPlanner = std::chrono::milliseconds(100);
    // Before the next call after a failed one; up to twice as long, at random. Not longer after
    // many failures: the sooner the store is back, the sooner servers that left are known.
    Duration retry = std::chrono::milliseconds(250);
};

// How long servers are kept whose entries are gone when the store returns: those that live are back
// within two seconds. Not longer: some have left meanwhile, and must get no requests.
constexpr Duration storeReturnGrace = std::chrono::milliseconds(2200);

// Options for changes that must be heeded within `changeInForce`, and proofs that are good for
// `proofLasts`; without a limit if absent.
StoreSyncOptions storeSyncOptions(Duration changeInForce, std::optional<Duration> proofLasts);

// Lives on the event loop.
class StoreSync
{
public:
    StoreSync(IoContext &io, const Clock &clock, StoreSyncOptions options, KeyValueStore &store,
              const DocumentDecoder &decoder, FleetState &fleet, DispatchState &dispatch,
              DecisionLog &log, std::function<bool()> isPlanner, std::function<void()> onChange);

    // Runs until stop(). `onChange` is called after each change of the picture.
    void run(Yield yield);

    // One round of run(): a list or a watch, and what follows from its outcome.
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    Status synchronize(Yield yield);
    Status watchOnce(Yield yield);
    void apply(const StoreKey &key, const std::optional<StoredValue> &stored);
    void applyCatalog(const StoredValue &stored);
    void applyServer(const HostId &host, const std::optional<StoredValue> &stored);
    void applyOwn(const StoreKey &key, const std::optional<StoredValue> &stored);
    void noteReachable(bool reachable, const std::string &why);

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
    bool m_hadNews = false; // The last round brought changes.
    bool m_stopping = false;
};

} // namespace ramphinge
