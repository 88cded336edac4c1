// Detection of stalled streams: see stall_policy.h.

#include "ramphinge/dispatch/stall_policy.h"

#include <algorithm>

namespace ramphinge {

bool standsStill(const StreamObservation &stream, const StallOptions &options)
{
    const bool othersProgress = stream.othersUnderWay && stream.quiet <= stream.standstill;
    if (!stream.begun) {
        if (stream.othersUnderWay)
            return !othersProgress && stream.waited > stream.standstill;
        return stream.waited > std::max(scaled(stream.expected, options.expectedFactor),
                                        scaled(stream.objective, options.objectiveFactor));
    }
    const double factor = othersProgress ? options.pauseFactorIfOthersMove : options.pauseFactor;
    return stream.waited > scaled(stream.eventGapObjective, factor);
}

} // namespace ramphinge
