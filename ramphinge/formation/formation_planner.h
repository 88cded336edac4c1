// Decides which servers form which replica. Servers are ordered to join, open, close and leave, and
// may carry an order out late or never answer it.
//
// Pure: no clock of its own, no I/O; equal inputs give equal plans. The caller writes the plan with
// compare-and-swap, and only then sends what ordersFor() asks for. Late orders are harmless
// because:
//
// - Each replica that is formed gets a name and an epoch that are never used again; orders carry
//   both.
// - A replica is Ready in the stored plan before its head is first told to open. So one that is
//   still Forming was never open, and its servers are free at once when it fails.
// - A server that was in a replica is reused only after it was seen to have left it, or the
//   replica's head was seen Broken. So a head that is partitioned and serves on never shares a
//   member with another replica.
// - Where all members are missing, a network partition between them and the store is likely, and
//   the replica is kept as it is until some are back.
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

// Demand for one model.
struct ModelDemand
{
    ModelId model;
    double share = 1; // Of the service's servers, relative to the other models' shares.
};

// The number of servers that a model should have whose requests keep `busyServers` busy: one
// replica more than that, so that the loss of one replica leaves enough. The extra replica weighs
// most for models of few and large replicas: any of many members can fail them, and each is a large
// part of the model's capacity.
double serversNeeded(const ModelProfile &model, double busyServers);

// The capacity, in servers, that the model's Ready replicas lack because their heads accept fewer
// requests than `fullRate`, what a replica without a limit can take. `rateOf` returns the rate that
// a head accepts; nothing if it has no limit.
double
serversLostToRateLimits(const ReplicaPlan &plan, const ModelProfile &model, RequestRate fullRate,
                        const std::function<std::optional<RequestRate>(const HostId &)> &rateOf);

// What the planner expects to lose.
struct LossForecast
{
    double perServerSecond = 0; // Servers lost in one second, of each one.
};

struct FormationInput
{
    ServiceId service;
    const EngineProfile &engine;
    const ServerMap &servers;
    std::vector<ModelDemand> demand; // One for each model of the engine.
    // Servers that must get no new replica now: unreachable ones, and those that a late join may
    // still reach.
    std::set<HostId> unusable;
    // Replicas whose forming was refused or takes too long.
    std::set<ReplicaId> failed;
    // Servers that have been in the view for so long that others which disappeared in the same
    // network partition would be back by now.
    std::set<HostId> settled;
    // Servers that have been missing from the view for so long that they are presumed lost.
    std::set<HostId> presumedLost;
    // Whether servers that have to load the model may join a replica. Under traffic they stage the
    // model first: a member that loads keeps the warm members waiting.
    bool joinsMayLoad = false;
    // The loads in progress: the model that each server will hold.
    std::map<HostId, ModelId> loading;
    // If set, idle servers are made ready for the next loss: staged with the models that losses in
    // their domain would leave short, staged anew where that completes a replica, and preloaded. If
    // not, each stays as it is once it has a model.
    std::optional<LossForecast> losses = std::nullopt;
};

// The next plan. Its epoch grows with each replica that is formed. A plan equal to `current` (see
// samePlan()) means that nothing changes.
ReplicaPlan nextFormation(const ReplicaPlan &current, const FormationInput &input);

enum class OrderKind { Join, Open, Close, Leave, Stage };
const char *toString(OrderKind kind);

// One order to one server.
struct ServerOrder
{
    OrderKind kind = OrderKind::Join;
    HostId host;
    ReplicaId replica; // Stage: the model's name, so that orders to stage two models differ.
    Epoch epoch;
    ModelId model; // Join and Stage.
    std::vector<HostId> members; // Join: rank order.
    bool needsLoad = false; // The model has to come from the weight store.
    // The host serves meanwhile, so loads of idle hosts go first and part of the weight store's
    // limit stays free.
    bool canWait = false;

    friend bool operator<(const ServerOrder &a, const ServerOrder &b);
};

// All orders that would bring the servers closer to the plan, whether or not they were sent
// already.
std::vector<ServerOrder> ordersFor(const ReplicaPlan &plan, const FormationInput &input);

// The idle servers that can join a replica of each model without a load, by domain: those of
// domains that hold replicas of it.
using SparesByModel = std::map<ModelId, std::map<DomainId, int>>;
SparesByModel spareServers(const ReplicaPlan &plan, const FormationInput &input);

// Whether orders name this replica only to preload a model: a spare server joins it alone and
// leaves it, and then joins a replica of that model as fast as its former members. It is in no plan
// and never opens.
bool isPreload(const ReplicaId &replica);

// Whether two plans have the same epoch, and the same replicas in the same phases.
bool samePlan(const ReplicaPlan &a, const ReplicaPlan &b);

} // namespace ramphinge
