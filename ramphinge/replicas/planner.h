// Computes the next plan of a zone from the present plan, the demanded replicas and the hosts'
// states.
//
// Deterministic, without clock or I/O: equal inputs give equal plans. One call makes every change
// that is due; the caller writes the result with compare-and-swap and sends orders only after the
// write succeeded.
//
// The objective, group downtime or stranded accelerators, decides between the ways to repair a
// broken replica (see docs/design/replicas.md).
//
//   ReplicaPlan next = nextPlan(current, input, options);
//   if (next.epoch != current.epoch) write(next);

#pragma once

#include <vector>

#include "ramphinge/base/time.h"
#include "ramphinge/replicas/plan.h"
#include "ramphinge/settings/settings.h"

namespace ramphinge {

// The planner's input about a host. Only live hosts are listed.
struct HostState
{
    HostId host;
    DomainId domain;
    bool leaving = false; // Joins no new replica; its present replica drains.
    bool idle = false; // Has no request running or waiting.

    // The state that the host last reported.
    ReplicaId replica;
    Epoch epoch;
    int rank = -1;
    bool loaded = false;
    ModelId model;
};

// The number of replicas of a model that this zone should have.
struct ReplicaNeed
{
    ModelId model;
    int count = 0;
    int hostsPerReplica = 1;
    int importance = 50; // Replicas of models with a higher value are formed and repaired first.
};

struct PlannerInput
{
    ZoneId zone;
    std::vector<HostState> hosts;
    std::vector<ReplicaNeed> needs;
};

struct PlannerOptions
{
    Objective objective = Objective::GroupDowntime;
    // Maximum number of hosts that load weights at the same time: the weight store's rate limit
    // divided by the rate of a host.
    int maxLoadingHosts = 64;
    // Baselines for measurements: rebuild all replicas whenever one breaks, or never replace
    // a missing host.
    enum class Baseline { None, RebuildAll, NeverMove } baseline = Baseline::None;
};

ReplicaPlan nextPlan(const ReplicaPlan &current, const PlannerInput &input,
                     const PlannerOptions &options);

// An order to a host to join or leave a replica.
struct HostOrder
{
    HostId host;
    ReplicaId replica; // Empty: leave the present replica.
    Epoch epoch;
    int rank = -1;
    ModelId model;
    std::vector<HostId> peers; // The replica's other hosts; in the order to rank 0 only.
};

// Orders for every live host whose state differs from the plan. Hosts of ready, broken and draining
// replicas get none.
std::vector<HostOrder> ordersFor(const ReplicaPlan &plan, const PlannerInput &input);

// Whether every host of the replica reports that it is a member at the planned epoch and rank, and
// has loaded the model.
bool allHostsConfirm(const PlannedReplica &planned, const PlannerInput &input);

struct PlanQuality
{
    int strandedHosts = 0; // Live hosts in no serving replica.
    int replicasDown = 0; // Demanded replicas that can't serve.
};
PlanQuality qualityOf(const ReplicaPlan &plan, const PlannerInput &input);

} // namespace ramphinge
