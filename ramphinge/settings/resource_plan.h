// How a daemon divides its machine's memory and file descriptors between what callers, other
// daemons and upstreams make it hold, so that the sum stays within the settings whatever they do.

#pragma once

#include <cstddef>

#include "ramphinge/settings/fleet_settings.h"

namespace ramphinge {

struct ResourcePlan
{
    std::size_t connectionMemoryBytes = 0; // Of the connections of all HTTP ports together.
    std::size_t answerMemoryBytes = 0; // Of the responses that are buffered.

    // Connections at most, by what they are for.
    int callers = 0;
    int forwards = 0; // From other daemons, with those that wait for a request.
    int forwardedRequests = 0; // That other daemons have forwarded and that are in progress.
    int status = 0; // At the readiness port, and as many at the metrics port.
    int unprovedLinks = 0; // Whose other side has not proved the key.
    int upstreams = 0; // To upstreams and other daemons.
};

// `largestAnswerBytes` is the largest response that is buffered; it always fits.
ResourcePlan planResources(const FleetSettings &settings, std::size_t largestAnswerBytes);

} // namespace ramphinge
