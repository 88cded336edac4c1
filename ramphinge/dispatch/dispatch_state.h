// The state that the request path works from. The components that synchronize with the store update
// it, and the request path reads it, all on one event loop.

#pragma once

#include <algorithm>
#include <atomic>
#include <map>
#include <string>

#include "ramphinge/admission/account_shares.h"
#include "ramphinge/admission/model_admission.h"
#include "ramphinge/catalog/catalog_freshness.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/dispatch/demand_meter.h"
#include "ramphinge/dispatch/forward_targets.h"
#include "ramphinge/dispatch/request_durations.h"
#include "ramphinge/dispatch/suspicions.h"
#include "ramphinge/dispatch/target_table.h"
#include "ramphinge/limits/answer_memory.h"
#include "ramphinge/limits/retry_after_schedule.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/limits/shared_retry_budget.h"
#include "ramphinge/quarantine/quarantine.h"
#include "ramphinge/reachability/reachability.h"
#include "ramphinge/reachability/server_contacts.h"

namespace ramphinge {

struct DispatchState
{
    DispatchState(CatalogFreshness initialFreshness, TargetTable table,
                  SharedRetryBudgetOptions budget, ServerGate initialGate = ServerGate())
        : freshness(initialFreshness), targets(std::move(table)), gate(std::move(initialGate)),
          budgetOptions(budget)
    { }

    CatalogPointer
        catalog; // Null until the first is known. Invariant: its version never decreases.
    // Whether a catalog required keys that was in force here, or at a planner by the store's mark.
    // Invariant: never becomes false.
    bool hasRequiredKeys = false;
    CatalogFreshness freshness; // Of `catalog`.
    TargetTable targets;
    ServerGate gate;
    // Of the hosts of latency-sensitive services.
    Reachability reachability;
    ServerContacts contacts { entropySeed() };
    // Where requests are forwarded while contact to their service is lost.
    ForwardTargets forwards { {}, entropySeed() };
    DaemonId self; // This daemon.
    std::atomic<int> forwardedRequests { 0 }; // In progress, of other daemons.
    // More of them are refused: they share memory and connections with this daemon's own callers.
    int maxForwardedRequests = 256;
    AnswerMemory answerMemory { 16 * 1024 * 1024 }; // Of all responses that are buffered.
    // Half-life: the mix of models that are asked for can shift within seconds.
    DemandMeter demand { std::chrono::seconds(6) };
    AccountShares accountShares; // Of the models of services where admitsByModel().
    // Repeat interval: the planner checks a server in less than a second, and takes two more to
    // replace a dead one.
    Suspicions suspicions { std::chrono::seconds(3) };
    Quarantine quarantine { QuarantineOptions() };
    SharedRetryBudgetOptions budgetOptions;
    const AccountPolicy *accountPolicy = nullptr; // For admission; null: accounts are all equal.
    Duration shortObjective {}; // See isLatencySensitive(); 0: no service is.
    MonotonicTime startedAt; // Of the process; the epoch of the clock if not set.
    std::string fingerprintKey; // Key of the request fingerprints; empty until read from the store.
    RequestDurations durations;
    bool draining = false; // The process is about to stop.
    // While it drains: requests that would take longer are refused.
    MonotonicTime answersUntil = MonotonicTime::max();
    bool sawRequest = false; // Whether any request has arrived.

    // Puts a catalog in force. Its version must not be lower than that of the current one.
    void setCatalog(CatalogPointer newest)
    {
        catalog = std::move(newest);
        hasRequiredKeys = hasRequiredKeys || catalog->requiresKeys();
    }

    // Whether routes that aren't public may only be served while the catalog is fresh. True also if
    // the current catalog requires no keys but an earlier one did: a newer one may require them
    // again, without the keys that were removed meanwhile.
    bool needsFreshCatalog() const
    {
        return hasRequiredKeys || (catalog && catalog->requiresKeys());
    }

    // Whether the service has a streamed route with an objective of at most `shortObjective`. Its
    // requests miss their objective if they wait in an upstream's queue, or for one connection that
    // times out.
    bool isLatencySensitive(const ServiceId &service) const
    {
        const std::optional<Duration> objective =
            catalog ? catalog->shortestStreamObjective(service) : std::nullopt;
        return objective && *objective <= shortObjective;
    }

    // Whether streams of the service are admitted by model: it is latency-sensitive, and its
    // streamed routes differ in priority, which says who goes first when room is short.
    bool admitsByModel(const ServiceId &service) const
    {
        return isLatencySensitive(service) && catalog->ranksStreams(service);
    }

    bool hasLatencySensitiveService() const
    {
        const auto isSensitive = [this](const ServiceEntry &service) {
            return isLatencySensitive(service.service);
        };
        return catalog
            && std::any_of(catalog->services().begin(), catalog->services().end(), isSensitive);
    }

    // Whether this daemon reaches no server of some service that runs models.
    bool hasLostAnyEngine() const
    {
        return catalog
            && std::any_of(catalog->services().begin(), catalog->services().end(),
                           [this](const ServiceEntry &service) {
                               return service.engine && contacts.isLost(service.service);
                           });
    }

    // Sets how many daemons are registered now; they share the retry budget. A lower number than
    // before is ignored, since registrations expire while the store is unreachable.
    void noteDaemons(int daemons) { m_daemons = std::max(m_daemons, daemons); }
    int daemons() const { return m_daemons; }

    // This daemon's share of the service's retry budget.
    SharedRetryBudget &budgetOf(const ServiceId &service)
    {
        SharedRetryBudget &budget =
            m_budgets.emplace(service, SharedRetryBudget(budgetOptions, startedAt)).first->second;
        budget.setOptions(budgetOptions);
        budget.setDaemons(m_daemons);
        return budget;
    }

    std::map<ServiceId, SharedRetryBudget> &retryBudgets() { return m_budgets; }

    // Whether other daemons may be asked for a retry.
    bool mayBorrowRetry(const ServiceId &service, MonotonicTime now) const
    {
        const auto until = m_noLoansUntil.find(service);
        return until == m_noLoansUntil.end() || now >= until->second;
    }
    // None of those that were asked had a retry left.
    void noteNoRetryToBorrow(const ServiceId &service, MonotonicTime until)
    {
        m_noLoansUntil[service] = until;
    }

    // Admission of requests for one model, where admitsByModel(). The reference stays valid.
    ModelAdmission &admissionOf(const ServiceId &service, const ModelId &model)
    {
        return m_admissions
            .emplace(std::make_pair(service, model), ModelAdmission(model, accountPolicy))
            .first->second;
    }
    AdmissionTicket nextAdmissionTicket() { return m_lastTicket += AdmissionTicket(1); }

    // Retry-After times for callers that are refused because the servers are at their rate limits.
    RetryAfterSchedule &retryAfterSchedule(const ServiceId &service, const ModelId &model)
    {
        return m_retryAfterSchedules[{ service, model }];
    }

private:
    int m_daemons = 1; // The highest number ever known.
    std::map<ServiceId, SharedRetryBudget> m_budgets;
    std::map<ServiceId, MonotonicTime> m_noLoansUntil;
    std::map<std::pair<ServiceId, ModelId>, ModelAdmission> m_admissions;
    AdmissionTicket m_lastTicket;
    std::map<std::pair<ServiceId, ModelId>, RetryAfterSchedule> m_retryAfterSchedules;
};

} // namespace ramphinge
