// Decides the next plan of a zone from the present one, what is wanted, and what is known of hosts.
//
// Pure: no clock, no I/O; equal inputs give equal plans. One call makes every change that is due;
// the caller writes the result with compare-and-swap and sends orders only after the write took
// effect.
//
// Two objectives weigh a broken replica's ways of repair differently (see docs/design/replicas.md):
// group downtime, and stranded accelerators.
//
//   ReplicaPlan next = nextPlan(current, input, options);
//   if (next.epoch != current.epoch) write(next);

#pragma once

#include <vector>

#include "ramphinge/base/time.h"
#include "ramphinge/replicas/plan.h"
#include "ramphinge/settings/settings.h"

namespace ramphinge {

// A host as the planner sees it. Only live hosts are listed.
struct HostState
{
    HostId host;
    DomainId domain;
    bool leaving = false; // Gets no new replica; its present one drains.
    bool idle = false; // Has no request running or waiting.

    // What the host said it is, last.
    ReplicaId replica;
    Epoch epoch;
    int rank = -1;
    bool loaded = false;
    ModelId model;
};

// So many replicas of a model, wanted in this zone.
struct ReplicaNeed
{
    ModelId model;
    int count = 0;
    int hostsPerReplica = 1;
    int importance = 50;
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
    // Hosts that may load weights at once: the weight store's rate limit over one host's rate.
    int maxLoadingHosts = 64;
    // Baselines for measurements: dissolve everything at each change, or never move a host.
    enum class Baseline { None, RebuildAll, NeverMove } baseline = Baseline::None;
};

ReplicaPlan nextPlan(const ReplicaPlan &current, const PlannerInput &input,
                     const PlannerOptions &options);

// What a host must be told to be what the plan says.
struct HostOrder
{
    HostId host;
    ReplicaId replica; // Empty: leave whatever it is in.
    Epoch epoch;
    int rank = -1;
    ModelId model;
    std::vector<HostId> peers; // The replica's other hosts; told to rank 0 only.
};

// Orders for every live host that is not what the plan says. Hosts of broken and draining replicas
// are left alone.
std::vector<HostOrder> ordersFor(const ReplicaPlan &plan, const PlannerInput &input);

// Whether every host of the replica says that it is its member, at its epoch and rank, and loaded.
bool allHostsConfirm(const PlannedReplica &planned, const PlannerInput &input);

// Healthy accelerators' hosts in no ready replica, and wanted replicas that can't serve.
struct PlanQuality
{
    int strandedHosts = 0;
    int replicasDown = 0;
};
PlanQuality qualityOf(const ReplicaPlan &plan, const PlannerInput &input);

} // namespace ramphinge
