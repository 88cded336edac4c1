// One daemon's view of the fleet: the store's content in the project's types. Written by StoreSync,
// and by whoever writes a key for its own writes; read by everything else on the event loop.

#pragma once

#include <map>
#include <set>

#include "ramphinge/dispatch/dispatch_state.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/relay/relay_choice.h"
#include "ramphinge/replicas/plan.h"
#include "ramphinge/store/key_value_store.h"

namespace ramphinge {

// Keys that daemons write.
struct FleetKeys
{
    static StoreKey plan() { return StoreKey("ramphinge/plan"); }
    static StoreKey orders() { return StoreKey("ramphinge/orders"); }
    static StoreKey planner() { return StoreKey("ramphinge/planner"); }
    // The shared secret with which daemons authenticate their links to each other.
    static StoreKey linkKey() { return StoreKey("ramphinge/link-key"); }
    // Exists once a catalog that required keys was in force at a planner. Only its presence counts.
    static StoreKey keyRequirement() { return StoreKey("ramphinge/key-requirement"); }
    static StoreKey daemonPrefix() { return StoreKey("ramphinge/daemons/"); }
    // Crash reports: one a daemon, the quarantined requests, those on trial, and those that
    // operators released.
    static StoreKey crashReportPrefix() { return StoreKey("ramphinge/crashes/"); }
    static StoreKey crashReport(const DaemonId &daemon)
    {
        return StoreKey(crashReportPrefix().text() + "seen-by/" + daemon.text());
    }
    static StoreKey heldRequests() { return StoreKey(crashReportPrefix().text() + "held"); }
    // The requests that were sent once more on trial. Its records list no crashes.
    static StoreKey triedRequests() { return StoreKey(crashReportPrefix().text() + "tried"); }
    static StoreKey releasedRequests() { return StoreKey(crashReportPrefix().text() + "released"); }
    static StoreKey suspicionPrefix() { return StoreKey("ramphinge/suspicions/"); }
    static StoreKey suspicions(const DaemonId &daemon)
    {
        return StoreKey(suspicionPrefix().text() + daemon.text());
    }
    // The services to which a daemon has lost contact: one key a daemon that ever had.
    static StoreKey contactPrefix() { return StoreKey("ramphinge/contact/"); }
    static StoreKey contact(const DaemonId &daemon)
    {
        return StoreKey(contactPrefix().text() + daemon.text());
    }
    static StoreKey daemon(const DaemonId &daemon)
    {
        return StoreKey(daemonPrefix().text() + daemon.text());
    }
};

// The value of a daemon's contact key. Errors: InvalidInput.
std::string serializeLostServices(const std::set<ServiceId> &services);
Result<std::set<ServiceId>> parseLostServices(const std::string &text);

// Whether the value of a key that daemons write is one that every daemon reads and can use. Keys
// that single components read are not checked. Errors: InvalidInput.
Status checkDaemonKey(const StoreKey &key, const StoredValue &stored);

struct FleetState
{
    FleetView servers;
    ReplicaPlan plan;
    Revision planRevision; // Of the stored plan; absentRevision if none was ever written.
    bool planUnreadable = false; // The stored plan can't be used, so `plan` is an older one.
    std::set<ZoneId> evacuatedZones; // Their servers get no requests.
    std::map<StoreKey, StoredValue> daemonKeys; // All keys that daemons write, but the plan.
    std::int64_t unreadableEntries = 0; // Revisions of entries that could not be decoded so far.
    bool synced = false; // The store was listed, and its changes followed without a gap.
    bool storeReachable = false;

    // Records this daemon's own write of one of `daemonKeys`. A newer revision, which a watch may
    // have delivered before the answer to the write, stays.
    void recordWrite(const StoreKey &key, StoredValue written);

    // Applies the plan unless it is older than the current one. Errors: InvalidInput; the current
    // plan stays, until the planner has replaced the stored one.
    Status applyPlan(const StoredValue &stored);

    // Without registrations that can't be used.
    std::vector<DaemonRegistration> daemons() const;
    // The services of which the daemon has reported that it reaches no server. What can't be read
    // counts as not lost.
    std::set<ServiceId> lostServices(const DaemonId &daemon) const;
    int daemonCount() const;
    int daemonsInZone(const ZoneId &zone) const;
};

} // namespace ramphinge
