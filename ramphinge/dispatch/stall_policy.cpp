// Detection of stalled streams: see stall_policy.h.

#include "ramphinge/dispatch/stall_policy.h"

#include <algorithm>

namespace ramphinge {

bool isStalled(const StreamObservation &stream, const StallOptions &options)
{
    const bool othersProgress =
        stream.hasOtherStreams && stream.targetSilence <= stream.targetStallTimeout;
    if (!stream.begun) {
        if (stream.hasOtherStreams)
            return !othersProgress && stream.waited > stream.targetStallTimeout;
        return stream.waited > std::max(scaled(stream.expected, options.expectedFactor),
                                        scaled(stream.objective, options.objectiveFactor));
    }
    const double factor =
        othersProgress ? options.pauseFactorIfOthersProgress : options.pauseFactor;
    return stream.waited > scaled(stream.eventGapObjective, factor);
}

} // namespace ramphinge
