// The plan of one availability zone: which hosts form which replica. Written with compare-and-swap
// by whoever holds the zone's planner lease; read by everyone.
//
// Epochs are fencing tokens: the plan's grows with each write, and a replica carries the plan epoch
// at which its present forming began. Orders to hosts carry it.

#pragma once

#include <string>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"

namespace ramphinge {

enum class ReplicaPhase {
    Forming, // Hosts were ordered; not all have been read back as loaded members.
    Ready, // Every host was read back; requests may go there.
    Draining, // Gets nothing new; its requests end, then its hosts are free.
    Broken, // A host is missing; gets nothing; keeps its other hosts while it waits for repair.
};

const char *toString(ReplicaPhase phase);

struct PlannedReplica
{
    ReplicaId replica; // Stable over re-forming: model, zone and a number.
    ModelId model;
    DomainId domain; // Invariant: all hosts are in this fabric domain.
    Epoch epoch; // Of the present forming.
    ReplicaPhase phase = ReplicaPhase::Forming;
    bool surplus = false; // More than what was asked for: made of hosts that would be idle.
    std::vector<HostId> hosts; // Rank order; rank 0 takes the requests.
};

struct ReplicaPlan
{
    Epoch epoch;
    std::vector<PlannedReplica> replicas;

    const PlannedReplica *find(const ReplicaId &replica) const;

    // The replica that a host belongs to, or null.
    const PlannedReplica *replicaOf(const HostId &host) const;
};

// The invariants of every plan: no host in two replicas, no host twice in one, no epoch above the
// plan's. Checked before each write and after each read. Errors: Internal, naming the host.
Status checkPlan(const ReplicaPlan &plan);

std::string serialize(const ReplicaPlan &plan);

// Errors: InvalidInput; also if the plan breaks an invariant.
Result<ReplicaPlan> parsePlan(const std::string &text);

} // namespace ramphinge
