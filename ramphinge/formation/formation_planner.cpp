// Planning of replicas: see formation_planner.h.

#include "ramphinge/formation/formation_planner.h"

#include <algorithm>
#include <tuple>

#include "ramphinge/formation/internal/allocation.h"

namespace ramphinge {

namespace {

const std::string preloadPrefix = "preload-";

const UpstreamServer *find(const FormationInput &input, const HostId &host)
{
    const auto found = input.servers.find(host);
    return found == input.servers.end() ? nullptr : &found->second;
}

bool isMember(const FormationInput &input, const PlannedReplica &replica, const HostId &host)
{
    const UpstreamServer *server = find(input, host);
    return server != nullptr && server->isMemberOf(replica.replica, replica.epoch);
}

bool anyHost(const PlannedReplica &replica, const FormationInput &input,
             bool (*predicate)(const UpstreamServer *))
{
    return std::any_of(replica.hosts.begin(), replica.hosts.end(),
                       [&](const HostId &host) { return predicate(find(input, host)); });
}

bool isMissing(const UpstreamServer *server)
{
    return server == nullptr;
}

bool isDraining(const UpstreamServer *server)
{
    return server != nullptr && server->draining;
}

bool allReady(const PlannedReplica &replica, const FormationInput &input)
{
    return std::all_of(replica.hosts.begin(), replica.hosts.end(), [&](const HostId &host) {
        return isMember(input, replica, host)
            && find(input, host)->membership->state != MembershipState::Joining;
    });
}

bool isHeadInState(const PlannedReplica &replica, const FormationInput &input,
                   MembershipState state)
{
    const HostId &head = replica.hosts.front();
    return isMember(input, replica, head) && find(input, head)->membership->state == state;
}

// Whether some member is in the view, and those that are have been for so long that the others
// would be back by now.
bool membersAreSettled(const PlannedReplica &replica, const FormationInput &input)
{
    bool any = false;
    for (const HostId &host : replica.hosts) {
        if (find(input, host) == nullptr)
            continue;
        if (input.settled.count(host) == 0)
            return false;
        any = true;
    }
    return any;
}

// Whether the Broken replica can be dropped: no present member belongs to it any more, and if none
// is present, all of them are presumed lost. While a present member still belongs to it, its head
// must report Broken.
bool canBeDropped(const PlannedReplica &replica, const FormationInput &input)
{
    const auto isStillMember = [&](const HostId &host) { return isMember(input, replica, host); };
    const auto isPresumedLost = [&](const HostId &host) {
        return input.presumedLost.count(host) > 0;
    };
    if (std::any_of(replica.hosts.begin(), replica.hosts.end(), isStillMember))
        return isHeadInState(replica, input, MembershipState::Broken);
    const bool anyPresent =
        std::any_of(replica.hosts.begin(), replica.hosts.end(),
                    [&](const HostId &host) { return find(input, host) != nullptr; });
    return anyPresent || std::all_of(replica.hosts.begin(), replica.hosts.end(), isPresumedLost);
}

// Whether a host is no longer a member of this replica at its epoch: missing, restarted in place,
// or following another planner's order.
bool hasLostMember(const PlannedReplica &replica, const FormationInput &input)
{
    return std::any_of(replica.hosts.begin(), replica.hosts.end(),
                       [&](const HostId &host) { return !isMember(input, replica, host); });
}

// Whether every member is present, not draining, and belongs to the replica, and the head is open.
bool isIntact(const PlannedReplica &replica, const FormationInput &input)
{
    return !hasLostMember(replica, input) && !anyHost(replica, input, isDraining)
        && isHeadInState(replica, input, MembershipState::Open);
}

// The replica's next phase; nothing if it is to be dropped.
std::optional<ReplicaPhase> nextPhase(const PlannedReplica &replica, const FormationInput &input)
{
    const bool failed = input.failed.count(replica.replica) > 0;
    switch (replica.phase) {
    case ReplicaPhase::Forming:
        if (failed || anyHost(replica, input, isMissing) || anyHost(replica, input, isDraining))
            return std::nullopt;
        return allReady(replica, input) ? ReplicaPhase::Ready : ReplicaPhase::Forming;
    case ReplicaPhase::Ready:
        if (failed || anyHost(replica, input, isMissing) || hasLostMember(replica, input)
            || isHeadInState(replica, input, MembershipState::Broken))
            return ReplicaPhase::Broken;
        return anyHost(replica, input, isDraining) ? ReplicaPhase::Draining : ReplicaPhase::Ready;
    case ReplicaPhase::Draining:
        if (failed || anyHost(replica, input, isMissing) || hasLostMember(replica, input))
            return ReplicaPhase::Broken;
        // A head that is Ready after it was open has closed. The replica is then dissolved, not
        // just kept closed.
        return isHeadInState(replica, input, MembershipState::Ready) ? ReplicaPhase::Broken
                                                                     : ReplicaPhase::Draining;
    case ReplicaPhase::Broken:
        if (canBeDropped(replica, input))
            return std::nullopt;
        // All members are back as they were: they had been partitioned from the store.
        return isIntact(replica, input) ? ReplicaPhase::Ready : ReplicaPhase::Broken;
    }
    return std::nullopt;
}

bool isModelOfEngine(const PlannedReplica &replica, const FormationInput &input)
{
    return input.engine.find(replica.model) != nullptr;
}

bool needsLoad(const FormationInput &input, const HostId &host, const ModelId &model)
{
    const UpstreamServer *server = find(input, host);
    return server != nullptr && !server->isWarmFor(model);
}

void addJoinOrders(const PlannedReplica &replica, const FormationInput &input,
                   std::vector<ServerOrder> &orders)
{
    for (const HostId &host : replica.hosts) {
        if (find(input, host) == nullptr || isMember(input, replica, host))
            continue;
        orders.push_back({ OrderKind::Join, host, replica.replica, replica.epoch, replica.model,
                           replica.hosts, needsLoad(input, host, replica.model), false });
    }
}

// Orders to stage a second model on each server, which lets it serve either model within a second
// or two.
void addStageOrders(const ReplicaPlan &plan, const FormationInput &input,
                    std::vector<ServerOrder> &orders)
{
    ReplicaPlan scratch = plan;
    for (const StagingChoice &choice : Allocation(scratch, input).modelsToStage()) {
        orders.push_back({ OrderKind::Stage,
                           choice.host,
                           ReplicaId(choice.model.text()),
                           {},
                           choice.model,
                           {},
                           true,
                           !choice.isIdle });
    }
}

ServerOrder headOrder(OrderKind kind, const PlannedReplica &replica)
{
    return { kind, replica.hosts.front(), replica.replica, replica.epoch, {}, {}, false, false };
}

// Orders every member to leave, not the head alone: the head may be unreachable and serve on. Not
// while members are just coming back.
void addLeaveOrders(const PlannedReplica &replica, const FormationInput &input,
                    std::vector<ServerOrder> &orders)
{
    if (!membersAreSettled(replica, input))
        return;
    for (const HostId &host : replica.hosts) {
        if (isMember(input, replica, host))
            orders.push_back(
                { OrderKind::Leave, host, replica.replica, replica.epoch, {}, {}, false, false });
    }
}

// The replica's name holds model and server, so that no two servers ever join the same one. The
// plan's current epoch is lower than that of any replica that the server joins later, so that the
// order is refused if it arrives after that join.
void addPreloadOrders(const ReplicaPlan &plan, const FormationInput &input,
                      std::vector<ServerOrder> &orders)
{
    ReplicaPlan scratch = plan;
    for (const PreloadChoice &choice : Allocation(scratch, input).modelsToPreload()) {
        const std::string name =
            preloadPrefix + choice.model.text() + "-" + incarnationOf(choice.host).name.text();
        orders.push_back({ OrderKind::Join,
                           choice.host,
                           ReplicaId(name),
                           plan.epoch,
                           choice.model,
                           { choice.host },
                           false,
                           false });
    }
}

// Whether a server that leaves now would not have the model in memory yet.
bool isPreloading(const ReplicaMembership &membership)
{
    return isPreload(membership.replica) && membership.state == MembershipState::Joining;
}

// Orders members to leave replicas that are not in the plan: replicas that were given up while the
// servers were partitioned, or before an order to join was carried out, and ended preloads.
void addLeavesOfUnplannedReplicas(const ReplicaPlan &plan, const FormationInput &input,
                                  std::vector<ServerOrder> &orders)
{
    for (const auto &[host, server] : input.servers) {
        if (server.service != input.service || server.draining || !server.membership
            || plan.find(server.membership->replica) != nullptr
            || (input.losses && isPreloading(*server.membership)))
            continue;
        const ReplicaMembership &leaving = *server.membership;
        orders.push_back(
            { OrderKind::Leave, host, leaving.replica, leaving.epoch, {}, {}, false, false });
    }
}

} // namespace

double serversNeeded(const ModelProfile &model, double busyServers)
{
    return busyServers + model.serversPerReplica;
}

double
serversLostToRateLimits(const ReplicaPlan &plan, const ModelProfile &model, RequestRate fullRate,
                        const std::function<std::optional<RequestRate>(const HostId &)> &rateOf)
{
    double servers = 0;
    for (const PlannedReplica &replica : plan.replicas) {
        if (replica.model != model.model || replica.phase != ReplicaPhase::Ready)
            continue;
        const std::optional<RequestRate> rate = rateOf(replica.hosts.front());
        if (rate && *rate < fullRate)
            servers += model.serversPerReplica * (1 - rate->perSecond() / fullRate.perSecond());
    }
    return servers;
}

const char *toString(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Join:
        return "join";
    case OrderKind::Open:
        return "open";
    case OrderKind::Close:
        return "close";
    case OrderKind::Leave:
        return "leave";
    case OrderKind::Stage:
        return "stage";
    }
    return "leave";
}

bool operator<(const ServerOrder &a, const ServerOrder &b)
{
    return std::tie(a.host, a.replica, a.kind) < std::tie(b.host, b.replica, b.kind);
}

ReplicaPlan nextFormation(const ReplicaPlan &current, const FormationInput &input)
{
    ReplicaPlan next;
    next.epoch = current.epoch;
    for (const PlannedReplica &replica : current.replicas) {
        if (!isModelOfEngine(replica, input)) {
            next.replicas.push_back(replica);
            continue;
        }
        const std::optional<ReplicaPhase> phase = nextPhase(replica, input);
        if (!phase)
            continue;
        next.replicas.push_back(replica);
        next.replicas.back().phase = *phase;
    }
    Allocation allocation(next, input);
    allocation.rebalance();
    allocation.formReplicas();
    return next;
}

std::vector<ServerOrder> ordersFor(const ReplicaPlan &plan, const FormationInput &input)
{
    std::vector<ServerOrder> orders;
    for (const PlannedReplica &replica : plan.replicas) {
        if (!isModelOfEngine(replica, input))
            continue;
        switch (replica.phase) {
        case ReplicaPhase::Forming:
            addJoinOrders(replica, input, orders);
            break;
        case ReplicaPhase::Ready:
            if (isHeadInState(replica, input, MembershipState::Ready))
                orders.push_back(headOrder(OrderKind::Open, replica));
            break;
        case ReplicaPhase::Draining:
            if (isHeadInState(replica, input, MembershipState::Open))
                orders.push_back(headOrder(OrderKind::Close, replica));
            break;
        case ReplicaPhase::Broken:
            addLeaveOrders(replica, input, orders);
            break;
        }
    }
    addLeavesOfUnplannedReplicas(plan, input, orders);
    addStageOrders(plan, input, orders);
    addPreloadOrders(plan, input, orders);
    return orders;
}

SparesByModel spareServers(const ReplicaPlan &plan, const FormationInput &input)
{
    SparesByModel spares;
    std::set<std::pair<ModelId, DomainId>> inUse;
    for (const PlannedReplica &replica : plan.replicas)
        inUse.insert({ replica.model, replica.domain });
    for (const auto &[host, server] : input.servers) {
        if (server.service != input.service || server.draining || plan.replicaOf(host) != nullptr
            || input.unusable.count(host) > 0)
            continue;
        for (const ModelProfile &model : input.engine.models) {
            if (server.isWarmFor(model.model) && inUse.count({ model.model, server.domain }) > 0)
                ++spares[model.model][server.domain];
        }
    }
    return spares;
}

bool isPreload(const ReplicaId &replica)
{
    return replica.text().compare(0, preloadPrefix.size(), preloadPrefix) == 0;
}

bool samePlan(const ReplicaPlan &a, const ReplicaPlan &b)
{
    return a.epoch == b.epoch && a.replicas.size() == b.replicas.size()
        && std::equal(a.replicas.begin(), a.replicas.end(), b.replicas.begin(),
                      [](const PlannedReplica &x, const PlannedReplica &y) {
                          return x.replica == y.replica && x.phase == y.phase;
                      });
}

} // namespace ramphinge
