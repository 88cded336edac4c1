// Tracks which orders were sent and what became of them, so that each is sent once, is retried when
// it seems lost, and the weight store's rate limit is kept. Covers the orders of the present
// planner only: a new one starts empty, adopts the pending orders that the last planner stored, and
// learns the rest from what the servers report.
//
//   for (const ServerOrder &order : tracker.due(ordersFor(plan, input), engine, now)) {
//       tracker.sent(order, engine, now);
//       ...
//       tracker.answered(order, answer, now);
//   }

#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "ramphinge/formation/load_backoff.h"
#include "ramphinge/formation/order_channel.h"
#include "ramphinge/formation/pending_orders.h"

namespace ramphinge {

struct OrderTrackerOptions
{
    // Retry delay of an order without an answer. It may have been lost, or be carried out seconds
    // later; a retry does no harm.
    Duration unansweredRetryDelay = std::chrono::milliseconds(800);
    // Retry delay of an order that the server's state did not allow.
    Duration notNowRetryDelay = std::chrono::milliseconds(250);
    // Retry delay of an accepted order whose effect is not seen, beyond the time that it takes.
    Duration acceptedRetryDelay = std::chrono::milliseconds(2500);
    // How long a server that could not be reached, or whose address another server has, gets no new
    // replica.
    Duration unusableTime = std::chrono::seconds(4);
    // A load, and the forming of a replica, has failed after the model's load time times
    // `formingFactor`, plus `formingSlack`.
    double formingFactor = 2.5;
    Duration formingSlack = std::chrono::seconds(4);
    // How long after its timeout an unanswered join may still be carried out.
    Duration lateJoinWindow = std::chrono::milliseconds(12'500);
    // Fraction of the concurrent loads that is kept from loads which can wait: a load takes long,
    // and a server that is added while all are taken serves nobody until one ends.
    double reservedLoadFraction = 0.75;
    // Sliding window over which the weight store's rate of load starts is measured.
    Duration loadWindow = std::chrono::seconds(5);
    LoadBackoffOptions loadBackoff;
};

// Not thread-safe: lives on the event loop.
class OrderTracker
{
public:
    explicit OrderTracker(OrderTrackerOptions options)
        : m_options(options), m_loadBackoff(options.loadBackoff)
    { }

    // Those of `wanted` to send now. Loads are taken in the order of `wanted` up to the weight
    // store's limits, a part of which is kept from those that can wait. Loads of a model that
    // crashed the servers which loaded it are delayed.
    std::vector<ServerOrder> due(const std::vector<ServerOrder> &wanted,
                                 const EngineProfile &engine, MonotonicTime now) const;

    void sent(const ServerOrder &order, const EngineProfile &engine, MonotonicTime now);
    void answered(const ServerOrder &order, OrderAnswer answer, MonotonicTime now);

    // Servers that must not be given to another replica now: unreachable ones, and those that an
    // unanswered join may still reach. A join is addressed to the server's name, so later
    // incarnations in `servers` are included.
    std::set<HostId> unusable(const ServerMap &servers, MonotonicTime now) const;

    // Replicas whose forming was refused, or takes too long.
    std::set<ReplicaId> failed(const ReplicaPlan &plan, const EngineProfile &engine,
                               MonotonicTime now);

    // Loads that may begin now, within the window's rate and the limit of concurrent loads: each
    // load beyond it slows down the others. Unlimited before the first request.
    int loadsAllowed(const EngineProfile &engine, MonotonicTime now) const;

    // Whether servers that have to load may join a replica: only before the first request.
    bool joinsMayLoad() const { return !m_trafficSeen; }

    // The loads in progress that this planner knows of.
    std::map<HostId, ModelId> loading() const;

    // Updates loads and replicas from what the servers report: a load is over when its model is
    // staged, its server is gone, or its time is up. Replicas that are Ready in `plan` count as
    // told to open.
    void observe(const ServerMap &servers, const ReplicaPlan &plan, MonotonicTime now);

    // Before the first request (`seen` false) loads are quick and aren't held to the weight store's
    // rate.
    void setTrafficSeen(bool seen) { m_trafficSeen = seen; }

    // What to store for the next planner: loads in progress, and joins without an answer that may
    // still be carried out, of replicas that are or were Ready.
    PendingOrders pendingOrders(const ReplicaPlan &plan, MonotonicTime now) const;

    // Adopts the pending orders that another planner stored. When they were sent isn't known, so
    // they count as sent now. The joins of replicas that are still forming are taken to be without
    // an answer.
    void adopt(const PendingOrders &pendingOrders, const ReplicaPlan &plan,
               const EngineProfile &engine, MonotonicTime now);

private:
    struct Entry
    {
        bool inFlight = false;
        bool accepted = false;
        Duration retryDelay {}; // From the answer until it may be sent again.
        std::optional<MonotonicTime> unansweredAt; // When it last timed out.
        MonotonicTime answeredAt;
    };
    struct Load
    {
        HostId host;
        ModelId model;
        MonotonicTime latestEnd; // If its model isn't staged by then, it has failed.
    };

    void recordLoadOutcomes(const ServerMap &servers, MonotonicTime now);
    void recordUnansweredJoin(const HostId &host, const ReplicaId &replica, MonotonicTime now);
    bool mayStillBeCarriedOut(const ServerOrder &order, const Entry &entry,
                              MonotonicTime now) const;
    void addLoad(const HostId &host, const ModelId &model, const EngineProfile &engine,
                 MonotonicTime now);
    bool isLoading(const HostId &host, const ModelId &model) const;
    bool isStaging(const ServerOrder &order) const;
    Duration expectedTime(const ServerOrder &order, const EngineProfile &engine) const;
    bool isDue(const ServerOrder &order, const EngineProfile &engine, MonotonicTime now) const;

    OrderTrackerOptions m_options;
    bool m_trafficSeen = true;
    std::map<ServerOrder, Entry> m_entries;
    std::vector<Load> m_loading; // In progress, as far as known.
    LoadBackoff m_loadBackoff;
    std::set<HostId> m_presentHosts; // In the view at the last observe().
    std::deque<MonotonicTime> m_loadStarts; // Ascending, within `loadWindow`.
    std::map<HostId, MonotonicTime> m_unusable; // Until when.
    std::set<ReplicaId> m_refused;
    std::set<ReplicaId> m_toldToOpen; // Told to open at some time.
    std::map<ReplicaId, MonotonicTime> m_formingSince;
};

} // namespace ramphinge
