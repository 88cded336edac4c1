// A fleet of daemons on virtual time: the decision code that keeps their views current (StoreSync,
// RelaySlot, UpdateFeed), over a store and links with limited rates. Counts the calls and bytes of
// the store, and measures when changes have reached all daemons.
//
// Simplifications: calls take no time beyond the transfer of their answers; a long poll is repeated
// at short intervals and counted once; leases and links don't fail.
//
//   SimulatedFleet fleet(options);
//   fleet.run(std::chrono::seconds(20));
//   const FleetReport report = fleet.report();

#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "ramphinge/base/time.h"

namespace ramphinge {

struct SimulatedFleetOptions
{
    int daemons = 50;
    int zones = 5;
    double serversPerDaemon = 3;
    // Machines with a whole processor and a fast link; the others have an eighth.
    int largeDaemonsPerZone = 10;
    double storeBytesPerSecond = 125e6;
    double largeLinkBytesPerSecond = 125e6;
    double smallLinkBytesPerSecond = 2.5e6;
    std::size_t storeAnswerLimit = 500; // Changes in one answer to a watch.
    std::size_t serverEntryBytes = 400;
    std::size_t catalogBytes = 60'000;
    int changesPerServer = 2; // While replicas form, beyond the registration.
    Duration formingBegins = std::chrono::seconds(5);
    Duration formingEnds = std::chrono::seconds(15);
    bool limitsBulkReads = true; // False: each daemon reads the store until it has found a relay.
    std::uint64_t seed = 1;
};

struct FleetReport
{
    std::int64_t storeCalls = 0;
    std::int64_t storeBytes = 0;
    int bulkReaders = 0; // Daemons that ever got more than one large answer from the store.
    std::int64_t busiestRelayBytes = 0; // Sent to followers.
    int daemonsWithView = 0;
    Duration lastView {}; // From the start until the last daemon had its first view.
    Duration
        lastCatalog {}; // From the last change of the catalog until the last daemon applied it.
};

class SimulatedFleet
{
public:
    explicit SimulatedFleet(const SimulatedFleetOptions &options);
    ~SimulatedFleet();
    SimulatedFleet(const SimulatedFleet &) = delete;
    SimulatedFleet &operator=(const SimulatedFleet &) = delete;

    // Advances the virtual time.
    void run(Duration duration);

    void changeCatalog();
    // The store's history is discarded, as a store may do at any time.
    void forgetHistory();
    // All daemons are killed and start again, with the leases of their slots still in the store.
    void restartAll();
    // The daemons that hold relay slots now are gone for good.
    void killRelays();

    // The figures since the start or the last call of resetFigures().
    FleetReport report() const;
    void resetFigures();

private:
    class State;
    std::unique_ptr<State> m_state;
};

} // namespace ramphinge
