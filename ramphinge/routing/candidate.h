// What a routing decision sees of one replica (or plain upstream): a value, taken at one moment.

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
    Duration zoneLatency {}; // One way, from settings; zero in the own zone.
    double load = 0; // Estimated requests at the replica, over the size of its batch.
    int inFlight = 0; // Own requests there now.
    int slots = 1; // Own requests that may be there at once, now.
};

// One request, as far as routing cares.
struct RouteQuery
{
    std::uint64_t prefix = 0; // Hash of the prompt's shared beginning; 0 is "no affinity".
    std::vector<ReplicaId> exclude; // Already tried.
};

// Picks among replicas that may serve the request. Pure: equal inputs, equal choice, except for
// the state that an implementation names. Not thread-safe.
class RoutingPolicy
{
public:
    virtual ~RoutingPolicy() = default;

    // The index of the choice, or nothing if every candidate is excluded or full.
    virtual std::optional<std::size_t> choose(const RouteQuery &query,
                                              const std::vector<Candidate> &candidates) = 0;

    virtual const char *name() const = 0;
};

} // namespace ramphinge
