// Requests with streamed answers: see proxied_request.h.

#include <algorithm>
#include <exception>
#include <utility>

#include "ramphinge/base/erase_if.h"
#include "ramphinge/dispatch/event_stream.h"
#include "ramphinge/dispatch/internal/proxied_request.h"

namespace ramphinge {

namespace {

constexpr int statusOk = 200;
constexpr const char *whyWithdrawn = "servers have ended under the same request";
// Of a read that begins as the deadline passes, so that bytes at hand are still read.
constexpr Duration leastReadTimeout = std::chrono::milliseconds(60);
// A look that comes so much too late was kept from coming, by a pause of the process or by other
// work on the loop; on a busy daemon timers are late by a few milliseconds.
constexpr Duration heldUp = std::chrono::milliseconds(100);

// Whether the answer is a stream of the upstream's own, to be passed on event by event.
bool isRelayable(const AnswerHead &head)
{
    return !head.notExecuted && head.status == statusOk && head.authentic && !head.decoded;
}

} // namespace

struct StreamRun::Relay
{
    explicit Relay(Target upstream) : target(std::move(upstream)) { }

    Target target;
    Urgency urgency = Urgency::InTime;
    std::unique_ptr<UpstreamCall> call; // Until it is the present attempt's.
    AnswerHead head;
    EventStreamReader reader;
    MonotonicTime sentAt;
    Duration expected {}; // Until the first event, as it was when it was sent.
    // When the upstream last sent something, was sent the request, or was waited for anew after the
    // caller had taken what came.
    MonotonicTime heardAt;
    std::optional<TargetUse> use; // Of the upstream; until it is over.
    bool counted = false; // Among the upstreams that may have run the request.
    bool begun = false; // Its first event has come.
    bool passingOn = false; // The caller is waited for, and the upstream's bytes wait meanwhile.
    bool over = false; // Released; the run may be gone. Asked after each wait of a watcher.
    bool stoodStill = false; // It was given up for standing still.
    bool withdrawn = false; // It had not begun when the word came that the request ends servers.

    // What arrived while nothing ran here is not read yet: that time is not the upstream's silence.
    void leaveOutPause(Duration late, MonotonicTime now)
    {
        if (late >= heldUp)
            heardAt = std::min(now, heardAt + late);
    }
};

StreamRun::StreamRun(RunContext &context, HttpExchange &exchange, const IncomingRequest &incoming,
                     AdmittedRequest admitted, MonotonicTime arrival)
    : Run(context, exchange, incoming, std::move(admitted), arrival), m_decided(context.io),
      m_lastEvent(incoming.resumeAfter), m_lastEventAt(arrival)
{ }

StreamRun::~StreamRun()
{
    releaseAll();
}

void StreamRun::releaseAll()
{
    while (!m_underWay.empty()) {
        const std::shared_ptr<Relay> left = m_underWay.back();
        release(*left);
    }
}

std::optional<Target> StreamRun::nextTarget()
{
    return m_taken ? std::optional<Target>(m_taken->target) : takeTarget();
}

// What another upstream has taken is paid for, and may have run there.
std::optional<RefusalReason> StreamRun::whyNotAgain(AttemptEnd last)
{
    if (!m_taken)
        return Run::whyNotAgain(last);
    m_repeatPaid = false;
    if (timeLeft() <= Duration::zero())
        return RefusalReason::DeadlineExceeded;
    return std::nullopt;
}

void StreamRun::cancelCalls()
{
    Run::cancelCalls();
    for (const std::shared_ptr<Relay> &other : { m_asked, m_taken }) {
        if (other)
            other->call->cancel();
    }
}

void StreamRun::abandon()
{
    for (const std::shared_ptr<Relay> &relay : m_underWay) {
        const UpstreamCall *call = relay->call ? relay->call.get() : m_call.get();
        const bool sent = call != nullptr && call->sent();
        m_sends += sent ? 1 : 0;
        m_mayHaveRun += sent && !relay->counted ? 1 : 0;
    }
    if (m_call)
        m_call->cancel();
    releaseAll();
}

AttemptEnd StreamRun::attempt(const Target &target, Yield yield)
{
    const bool taken = m_taken != nullptr;
    const std::shared_ptr<Relay> relay = taken ? std::exchange(m_taken, nullptr) : ask(target);
    m_call = std::move(relay->call);
    watchForStall(relay);
    const Status started = taken ? Status(Done {}) : m_call->start(yield);
    m_sends += m_call->sent() ? 1 : 0;
    AttemptEnd end = AttemptEnd::Done;
    if (started.ok()) {
        if (!taken)
            takeHead(*relay, *m_call);
        end = relayEvents(*relay, yield);
    } else {
        noteNoAnswer(*relay, *m_call, started);
        end = endOf(started);
    }
    if (end == AttemptEnd::Failed && m_call->endedByPeer()) {
        relay->passingOn = true; // It isn't its silence that is waited for.
        noteConnectionEnded(target, relay->sentAt, yield);
    }
    if (end != AttemptEnd::Done)
        awaitAnother(yield);
    dropAnother();
    m_call->cancel();
    release(*relay);
    return end;
}

// Sends the request to an upstream; its answer is still to come.
std::shared_ptr<StreamRun::Relay> StreamRun::ask(const Target &target)
{
    TargetTable &targets = m_context.state.targets;
    auto relay = std::make_shared<Relay>(target);
    relay->sentAt = now();
    relay->heardAt = relay->sentAt;
    relay->expected = targets.expectedTime(target.host, m_incoming.promptTokens, relay->sentAt);
    relay->urgency = urgencyOf(
        { relay->expected, m_admitted.route->objective, relay->sentAt - m_arrival, m_headSent },
        m_context.options.urgency);
    logTarget(target, relay->expected, relay->urgency);
    relay->call = makeCall(target, m_lastEvent, timeLeft(), relay->urgency);
    relay->use.emplace(targets, target.host, m_incoming.promptTokens, relay->urgency);
    m_underWay.push_back(relay);
    return relay;
}

// The upstream has nothing more to do for this request.
void StreamRun::release(Relay &relay)
{
    relay.over = true;
    if (relay.call)
        relay.call->cancel();
    relay.use.reset();
    eraseIf(m_underWay, [&relay](const auto &other) { return other.get() == &relay; });
}

void StreamRun::takeHead(Relay &relay, const HttpCall &call) const
{
    relay.head = m_context.codec.decodeAnswer(call.status(), call.headers());
}

void StreamRun::noteNoAnswer(const Relay &relay, const UpstreamCall &call, const Status &failure)
{
    m_mayHaveRun += call.sent() ? 1 : 0;
    if (callerGone())
        return;
    if (relay.withdrawn) {
        logAttempt(relay.target, "withdrawn", whyWithdrawn);
        return;
    }
    if (call.withheld()) {
        noteWithheld(relay.target);
        return;
    }
    avoid(relay.target);
    logAttempt(relay.target, relay.stoodStill ? "stood_still" : "no_answer",
               failure.error().message());
}

// Looks after the attempt while it waits for the upstream; if it stands still, asks another one,
// and ends it once that has taken the stream.
void StreamRun::watchForStall(const std::shared_ptr<Relay> &relay)
{
    spawnCoroutine(m_context.io, [this, relay, &context = m_context](Yield yield) {
        Duration pause = context.options.stallLook;
        while (true) {
            const MonotonicTime dueAt = context.clock.now() + pause;
            sleepFor(context.io, pause, yield);
            if (relay->over)
                return;
            relay->leaveOutPause(now() - dueAt, now());
            if (!relay->begun && isQuarantined()) {
                relay->withdrawn = true;
                m_call->cancel();
                return;
            }
            pause = context.options.stallLook;
            if (!shouldLeave(*relay))
                continue;
            const bool taken = askAnother(relay, yield);
            if (relay->over)
                return;
            if (!taken) {
                pause = context.options.retryAfter;
                continue;
            }
            relay->stoodStill = true;
            m_call->cancel();
            return;
        }
    });
}

// Whether the stream stands still and another upstream may be asked, which is paid for then.
bool StreamRun::shouldLeave(const Relay &relay)
{
    if (relay.passingOn)
        return false;
    const StreamObservation stream = observe(relay);
    if (!standsStill(stream, m_context.options.stall))
        return false;
    m_context.state.suspicions.note(relay.target.replica, now());
    if (!payForMove(relay))
        return false;
    logLeft(relay, stream);
    return true;
}

// Asks another upstream to go on with the stream while the present one keeps it; true once one has
// taken it. If the run ended meanwhile, the present attempt is over. What is thrown meanwhile is of
// no harm to the stream, which its present upstream goes on with.
bool StreamRun::askAnother(const std::shared_ptr<Relay> &present, Yield yield)
{
    const std::optional<Target> target = takeTarget();
    if (!target)
        return false;
    std::shared_ptr<Relay> asked;
    std::optional<std::string> failure;
    try {
        asked = ask(*target);
        m_asked = asked;
        watchAsked(asked, present);
        const Status started = asked->call->start(yield);
        if (asked->over)
            return false;
        if (asked->call->endedByPeer()) {
            noteConnectionEnded(*target, asked->sentAt, yield);
            if (asked->over) // The run may be gone.
                return false;
        }
        if (settle(*asked, started))
            m_taken = asked;
    } catch (const std::exception &e) {
        failure = e.what();
    }
    if (asked && asked->over)
        return false;
    if (failure) {
        logAttempt(*target, "failed_inside", *failure);
        dropAnother();
    } else {
        m_asked = nullptr;
        if (m_taken == nullptr)
            release(*asked);
    }
    m_decided.notify(); // On every way: the present attempt may wait for it.
    return m_taken != nullptr;
}

// Looks after another upstream while its answer is waited for; if it stands still too, it is given
// up where a third one may be asked.
void StreamRun::watchAsked(const std::shared_ptr<Relay> &asked,
                           const std::shared_ptr<Relay> &present)
{
    spawnCoroutine(m_context.io, [this, asked, present, &context = m_context](Yield yield) {
        const Duration pause = context.options.stallLook;
        while (true) {
            const MonotonicTime dueAt = context.clock.now() + pause;
            sleepFor(context.io, pause, yield);
            if (asked->over || m_asked != asked)
                return;
            asked->leaveOutPause(now() - dueAt, now());
            if (isQuarantined()) {
                asked->withdrawn = true;
                asked->call->cancel();
                return;
            }
            if (!standsStill(observe(*asked), context.options.stall))
                continue;
            context.state.suspicions.note(asked->target.replica, now());
            if (!mayMove(mayHaveRunWith(*present) + 1))
                continue;
            asked->stoodStill = true;
            asked->call->cancel();
            return;
        }
    });
}

// What another upstream's answer means; true if it goes on with the stream. One that does not used
// up the repeat.
bool StreamRun::settle(Relay &asked, const Status &started)
{
    if (!started.ok()) {
        m_repeatPaid = false;
        m_sends += asked.call->sent() ? 1 : 0;
        noteNoAnswer(asked, *asked.call, started);
        return false;
    }
    takeHead(asked, *asked.call);
    if (isRelayable(asked.head))
        return true;
    m_repeatPaid = false;
    ++m_sends;
    if (asked.head.notExecuted) {
        noteRefusal(asked.target, asked.head);
        return false;
    }
    ++m_mayHaveRun;
    m_context.state.targets.failed(asked.target.host, now());
    logAttempt(asked.target, "unusable", "status " + std::to_string(asked.head.status));
    return false;
}

// The present attempt has failed while another upstream is being asked: what that one says comes
// first.
void StreamRun::awaitAnother(Yield yield)
{
    while (m_asked && !callerGone() && timeLeft() > Duration::zero())
        m_decided.wait(timeLeft(), yield);
}

// The present upstream goes on, or the request has ended: another one isn't needed. It may have
// begun to run there.
void StreamRun::dropAnother()
{
    const std::shared_ptr<Relay> dropped = std::exchange(m_asked, nullptr);
    if (!dropped)
        return;
    const int sent = dropped->call->sent() ? 1 : 0;
    m_sends += sent;
    m_mayHaveRun += sent;
    m_repeatPaid = false;
    release(*dropped);
}

StreamObservation StreamRun::observe(const Relay &relay) const
{
    const TargetTable &targets = m_context.state.targets;
    const HostId &host = relay.target.host;
    const int others = targets.streamsUnderWay(host) - (relay.begun ? 1 : 0);
    StreamObservation stream;
    stream.begun = relay.begun;
    stream.waited = now() - relay.heardAt;
    stream.expected = relay.expected;
    stream.objective = m_admitted.route->objective;
    stream.pauseObjective = m_admitted.route->pauseObjective;
    stream.othersUnderWay = others > 0;
    stream.standstill = targets.standstillOf(host);
    stream.quiet = now() - std::max(targets.lastProgress(host), relay.sentAt);
    return stream;
}

// What decided that a stream is left, so that a healthy upstream that was left can be told from a
// dead one afterwards.
void StreamRun::logLeft(const Relay &relay, const StreamObservation &stream) const
{
    m_context.log.write("stream_left", LogWeight::Failure,
                        { { "request", m_incoming.request.text() },
                          { "host", relay.target.host.text() },
                          { "replica", relay.target.replica.text() },
                          { "begun", stream.begun },
                          { "last_event", m_lastEvent.text() },
                          { "waited_ms", toMilliseconds(stream.waited) },
                          { "quiet_ms", toMilliseconds(stream.quiet) },
                          { "standstill_ms", toMilliseconds(stream.standstill) },
                          { "others_under_way", stream.othersUnderWay },
                          { "left_ms", toMilliseconds(timeLeft()) } });
}

// How many upstreams may have run the request, the present one among them.
int StreamRun::mayHaveRunWith(const Relay &present) const
{
    return m_mayHaveRun + (present.counted ? 0 : 1);
}

// Takes the repeat from the budget before another upstream is asked: without it, waiting is better.
bool StreamRun::payForMove(const Relay &relay)
{
    if (!mayMove(mayHaveRunWith(relay)))
        return false;
    m_repeatPaid = m_context.state.budgetOf(m_admitted.service).take(now());
    return m_repeatPaid;
}

// Whether the caller has the whole stream once the upstream's answer has ended. A rest without an
// event is whole too, as the caller had the last one and only the end had not come; but not where
// nothing but the close of its connection ends it: an upstream that stops closes it as well.
bool StreamRun::isWhole(const Relay &relay) const
{
    if (relay.reader.rest() > 0)
        return false;
    return relay.begun || (!m_lastEvent.empty() && !m_call->endsWithConnection());
}

AttemptEnd StreamRun::relayEvents(Relay &relay, Yield yield)
{
    const Target &target = relay.target;
    TargetTable &targets = m_context.state.targets;
    if (relay.head.notExecuted) {
        static_cast<void>(readWhole(yield)); // Of no use to anybody.
        return noteRefusal(target, relay.head);
    }
    ++m_mayHaveRun;
    relay.counted = true;
    if (!isRelayable(relay.head)) {
        Result<std::string> body = readWhole(yield);
        targets.failed(target.host, now());
        const bool deliverable = body.ok() && relay.head.authentic && !relay.head.decoded;
        if (!deliverable || m_headSent || (relay.head.status >= 500 && mayMove(m_mayHaveRun))) {
            logAttempt(target, "unusable", "status " + std::to_string(relay.head.status));
            return AttemptEnd::Failed;
        }
        dropAnother();
        relay.passingOn = true;
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
        if (!got.ok() && relay.withdrawn) {
            logAttempt(target, "withdrawn", whyWithdrawn);
            return AttemptEnd::Failed;
        }
        if (!got.ok()) {
            avoid(target);
            logAttempt(target, relay.stoodStill ? "stood_still" : "broke_off",
                       got.error().message());
            return AttemptEnd::Failed;
        }
        if (got.value() == 0) {
            if (isWhole(relay))
                return endStream(relay, yield);
            logAttempt(target, "cut_short",
                       "the answer ended with " + std::to_string(relay.reader.rest())
                           + " bytes of an event, after event " + m_lastEvent.text());
            if (m_call->endsWithConnection())
                noteConnectionEnded(target, relay.sentAt, yield);
            return AttemptEnd::Failed;
        }
        dropAnother();
        relay.heardAt = now();
        targets.progressed(target.host, now());
        relay.reader.feed(piece);
        while (const std::optional<StreamEvent> event = relay.reader.next()) {
            if (!relay.begun) {
                relay.begun = true;
                relay.use->begin(now() - relay.sentAt, relay.expected, now());
            }
            if (!event->id.empty() && alreadyDelivered(m_lastEvent, event->id))
                continue;
            if (!event->id.empty() && !followsInOrder(m_lastEvent, event->id)) {
                logAttempt(target, "out_of_order",
                           "event " + event->id.text() + " after " + m_lastEvent.text());
                return AttemptEnd::Failed;
            }
            if (!passOn(relay, event->text, yield).ok())
                return AttemptEnd::Failed;
            if (!event->id.empty())
                m_lastEvent = event->id;
        }
    }
}

void StreamRun::beginAnswer(const Relay &relay)
{
    m_exchange.beginStream(relay.head.status, relay.head.headers);
    m_headSent = true;
    m_firstEventAt = now();
    m_context.metrics.observe(
        MetricName("first_event_ms").with("route", m_admitted.route->route.text()),
        m_firstEventAt - m_arrival, m_firstEventAt);
    m_context.log.write("first_event", LogWeight::Routine,
                        { { "request", m_incoming.request.text() },
                          { "host", relay.target.host.text() },
                          { "expected_ms", toMilliseconds(relay.expected) },
                          { "age_ms", toMilliseconds(m_firstEventAt - m_arrival) } });
}

Status StreamRun::passOn(Relay &relay, const std::string &text, Yield yield)
{
    if (m_headSent)
        m_longestPause = std::max(m_longestPause, now() - m_lastEventAt);
    else
        beginAnswer(relay);
    m_lastEventAt = now();
    ++m_events;
    relay.passingOn = true;
    Status written = m_exchange.write(text, yield);
    relay.passingOn = false;
    relay.heardAt = now();
    return written;
}

AttemptEnd StreamRun::endStream(Relay &relay, Yield yield)
{
    dropAnother();
    relay.passingOn = true;
    m_context.state.targets.succeeded(relay.target.host, now());
    noteAnswered();
    if (!m_headSent)
        beginAnswer(relay);
    static_cast<void>(m_exchange.finish(yield)); // A caller that is gone was noted by the server.
    logEnd("answered", LogWeight::Routine,
           { { "host", relay.target.host.text() },
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
