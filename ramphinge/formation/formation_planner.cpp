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

// The head is certainly not serving and never will be: its servers are free.
bool isReleased(const PlannedReplica &replica, const FormationInput &input)
{
    const HostId &headId = replica.hosts.front();
    const UpstreamServer *head = find(input, headId);
    if (head == nullptr)
        return input.confirmedGone.count(headId) > 0
            || (input.silent.count(headId) > 0 && membersAreSettled(replica, input));
    if (!isMember(input, replica, headId))
        return true;
    return head->membership->state == MembershipState::Broken;
}

// A member of an opened replica has gone elsewhere: restarted in place, or obeyed somebody else.
bool lostMember(const PlannedReplica &replica, const FormationInput &input)
{
    return std::any_of(replica.hosts.begin(), replica.hosts.end(),
                       [&](const HostId &host) { return !isMember(input, replica, host); });
}

bool headIs(const PlannedReplica &replica, const FormationInput &input, MembershipState state)
{
    const HostId &head = replica.hosts.front();
    return isMember(input, replica, head) && find(input, head)->membership->state == state;
}

// Every member is there, stays, and belongs to it, and the head serves.
bool isWhole(const PlannedReplica &replica, const FormationInput &input)
{
    return !lostMember(replica, input) && !anyHost(replica, input, isLeaving)
        && headIs(replica, input, MembershipState::Open);
}

// Whether the head must be told to leave. Not while the members are just coming back, and not where
// none is to be seen.
bool leaveIsDue(const PlannedReplica &replica, const FormationInput &input)
{
    return !isReleased(replica, input) && membersAreSettled(replica, input);
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
        if (isReleased(replica, input))
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
    return server != nullptr && server->model != model && !server->hasStaged(model);
}

void addJoins(const PlannedReplica &replica, const FormationInput &input,
              std::vector<ServerOrder> &orders)
{
    for (const HostId &host : replica.hosts) {
        if (find(input, host) == nullptr || isMember(input, replica, host))
            continue;
        orders.push_back({ OrderKind::Join, host, replica.replica, replica.epoch, replica.model,
                           replica.hosts, needsLoad(input, host, replica.model) });
    }
}

// Staging a second model on each server lets it serve either within a second or two.
void addStaging(const ReplicaPlan &plan, const FormationInput &input,
                std::vector<ServerOrder> &orders)
{
    const bool forming =
        std::any_of(plan.replicas.begin(), plan.replicas.end(), [](const PlannedReplica &replica) {
            return replica.phase == ReplicaPhase::Forming;
        });
    if (forming)
        return; // The loads that bring a replica into service go first.
    ReplicaPlan scratch = plan;
    int loadsLeft = input.loadsAllowed;
    for (const auto &[host, model] : Allocation(scratch, input).modelsToStage()) {
        if (loadsLeft-- <= 0)
            return;
        orders.push_back({ OrderKind::Stage, host, ReplicaId(model.text()), {}, model, {}, true });
    }
}

ServerOrder headOrder(OrderKind kind, const PlannedReplica &replica)
{
    return { kind, replica.hosts.front(), replica.replica, replica.epoch, {}, {}, false };
}

// Heads that serve a replica which is not in the plan: it was given up while they were cut off.
void addStrayLeaves(const ReplicaPlan &plan, const FormationInput &input,
                    std::vector<ServerOrder> &orders)
{
    for (const auto &[host, server] : input.servers) {
        if (server.service != input.service || !isServingHead(server)
            || plan.find(server.membership->replica) != nullptr)
            continue;
        orders.push_back({ OrderKind::Leave,
                           host,
                           server.membership->replica,
                           server.membership->epoch,
                           {},
                           {},
                           false });
    }
}

} // namespace

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
    allocation.formReplicas();
    allocation.rebalance();
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
            if (leaveIsDue(replica, input))
                orders.push_back(headOrder(OrderKind::Leave, replica));
            break;
        }
    }
    addStrayLeaves(plan, input, orders);
    addStaging(plan, input, orders);
    return orders;
}

bool isServingHead(const UpstreamServer &server)
{
    return server.membership && server.membership->rank == 0
        && (server.membership->state == MembershipState::Open
            || server.membership->state == MembershipState::Closing);
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
