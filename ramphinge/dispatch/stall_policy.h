// Decides when a stream is taken to stand still, so that another replica is asked to go on with it.
//
// A replica whose member is lost accepts requests and moves nothing, for seconds. A replica that is
// merely busy also keeps a stream waiting; leaving that one would lose its place and add load where
// there is too much already. What tells them apart is whether anything else comes from the replica.

#pragma once

#include "ramphinge/base/time.h"

namespace ramphinge {

struct StallOptions
{
    // Without other streams to judge by: times the expected time, and times the objective,
    // whichever is longer.
    double expectedFactor = 3;
    double objectiveFactor = 1;
    // For a stream that has begun another replica is asked after this many times the pause that the
    // operators allow. Not as soon as the replica seems to stand still: the stream is late by then
    // anyway, and a replica that is only slow would end it without reading the prompt elsewhere.
    double pauseFactor = 3;
    // ... or after so many if the replica serves others meanwhile: it may have been put back.
    double pauseFactorIfOthersMove = 8;
};

// One stream, at one moment.
struct StreamObservation
{
    bool begun = false; // Its first event has come.
    Duration waited {}; // Since it was sent, or since its last event.
    Duration expected {}; // Until the first event, as predicted when it was sent.
    Duration objective {}; // For the first event.
    Duration pauseObjective {}; // Between two events.
    bool othersUnderWay = false; // Other streams of this daemon have begun at the replica.
    Duration quiet {}; // Since anything came from the replica.
    Duration standstill {}; // The replica is taken for dead after so long a quiet.
};

bool standsStill(const StreamObservation &stream, const StallOptions &options);

} // namespace ramphinge
