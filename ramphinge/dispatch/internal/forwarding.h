// What daemons tell each other of a forwarded request, in headers of their own beside those of the
// request and its response.

#pragma once

#include "ramphinge/dispatch/requests.h"

namespace ramphinge {

// Why another daemon refused a forwarded request.
struct ForwardRefusal
{
    std::optional<RefusalReason> reason; // Empty if this daemon doesn't know it.
    int sends = 0; // Upstreams to which that daemon has sent it.
    std::optional<Duration> retryAfter; // For the caller.

    // Whether it turned the request away, by the status alone, which proves nothing.
    bool isRefusal = false;
    // The request which that daemon states was not executed; empty if it doesn't say so.
    std::optional<RequestId> notExecuted;
};

void addForwardHeaders(HttpRequest &message, const DaemonId &forwardedBy, int attemptsLeft,
                       Repeatability repeatability);
// Moves the forward headers of `request.message` to its fields. Values that can't be read grant one
// attempt.
void takeForwardHeaders(IncomingRequest &request);

// `notExecuted` is the request, if it is guaranteed that it was not executed.
void addRefusalHeaders(HttpResponse &response, RefusalReason reason, int sends,
                       const std::optional<RequestId> &notExecuted);
// The refusal in another daemon's response that bears no server's proof.
ForwardRefusal decodeForwardRefusal(int status, const HttpHeaders &headers);

} // namespace ramphinge
