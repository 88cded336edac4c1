// Decides which servers form which replica, for servers that are ordered to join, open, close and
// leave and that may carry an order out late or never answer it.
//
// Pure: no clock of its own, no I/O; equal inputs give equal plans. The caller writes the plan with
// compare-and-swap, and only then sends what ordersFor() asks for. What makes late orders harmless:
//
// - Each forming has a name and an epoch that are never used again; orders name both.
// - A replica is Ready in the stored plan before its head is first told to open. So one that is
//   still Forming was never open, and its servers are free at once when it fails.
// - A server that was in a replica is reused only after it was seen to have left it, or its head to
//   be broken. So a head that is cut off and serves on never shares a member with another replica.
// - Where all members are missing, a cut between them and the store is likely, and the replica is
//   kept as it is until some are back.
//
//   ReplicaPlan next = nextFormation(plan, input);
//   if (next.epoch != plan.epoch) commit(next);

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/replicas/plan.h"

namespace ramphinge {

// What the planner weighs for one model, besides the model's own profile.
struct ModelDemand
{
    ModelId model;
    double share = 1; // Of the service's servers; relative to the other models.
};

// The servers that a model should have whose requests keep `busy` of them at work: one replica
// more, so that the loss of one is borne. Weighs most for models of few and large replicas, which
// are lost by any of many members, and of which one is a large part of all.
double serversNeeded(const ModelProfile &model, double busy);

// What the model's replicas lack, in servers, since their heads accept fewer requests than a whole
// replica can take: `whole`. `rateOf` tells what a head accepts; nothing if it has no limit.
double serversWithheld(const ReplicaPlan &plan, const ModelProfile &model, RequestRate whole,
                       const std::function<std::optional<RequestRate>(const HostId &)> &rateOf);

struct FormationInput
{
    ServiceId service;
    const EngineProfile &engine;
    const ServerMap &servers;
    std::vector<ModelDemand> demand; // One for each model of the engine.
    // Servers that refused or did not take an order lately: get no new replica.
    std::set<HostId> unusable;
    // Replicas whose forming was refused or takes too long.
    std::set<ReplicaId> failed;
    // Servers that have been in the view for so long that those which vanished with them, behind
    // the same cut, would be back by now.
    std::set<HostId> settled;
    // Servers that have been missing from the view for so long that they won't be back.
    std::set<HostId> forgotten;
    // Whether servers that have to load may form a replica. While requests come, they stage the
    // model first: a member that loads keeps the warm ones waiting.
    bool joinsMayLoad = false;
    // The loads in progress: which model each server will have.
    std::map<HostId, ModelId> loading;
};

// The next plan. Its epoch grows with each forming; equal plans mean that nothing is due.
ReplicaPlan nextFormation(const ReplicaPlan &current, const FormationInput &input);

enum class OrderKind { Join, Open, Close, Leave, Stage };
const char *toString(OrderKind kind);

// One order to one server.
struct ServerOrder
{
    OrderKind kind = OrderKind::Join;
    HostId host;
    ReplicaId replica; // For Stage the model's name, which tells two stagings apart.
    Epoch epoch;
    ModelId model; // Join and Stage.
    std::vector<HostId> members; // Join: rank order.
    bool needsLoad = false; // From the weight store.
    // The host serves meanwhile: others' loads go first, and part of the weight store is left free.
    bool canWait = false;

    friend bool operator<(const ServerOrder &a, const ServerOrder &b);
};

// Every order that would bring the servers nearer to the plan, whether or not it was sent already.
std::vector<ServerOrder> ordersFor(const ReplicaPlan &plan, const FormationInput &input);

// Whether two plans say the same about every replica.
bool samePlan(const ReplicaPlan &a, const ReplicaPlan &b);

} // namespace ramphinge
