// Acquires and holds one of the zone's slots in the directory of relays (relay/relay_directory.h):
// the permit to read large parts of the store, and the duty to relay them.
//
// A daemon that starts has no view, so it doesn't know the other daemons. It reads the directory,
// and claims a slot only if no relay sends it a snapshot. Machines with more processor time claim
// first; a smaller one reads the directory again before it claims, and waits once more for each
// relay that has appeared. Once the daemons of the zone are known, their number decides how many
// relays it needs: surplus holders release their slots, and vacant ones are claimed by the daemons
// that chooseRelays() prefers.
//
//   RelaySlot slot(io, clock, options, store, fleet, log, onDirectory);
//   sync.limitBulkReads(slot);
//   slot.setDaemons(fleet.daemons(), directory);   // After each change of the view.

#pragma once

#include <functional>
#include <optional>

#include "ramphinge/base/lease_term.h"
#include "ramphinge/base/random.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/store_sync.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/relay/relay_directory.h"

namespace ramphinge {

struct RelaySlotOptions
{
    DaemonRegistration self;
    RelayChoiceOptions choice; // Its maxRelaysPerZone is the number of slots.
    Duration lifetime = std::chrono::seconds(6); // Of a slot's lease.
    Duration renewalInterval = std::chrono::seconds(2);
    Duration retryInterval = std::chrono::milliseconds(500); // After a failed renewal.
    Duration margin = std::chrono::milliseconds(400); // For clock drift and network delay.
    // Between two readings of the directory by a daemon without a view.
    Duration directoryInterval = std::chrono::seconds(1);
    // A daemon with a smaller share of a processor claims a slot only if no other one has claimed
    // any within the delay.
    ProcessorShare minProcessorShare = 0.25;
    Duration smallDaemonClaimDelay = std::chrono::milliseconds(500);
    Duration maxClaimJitter = std::chrono::milliseconds(200); // So that claims rarely conflict.
    // While a fleet starts, the number of registered daemons grows, and with it that of the relays.
    Duration settleTime = std::chrono::seconds(5);
    std::optional<std::uint64_t> seed; // Of the jitter; from the system's entropy if absent.
    // A request leads to a claim only on a directory that was read within this time: a claim on an
    // older one often conflicts with another, and costs four calls in vain.
    Duration maxDirectoryAge = std::chrono::milliseconds(100);
    // A request for the permit that isn't repeated within this time has been withdrawn.
    Duration requestLifetime = std::chrono::milliseconds(600);
};

// What a daemon without a view needs in order to link with relays.
struct LinkDirectory
{
    std::string linkKey; // Empty until the planner has written it.
    RelayDirectory relays;
};

// Lives on the event loop.
class RelaySlot : public BulkReadPermit
{
public:
    // `onDirectory` receives the directory whenever it was read from the store or this daemon
    // claimed a slot, while there is no view.
    RelaySlot(IoContext &io, const Clock &clock, RelaySlotOptions options, KeyValueStore &store,
              FleetState &fleet, DecisionLog &log,
              std::function<void(const LinkDirectory &)> onDirectory);

    // Runs until stop().
    void run(Yield yield);
    // One iteration of run(): reads the directory, claims, renews or releases a slot, as needed.
    void round(Yield yield);
    void stop() { m_stopping = true; }
    // Releases the slot immediately, for a planned stop. Call after stop().
    void release(Yield yield);

    // Sets the registered daemons, including this one, and the directory, of all zones, as of the
    // view.
    void setDaemons(const std::vector<DaemonRegistration> &daemons,
                    const RelayDirectory &directory);

    bool holds(MonotonicTime now) const { return m_slot && m_term.mayAct(now); }

    // Granted to holders, and in zones that are too small for relays.
    bool isGranted() const override;
    void request() override;

private:
    struct HeldSlot
    {
        StoreKey key;
        LeaseId lease;
        Duration lifetime {}; // Of the lease, as granted.
        MonotonicTime claimedAt;
    };

    bool isSmall() const { return m_options.self.processor < m_options.minProcessorShare; }
    bool isRequested(MonotonicTime now) const;
    // False if the store can't be reached. With `mayBeOld` the answer may lack recent claims.
    bool refreshDirectory(bool mayBeOld, Yield yield);
    RelayDirectory zoneDirectory() const;
    bool isListed() const;
    // The revision of the latest claim by another daemon of the zone.
    Revision latestClaim() const;
    void startClaimDelay();
    bool wantsSlot(MonotonicTime now) const;
    // Without a view, reads the directory again. False if a relay has appeared that may serve this
    // daemon, or the store can't be reached: then the delay starts again.
    bool confirmRequest(Yield yield);
    bool isSurplus(MonotonicTime now) const;
    // The slot to claim: the one that this daemon's previous process left, or a random vacant one.
    std::optional<RelayDirectoryEntry> claimableSlot();
    void claim(Yield yield);
    void renew(Yield yield);

    IoContext &m_io;
    const Clock &m_clock;
    RelaySlotOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    DecisionLog &m_log;
    std::function<void(const LinkDirectory &)> m_onDirectory;
    Random m_random;
    LinkDirectory m_directory; // As last read from the store itself.
    std::optional<MonotonicTime> m_directoryReadAt; // The last successful reading.
    bool m_isStoreLost = false; // The last reading failed.
    MonotonicTime m_nextReadAt; // While there is no view.
    bool m_claimFailed = false; // The directory that was read last is out of date.
    std::optional<HeldSlot> m_slot; // Written, and its loss was not detected.
    LeaseTerm m_term;
    MonotonicTime m_renewAt;
    MonotonicTime m_mayClaimAt; // After a failed claim.
    bool m_isRequested = false;
    MonotonicTime m_lastRequestAt;
    MonotonicTime m_claimDueAt; // Of the current request.
    Revision m_claimsConsidered; // latestClaim() when m_claimDueAt was set.
    std::vector<DaemonRegistration> m_daemons; // All that are registered.
    RelayDirectory m_zoneDirectory; // Of this zone, as of the view.
    int m_daemonsInZone = 0;
    int m_wantedRelays = 0; // Of this zone; 0 in a zone that is too small for relays.
    bool m_isPreferred = false; // chooseRelays() names this daemon.
    MonotonicTime m_daemonsChangedAt;
    bool m_stopping = false;
};

} // namespace ramphinge
