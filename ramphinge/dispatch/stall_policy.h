// Decides when a stream counts as stalled, so that another replica is asked to continue it.
//
// A replica that has lost a member accepts requests for seconds without making progress. A busy
// replica also delays its streams, but moving one of them would give up its slot there and add load
// to an overloaded fleet. The two are told apart by whether the replica's other streams progress.

#pragma once

#include "ramphinge/base/time.h"

namespace ramphinge {

struct StallOptions
{
    // A stream without a first event, at a replica without other streams, is stalled after this
    // many times its expected time or this many times the objective, whichever is longer.
    double expectedFactor = 3;
    double objectiveFactor = 1;
    // A stream that has begun is stalled after this many times the configured pause objective. That
    // is later than the replica itself counts as stalled: the stream has missed its objective by
    // then anyway, and a replica that is only slow would finish it without a second prefill.
    double pauseFactor = 3;
    // The same while other streams at the replica progress: this one may just be scheduled behind
    // them.
    double pauseFactorIfOthersProgress = 8;
};

// Snapshot of one stream.
struct StreamObservation
{
    bool begun = false; // Its first event has arrived.
    Duration waited {}; // Since the request was sent, or since its last event.
    Duration expected {}; // Until the first event, as predicted when it was sent.
    Duration objective {}; // For the first event.
    Duration eventGapObjective {}; // Between two events.
    bool hasOtherStreams = false; // Other streams of this daemon have begun at the replica.
    Duration targetSilence {}; // Since anything arrived from the replica.
    Duration targetStallTimeout {}; // The replica counts as stalled once `targetSilence` is longer.
};

bool isStalled(const StreamObservation &stream, const StallOptions &options);

} // namespace ramphinge
