// The routing policies: the one in use and the baselines that it is measured against.
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
    // A replica takes requests for the sake of its cache only while its load is at most this factor
    // of the mean load, plus the slack: bounded-load consistent hashing.
    double loadBound = 1.25;
    double loadSlack = 0.1;
    // A request leaves its zone when every local replica is fuller than this.
    double spillLoad = 1.0;
    // Replicas that may hold one prefix, in the order of its hash. More of them spread a popular
    // prefix; fewer keep caches apart.
    int homes = 2;
};

// Cache affinity bounded by load; own zone first; else the least loaded. Stateless.
std::unique_ptr<RoutingPolicy> makeAffinityPolicy(AffinityOptions options);

// Baseline: each candidate in turn.
std::unique_ptr<RoutingPolicy> makeRoundRobinPolicy();

// Baseline: the lowest load, ties to the lowest in-flight count.
std::unique_ptr<RoutingPolicy> makeLeastLoadedPolicy();

} // namespace ramphinge
