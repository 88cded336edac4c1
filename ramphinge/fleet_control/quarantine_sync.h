// Replicates the quarantine to all daemons through the store.
//
// Each daemon writes the crashes it has observed under a key of its own, so that daemons which
// observe crashes at the same time need no coordination. That key has a lease of its own, not the
// registration's: the report must outlive a daemon that is killed. Two more documents have no
// lease: the quarantined requests, written by the planner, and the requests that operators have
// released. All three have the same format, and every reader merges them.
//
// A harmless request may have been present at several crashes without a response in between. So
// each quarantined request is sent once more, by one daemon, some seconds later: a response clears
// it everywhere, another crash leaves it to the operators. A compare-and-swap on the list of
// retried requests decides which daemon sends it.
//
//   sync.applyStoredReports();  // After each change of the view.
//   sync.run(yield);  // Publishes this daemon's changes.

#pragma once

#include <map>

#include "ramphinge/base/random.h"
#include "ramphinge/dispatch/trial_granter.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/quarantine/quarantine.h"

namespace ramphinge {

struct QuarantineSyncOptions
{
    DaemonId daemon;
    // How often run() checks for changes to publish. Short, since the request may crash a server at
    // each daemon that has not received them yet.
    Duration pollInterval = std::chrono::milliseconds(50);
    // Minimum time between two reports. Writes are billed, so crashes in quick succession share
    // one.
    Duration minReportSpacing = std::chrono::milliseconds(250);
    // Minimum time between two reports if the new one only removes entries.
    Duration removalReportSpacing = std::chrono::seconds(15);
    // Lease of a daemon's report: the longest that the store grants. After it the suspicions of a
    // stopped daemon are no longer needed.
    Duration reportLeaseDuration = std::chrono::minutes(10);
    // How often expired records are removed; they expire after minutes.
    Duration expiryInterval = std::chrono::seconds(1);
    // From the quarantining of a request at this daemon until its trial: by then crashes in quick
    // succession are known, and the crashed servers have restarted.
    Duration trialDelay = std::chrono::seconds(5);
    // How long a trial is remembered. A request that keeps coming for longer crashes one server a
    // day.
    Duration triedRetention = std::chrono::hours(24);
    // How often the planner checks whether the document of quarantined requests is up to date.
    Duration plannerCheckInterval = std::chrono::seconds(1);
};

// Lives on the event loop.
class QuarantineSync : public TrialGranter
{
public:
    QuarantineSync(IoContext &io, QuarantineSyncOptions options, KeyValueStore &store,
                   FleetState &fleet, Quarantine &quarantine, const KeyHolder &role,
                   const Clock &clock, DecisionLog &log);

    // Runs until stop().
    void run(Yield yield);
    // One iteration of run().
    void round(Yield yield);
    void stop() { m_stopping = true; }

    bool grantTrial(const Fingerprint &fingerprint, Yield yield) override;

    // Applies the reports that others have published. Call after each change of the view.
    void applyStoredReports();

private:
    void applyStoredReport(const StoreKey &key, const StoredValue &stored);
    void publish(Yield yield);
    bool ensureLease(Yield yield);
    void persistQuarantined(Yield yield);
    Status write(const StoreKey &key, const std::string &text, LeaseId lease, Yield yield);
    Result<CrashReport> triedRequests() const;
    void logQuarantineChanges();

    IoContext &m_io;
    QuarantineSyncOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    Quarantine &m_quarantine;
    const KeyHolder &m_plannerRole;
    const Clock &m_clock;
    DecisionLog &m_log;
    std::map<StoreKey, Revision> m_appliedRevisions; // Last processed one of each report.
    bool m_ownReportRestored = false; // The report of this daemon's previous process was applied.
    std::uint64_t m_publishedVersion = 0; // The version of the own report in the store; 0 for none.
    MonotonicTime m_nextReportWriteAt;
    MonotonicTime m_reportWrittenAt; // The last write of the own report.
    MonotonicTime m_nextHeldCheckAt; // As planner, of the document of quarantined requests.
    MonotonicTime m_nextExpiryAt;
    LeaseId m_lease = noLease;
    MonotonicTime m_leaseGrantedAt;
    std::uint64_t m_loggedVersion = 0; // The quarantine's version that m_quarantinedSince reflects.
    // When each quarantined request became quarantined at this daemon.
    std::map<Fingerprint, MonotonicTime> m_quarantinedSince;
    bool m_trialPending = false; // grantTrial() waits for the store.
    bool m_stopping = false;
};

} // namespace ramphinge
