// Reports to the planner, through the store, which replicas this daemon suspects to have failed:
// one key a daemon, under the lease of the daemon's registration.

#pragma once

#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/observe/decision_log.h"

namespace ramphinge {

struct SuspicionReporterOptions
{
    DaemonId daemon;
    ZoneId zone;
    // Expected number of daemons that report a replica: in its own zone, whose daemons send it most
    // requests, and among all daemons for those elsewhere. Each report costs a write, and one is
    // enough.
    int reportersInZone = 4;
    int reportersElsewhere = 2;
    // How often new suspicions are reported. A failed server is a member of one replica, so more
    // than one suspicion in that time is rare.
    Duration pollInterval = std::chrono::milliseconds(100);
};

// The stored document: the suspected replicas as a JSON array.
std::string serializeSuspicions(const std::vector<ReplicaId> &replicas);
// Errors: InvalidInput.
Result<std::vector<ReplicaId>> parseSuspicions(const std::string &text);

// Lives on the event loop.
class SuspicionReporter
{
public:
    SuspicionReporter(IoContext &io, SuspicionReporterOptions options, KeyValueStore &store,
                      FleetState &fleet, DispatchState &dispatch, const KeyHolder &registration,
                      const KeyHolder &role, const Clock &clock, DecisionLog &log);

    // Runs until stop(). While this daemon is the planner, FormationRunner reads the suspicions
    // instead.
    void run(Yield yield);

    // One iteration of run().
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    bool hasContactTo(const PlannedReplica &replica) const;
    bool shouldReport(const PlannedReplica &replica) const;

    IoContext &m_io;
    SuspicionReporterOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    DispatchState &m_dispatch;
    const KeyHolder &m_registration;
    const KeyHolder &m_plannerRole;
    const Clock &m_clock;
    DecisionLog &m_log;
    bool m_stopping = false;
};

} // namespace ramphinge
