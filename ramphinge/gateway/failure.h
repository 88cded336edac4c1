// Errors returned to callers: each has a stable type and says whether the request ran.

#pragma once

#include <optional>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"
#include "ramphinge/net/http_types.h"

namespace ramphinge {

// Whether the request ran, as stated in the error's field "outcome" and in the header
// x-ramphinge-outcome.
enum class Outcome {
    NotRun, // It certainly did not run; a retry can't run it twice.
    Unknown, // It may have run.
    Ran, // It ran; its answer is no longer stored.
};

const char *toString(Outcome outcome);

struct Failure
{
    int status = 503;
    std::string type; // Stable, lower case; see docs/OPERATIONS.md.
    std::string message; // Says what the caller can do.
    Outcome outcome = Outcome::NotRun;
    std::optional<Duration> retryAfter;
};

// The failure as a complete response, with x-ramphinge-outcome and Retry-After (whole seconds,
// rounded up; the exact delay is in the body).
HttpResponse toResponse(const Failure &failure, const RequestId &request);

// The failure as the last event of a stream that has begun.
std::string toStreamEvent(const Failure &failure, const RequestId &request);

// Failures that several callers construct.
Failure invalidRequest(const std::string &message);
Failure noReplica(const ModelId &model);
Failure deadlineExceeded(Outcome outcome);
Failure upstreamFailed(Outcome outcome);

} // namespace ramphinge
