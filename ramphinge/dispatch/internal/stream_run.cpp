// Requests with streamed answers: see run.h.

#include <algorithm>

#include "ramphinge/dispatch/event_stream.h"
#include "ramphinge/dispatch/internal/run.h"

namespace ramphinge {

namespace {

constexpr int statusOk = 200;
constexpr Duration leastPatience = std::chrono::milliseconds(1);

Duration times(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(duration)
                                                * factor);
}

} // namespace

struct StreamRun::Relay
{
    AnswerHead head;
    EventStreamReader reader;
    MonotonicTime sentAt;
    Duration expected {}; // Until the first event, as it was when it was sent.
    Duration firstPatience {};
    MonotonicTime heardAt; // When the upstream last sent anything.
    bool begun = false; // Its first event has come.
};

StreamRun::StreamRun(RunContext &context, HttpExchange &exchange, const IncomingRequest &incoming,
                     AdmittedRequest admitted, MonotonicTime arrival)
    : Run(context, exchange, incoming, std::move(admitted), arrival),
      m_lastEvent(incoming.resumeAfter), m_lastEventAt(arrival)
{ }

AttemptEnd StreamRun::attempt(const Target &target, Yield yield)
{
    TargetTable &targets = m_context.state.targets;
    const DispatchOptions &options = m_context.options;
    const Duration objective = m_admitted.route->objective;
    Relay relay;
    relay.sentAt = now();
    relay.expected = targets.expectedTime(target.host, m_incoming.promptTokens, relay.sentAt);
    relay.firstPatience = std::clamp(times(relay.expected, options.firstEventFactor),
                                     times(objective, options.firstEventLeastShare),
                                     times(objective, options.firstEventMostShare));
    logTarget(target, relay.expected);
    const bool movable = mayMove(m_mayHaveRun + 1);
    prepareCall(target, m_lastEvent,
                movable ? std::min(relay.firstPatience, timeLeft()) : timeLeft());
    targets.sent(target.host, m_incoming.promptTokens);
    const Status started = m_call->start(yield);
    m_sends += m_call->sent() ? 1 : 0;
    relay.heardAt = now();
    AttemptEnd end = AttemptEnd::Done;
    if (!started.ok()) {
        m_mayHaveRun += m_call->sent() ? 1 : 0;
        if (!callerGone()) {
            targets.avoid(target.host, now());
            logAttempt(target, "no_answer", started.error().message());
        }
        end = endOf(started);
    } else {
        relay.head = m_context.codec.decodeAnswer(m_call->status(), m_call->headers());
        end = relayEvents(target, relay, yield);
    }
    m_call->cancel();
    targets.ended(target.host, m_incoming.promptTokens, relay.begun);
    return end;
}

AttemptEnd StreamRun::relayEvents(const Target &target, Relay &relay, Yield yield)
{
    TargetTable &targets = m_context.state.targets;
    if (relay.head.notExecuted) {
        static_cast<void>(readWhole(yield)); // Of no use to anybody.
        return noteRefusal(target, relay.head);
    }
    ++m_mayHaveRun;
    if (relay.head.status != statusOk || !relay.head.authentic || relay.head.decoded) {
        Result<std::string> body = readWhole(yield);
        targets.failed(target.host, now());
        const bool deliverable = body.ok() && relay.head.authentic && !relay.head.decoded;
        if (!deliverable || m_headSent || (mayRepeat() && relay.head.status >= 500)) {
            logAttempt(target, "unusable", "status " + std::to_string(relay.head.status));
            return AttemptEnd::Failed;
        }
        static_cast<void>(deliver(relay.head, std::move(body.value()), yield));
        logEnd("answered", LogWeight::Failure,
               { { "host", target.host.text() }, { "status", relay.head.status } });
        countEnd("server_failure");
        return AttemptEnd::Done;
    }
    std::string piece;
    while (true) {
        piece.clear();
        m_call->setReadTimeout(readPatience(target, relay));
        const Result<std::size_t> got = m_call->read(piece, yield);
        if (callerGone())
            return AttemptEnd::Failed;
        if (!got.ok()) {
            targets.avoid(target.host, now());
            logAttempt(target, relay.begun ? "broke_off" : "no_event", got.error().message());
            return AttemptEnd::Failed;
        }
        if (got.value() == 0) {
            if (relay.reader.rest() == 0 && relay.begun)
                return endStream(target, yield);
            logAttempt(target, "cut_short", "the stream ended inside an event");
            return AttemptEnd::Failed;
        }
        relay.heardAt = now();
        targets.progressed(target.host, now());
        relay.reader.feed(piece);
        while (const std::optional<StreamEvent> event = relay.reader.next()) {
            if (!relay.begun) {
                relay.begun = true;
                targets.began(target.host, m_incoming.promptTokens, now() - relay.sentAt,
                              relay.expected, now());
            }
            if (!event->id.empty() && alreadyDelivered(m_lastEvent, event->id))
                continue;
            if (!event->id.empty() && !followsInOrder(m_lastEvent, event->id)) {
                logAttempt(target, "out_of_order",
                           "event " + event->id.text() + " after " + m_lastEvent.text());
                return AttemptEnd::Failed;
            }
            if (!passOn(target, relay, event->text, yield).ok())
                return AttemptEnd::Failed;
            if (!event->id.empty())
                m_lastEvent = event->id;
        }
    }
}

Status StreamRun::passOn(const Target &target, Relay &relay, const std::string &text, Yield yield)
{
    if (!m_headSent) {
        m_exchange.beginStream(relay.head.status, relay.head.headers);
        m_headSent = true;
        m_firstEventAt = now();
        m_context.metrics.observe(
            MetricName("first_event_ms").with("route", m_admitted.route->route.text()),
            m_firstEventAt - m_arrival, m_firstEventAt);
        m_context.log.write("first_event", LogWeight::Routine,
                            { { "request", m_incoming.request.text() },
                              { "host", target.host.text() },
                              { "expected_ms", toMilliseconds(relay.expected) },
                              { "age_ms", toMilliseconds(m_firstEventAt - m_arrival) } });
    } else {
        m_longestPause = std::max(m_longestPause, now() - m_lastEventAt);
    }
    m_lastEventAt = now();
    ++m_events;
    return m_exchange.write(text, yield);
}

Duration StreamRun::readPatience(const Target &target, const Relay &relay) const
{
    const Duration left = std::max(timeLeft(), leastPatience);
    if (!mayMove(m_mayHaveRun))
        return left;
    if (!relay.begun) {
        const Duration waited = now() - relay.sentAt;
        return std::clamp(relay.firstPatience - waited, leastPatience, left);
    }
    const DispatchOptions &options = m_context.options;
    const bool alone = m_context.state.targets.lastProgress(target.host) <= relay.heardAt;
    const double factor = alone ? options.stallIfAlone : options.stallFactor;
    return std::min(times(m_admitted.route->pauseObjective, factor), left);
}

AttemptEnd StreamRun::endStream(const Target &target, Yield yield)
{
    m_context.state.targets.succeeded(target.host, now());
    static_cast<void>(m_exchange.finish(yield)); // A caller that is gone was noted by the server.
    logEnd("answered", LogWeight::Routine,
           { { "host", target.host.text() },
             { "status", statusOk },
             { "events", m_events },
             { "first_event_ms", toMilliseconds(m_firstEventAt - m_arrival) },
             { "longest_pause_ms", toMilliseconds(m_longestPause) } });
    countEnd("served");
    return AttemptEnd::Done;
}

void StreamRun::giveUp(RefusalReason reason, Yield yield)
{
    if (!m_headSent) {
        Run::giveUp(reason, yield);
        return;
    }
    // The caller has a part of the answer: it must not look whole.
    logEnd("stream_broken_off", LogWeight::Failure,
           { { "reason", toString(reason) }, { "last_event", m_lastEvent.text() } });
    countEnd("broken_off");
    m_exchange.abort();
}

} // namespace ramphinge
