// What one daemon believes about the fleet: the store's content in the project's types. Written by
// StoreSync, and by the planner for its own writes; read by everything else on the event loop.

#pragma once

#include <map>

#include "ramphinge/dispatch/dispatch_state.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/relay/relay_choice.h"
#include "ramphinge/replicas/plan.h"
#include "ramphinge/store/key_value_store.h"

namespace ramphinge {

// Keys that the daemons write themselves.
struct FleetKeys
{
    static StoreKey plan() { return StoreKey("ramphinge/plan"); }
    static StoreKey orders() { return StoreKey("ramphinge/orders"); }
    static StoreKey planner() { return StoreKey("ramphinge/planner"); }
    // The secret that daemons prove to each other on their links.
    static StoreKey linkKey() { return StoreKey("ramphinge/link-key"); }
    static StoreKey daemonPrefix() { return StoreKey("ramphinge/daemons/"); }
    // Reports of servers that ended under requests: of daemons, of what is held back, of what the
    // operators let go.
    static StoreKey crashPrefix() { return StoreKey("ramphinge/crashes/"); }
    static StoreKey crashes(const DaemonId &daemon)
    {
        return StoreKey(crashPrefix().text() + "seen-by/" + daemon.text());
    }
    static StoreKey heldRequests() { return StoreKey(crashPrefix().text() + "held"); }
    // The requests that were sent once more on trial; without any end.
    static StoreKey triedRequests() { return StoreKey(crashPrefix().text() + "tried"); }
    static StoreKey releasedRequests() { return StoreKey(crashPrefix().text() + "released"); }
    static StoreKey suspicionPrefix() { return StoreKey("ramphinge/suspicions/"); }
    static StoreKey suspicions(const DaemonId &daemon)
    {
        return StoreKey(suspicionPrefix().text() + daemon.text());
    }
    static StoreKey daemon(const DaemonId &daemon)
    {
        return StoreKey(daemonPrefix().text() + daemon.text());
    }
};

struct FleetState
{
    FleetView servers;
    ReplicaPlan plan;
    Revision planRevision; // Of `plan`; absentRevision if none was ever written.
    std::map<StoreKey, StoredValue> ownKeys; // The other keys that daemons write.
    std::int64_t unreadableEntries = 0; // Entries of servers that could not be understood, so far.
    bool synced = false; // A first full picture of the store was had.
    bool storeReachable = false;

    // Takes this daemon's own write of one of `ownKeys` over. News that came before the write's
    // answer may be newer, and stays.
    void noteWritten(const StoreKey &key, StoredValue written);

    // Takes the plan over if it is newer. Errors: InvalidInput; the present plan stays.
    Status takePlan(const StoredValue &stored);

    std::vector<RelayCandidate> daemons() const;
    int daemonCount() const;
    int daemonsInZone(const ZoneId &zone) const;
};

} // namespace ramphinge
