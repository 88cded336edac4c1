// Requests with whole answers: see proxied_request.h.

#include <algorithm>

#include "ramphinge/dispatch/internal/proxied_request.h"

namespace ramphinge {

namespace {

constexpr int serverError = 500;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

} // namespace

Duration WholeRun::headPatience() const
{
    if (!mayMove(m_mayHaveRun + 1))
        return timeLeft();
    const Duration patience = scaled(timeLeft(), m_context.options.repeatAfterShare);
    return std::min(timeLeft(), std::max(patience, m_admitted.route->objective));
}

// Sends the request and waits for the answer's head, for so long in the upstream's accounts.
Status WholeRun::startCall(const Target &target, Yield yield)
{
    TargetTable &targets = m_context.state.targets;
    const MonotonicTime sentAt = now();
    const Duration expected = targets.expectedTime(target.host, m_incoming.promptTokens, sentAt);
    logTarget(target, expected, Urgency::InTime);
    m_call = makeCall(target, {}, headPatience(), Urgency::InTime);
    TargetUse use(targets, target.host, m_incoming.promptTokens);
    Status started = m_call->start(yield);
    if (started.ok())
        use.begin(now() - sentAt, expected, now());
    return started;
}

AttemptEnd WholeRun::attempt(const Target &target, Yield yield)
{
    TargetTable &targets = m_context.state.targets;
    const MonotonicTime sentAt = now();
    const Status started = startCall(target, yield);
    m_sends += m_call->sent() ? 1 : 0;
    if (!started.ok()) {
        m_mayHaveRun += m_call->sent() ? 1 : 0;
        if (m_call->withheld()) {
            noteWithheld(target);
        } else if (!callerGone()) {
            avoid(target);
            logAttempt(target, "no_answer", started.error().message());
        }
        if (m_call->endedByPeer())
            noteConnectionEnded(target, sentAt, yield);
        return endOf(started);
    }
    const AnswerHead head = m_context.codec.decodeAnswer(m_call->status(), m_call->headers());
    Result<std::string> body = readWhole(yield);
    if (head.notExecuted)
        return noteRefusal(target, head);
    ++m_mayHaveRun;
    const bool usable = body.ok() && head.authentic && !head.decoded;
    if (!usable) {
        targets.failed(target.host, now());
        if (!callerGone())
            logAttempt(target, "unusable",
                       body.ok() ? "the answer is not authentic" : body.error().message());
        if (m_call->endedByPeer())
            noteConnectionEnded(target, sentAt, yield);
        return AttemptEnd::Failed;
    }
    // Where nobody else may be asked, the server's own answer tells the caller more.
    const bool again = head.status >= serverError && mayMove(m_mayHaveRun)
        && timeLeft() > m_admitted.route->objective;
    if (again) {
        targets.failed(target.host, now());
        logAttempt(target, "server_error", "status " + std::to_string(head.status));
        return AttemptEnd::Failed;
    }
    if (head.status < serverError)
        targets.succeeded(target.host, now());
    if (isSuccess(head.status))
        noteAnswered();
    static_cast<void>(deliver(head, std::move(body.value()), yield)); // Noted by the server.
    logEnd("answered", isSuccess(head.status) ? LogWeight::Routine : LogWeight::Failure,
           { { "host", target.host.text() }, { "status", head.status } });
    countEnd(isSuccess(head.status) ? "served" : "server_failure");
    return AttemptEnd::Done;
}

} // namespace ramphinge
