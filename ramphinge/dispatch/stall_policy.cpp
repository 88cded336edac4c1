// Streams that stand still: see stall_policy.h.

#include "ramphinge/dispatch/stall_policy.h"

#include <algorithm>

namespace ramphinge {

namespace {

Duration times(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(duration)
                                                * factor);
}

} // namespace

bool standsStill(const StreamObservation &stream, const StallOptions &options)
{
    const bool othersMove = stream.othersUnderWay && stream.quiet <= options.standstill;
    if (!stream.begun) {
        if (stream.othersUnderWay)
            return !othersMove && stream.waited > options.standstill;
        return stream.waited > std::max(times(stream.expected, options.expectedFactor),
                                        times(stream.objective, options.objectiveFactor));
    }
    const double factor = othersMove ? options.pauseFactorIfOthersMove : options.pauseFactor;
    return stream.waited > times(stream.pauseObjective, factor);
}

} // namespace ramphinge
