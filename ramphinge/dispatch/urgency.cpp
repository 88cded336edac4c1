// Precedence of requests under overload: see urgency.h.

#include "ramphinge/dispatch/urgency.h"

namespace ramphinge {

const char *toString(Urgency urgency)
{
    return urgency == Urgency::Late ? "late" : "in_time";
}

Urgency urgencyOf(const PendingRequest &request, const UrgencyOptions &options)
{
    const Duration left = request.objective - request.waited;
    if (request.begun || request.predicted <= scaled(left, options.lateFactor))
        return Urgency::InTime;
    return Urgency::Late;
}

} // namespace ramphinge
