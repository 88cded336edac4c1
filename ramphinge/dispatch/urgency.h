// Decides which requests go first where there are more than can be answered in time.
//
// The load it answers: a model that lost replicas gets more requests than it can start. Served in
// order of arrival, all of them wait in the replicas' queues for a second or two and nearly all
// miss their objective. Instead a request that can't be in time any more is marked as late, and
// upstreams start late ones only when nothing else waits. So those that can be in time are, and the
// late ones still get what capacity is left, until their deadlines.
//
// Nothing is refused for it: a caller that is told to come back would be served late at best.

#pragma once

#include "ramphinge/base/time.h"

namespace ramphinge {

// Whether a request can still be answered in time.
enum class Urgency { InTime, Late };
const char *toString(Urgency urgency);

struct UrgencyOptions
{
    // A request is late from so many times its objective. The prediction is a mean: half of the
    // requests predicted for the objective itself are in time.
    double lateFactor = 1.3;
};

// One request, as it is about to be sent.
struct PendingRequest
{
    Duration predicted {}; // Until its first event, if it goes before the late ones.
    Duration objective {}; // For its first event, from the caller's sending.
    Duration waited {}; // So far.
    bool begun = false; // The caller has a part of the answer: it goes on with the others in time.
};

Urgency urgencyOf(const PendingRequest &request, const UrgencyOptions &options);

} // namespace ramphinge
