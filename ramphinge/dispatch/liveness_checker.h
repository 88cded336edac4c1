// Tells whether a server process is alive, at the earliest at the time of the question.
//
// A response without a length ends with its connection, which also ends if the server terminates in
// the middle of the response. So the response is complete only if the server is known to be alive
// after its end. A probe that was sent before the end doesn't tell, nor does a server that can't be
// probed. Whether a termination is held against the request is another question: see
// crash_detector.h.
//
// One probe at a time is in progress to an incarnation of a server. All questions that arrive
// meanwhile share the next one.

#pragma once

#include <memory>

#include "ramphinge/dispatch/server_probe.h"
#include "ramphinge/dispatch/target_table.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"

namespace ramphinge {

struct LivenessCheckerOptions
{
    Duration probeTimeout = std::chrono::milliseconds(400);
    // A probe without a verdict is repeated: a kept connection may have been closed while it was
    // idle, or the server may have reset a new one.
    int maxProbes = 3;
    Duration probeInterval = std::chrono::milliseconds(20);
};

// Not thread-safe: used on the event loop only. Its coroutines refer to the constructor's
// arguments, not to the object, which may be destroyed while they run.
class LivenessChecker
{
public:
    LivenessChecker(IoContext &io, const Clock &clock, LivenessCheckerOptions options,
                    ServerProbe &probe, DecisionLog &log, Metrics &metrics);

    // Whether that incarnation of the server has responded to a probe that was sent after this
    // call. False if it has not within `maxWait`.
    bool isAlive(const Target &target, Duration maxWait, Yield yield);

private:
    struct Round;
    struct State;
    class RunningGuard;

    std::shared_ptr<Round> join(const Target &target);
    static void runRounds(State &state, const Target &target, Yield yield);

    std::shared_ptr<State> m_state;
};

} // namespace ramphinge
