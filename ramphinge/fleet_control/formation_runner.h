// The planner at work: while this daemon holds the planner's role, plans, writes the plan, and
// sends the orders that follow from it.

#pragma once

#include <functional>

#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/formation/death_watch.h"
#include "ramphinge/formation/order_book.h"
#include "ramphinge/formation/presence.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

struct FormationRunnerOptions
{
    // Between two looks at what is due. News from the store is at least this old anyway.
    Duration interval = std::chrono::milliseconds(100);
    // Between two summaries of the planner's work in the log.
    Duration summary = std::chrono::seconds(1);
    Duration orderTimeout = std::chrono::milliseconds(700);
    // Asking a server whether it lives: it answers without waiting for a place, in milliseconds.
    Duration probeTimeout = std::chrono::milliseconds(300);
    DeathWatchOptions deaths;
    PresenceOptions presence;
    OrderBookOptions orders;
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

    // One round of run(): plans, writes the plan if it changes, sends what is due.
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    void plan(Yield yield);
    void takeOver();
    // Whether nobody else can have planned since takeOver().
    bool stillPlans(MonotonicTime now) const;
    void readSuspicions(MonotonicTime now);
    void check(const ReplicaId &replica, MonotonicTime now);
    void ask(const UpstreamServer &server, Yield yield);
    void refreshLiving(MonotonicTime now);
    void adopt(const OrderLedger &ledger);
    void adoptOrders();
    bool writeDownJoins(const ReplicaPlan &next, Yield yield);
    bool writeDownLoads(const std::vector<ServerOrder> &due, Yield yield);
    bool writeLedger(const OrderLedger &ledger, Yield yield);
    void planService(const ServiceEntry &service, Yield yield);
    // Of the model, in servers, since heads of its replicas limit their rate.
    double withheld(const EngineProfile &engine, const ModelProfile &model,
                    MonotonicTime now) const;
    std::set<HostId> unusable(MonotonicTime now) const;
    FormationInput inputFor(const ServiceEntry &service, MonotonicTime now);
    bool writePlan(const ReplicaPlan &next, Yield yield);
    void rereadPlan(Yield yield);
    void send(const ServerOrder &order, const EngineProfile &engine);
    void deliver(const UpstreamServer &server, const ServerOrder &order, Yield yield);
    void logSummary(const ServiceEntry &service, const FormationInput &input);
    void logChanges(const ReplicaPlan &before, const ReplicaPlan &after);

    IoContext &m_io;
    const Clock &m_clock;
    FormationRunnerOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    DispatchState &m_dispatch;
    const KeyHolder &m_role;
    OrderChannel &m_channel;
    DecisionLog &m_log;
    Metrics &m_metrics;
    std::function<void()> m_onChange;
    OrderBook m_book;
    Presence m_presence;
    DeathWatch m_deaths;
    std::set<HostId> m_dead; // Servers that are taken for dead though their entries stand.
    ServerMap m_living; // The view without them; only while there are any.
    std::map<StoreKey, Revision> m_suspicionsRead; // Up to which revision of each daemon's key.
    MonotonicTime m_summaryAt; // Of the last summary in the log.
    Revision m_ledgerRevision; // Of the ledger that the book knows; absentRevision for none.
    OrderLedger m_ledger; // As last written by this planner.
    std::string m_unsureLedger; // A ledger that may or may not have been written; not acted on.
    // The role's lease under which this daemon is the planner; noLease while it isn't. Another one
    // means that somebody else may have planned in between.
    LeaseId m_term = noLease;
    bool m_continues = false; // Another planner was at work before: traffic may have begun.
    bool m_planUnsure = false; // A write of the plan may or may not have taken effect.
    bool m_stopping = false;
};

} // namespace ramphinge
