// The routing policies: cache affinity, which daemons use, and baselines to measure it against.
//
//   auto policy = makeAffinityPolicy({});
//   if (auto index = policy->choose({ prefixHash, {} }, candidates))
//       send(candidates[*index].replica);

#pragma once

#include <memory>

#include "ramphinge/routing/candidate.h"

namespace ramphinge {

struct AffinityOptions
{
    // A replica is chosen for its cache only while its load is at most this multiple of the mean
    // load, plus the slack: consistent hashing with bounded loads.
    double loadBound = 1.25;
    double loadSlack = 0.1;
    // A request leaves its zone when the load of every local replica has reached this value.
    double spillLoad = 1.0;
    // Number of replicas that a prefix is cached on, by rendezvous hashing. More of them spread the
    // load of a popular prefix; fewer avoid duplicates in the caches.
    int homes = 2;
};

// Prefers the local zone, then the homes of the prefix within the load bound, then the lowest load.
// Stateless.
std::unique_ptr<RoutingPolicy> makeAffinityPolicy(AffinityOptions options);

// Baseline: round robin over the candidates.
std::unique_ptr<RoutingPolicy> makeRoundRobinPolicy();

// Baseline: the lowest load; ties go to the lowest in-flight count.
std::unique_ptr<RoutingPolicy> makeLeastLoadedPolicy();

} // namespace ramphinge
