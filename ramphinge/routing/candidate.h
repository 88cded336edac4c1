// The input of a routing decision: a snapshot of one replica (or plain upstream), and the query.

#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct Candidate
{
    ReplicaId replica;
    ZoneId zone;
    bool localZone = true;
    Duration zoneLatency {}; // One way, from settings; zero in the local zone.
    double load = 0; // Estimated requests at the replica, divided by its maximum batch size.
    int inFlight = 0; // This daemon's requests at the replica.
    int slots = 1; // This daemon's present limit on inFlight.
};

// The properties of a request that routing depends on.
struct RouteQuery
{
    std::uint64_t prefix = 0; // Hash of the prompt's shared prefix; 0 means no affinity.
    std::vector<ReplicaId> exclude; // Tried before for this request.
};

// Chooses among replicas that may serve the request. Deterministic: equal inputs give equal
// choices, except for state that an implementation documents. Not thread-safe.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    // The index of the chosen candidate, or nullopt if every candidate is excluded or full.
    virtual std::optional<std::size_t> choose(const RouteQuery &query,
                                              const std::vector<Candidate> &candidates) = 0;

    virtual const char *name() const = 0;
};

} // namespace ramphinge
