// Tracking of orders sent to servers: see order_tracker.h.

#include "ramphinge/formation/order_tracker.h"

#include <algorithm>
#include <limits>

namespace ramphinge {

namespace {

// The platform's loads take this fraction of their time before the first request.
constexpr double preTrafficLoadTimeFactor = 0.1;

} // namespace

const char *toString(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Begun:
        return "begun";
    case OrderAnswer::Done:
        return "done";
    case OrderAnswer::NotNow:
        return "not_now";
    case OrderAnswer::Superseded:
        return "superseded";
    case OrderAnswer::OtherServer:
        return "other_server";
    case OrderAnswer::Refused:
        return "refused";
    case OrderAnswer::NoListener:
        return "no_listener";
    case OrderAnswer::Unreachable:
        return "unreachable";
    case OrderAnswer::Withheld:
        return "withheld";
    case OrderAnswer::Unknown:
        return "unknown";
    }
    return "unknown";
}

Duration OrderTracker::expectedTime(const ServerOrder &order, const EngineProfile &engine) const
{
    const ModelProfile *model = engine.find(order.model);
    if (order.kind == OrderKind::Open)
        return engine.formationTime;
    if (model == nullptr)
        return {};
    if (!order.needsLoad)
        return model->warmTime;
    // Loads beyond the store's limit of concurrent loads slow each other down.
    const double contention =
        std::max(1.0, static_cast<double>(m_loading.size()) / engine.concurrentLoadLimit);
    return scaled(model->loadTime, (m_trafficSeen ? 1.0 : preTrafficLoadTimeFactor) * contention);
}

bool OrderTracker::isLoading(const HostId &host, const ModelId &model) const
{
    return std::any_of(m_loading.begin(), m_loading.end(),
                       [&](const Load &load) { return load.host == host && load.model == model; });
}

// Whether the host is loading already, for this planner or its predecessor: an order to stage would
// start the load over. False for a load whose own order may have been lost, so that it is sent
// again.
bool OrderTracker::isStaging(const ServerOrder &order) const
{
    const bool loads = std::any_of(m_loading.begin(), m_loading.end(),
                                   [&](const Load &load) { return load.host == order.host; });
    const auto tracked = m_entries.find(order);
    const bool mayBeLost = tracked != m_entries.end() && !tracked->second.accepted;
    return loads && !(mayBeLost && isLoading(order.host, order.model));
}

std::map<HostId, ModelId> OrderTracker::loading() const
{
    std::map<HostId, ModelId> models;
    for (const Load &load : m_loading)
        models.emplace(load.host, load.model);
    return models;
}

void OrderTracker::observe(const ServerMap &servers, const ReplicaPlan &plan, MonotonicTime now)
{
    for (const PlannedReplica &replica : plan.replicas) {
        if (replica.phase == ReplicaPhase::Ready)
            m_toldToOpen.insert(replica.replica);
    }
    recordLoadOutcomes(servers, now);
    const auto isOver = [&](const Load &load) {
        const auto server = servers.find(load.host);
        return server == servers.end() || server->second.hasStaged(load.model)
            || now > load.latestEnd;
    };
    m_loading.erase(std::remove_if(m_loading.begin(), m_loading.end(), isOver), m_loading.end());
}

// Records successes and crashes of loads for the backoff; call it before finished loads are
// removed.
void OrderTracker::recordLoadOutcomes(const ServerMap &servers, MonotonicTime now)
{
    for (const HostId &host : m_presentHosts) {
        const bool loaded = std::any_of(m_loading.begin(), m_loading.end(),
                                        [&](const Load &load) { return load.host == host; });
        if (servers.count(host) == 0 && !loaded)
            m_loadBackoff.recordOtherCrash(now);
    }
    for (const Load &load : m_loading) {
        const auto server = servers.find(load.host);
        if (server != servers.end() && server->second.hasStaged(load.model))
            m_loadBackoff.recordSuccess(load.model);
        else if (server == servers.end() && m_presentHosts.count(load.host) > 0)
            m_loadBackoff.recordCrash(load.model, now);
    }
    m_presentHosts.clear();
    for (const auto &[host, server] : servers)
        m_presentHosts.insert(host);
}

bool OrderTracker::isDue(const ServerOrder &order, const EngineProfile &engine,
                         MonotonicTime now) const
{
    const auto found = m_entries.find(order);
    if (found == m_entries.end())
        return true;
    const Entry &entry = found->second;
    if (entry.inFlight)
        return false;
    const Duration work = entry.accepted ? expectedTime(order, engine) : Duration::zero();
    return now >= entry.answeredAt + entry.retryDelay + work;
}

std::vector<ServerOrder> OrderTracker::due(const std::vector<ServerOrder> &wanted,
                                           const EngineProfile &engine, MonotonicTime now) const
{
    std::vector<ServerOrder> result;
    int loadsLeft = loadsAllowed(engine, now);
    for (const ServerOrder &order : wanted) {
        if (!isDue(order, engine, now))
            continue;
        if (order.kind == OrderKind::Stage && isStaging(order))
            continue;
        if (order.needsLoad && !m_loadBackoff.mayLoad(order.model, now))
            continue;
        if (order.needsLoad && !isLoading(order.host, order.model)) {
            const int reservedLoads = order.canWait
                ? static_cast<int>(engine.concurrentLoadLimit * m_options.reservedLoadFraction)
                : 0;
            if (order.kind == OrderKind::Stage && loadsLeft <= reservedLoads)
                continue;
            --loadsLeft;
        }
        result.push_back(order);
    }
    return result;
}

void OrderTracker::addLoad(const HostId &host, const ModelId &model, const EngineProfile &engine,
                           MonotonicTime now)
{
    const ModelProfile *profile = engine.find(model);
    const Duration expected = profile == nullptr ? Duration::zero() : profile->loadTime;
    m_loading.push_back(
        { host, model, now + scaled(expected, m_options.formingFactor) + m_options.formingSlack });
    m_loadStarts.push_back(now);
}

void OrderTracker::sent(const ServerOrder &order, const EngineProfile &engine, MonotonicTime now)
{
    Entry &entry = m_entries[order];
    entry.inFlight = true;
    if (order.needsLoad && !isLoading(order.host, order.model))
        addLoad(order.host, order.model, engine, now);
    while (!m_loadStarts.empty() && now - m_loadStarts.front() > m_options.loadWindow)
        m_loadStarts.pop_front();
}

PendingOrders OrderTracker::pendingOrders(const ReplicaPlan &plan, MonotonicTime now) const
{
    PendingOrders pendingOrders;
    pendingOrders.loads = loading();
    for (const auto &[order, entry] : m_entries) {
        const PlannedReplica *planned = plan.find(order.replica);
        const bool isReady = planned != nullptr && planned->phase == ReplicaPhase::Ready;
        if (mayStillBeCarriedOut(order, entry, now)
            && (isReady || m_toldToOpen.count(order.replica) > 0))
            pendingOrders.unansweredJoins[order.host] = order.replica;
    }
    return pendingOrders;
}

void OrderTracker::adopt(const PendingOrders &pendingOrders, const ReplicaPlan &plan,
                         const EngineProfile &engine, MonotonicTime now)
{
    for (const auto &[host, model] : pendingOrders.loads) {
        if (engine.find(model) != nullptr && !isLoading(host, model))
            addLoad(host, model, engine, now);
    }
    for (const auto &[host, replica] : pendingOrders.unansweredJoins) {
        recordUnansweredJoin(host, replica, now);
        m_toldToOpen.insert(replica);
    }
    for (const PlannedReplica &replica : plan.replicas) {
        if (replica.phase != ReplicaPhase::Forming)
            continue;
        for (const HostId &host : replica.hosts)
            recordUnansweredJoin(host, replica.replica, now);
    }
}

void OrderTracker::recordUnansweredJoin(const HostId &host, const ReplicaId &replica,
                                        MonotonicTime now)
{
    ServerOrder join;
    join.kind = OrderKind::Join;
    join.host = host;
    join.replica = replica;
    m_entries[join].unansweredAt = now;
}

// Whether a join that got no answer may still be carried out.
bool OrderTracker::mayStillBeCarriedOut(const ServerOrder &order, const Entry &entry,
                                        MonotonicTime now) const
{
    return order.kind == OrderKind::Join && entry.unansweredAt
        && now - *entry.unansweredAt < m_options.lateJoinWindow;
}

void OrderTracker::answered(const ServerOrder &order, OrderAnswer answer, MonotonicTime now)
{
    Entry &entry = m_entries[order];
    entry.inFlight = false;
    entry.answeredAt = now;
    entry.accepted = answer == OrderAnswer::Begun || answer == OrderAnswer::Done;
    switch (answer) {
    case OrderAnswer::Begun:
    case OrderAnswer::Done:
        entry.retryDelay = m_options.acceptedRetryDelay;
        return;
    case OrderAnswer::NotNow:
    case OrderAnswer::Withheld:
        entry.retryDelay = m_options.notNowRetryDelay;
        return;
    case OrderAnswer::Unknown:
        entry.retryDelay = m_options.unansweredRetryDelay;
        entry.unansweredAt = now;
        return;
    case OrderAnswer::Superseded:
    case OrderAnswer::Refused:
        m_refused.insert(order.replica);
        entry.retryDelay = m_options.acceptedRetryDelay;
        return;
    case OrderAnswer::OtherServer:
    case OrderAnswer::NoListener:
    case OrderAnswer::Unreachable:
        m_unusable[order.host] = now + m_options.unusableTime;
        entry.retryDelay = m_options.unansweredRetryDelay;
        if (order.kind == OrderKind::Join)
            m_refused.insert(order.replica);
        return;
    }
}

std::set<HostId> OrderTracker::unusable(const ServerMap &servers, MonotonicTime now) const
{
    std::set<HostId> hosts;
    for (const auto &[host, until] : m_unusable) {
        if (now < until)
            hosts.insert(host);
    }
    // A join that timed out may still be carried out, even after a retry of it was answered, and
    // bring its server back into a replica that it has left and whose head may still serve.
    std::set<ServerName> reachableByJoins;
    for (const auto &[order, entry] : m_entries) {
        if (!mayStillBeCarriedOut(order, entry, now) || m_toldToOpen.count(order.replica) == 0)
            continue;
        hosts.insert(order.host);
        reachableByJoins.insert(incarnationOf(order.host).name);
    }
    if (reachableByJoins.empty())
        return hosts;
    for (const auto &[host, server] : servers) {
        if (reachableByJoins.count(incarnationOf(host).name) > 0)
            hosts.insert(host);
    }
    return hosts;
}

std::set<ReplicaId> OrderTracker::failed(const ReplicaPlan &plan, const EngineProfile &engine,
                                         MonotonicTime now)
{
    std::set<ReplicaId> failures;
    std::map<ReplicaId, MonotonicTime> forming;
    for (const PlannedReplica &replica : plan.replicas) {
        if (replica.phase != ReplicaPhase::Forming)
            continue;
        const auto known = m_formingSince.find(replica.replica);
        const MonotonicTime since = known == m_formingSince.end() ? now : known->second;
        forming[replica.replica] = since;
        const ModelProfile *model = engine.find(replica.model);
        const Duration load = model == nullptr ? Duration::zero() : model->loadTime;
        if (now - since > scaled(load, m_options.formingFactor) + m_options.formingSlack
            || m_refused.count(replica.replica) > 0)
            failures.insert(replica.replica);
    }
    m_formingSince = std::move(forming);
    return failures;
}

int OrderTracker::loadsAllowed(const EngineProfile &engine, MonotonicTime now) const
{
    if (!m_trafficSeen)
        return std::numeric_limits<int>::max();
    const auto startedInWindow = static_cast<int>(
        std::count_if(m_loadStarts.begin(), m_loadStarts.end(),
                      [&](MonotonicTime start) { return now - start < m_options.loadWindow; }));
    const double rate = engine.loadStartsPerSecond * toMilliseconds(m_options.loadWindow) / 1000;
    const int concurrentLeft = engine.concurrentLoadLimit - static_cast<int>(m_loading.size());
    return std::max(0, std::min(static_cast<int>(rate) - startedInWindow, concurrentLeft));
}

} // namespace ramphinge
