// The planner's main loop: while this daemon holds the planner role, computes the plan of replicas,
// writes it to the store, and sends servers the orders that follow from it.

#pragma once

#include <functional>

#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/formation/failure_detector.h"
#include "ramphinge/formation/loss_rate.h"
#include "ramphinge/formation/order_tracker.h"
#include "ramphinge/formation/presence.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

struct FormationRunnerOptions
{
    // Time between two iterations. Changes from the store are delayed by at least this much anyway.
    Duration pollInterval = std::chrono::milliseconds(100);
    // Time between two summaries in the log.
    Duration summaryInterval = std::chrono::seconds(1);
    Duration orderTimeout = std::chrono::milliseconds(700);
    // For a liveness probe: a server answers it without queueing, within milliseconds.
    Duration probeTimeout = std::chrono::milliseconds(300);
    FailureDetectorOptions failureDetector;
    PresenceOptions presence;
    LossRateOptions lossRate;
    OrderTrackerOptions orders;
};

// Lives on the event loop.
class FormationRunner
{
public:
    FormationRunner(IoContext &io, const Clock &clock, FormationRunnerOptions options,
                    KeyValueStore &store, FleetState &fleet, DispatchState &dispatch,
                    const KeyHolder &role, OrderChannel &channel, DecisionLog &log,
                    Metrics &metrics, std::function<void()> onChange);

    // Runs until stop().
    void run(Yield yield);

    // One iteration of run(): plans, writes the plan if it changes, sends the orders that are due.
    // Throws what a part of it throws; the next iteration then reads the plan back first.
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    void plan(Yield yield);
    void beginTerm();
    // Whether no other planner can have been active since beginTerm().
    bool isStillPlanner(MonotonicTime now) const;
    void readSuspicions(MonotonicTime now);
    void checkReplica(const ReplicaId &replica, MonotonicTime now);
    void probeServer(const UpstreamServer &server, Yield yield);
    void forgetVerdicts();
    void updatePresumedDead(MonotonicTime now);
    void passEpochsOfServers();
    void adopt(const PendingOrders &pendingOrders);
    void adoptStoredOrders();
    bool persistUnansweredJoins(const ReplicaPlan &next, Yield yield);
    bool persistLoads(const std::vector<ServerOrder> &due, Yield yield);
    bool writePendingOrders(const PendingOrders &pendingOrders, Yield yield);
    void planService(const ServiceEntry &service, Yield yield);
    // Capacity of the model, in servers, that is unavailable since heads of its replicas limit
    // their rate.
    double withheldCapacity(const EngineProfile &engine, const ModelProfile &model,
                            MonotonicTime now) const;
    std::set<HostId> unusable(MonotonicTime now) const;
    FormationInput inputFor(const ServiceEntry &service, MonotonicTime now);
    bool writePlan(const ReplicaPlan &next, Yield yield);
    void rereadPlan(Yield yield);
    void send(const ServerOrder &order, const EngineProfile &engine);
    void deliver(const UpstreamServer &server, const ServerOrder &order, Yield yield);
    void logSummary(const ServiceEntry &service, const FormationInput &input);
    void reportPreparations(const FormationInput &input, nlohmann::json &state);
    void logChanges(const ReplicaPlan &before, const ReplicaPlan &after);

    IoContext &m_io;
    const Clock &m_clock;
    FormationRunnerOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    DispatchState &m_dispatch;
    const KeyHolder &m_plannerRole;
    OrderChannel &m_channel;
    DecisionLog &m_log;
    Metrics &m_metrics;
    std::function<void()> m_onChange;
    OrderTracker m_orderTracker;
    Presence m_presence;
    LossRateEstimator m_lossRate;
    FailureDetector m_failureDetector;
    std::set<HostId> m_presumedDead; // Servers that are presumed dead although their entries exist.
    ServerMap m_presumedAlive; // The view without m_presumedDead; empty if that is.
    std::map<StoreKey, Revision> m_suspicionRevisions; // Last processed one of each daemon's key.
    MonotonicTime m_lastSummaryAt; // The last summary in the log.
    Revision
        m_pendingOrdersRevision; // Of the ledger that m_book reflects; absentRevision for none.
    PendingOrders m_writtenLedger; // As last written by this planner.
    // Its write failed but may have taken effect; its orders were not sent.
    std::string m_uncertainLedger;
    // The lease under which this daemon is the planner; noLease while it isn't. If the role's lease
    // differs, another planner may have been active in between.
    LeaseId m_roleLease = noLease;
    bool m_hasPredecessor = false; // A predecessor left a plan: traffic may have begun.
    bool m_planWriteUncertain = false; // A failed write of the plan may have taken effect.
    bool m_stopping = false;
};

} // namespace ramphinge
