// Streams that stand still: see stall_policy.h.

#include "ramphinge/dispatch/stall_policy.h"

#include <algorithm>

namespace ramphinge {

bool standsStill(const StreamObservation &stream, const StallOptions &options)
{
    const bool othersMove = stream.othersUnderWay && stream.quiet <= stream.standstill;
    if (!stream.begun) {
        if (stream.othersUnderWay)
            return !othersMove && stream.waited > stream.standstill;
        return stream.waited > std::max(scaled(stream.expected, options.expectedFactor),
                                        scaled(stream.objective, options.objectiveFactor));
    }
    if (othersMove)
        return stream.waited > scaled(stream.pauseObjective, options.pauseFactorIfOthersMove);
    return stream.waited > std::max(stream.pauseObjective, stream.standstill);
}

} // namespace ramphinge
