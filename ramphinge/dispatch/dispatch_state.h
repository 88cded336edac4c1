// What the request path believes at this moment. The parts that talk to the store change it; the
// request path reads it. Both on one event loop.

#pragma once

#include <algorithm>
#include <map>
#include <string>

#include "ramphinge/catalog/freshness.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/dispatch/demand_meter.h"
#include "ramphinge/dispatch/suspicions.h"
#include "ramphinge/dispatch/target_table.h"
#include "ramphinge/limits/return_schedule.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/limits/shared_retry_budget.h"
#include "ramphinge/quarantine/quarantine.h"

namespace ramphinge {

struct DispatchState
{
    DispatchState(Freshness proof, TargetTable table, SharedRetryBudgetOptions budget)
        : freshness(proof), targets(std::move(table)), budgetOptions(budget)
    { }

    CatalogPointer catalog; // Null until one is known. Its version never goes back.
    Freshness freshness; // Of `catalog`.
    TargetTable targets;
    ServerGate gate;
    DemandMeter demand { std::chrono::seconds(6) }; // Half-life: a mix shifts within seconds.
    // A check takes the planner under a second; what it does about a dead server takes two more.
    Suspicions suspicions { std::chrono::seconds(3) };
    Quarantine quarantine { QuarantineOptions() };
    SharedRetryBudgetOptions budgetOptions;
    MonotonicTime startedAt; // Of the process; long ago if not set.
    std::string fingerprintKey; // Of requests' fingerprints; empty until the store told it.
    bool draining = false; // The process is about to stop.
    bool sawRequest = false; // Any request has come in.

    // How many daemons are registered now; they share the retry budget. Registrations lapse while
    // the store is away, so fewer than before change nothing.
    void noteDaemons(int daemons) { m_daemons = std::max(m_daemons, daemons); }
    int daemons() const { return m_daemons; }

    SharedRetryBudget &budgetOf(const ServiceId &service)
    {
        SharedRetryBudget &budget =
            m_budgets.emplace(service, SharedRetryBudget(budgetOptions, startedAt)).first->second;
        budget.setOptions(budgetOptions);
        budget.setDaemons(m_daemons);
        return budget;
    }

    // Of callers that are refused since the servers accept no more.
    ReturnSchedule &returnsTo(const ServiceId &service, const ModelId &model)
    {
        return m_returns[{ service, model }];
    }

private:
    int m_daemons = 1; // The most that were ever known.
    std::map<ServiceId, SharedRetryBudget> m_budgets;
    std::map<std::pair<ServiceId, ModelId>, ReturnSchedule> m_returns;
};

} // namespace ramphinge
