// Remembers which orders were sent and what became of them, so that each is sent once, is repeated
// when it seems lost, and the weight store's rate is kept. Of the present planner only: a new one
// starts with an empty book, adopts the loads that the last one wrote down, and learns the rest
// from what the servers report.
//
//   for (const ServerOrder &order : book.due(ordersFor(plan, input), engine, now)) {
//       book.sent(order, now);
//       ...
//       book.answered(order, answer, now);
//   }

#pragma once

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "ramphinge/formation/load_backoff.h"
#include "ramphinge/formation/order_channel.h"
#include "ramphinge/formation/order_ledger.h"

namespace ramphinge {

struct OrderBookOptions
{
    // An order without an answer is sent again after this long: it may have been lost, or be
    // carried out seconds later; a repeat does no harm.
    Duration repeatUnanswered = std::chrono::milliseconds(800);
    // An order that did not fit the server's state.
    Duration repeatNotNow = std::chrono::milliseconds(250);
    // An accepted order whose effect is not seen: beyond the time that it takes.
    Duration repeatAccepted = std::chrono::milliseconds(2500);
    // A server that could not be reached, or is another one, gets no new replica for so long.
    Duration unusable = std::chrono::seconds(4);
    // A load, and the forming of a replica, may take this many times the expected time, and
    // `formingSlack` besides.
    double formingFactor = 2.5;
    Duration formingSlack = std::chrono::seconds(4);
    // An order that got no answer may be carried out until so long afterwards.
    Duration latest = std::chrono::milliseconds(12'500);
    // Part of the loads at once that those which can wait leave free: a load takes long, and a
    // server that is added while all are taken serves nobody until one ends.
    double keptFree = 0.75;
    // The weight store's rate: starts of loads in any window of this length.
    Duration loadWindow = std::chrono::seconds(5);
    LoadBackoffOptions loadGuard;
};

// Not thread-safe: lives on the event loop.
class OrderBook
{
public:
    explicit OrderBook(OrderBookOptions options)
        : m_options(options), m_guard(options.loadGuard) { }

    // Of `wanted`, those to send now. Loads go in the order of `wanted`, as far as the weight store
    // bears; part of it is kept from those that can wait. Those of a model that has ended the
    // servers which loaded it wait.
    std::vector<ServerOrder> due(const std::vector<ServerOrder> &wanted,
                                 const EngineProfile &engine, MonotonicTime now) const;

    void sent(const ServerOrder &order, const EngineProfile &engine, MonotonicTime now);
    void answered(const ServerOrder &order, OrderAnswer answer, MonotonicTime now);

    // Servers that must not be given to another replica now. Of `servers`, these are also later
    // lives of servers that a join may yet reach: it is addressed to their name.
    std::set<HostId> unusable(const ServerMap &servers, MonotonicTime now) const;

    // Replicas whose forming was refused, or takes too long.
    std::set<ReplicaId> failed(const ReplicaPlan &plan, const EngineProfile &engine,
                               MonotonicTime now);

    // Loads that may begin now: within the window's rate, and beside those in progress, which each
    // further one would slow down.
    int loadsAllowed(const EngineProfile &engine, MonotonicTime now) const;

    // Before the first request.
    bool joinsMayLoad() const { return !m_trafficSeen; }

    // The loads in progress, as far as this planner knows.
    std::map<HostId, ModelId> loading() const;

    // Takes note of what the servers report: a load is over when its model is staged, or when its
    // server is gone. And of the replicas that may be open.
    void observe(const ServerMap &servers, const ReplicaPlan &plan, MonotonicTime now);

    // Before the first request loads are quick and are not counted against the rate.
    void setTrafficSeen(bool seen) { m_trafficSeen = seen; }

    // What is to be written down: loads in progress, and joins without an answer that may yet be
    // carried out, of replicas that are ready in `plan` or were.
    OrderLedger ledger(const ReplicaPlan &plan, MonotonicTime now) const;

    // Takes over what another planner wrote down of its orders, it is not known when: they count as
    // sent now. And the joins of replicas that are being formed may all be without an answer.
    void adopt(const OrderLedger &ledger, const ReplicaPlan &plan, const EngineProfile &engine,
               MonotonicTime now);

private:
    struct Entry
    {
        bool inFlight = false;
        bool accepted = false;
        Duration wait {}; // Until it may be sent again, from the answer.
        std::optional<MonotonicTime> unansweredAt; // When an answer was last given up on.
        MonotonicTime answeredAt;
    };
    struct Load
    {
        HostId host;
        ModelId model;
        MonotonicTime latestEnd; // By then it has failed, if its model is not staged.
    };

    void noteEnds(const ServerMap &servers, MonotonicTime now);
    void noteUnanswered(const HostId &host, const ReplicaId &replica, MonotonicTime now);
    bool mayBeCarriedOut(const ServerOrder &order, const Entry &entry, MonotonicTime now) const;
    void noteLoad(const HostId &host, const ModelId &model, const EngineProfile &engine,
                  MonotonicTime now);
    bool isLoading(const HostId &host, const ModelId &model) const;
    bool isStaging(const ServerOrder &order) const;
    Duration timeOf(const ServerOrder &order, const EngineProfile &engine) const;
    bool isDue(const ServerOrder &order, const EngineProfile &engine, MonotonicTime now) const;

    OrderBookOptions m_options;
    bool m_trafficSeen = true;
    std::map<ServerOrder, Entry> m_entries;
    std::vector<Load> m_loading; // In progress, as far as is known.
    LoadBackoff m_guard;
    std::set<HostId> m_present; // At the last look.
    std::deque<MonotonicTime> m_loadStarts; // Ascending, within the window.
    std::map<HostId, MonotonicTime> m_unusable; // Until when.
    std::set<ReplicaId> m_refused;
    std::set<ReplicaId> m_opened; // Told to open, now or before.
    std::map<ReplicaId, MonotonicTime> m_formingSince;
};

} // namespace ramphinge
