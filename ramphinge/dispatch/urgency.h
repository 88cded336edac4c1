// Decides which requests take precedence under overload.
//
// A model that has lost replicas gets more requests than it can start. Served in order of arrival,
// all of them wait in the replicas' queues for a second or two, and nearly all miss their
// objective. Instead, a request that can't meet its objective any more is marked as late, and
// upstreams start late requests only when no others wait. So the others meet their objective, and
// late requests get the remaining capacity until their deadlines.
//
// Late requests are not refused: a caller that had to retry would be served late at best.

#pragma once

#include "ramphinge/base/time.h"

namespace ramphinge {

// Whether a request can still meet its objective.
enum class Urgency { InTime, Late };
const char *toString(Urgency urgency);

struct UrgencyOptions
{
    // A request is late if its predicted time exceeds this many times what is left of its
    // objective. Above 1, since the prediction is a mean: half of the requests whose predicted time
    // equals the objective meet it.
    double lateFactor = 1.3;
};

// A request that is about to be sent.
struct PendingRequest
{
    Duration predicted {}; // Time to its first event if it is not late.
    Duration objective {}; // For the time to its first event, from the caller's sending.
    Duration waited {}; // Part of the objective that has passed.
    bool begun = false; // The caller has a part of the response: never late.
};

Urgency urgencyOf(const PendingRequest &request, const UrgencyOptions &options);

} // namespace ramphinge
