// What a caller is told when it gets no answer: a typed error that says whether the request ran.

#pragma once

#include <optional>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"
#include "ramphinge/net/http_types.h"

namespace ramphinge {

// Said in the field "outcome" of the error and in the header x-ramphinge-outcome.
enum class Outcome {
    NotRun, // Certain. Trying again can't run it twice.
    Unknown, // It may have run.
    Ran, // It ran; its answer is no longer kept.
};

const char *toString(Outcome outcome);

struct Failure
{
    int status = 503;
    std::string type; // Stable, lower case; see docs/OPERATIONS.md.
    std::string message; // With the remedy.
    Outcome outcome = Outcome::NotRun;
    std::optional<Duration> retryAfter;
};

// As a whole answer, with the outcome's header and Retry-After (whole seconds, rounded up; the
// exact time is in the body).
HttpResponse toResponse(const Failure &failure, const RequestId &request);

// As the last event of a stream that has begun.
std::string toStreamEvent(const Failure &failure, const RequestId &request);

// Failures that several places give.
Failure invalidRequest(const std::string &message);
Failure noReplica(const ModelId &model);
Failure deadlinePassed(Outcome outcome);
Failure upstreamBroke(Outcome outcome);

} // namespace ramphinge
