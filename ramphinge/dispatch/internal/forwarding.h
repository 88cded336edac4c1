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

    // Whether the request was certainly not executed.
    bool isNotExecuted = false;
};

void addForwardHeaders(HttpRequest &message, const DaemonId &forwardedBy, int attemptsLeft);
// Moves the forward headers of `request.message` to its fields. Values that can't be read grant one
// attempt.
void takeForwardHeaders(IncomingRequest &request);

void addRefusalHeaders(HttpResponse &response, RefusalReason reason, int sends);
// The refusal in another daemon's response that bears no server's proof.
ForwardRefusal decodeForwardRefusal(int status, const HttpHeaders &headers);

} // namespace ramphinge
