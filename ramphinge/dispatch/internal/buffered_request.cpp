// Requests with buffered responses: see proxied_request.h.

#include <algorithm>

#include "ramphinge/dispatch/internal/proxied_request.h"

namespace ramphinge {

namespace {

constexpr int serverError = 500;

} // namespace

Duration BufferedRequest::maxHeadWait() const
{
    if (!mayFailOver(m_mayHaveRunCount + 1))
        return timeLeft();
    const Duration maxWait = scaled(timeLeft(), m_context.options.headTimeoutShare);
    return std::min(timeLeft(), std::max(maxWait, m_admitted.route->objective));
}

// Sends the request and waits for the response's head; the request counts as in flight meanwhile.
Status BufferedRequest::startCall(const Target &target, Yield yield)
{
    TargetTable &targets = m_context.state.targets;
    const MonotonicTime sentAt = now();
    const Duration expected = targets.expectedTime(target.host, m_incoming.promptTokens, sentAt);
    logTarget(target, expected, Urgency::InTime);
    m_call = makeCall(target, {}, maxHeadWait(), Urgency::InTime);
    InFlightGuard inFlight(m_context.state, target, m_incoming.promptTokens);
    Status started = startCounted(target, yield);
    if (started.ok())
        inFlight.begin(now() - sentAt, expected, now());
    return started;
}

AttemptEnd BufferedRequest::attempt(const Target &target, Yield yield)
{
    TargetTable &targets = m_context.state.targets;
    const MonotonicTime sentAt = now();
    const Status started = startCall(target, yield);
    if (!started.ok()) {
        m_mayHaveRunCount += m_call->sent() ? runsAt(target) : 0;
        if (m_call->withheld()) {
            logWithheld(target);
        } else if (!callerGone()) {
            noteConnectionFailure(target, *m_call);
            avoid(target);
            logFailedAttempt(target, "no_answer", started.error().message());
        }
        if (m_call->endedByPeer())
            awaitCrashVerdict(target, sentAt, yield);
        return attemptEndFor(started);
    }
    const ResponseHead head = decodeResponse(target, m_send, *m_call);
    if (head.refused) {
        discardBody(yield);
        return handleRefusal(target, head);
    }
    Result<std::string> body = readBody(yield);
    m_mayHaveRunCount += runsAt(target);
    const bool isWhole = body.ok() && isEndProven(target, sentAt, yield);
    const bool usable = isWhole && head.authentic && !head.decoded;
    if (!usable) {
        targets.failed(target.host, now());
        if (gaveUpBody())
            avoid(target);
        if (!callerGone())
            logFailedAttempt(target, "unusable",
                             isWhole         ? "the response is not authentic"
                                 : body.ok() ? "the response ended with its connection, and its "
                                               "server is not known to be alive"
                                             : body.error().message());
        if (m_call->endedByPeer())
            awaitCrashVerdict(target, sentAt, yield);
        return AttemptEnd::Failed;
    }
    // Without a retry, the server's own error response tells the caller more than one of the
    // daemon.
    const bool shouldRetry = head.status >= serverError && mayFailOver(m_mayHaveRunCount)
        && timeLeft() > m_admitted.route->objective;
    if (shouldRetry) {
        targets.failed(target.host, now());
        logFailedAttempt(target, "server_error", "status " + std::to_string(head.status));
        return AttemptEnd::Failed;
    }
    if (head.status < serverError)
        targets.succeeded(target.host, now());
    if (promisesNotExecuted(head.status)) {
        endWithUnprovenRefusal(target, head, yield);
        return AttemptEnd::Done;
    }
    if (isSuccess(head.status))
        noteAnswered(sentAt);
    static_cast<void>(
        sendResponse(head, std::move(body.value()), yield)); // The HTTP server notes a failure.
    logEnd("answered", isSuccess(head.status) ? LogWeight::Routine : LogWeight::Failure,
           { { "host", target.host.text() }, { "status", head.status } });
    if (isSuccess(head.status))
        countServed();
    else
        countOutcome("server_failure");
    return AttemptEnd::Done;
}

} // namespace ramphinge
