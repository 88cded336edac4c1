// The plan of an availability zone: which hosts form which replica. Written with compare-and-swap
// by the holder of the zone's planner lease; read by all daemons.
//
// Epochs are fencing tokens: the plan's epoch grows with each write, and a replica has the plan
// epoch at which its present formation began. Orders to hosts carry the replica's epoch.

#pragma once

#include <string>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"

namespace ramphinge {

enum class ReplicaPhase {
    Forming, // Not every host has confirmed yet that it is a loaded member.
    Ready, // Every host has confirmed; requests may be sent to it.
    Draining, // Gets no new requests; its hosts become free when those in flight have ended.
    Broken, // A host is missing or contradicts the plan; gets no requests; keeps its other hosts.
};

const char *toString(ReplicaPhase phase);

struct PlannedReplica
{
    ReplicaId replica; // Stays the same when formed again: model, zone and a number.
    ModelId model;
    DomainId domain; // Invariant: all hosts are in this fabric domain.
    Epoch epoch; // Of the present formation.
    ReplicaPhase phase = ReplicaPhase::Forming;
    bool surplus = false; // Beyond the demanded count; formed of otherwise idle hosts.
    std::vector<HostId> hosts; // In rank order; rank 0 receives the requests.
};

struct ReplicaPlan
{
    Epoch epoch;
    std::vector<PlannedReplica> replicas;

    const PlannedReplica *find(const ReplicaId &replica) const;

    // The replica that a host belongs to, or null.
    const PlannedReplica *replicaOf(const HostId &host) const;
};

// Checks the invariants of a plan: each host and each replica appears once, no replica is without
// hosts or has an epoch above the plan's. Called before each write and after each read. Errors:
// Internal, naming the host or replica.
Status checkPlan(const ReplicaPlan &plan);

std::string serialize(const ReplicaPlan &plan);

// Errors: InvalidInput, also if the plan violates an invariant.
Result<ReplicaPlan> parsePlan(const std::string &text);

} // namespace ramphinge
