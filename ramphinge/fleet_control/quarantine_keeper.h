// Keeps the quarantine the same at all daemons, through the store.
//
// Each daemon writes what it has seen under a key of its own, so that ends which several daemons
// see at once need no agreement. That key is not under the daemon's registration: what it saw must
// be known after it was killed too. The requests that are held back besides lie in one document
// without a lease, which the planner writes; and what the operators let go, in one that they write.
// three have the same form, and whoever reads them unites them.
//
// An innocent request may have met several servers' ends without an answer between. So each request
// that is held back is sent once more, by one daemon, some seconds later: an answer clears it
// everywhere, an end of another server leaves it to the operators. Who may do that is settled by a
// compare-and-swap on the list of those that were tried.
//
//   keeper.takeOver();  // After each change of the picture.
//   keeper.run(yield);  // Publishes what is new here.

#pragma once

#include <map>

#include "ramphinge/base/random.h"
#include "ramphinge/dispatch/trial_granter.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/quarantine/quarantine.h"

namespace ramphinge {

struct QuarantineKeeperOptions
{
    DaemonId daemon;
    // Between two looks at whether there is something to publish. Until the others know, the
    // request may end a server at each of them, so it is short.
    Duration interval = std::chrono::milliseconds(50);
    // Between two writes, which are paid for: what ends one after the other is told together.
    Duration spacing = std::chrono::milliseconds(250);
    // Before a report is written anew in which nothing was added, only taken out.
    Duration tidying = std::chrono::seconds(15);
    // Of the lease that a daemon's report is under: the longest that the store grants. Beyond it
    // nobody needs the suspicions of a daemon that is gone.
    Duration reportLasts = std::chrono::minutes(10);
    // Between two looks for what is too old, by minutes.
    Duration expiryInterval = std::chrono::seconds(1);
    // From when this daemon holds a request back until it may be tried: by then what ended servers
    // one after the other is known, and the others have come back.
    Duration trialAfter = std::chrono::seconds(5);
    // How long it is remembered that a request was tried. One that comes again for longer costs a
    // server a day.
    Duration triedLasts = std::chrono::hours(24);
    // Between two looks of the planner at the document of what is held back.
    Duration plannersInterval = std::chrono::seconds(1);
};

// Lives on the event loop.
class QuarantineKeeper : public TrialGranter
{
public:
    QuarantineKeeper(IoContext &io, QuarantineKeeperOptions options, KeyValueStore &store,
                     FleetState &fleet, Quarantine &quarantine, const KeyHolder &role,
                     const Clock &clock, DecisionLog &log);

    // Runs until stop().
    void run(Yield yield);
    // One round of run().
    void round(Yield yield);
    void stop() { m_stopping = true; }

    bool grantTrial(const RequestFingerprint &fingerprint, Yield yield) override;

    // Takes over what others have published. Call after each change of the picture.
    void takeOver();

private:
    void takeOverKey(const StoreKey &key, const StoredValue &stored);
    void publish(Yield yield);
    bool renewLease(Yield yield);
    void keepHeld(Yield yield);
    Status write(const StoreKey &key, const std::string &text, LeaseId lease, Yield yield);
    Result<CrashReport> triedRequests() const;
    void noteChanges();

    IoContext &m_io;
    QuarantineKeeperOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    Quarantine &m_quarantine;
    const KeyHolder &m_role;
    const Clock &m_clock;
    DecisionLog &m_log;
    std::map<StoreKey, Revision> m_taken; // Of the reports that were heard or could not be read.
    bool m_adopted = false; // What this daemon told in an earlier life was taken over.
    std::uint64_t m_published = 0; // The version of own reports that the store holds; 0 for none.
    MonotonicTime m_nextWriteAt;
    MonotonicTime m_writtenAt; // Its own report, last.
    MonotonicTime m_nextLookAt; // As planner.
    MonotonicTime m_nextExpiryAt;
    LeaseId m_lease = noLease;
    MonotonicTime m_leaseGrantedAt;
    std::uint64_t m_notedVersion = 0; // Of the quarantine, in m_heldSince.
    std::map<RequestFingerprint, MonotonicTime>
        m_heldSince; // What is held back; for how long here.
    bool m_granting = false; // A trial is being settled.
    bool m_stopping = false;
};

} // namespace ramphinge
