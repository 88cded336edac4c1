// Forming of replicas: see formation_planner.h.

#include "ramphinge/formation/formation_planner.h"

#include <algorithm>
#include <tuple>

#include "ramphinge/formation/internal/allocation.h"

namespace ramphinge {

namespace {

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

bool isLeaving(const UpstreamServer *server)
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

bool headIs(const PlannedReplica &replica, const FormationInput &input, MembershipState state)
{
    const HostId &head = replica.hosts.front();
    return isMember(input, replica, head) && find(input, head)->membership->state == state;
}

// Some member's entry stands, and has stood for long enough that the others' would be back.
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

// Nobody of it is left: every member that is to be seen has left it, and those that are not to be
// seen have been missing for long if they are all of them.
bool isOver(const PlannedReplica &replica, const FormationInput &input)
{
    const auto stays = [&](const HostId &host) { return isMember(input, replica, host); };
    const auto isForgotten = [&](const HostId &host) { return input.forgotten.count(host) > 0; };
    if (std::any_of(replica.hosts.begin(), replica.hosts.end(), stays))
        return headIs(replica, input, MembershipState::Broken);
    const bool anyPresent =
        std::any_of(replica.hosts.begin(), replica.hosts.end(),
                    [&](const HostId &host) { return find(input, host) != nullptr; });
    return anyPresent || std::all_of(replica.hosts.begin(), replica.hosts.end(), isForgotten);
}

// A member of an opened replica has gone elsewhere: restarted in place, or obeyed somebody else.
bool lostMember(const PlannedReplica &replica, const FormationInput &input)
{
    return std::any_of(replica.hosts.begin(), replica.hosts.end(),
                       [&](const HostId &host) { return !isMember(input, replica, host); });
}

// Every member is there, stays, and belongs to it, and the head serves.
bool isWhole(const PlannedReplica &replica, const FormationInput &input)
{
    return !lostMember(replica, input) && !anyHost(replica, input, isLeaving)
        && headIs(replica, input, MembershipState::Open);
}

// The replica's next phase; nothing if it is over.
std::optional<ReplicaPhase> nextPhase(const PlannedReplica &replica, const FormationInput &input)
{
    const bool failed = input.failed.count(replica.replica) > 0;
    switch (replica.phase) {
    case ReplicaPhase::Forming:
        if (failed || anyHost(replica, input, isMissing) || anyHost(replica, input, isLeaving))
            return std::nullopt;
        return allReady(replica, input) ? ReplicaPhase::Ready : ReplicaPhase::Forming;
    case ReplicaPhase::Ready:
        if (failed || anyHost(replica, input, isMissing) || lostMember(replica, input)
            || headIs(replica, input, MembershipState::Broken))
            return ReplicaPhase::Broken;
        return anyHost(replica, input, isLeaving) ? ReplicaPhase::Draining : ReplicaPhase::Ready;
    case ReplicaPhase::Draining:
        if (failed || anyHost(replica, input, isMissing) || lostMember(replica, input))
            return ReplicaPhase::Broken;
        // Closed: only what is seen after it was open counts, so it is left, not just closed.
        return headIs(replica, input, MembershipState::Ready) ? ReplicaPhase::Broken
                                                              : ReplicaPhase::Draining;
    case ReplicaPhase::Broken:
        if (isOver(replica, input))
            return std::nullopt;
        // All members are back as they were: they had been cut off from the store.
        return isWhole(replica, input) ? ReplicaPhase::Ready : ReplicaPhase::Broken;
    }
    return std::nullopt;
}

bool belongsTo(const PlannedReplica &replica, const FormationInput &input)
{
    return input.engine.find(replica.model) != nullptr;
}

bool needsLoad(const FormationInput &input, const HostId &host, const ModelId &model)
{
    const UpstreamServer *server = find(input, host);
    return server != nullptr && !server->isWarmFor(model);
}

void addJoins(const PlannedReplica &replica, const FormationInput &input,
              std::vector<ServerOrder> &orders)
{
    for (const HostId &host : replica.hosts) {
        if (find(input, host) == nullptr || isMember(input, replica, host))
            continue;
        orders.push_back({ OrderKind::Join, host, replica.replica, replica.epoch, replica.model,
                           replica.hosts, needsLoad(input, host, replica.model), false });
    }
}

// Staging a second model on each server lets it serve either within a second or two.
void addStaging(const ReplicaPlan &plan, const FormationInput &input,
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

// Every member leaves, not the head alone: the head may be out of reach and serve on. Not while the
// members are just coming back.
void addLeaves(const PlannedReplica &replica, const FormationInput &input,
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

// Members of replicas that are not in the plan: they were given up while the servers were cut off,
// or before an order to join was carried out.
void addStrayLeaves(const ReplicaPlan &plan, const FormationInput &input,
                    std::vector<ServerOrder> &orders)
{
    for (const auto &[host, server] : input.servers) {
        if (server.service != input.service || server.draining || !server.membership
            || plan.find(server.membership->replica) != nullptr)
            continue;
        const ReplicaMembership &held = *server.membership;
        orders.push_back(
            { OrderKind::Leave, host, held.replica, held.epoch, {}, {}, false, false });
    }
}

} // namespace

double serversNeeded(const ModelProfile &model, double busy)
{
    return busy + model.serversPerReplica;
}

double serversWithheld(const ReplicaPlan &plan, const ModelProfile &model, RequestRate whole,
                       const std::function<std::optional<RequestRate>(const HostId &)> &rateOf)
{
    double servers = 0;
    for (const PlannedReplica &replica : plan.replicas) {
        if (replica.model != model.model || replica.phase != ReplicaPhase::Ready)
            continue;
        const std::optional<RequestRate> rate = rateOf(replica.hosts.front());
        if (rate && *rate < whole)
            servers += model.serversPerReplica * (1 - rate->perSecond() / whole.perSecond());
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
        if (!belongsTo(replica, input)) {
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
        if (!belongsTo(replica, input))
            continue;
        switch (replica.phase) {
        case ReplicaPhase::Forming:
            addJoins(replica, input, orders);
            break;
        case ReplicaPhase::Ready:
            if (headIs(replica, input, MembershipState::Ready))
                orders.push_back(headOrder(OrderKind::Open, replica));
            break;
        case ReplicaPhase::Draining:
            if (headIs(replica, input, MembershipState::Open))
                orders.push_back(headOrder(OrderKind::Close, replica));
            break;
        case ReplicaPhase::Broken:
            addLeaves(replica, input, orders);
            break;
        }
    }
    addStrayLeaves(plan, input, orders);
    addStaging(plan, input, orders);
    return orders;
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
