// Requests with streamed answers: see run.h.

#include <algorithm>

#include "ramphinge/dispatch/event_stream.h"
#include "ramphinge/dispatch/internal/run.h"

namespace ramphinge {

namespace {

constexpr int statusOk = 200;
constexpr Duration leastReadTimeout = std::chrono::milliseconds(60);
// A look that comes so much too late was kept from coming, by a pause of the process or by other
// work on the loop; on a busy daemon timers are late by a few milliseconds.
constexpr Duration heldUp = std::chrono::milliseconds(100);

} // namespace

struct StreamRun::Relay
{
    AnswerHead head;
    EventStreamReader reader;
    MonotonicTime sentAt;
    Duration expected {}; // Until the first event, as it was when it was sent.
    // When the upstream last sent something, was sent the request, or was waited for anew after the
    // caller had taken what came.
    MonotonicTime heardAt;
    bool begun = false; // Its first event has come.
    bool passingOn = false; // The caller is waited for, and the upstream's bytes wait meanwhile.
    bool over = false; // The attempt has ended; the run may be gone.
    bool stoodStill = false; // It was given up for standing still.

    // What arrived while nothing ran here is not read yet: that time is not the upstream's silence.
    void leaveOutPause(Duration late, MonotonicTime now)
    {
        if (late >= heldUp)
            heardAt = std::min(now, heardAt + late);
    }
};

StreamRun::StreamRun(RunContext &context, HttpExchange &exchange, const IncomingRequest &incoming,
                     AdmittedRequest admitted, MonotonicTime arrival)
    : Run(context, exchange, incoming, std::move(admitted), arrival),
      m_lastEvent(incoming.resumeAfter), m_lastEventAt(arrival)
{ }

AttemptEnd StreamRun::attempt(const Target &target, Yield yield)
{
    TargetTable &targets = m_context.state.targets;
    const auto relay = std::make_shared<Relay>();
    relay->sentAt = now();
    relay->heardAt = relay->sentAt;
    relay->expected = targets.expectedTime(target.host, m_incoming.promptTokens, relay->sentAt);
    m_urgency = urgencyOf(
        { relay->expected, m_admitted.route->objective, relay->sentAt - m_arrival, m_headSent },
        m_context.options.urgency);
    logTarget(target, relay->expected);
    prepareCall(target, m_lastEvent, timeLeft());
    targets.sent(target.host, m_incoming.promptTokens, m_urgency);
    watchForStall(target, relay);
    const Status started = m_call->start(yield);
    m_sends += m_call->sent() ? 1 : 0;
    AttemptEnd end = AttemptEnd::Done;
    if (!started.ok()) {
        m_mayHaveRun += m_call->sent() ? 1 : 0;
        if (!callerGone()) {
            avoid(target);
            logAttempt(target, relay->stoodStill ? "stood_still" : "no_answer",
                       started.error().message());
        }
        end = endOf(started);
    } else {
        relay->head = m_context.codec.decodeAnswer(m_call->status(), m_call->headers());
        end = relayEvents(target, *relay, yield);
    }
    relay->over = true;
    m_call->cancel();
    targets.ended(target.host, m_incoming.promptTokens, relay->begun, m_urgency);
    return end;
}

// Looks after the attempt while it waits for the upstream; ends it if it stands still and may go on
// elsewhere.
void StreamRun::watchForStall(const Target &target, const std::shared_ptr<Relay> &relay)
{
    spawnCoroutine(m_context.io,
                   [this, target, relay, &io = m_context.io, &clock = m_context.clock,
                    look = m_context.options.stallLook](Yield yield) {
                       while (true) {
                           const MonotonicTime dueAt = clock.now() + look;
                           sleepFor(io, look, yield);
                           if (relay->over)
                               return;
                           relay->leaveOutPause(clock.now() - dueAt, clock.now());
                           if (relay->passingOn
                               || !standsStill(observe(target, *relay), m_context.options.stall))
                               continue;
                           m_context.state.suspicions.note(target.replica, now());
                           if (!payForMove(*relay))
                               continue;
                           relay->stoodStill = true;
                           m_call->cancel();
                           return;
                       }
                   });
}

StreamObservation StreamRun::observe(const Target &target, const Relay &relay) const
{
    const TargetTable &targets = m_context.state.targets;
    const int others = targets.streamsUnderWay(target.host) - (relay.begun ? 1 : 0);
    StreamObservation stream;
    stream.begun = relay.begun;
    stream.waited = now() - relay.heardAt;
    stream.expected = relay.expected;
    stream.objective = m_admitted.route->objective;
    stream.pauseObjective = m_admitted.route->pauseObjective;
    stream.othersUnderWay = others > 0;
    stream.standstill = targets.standstillOf(target.host);
    stream.quiet = now() - std::max(targets.lastProgress(target.host), relay.sentAt);
    return stream;
}

// Takes the repeat from the budget before the attempt is given up: without it, waiting is better.
bool StreamRun::payForMove(const Relay &relay)
{
    const int ran = m_mayHaveRun + (relay.begun ? 0 : 1);
    if (!mayMove(ran))
        return false;
    m_repeatPaid = m_context.state.budgetOf(m_admitted.service).take(now());
    return m_repeatPaid;
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
        m_call->setReadTimeout(std::max(timeLeft(), leastReadTimeout));
        const Result<std::size_t> got = m_call->read(piece, yield);
        if (callerGone())
            return AttemptEnd::Failed;
        if (!got.ok()) {
            avoid(target);
            logAttempt(target, relay.stoodStill ? "stood_still" : "broke_off",
                       got.error().message());
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
                              relay.expected, now(), m_urgency);
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
    relay.passingOn = true;
    Status written = m_exchange.write(text, yield);
    relay.passingOn = false;
    relay.heardAt = now();
    return written;
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
