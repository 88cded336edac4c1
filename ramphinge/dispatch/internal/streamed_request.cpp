// Requests with streamed responses: see proxied_request.h.

#include <algorithm>
#include <exception>
#include <utility>

#include "ramphinge/base/erase_if.h"
#include "ramphinge/dispatch/event_stream.h"
#include "ramphinge/dispatch/internal/proxied_request.h"

namespace ramphinge {

namespace {

constexpr int statusOk = 200;
constexpr const char *withdrawnReason =
    "the request was quarantined: servers terminated while they ran the same request";
// Timeout of a read that starts close to the deadline, so that bytes that have arrived are read.
constexpr Duration minReadTimeout = std::chrono::milliseconds(60);
// A timer that fires this late was delayed by a pause of the process or by other work on the event
// loop; on a busy daemon timers are late by a few milliseconds.
constexpr Duration minProcessPause = std::chrono::milliseconds(100);
// Interval at which a request that waits for admission asks again: short against the part of an
// objective that is left for waiting.
constexpr Duration admissionInterval = std::chrono::milliseconds(5);
// Least interval between two updates of the room by waiting requests: it takes a pass over all
// targets.
constexpr Duration roomUpdateInterval = std::chrono::milliseconds(20);
// Least part of the objective that a request may wait for admission before it counts as late.
constexpr double minWaitShare = 0.125;
// Callers leave a stream without a first event after the longest of this time, so many objectives,
// and so many pause objectives.
constexpr Duration callerPatience = std::chrono::seconds(2);
constexpr int callerPatienceObjectives = 4;
constexpr int callerPatienceGaps = 8;
// Callers set deadlines that are somewhat shorter than the route's timeout. A request with less
// left than this share of the timeout was refused before, or has waited elsewhere.
constexpr double firstAttemptTimeoutShare = 0.8;

// Whether the caller has spent a part of the route's timeout before.
bool isReturning(const IncomingRequest &incoming, const RouteEntry &route)
{
    return incoming.callerTimeout
        && *incoming.callerTimeout < scaled(route.timeout, firstAttemptTimeoutShare);
}

// Whether the response is an unmodified stream of the upstream that can be forwarded event by
// event.
bool isStreamable(const ResponseHead &head)
{
    return !head.refused && head.status == statusOk && head.authentic && !head.decoded;
}

} // namespace

struct StreamedRequest::UpstreamStream
{
    explicit UpstreamStream(Target streamTarget) : target(std::move(streamTarget)) { }

    Target target;
    Urgency urgency = Urgency::InTime;
    std::unique_ptr<UpstreamCall> call; // Moved to m_call when this becomes the current stream.
    SendNumber send;
    ResponseHead head;
    EventStreamReader reader;
    MonotonicTime sentAt;
    Duration expected {}; // Time to the first event, as predicted when the request was sent.
    // When the request was sent, data last arrived, or the caller had last accepted an event.
    MonotonicTime lastActivityAt;
    std::optional<InFlightGuard> inFlight; // Until it is released.
    bool countedAsMayHaveRun = false; // In m_mayHaveRunCount.
    bool begun = false; // Its first event has arrived.
    MonotonicTime begunAt; // When it has arrived; the time of sending before.
    bool partsNoted = false; // As sound, since the stream went on long enough.
    bool writingToCaller = false; // The upstream is not read meanwhile.
    bool released = false; // The StreamedRequest may be gone. Watchers check it after each wait.
    bool stalled = false; // It was cancelled because it stalled.
    bool withdrawn = false; // It was cancelled before its first event: the request is quarantined.

    // Data that arrived during a pause of this process is not read yet, so the pause doesn't count
    // as silence of the upstream.
    void excludeProcessPause(Duration delay, MonotonicTime now)
    {
        if (delay >= minProcessPause)
            lastActivityAt = std::min(now, lastActivityAt + delay);
    }
};

StreamedRequest::StreamedRequest(DispatchContext &context, HttpExchange &exchange,
                                 const IncomingRequest &incoming, AdmittedRequest admitted,
                                 MonotonicTime arrival)
    : ProxiedRequest(context, exchange, incoming, std::move(admitted), arrival),
      m_callerLeft(context.io), m_candidateDecided(context.io), m_lastEvent(incoming.resumeAfter),
      m_lastEventAt(arrival)
{ }

StreamedRequest::~StreamedRequest()
{
    releaseAll();
}

void StreamedRequest::releaseAll()
{
    while (!m_activeStreams.empty()) {
        const std::shared_ptr<UpstreamStream> remaining = m_activeStreams.back();
        releaseStream(*remaining);
    }
}

// A stream that is resumed is not late any more, and waits for nothing.
bool StreamedRequest::awaitAdmission(Yield yield)
{
    DispatchState &state = m_context.state;
    const ServiceEntry *service = m_admitted.catalog->findService(m_admitted.service);
    const bool isKnownModel =
        service != nullptr && service->engine && service->engine->find(m_incoming.model) != nullptr;
    if (!state.admitsByModel(m_admitted.service) || !isKnownModel
        || !m_incoming.resumeAfter.empty())
        return true;
    ModelAdmission &admission = state.admissionOf(m_admitted.service, m_incoming.model);
    TargetRoom room = updateRoom(admission);
    if (room.targets == 0) // It can't be served, or only by a target that is avoided.
        return true;
    m_place.emplace(admission, admissionRequest(room), now());
    const bool hasWaited = m_place->isWaiting();
    while (m_place->isWaiting() && !callerGone() && !mustEnd()) {
        m_callerLeft.wait(admissionInterval, yield);
        if (now() - admission.roomSetAt() >= roomUpdateInterval)
            room = updateRoom(admission);
        if (room.targets == 0) { // The last one has failed meanwhile; nothing becomes free.
            m_place.reset();
            return true;
        }
        m_place->poll(now());
    }
    const char *outcome = m_place->isRefused() ? "refused"
        : m_place->isLate()                    ? "late"
                                               : "admitted";
    const auto count = [this](const char *what) {
        m_context.metrics.count(MetricName("admission_total")
                                    .with("model", m_incoming.model.text())
                                    .with("outcome", what));
    };
    if (hasWaited)
        count("waited");
    if (!m_place->isWaiting())
        count(outcome);
    recordAdmission(admission, room);
    if (!m_place->isRefused())
        return true;
    m_admissionDelay = m_place->retryAfter();
    return false;
}

AdmissionRequest StreamedRequest::admissionRequest(const TargetRoom &room) const
{
    const RouteEntry &route = *m_admitted.route;
    AdmissionRequest request;
    request.ticket = m_context.state.nextAdmissionTicket();
    request.account = account();
    request.priority = m_admitted.priority();
    request.arrival = m_arrival;
    request.isReturning = isReturning(m_incoming, route);
    const Duration spent =
        request.isReturning ? route.timeout - *m_incoming.callerTimeout : Duration::zero();
    request.startBy = m_arrival - spent
        + std::max(scaled(route.objective, minWaitShare), route.objective - room.leastExpected);
    request.deadline = m_admitted.deadline;
    const Duration patience = std::max({ callerPatience, route.objective * callerPatienceObjectives,
                                         route.eventGapObjective * callerPatienceGaps });
    request.leavesAt = std::min(m_admitted.deadline, m_arrival + patience);
    return request;
}

TargetRoom StreamedRequest::updateRoom(ModelAdmission &admission)
{
    const DispatchState &state = m_context.state;
    const TargetRoom targets = state.targets.roomOf(targetQuery(), now());
    const ServiceEntry *service = m_admitted.catalog->findService(m_admitted.service);
    ModelRoom room;
    room.slots = targets.slots;
    room.inFlight = targets.inFlight;
    room.daemons = state.daemons();
    room.othersKnown = targets.othersKnown || room.daemons == 1;
    room.reportedAt = room.daemons == 1 ? now() : targets.reportedAt;
    room.demandShare = state.demand.ownShareOf(m_incoming.model, room.daemons, now());
    const std::optional<RequestRate> replicaRate = service != nullptr && service->engine
        ? state.demand.rateOfReplica(*service->engine, m_incoming.model, now())
        : std::nullopt;
    room.startRate = RequestRate(replicaRate.value_or(RequestRate()).perSecond()
                                 * static_cast<double>(targets.targets));
    admission.setRoom(room, now());
    return targets;
}

// The inputs of the last decision.
void StreamedRequest::recordAdmission(const ModelAdmission &admission, const TargetRoom &room) const
{
    const ShareBucket &bucket = admission.bucket();
    const auto set = [this](const char *name, double value) {
        m_context.metrics.set(MetricName(name).with("model", m_incoming.model.text()), value);
    };
    set("admission_waiting", admission.waiting());
    set("admission_slots", room.slots);
    set("admission_in_flight", room.inFlight);
    set("admission_share", bucket.share());
    const bool isRoutine = !m_place->isRefused() && !m_place->isLate();
    if (isRoutine)
        return;
    m_context.log.write(m_place->isRefused() ? "admission_refused" : "admission_late",
                        m_place->isRefused() ? LogWeight::Failure : LogWeight::Routine,
                        { { "request", m_incoming.request.text() },
                          { "model", m_incoming.model.text() },
                          { "account", account().text() },
                          { "priority", m_admitted.priority() },
                          { "returning", isReturning(m_incoming, *m_admitted.route) },
                          { "waiting", admission.waiting() },
                          { "late_wait_ms", toMilliseconds(admission.expectedLateWait()) },
                          { "slots", room.slots },
                          { "in_flight", room.inFlight },
                          { "load_known", room.othersKnown },
                          { "load_age_ms", toMilliseconds(now() - room.reportedAt) },
                          { "share", bucket.share() },
                          { "tokens", bucket.tokens() },
                          { "rate", bucket.rate().perSecond() },
                          { "start_rate", bucket.room().startRate.perSecond() },
                          { "retry_after_ms", toMilliseconds(m_place->retryAfter()) },
                          { "age_ms", toMilliseconds(now() - m_arrival) } });
}

TargetQuery StreamedRequest::targetQuery() const
{
    TargetQuery query = ProxiedRequest::targetQuery();
    query.prefersFreedSlots = m_place.has_value();
    return query;
}

std::optional<Target> StreamedRequest::nextTarget()
{
    return m_successor ? std::optional<Target>(m_successor->target) : reserveTarget();
}

// A retry that a successor has accepted is already charged to the retry budget.
std::optional<RefusalReason> StreamedRequest::reasonToStop(AttemptEnd last, Yield yield)
{
    if (!m_successor || mustEnd())
        return ProxiedRequest::reasonToStop(last, yield);
    m_retryPrepaid = false;
    if (timeLeft() <= Duration::zero())
        return RefusalReason::DeadlineExceeded;
    return std::nullopt;
}

void StreamedRequest::cancelCalls()
{
    ProxiedRequest::cancelCalls();
    m_callerLeft.notify();
    for (const std::shared_ptr<UpstreamStream> &other : { m_candidate, m_successor }) {
        if (other)
            other->call->cancel();
    }
}

void StreamedRequest::cancelAfterException()
{
    for (const std::shared_ptr<UpstreamStream> &upstream : m_activeStreams) {
        const UpstreamCall *call = upstream->call ? upstream->call.get() : m_call.get();
        const bool sent = call != nullptr && call->sent();
        if (call != nullptr)
            countSend(upstream->target, *call);
        m_mayHaveRunCount += sent && !upstream->countedAsMayHaveRun ? runsAt(upstream->target) : 0;
    }
    if (m_call)
        m_call->cancel();
    releaseAll();
}

AttemptEnd StreamedRequest::attempt(const Target &target, Yield yield)
{
    const bool tookOver = m_successor != nullptr;
    const std::shared_ptr<UpstreamStream> upstream =
        tookOver ? std::exchange(m_successor, nullptr) : startStream(target);
    m_call = std::move(upstream->call);
    watchCurrent(upstream);
    const Status started = tookOver ? Status(Done {}) : startCounted(target, yield);
    if (tookOver)
        countSend(target, *m_call);
    else
        upstream->send = m_send;
    AttemptEnd end = AttemptEnd::Done;
    if (started.ok()) {
        if (!tookOver)
            decodeHead(*upstream, *m_call);
        end = forwardEvents(*upstream, yield);
    } else {
        recordNoResponse(*upstream, *m_call, started);
        end = attemptEndFor(started);
    }
    if (end == AttemptEnd::Failed && m_call->endedByPeer()) {
        upstream->writingToCaller = true; // Not stalled: the wait is for the crash check.
        awaitCrashVerdict(target, upstream->sentAt, yield);
    }
    if (end != AttemptEnd::Done)
        awaitCandidate(yield);
    dropCandidate();
    m_call->cancel();
    releaseStream(*upstream);
    return end;
}

// Creates the call to an upstream and the state of its stream. The call isn't started yet.
std::shared_ptr<StreamedRequest::UpstreamStream> StreamedRequest::startStream(const Target &target)
{
    TargetTable &targets = m_context.state.targets;
    auto upstream = std::make_shared<UpstreamStream>(target);
    upstream->sentAt = now();
    upstream->lastActivityAt = upstream->sentAt;
    upstream->begunAt = upstream->sentAt;
    upstream->expected =
        targets.expectedTime(target.host, m_incoming.promptTokens, upstream->sentAt);
    if (target.isDaemon())
        upstream->urgency = Urgency::InTime; // The other daemon decides.
    else if (m_place)
        upstream->urgency = m_place->isLate() && !m_headSent ? Urgency::Late : Urgency::InTime;
    else
        upstream->urgency = urgencyOf({ upstream->expected, m_admitted.route->objective,
                                        upstream->sentAt - m_arrival, m_headSent },
                                      m_context.options.urgency);
    logTarget(target, upstream->expected, upstream->urgency);
    upstream->call = makeCall(target, m_lastEvent, timeLeft(), upstream->urgency);
    // An admitted request has a slot, so it counts as load also when it is late.
    upstream->inFlight.emplace(m_context.state, target, m_incoming.promptTokens,
                               m_place ? Urgency::InTime : upstream->urgency);
    m_activeStreams.push_back(upstream);
    return upstream;
}

// Cancels what is left of the upstream's work for this request.
void StreamedRequest::releaseStream(UpstreamStream &upstream)
{
    upstream.released = true;
    if (upstream.call)
        upstream.call->cancel();
    upstream.inFlight.reset();
    eraseIf(m_activeStreams, [&upstream](const auto &other) { return other.get() == &upstream; });
}

void StreamedRequest::decodeHead(UpstreamStream &upstream, const HttpCall &call)
{
    upstream.head = decodeResponse(upstream.target, upstream.send, call);
}

void StreamedRequest::recordNoResponse(const UpstreamStream &upstream, const UpstreamCall &call,
                                       const Status &failure)
{
    m_mayHaveRunCount += call.sent() ? runsAt(upstream.target) : 0;
    if (callerGone())
        return;
    if (upstream.withdrawn) {
        logFailedAttempt(upstream.target, "withdrawn", withdrawnReason);
        return;
    }
    if (call.withheld()) {
        logWithheld(upstream.target);
        return;
    }
    noteConnectionFailure(upstream.target, call);
    avoid(upstream.target);
    logFailedAttempt(upstream.target, upstream.stalled ? "stood_still" : "no_answer",
                     failure.error().message());
}

// Watches the current stream. If it stalls, sends the request to a candidate, and cancels the
// current stream once the candidate has accepted.
void StreamedRequest::watchCurrent(const std::shared_ptr<UpstreamStream> &upstream)
{
    spawnCoroutine(m_context.io, [this, upstream, &context = m_context](Yield yield) {
        Duration checkInterval = context.options.stallCheckInterval;
        while (true) {
            const MonotonicTime expectedAt = context.clock.now() + checkInterval;
            sleepFor(context.io, checkInterval, yield);
            if (upstream->released)
                return;
            upstream->excludeProcessPause(now() - expectedAt, now());
            if (!upstream->begun && isQuarantined()) {
                upstream->withdrawn = true;
                m_call->cancel();
                return;
            }
            checkInterval = context.options.stallCheckInterval;
            if (!shouldFailOver(*upstream))
                continue;
            const bool tookOver = tryCandidate(upstream, yield);
            if (upstream->released)
                return;
            if (!tookOver) {
                checkInterval = context.options.retryAfter;
                continue;
            }
            upstream->stalled = true;
            m_call->cancel();
            return;
        }
    });
}

// Whether the stream has stalled and a candidate may be tried. If so, the retry has been charged to
// the retry budget.
bool StreamedRequest::shouldFailOver(const UpstreamStream &upstream)
{
    if (upstream.writingToCaller)
        return false;
    const StreamObservation stream = observeStream(upstream);
    if (!isStalled(stream, stallOptions(upstream.target)))
        return false;
    m_context.state.suspicions.note(upstream.target.replica, now());
    if (!prepayRetry(upstream))
        return false;
    logStreamLeft(upstream, stream);
    return true;
}

// Asks another upstream to continue the stream while the current one keeps it; true if it has
// accepted. If the request ended meanwhile, `current` is released. An exception only ends this try;
// the current upstream's stream goes on.
bool StreamedRequest::tryCandidate(const std::shared_ptr<UpstreamStream> &current, Yield yield)
{
    const std::optional<Target> target = reserveTarget();
    if (!target)
        return false;
    std::shared_ptr<UpstreamStream> candidate;
    std::optional<std::string> failure;
    try {
        candidate = startStream(*target);
        m_candidate = candidate;
        watchCandidate(candidate, current);
        candidate->send = beginSend(*target).value();
        const Status started = candidate->call->start(yield);
        if (candidate->released)
            return false;
        if (!started.ok())
            noteNoResponse(*target, candidate->send, *candidate->call);
        if (candidate->call->endedByPeer()) {
            awaitCrashVerdict(*target, candidate->sentAt, yield);
            if (candidate->released) // The StreamedRequest may be gone.
                return false;
        }
        if (handleCandidateHead(*candidate, started))
            m_successor = candidate;
    } catch (const std::exception &e) {
        failure = e.what();
    }
    if (candidate && candidate->released)
        return false;
    if (failure) {
        logFailedAttempt(*target, "failed_inside", *failure);
        dropCandidate();
    } else {
        m_candidate = nullptr;
        if (m_successor == nullptr)
            releaseStream(*candidate);
    }
    m_candidateDecided.notify(); // In all cases: the current attempt may wait for it.
    return m_successor != nullptr;
}

// Watches a candidate until it responds. If it stalls too, it is cancelled where a third upstream
// may be asked.
void StreamedRequest::watchCandidate(const std::shared_ptr<UpstreamStream> &candidate,
                                     const std::shared_ptr<UpstreamStream> &current)
{
    spawnCoroutine(m_context.io, [this, candidate, current, &context = m_context](Yield yield) {
        const Duration checkInterval = context.options.stallCheckInterval;
        while (true) {
            const MonotonicTime expectedAt = context.clock.now() + checkInterval;
            sleepFor(context.io, checkInterval, yield);
            if (candidate->released || m_candidate != candidate)
                return;
            candidate->excludeProcessPause(now() - expectedAt, now());
            if (isQuarantined()) {
                candidate->withdrawn = true;
                candidate->call->cancel();
                return;
            }
            if (!isStalled(observeStream(*candidate), stallOptions(candidate->target)))
                continue;
            context.state.suspicions.note(candidate->target.replica, now());
            if (!mayFailOver(mayHaveRunCountWith(*current) + 1))
                continue;
            candidate->stalled = true;
            candidate->call->cancel();
            return;
        }
    });
}

// Evaluates a candidate's response head; true if it continues the stream. If it doesn't, the
// prepaid retry is used up.
bool StreamedRequest::handleCandidateHead(UpstreamStream &candidate, const Status &started)
{
    if (!started.ok()) {
        m_retryPrepaid = m_retryPrepaid && !candidate.call->sent();
        countSend(candidate.target, *candidate.call);
        recordNoResponse(candidate, *candidate.call, started);
        return false;
    }
    decodeHead(candidate, *candidate.call);
    if (isStreamable(candidate.head))
        return true;
    m_retryPrepaid = false;
    countSend(candidate.target, *candidate.call);
    if (candidate.head.refused) {
        handleRefusal(candidate.target, candidate.head);
        return false;
    }
    m_mayHaveRunCount += runsAt(candidate.target);
    m_context.state.targets.failed(candidate.target.host, now());
    logFailedAttempt(candidate.target, "unusable",
                     "status " + std::to_string(candidate.head.status));
    return false;
}

// Waits for a candidate that has not responded when the current attempt fails: its response decides
// how the request goes on.
void StreamedRequest::awaitCandidate(Yield yield)
{
    while (m_candidate && !callerGone() && timeLeft() > Duration::zero())
        m_candidateDecided.wait(timeLeft(), yield);
}

// Cancels the candidate, which is not needed since the current upstream goes on or the request has
// ended. The candidate may have executed the request.
void StreamedRequest::dropCandidate()
{
    const std::shared_ptr<UpstreamStream> dropped = std::exchange(m_candidate, nullptr);
    if (!dropped)
        return;
    const int sent = dropped->call->sent() ? 1 : 0;
    countSend(dropped->target, *dropped->call);
    m_retryPrepaid = m_retryPrepaid && sent == 0;
    m_mayHaveRunCount += sent * runsAt(dropped->target);
    releaseStream(*dropped);
}

// Another daemon leaves a stalled upstream itself; only if it doesn't, it is left.
const StallOptions &StreamedRequest::stallOptions(const Target &target) const
{
    return target.isDaemon() ? m_context.options.forwardStall : m_context.options.stall;
}

StreamObservation StreamedRequest::observeStream(const UpstreamStream &upstream) const
{
    const TargetTable &targets = m_context.state.targets;
    const HostId &host = upstream.target.host;
    const int others = targets.activeStreams(host) - (upstream.begun ? 1 : 0);
    StreamObservation stream;
    stream.begun = upstream.begun;
    stream.waited = now() - upstream.lastActivityAt;
    stream.expected = upstream.expected;
    stream.objective = m_admitted.route->objective;
    stream.eventGapObjective = m_admitted.route->eventGapObjective;
    stream.hasOtherStreams = others > 0;
    stream.targetStallTimeout = targets.stallTimeoutOf(host);
    stream.targetSilence = now() - std::max(targets.lastProgress(host), upstream.sentAt);
    return stream;
}

// Logs the values on which the decision to leave a stream was based, to tell afterwards whether the
// upstream was healthy or dead.
void StreamedRequest::logStreamLeft(const UpstreamStream &upstream,
                                    const StreamObservation &stream) const
{
    m_context.log.write("stream_left", LogWeight::Failure,
                        { { "request", m_incoming.request.text() },
                          { "host", upstream.target.host.text() },
                          { "replica", upstream.target.replica.text() },
                          { "begun", stream.begun },
                          { "last_event", m_lastEvent.text() },
                          { "waited_ms", toMilliseconds(stream.waited) },
                          { "quiet_ms", toMilliseconds(stream.targetSilence) },
                          { "standstill_ms", toMilliseconds(stream.targetStallTimeout) },
                          { "others_under_way", stream.hasOtherStreams },
                          { "left_ms", toMilliseconds(timeLeft()) } });
}

// How many upstreams may have executed the request, including the current one.
int StreamedRequest::mayHaveRunCountWith(const UpstreamStream &current) const
{
    return m_mayHaveRunCount + (current.countedAsMayHaveRun ? 0 : runsAt(current.target));
}

// Charges the retry budget before a candidate is tried. False if it is exhausted or no failover is
// possible: then waiting is better.
bool StreamedRequest::prepayRetry(const UpstreamStream &upstream)
{
    if (!mayFailOver(mayHaveRunCountWith(upstream)))
        return false;
    return chargeRetry("stalled");
}

// Whether the caller has the complete stream once the end of the upstream's response is proven. A
// resumed response without any event is complete too: the caller had the last event, and only the
// end of the stream was missing.
bool StreamedRequest::isComplete(const UpstreamStream &upstream) const
{
    return upstream.reader.incompleteBytes() == 0 && (upstream.begun || !m_lastEvent.empty());
}

AttemptEnd StreamedRequest::forwardEvents(UpstreamStream &upstream, Yield yield)
{
    const Target &target = upstream.target;
    TargetTable &targets = m_context.state.targets;
    if (upstream.head.refused) {
        discardBody(yield);
        return handleRefusal(target, upstream.head);
    }
    m_mayHaveRunCount += runsAt(target);
    upstream.countedAsMayHaveRun = true;
    if (!isStreamable(upstream.head)) {
        Result<std::string> body = readBody(yield);
        targets.failed(target.host, now());
        if (gaveUpBody())
            avoid(target);
        upstream.writingToCaller = true; // Not stalled: the wait is for the liveness check.
        const bool deliverable = body.ok() && upstream.head.authentic && !upstream.head.decoded
            && isEndProven(target, upstream.sentAt, yield);
        if (!deliverable || m_headSent
            || (upstream.head.status >= 500 && mayFailOver(m_mayHaveRunCount))) {
            logFailedAttempt(target, "unusable", "status " + std::to_string(upstream.head.status));
            return AttemptEnd::Failed;
        }
        dropCandidate();
        if (promisesNotExecuted(upstream.head.status)) {
            endWithUnprovenRefusal(target, upstream.head, yield);
            return AttemptEnd::Done;
        }
        static_cast<void>(sendResponse(upstream.head, std::move(body.value()), yield));
        logEnd("answered", LogWeight::Failure,
               { { "host", target.host.text() }, { "status", upstream.head.status } });
        countOutcome("server_failure");
        return AttemptEnd::Done;
    }
    AnswerMemory::Reservation eventMemory(m_context.state.answerMemory, m_admitted.service,
                                          [this] { m_call->cancel(); });
    std::string piece;
    while (true) {
        piece.clear();
        m_call->setReadTimeout(std::max(timeLeft(), minReadTimeout));
        const Result<std::size_t> got = m_call->read(piece, yield);
        if (callerGone())
            return AttemptEnd::Failed;
        if (!got.ok() && upstream.withdrawn) {
            logFailedAttempt(target, "withdrawn", withdrawnReason);
            return AttemptEnd::Failed;
        }
        if (!got.ok()) {
            avoid(target);
            logFailedAttempt(target, upstream.stalled ? "stood_still" : "broke_off",
                             got.error().message());
            return AttemptEnd::Failed;
        }
        if (got.value() == 0) {
            upstream.writingToCaller = true; // Not stalled: the wait is for the liveness check.
            const bool isProven = isEndProven(target, upstream.sentAt, yield);
            if (isProven && isComplete(upstream))
                return finishResponse(upstream, yield);
            logFailedAttempt(target, "cut_short",
                             "the response ended with "
                                 + std::to_string(upstream.reader.incompleteBytes())
                                 + " bytes of an incomplete event after event " + m_lastEvent.text()
                                 + (isProven ? "" : ", and its server is not known to be alive"));
            return AttemptEnd::Failed;
        }
        noteProgress(upstream);
        upstream.reader.feed(piece);
        while (const std::optional<StreamEvent> event = upstream.reader.next()) {
            if (event->isComment) {
                if (!forwardComment(upstream, event->text, yield).ok())
                    return AttemptEnd::Failed;
                continue;
            }
            dropCandidate();
            upstream.lastActivityAt = now();
            targets.progressed(target.host, now());
            if (!upstream.begun) {
                upstream.begun = true;
                upstream.begunAt = now();
                upstream.inFlight->begin(now() - upstream.sentAt, upstream.expected, now());
            }
            if (!event->id.empty() && alreadyDelivered(m_lastEvent, event->id))
                continue;
            if (!event->id.empty() && !followsInOrder(m_lastEvent, event->id)) {
                logFailedAttempt(target, "out_of_order",
                                 "event " + event->id.text() + " after " + m_lastEvent.text());
                return AttemptEnd::Failed;
            }
            if (!forwardEvent(upstream, event->text, yield).ok())
                return AttemptEnd::Failed;
            if (!event->id.empty())
                m_lastEvent = event->id;
        }
        const std::size_t incomplete = upstream.reader.incompleteBytes();
        if (incomplete > m_context.options.maxBufferedResponseBytes
            || !eventMemory.resize(incomplete)) {
            avoid(target);
            m_context.metrics.count(MetricName("responses_given_up_total"));
            logFailedAttempt(target, "unusable",
                             std::to_string(incomplete) + " bytes of an incomplete event");
            return AttemptEnd::Failed;
        }
        if (timeLeft() < Duration::zero() && now() - upstream.lastActivityAt > minReadTimeout) {
            avoid(target);
            logFailedAttempt(target, "broke_off", "no event before the deadline");
            return AttemptEnd::Failed;
        }
    }
}

// A stream that has gone on for a while shows that no part of its prompt crashes servers, long
// before it is complete.
void StreamedRequest::noteProgress(UpstreamStream &upstream)
{
    Quarantine &quarantine = m_context.state.quarantine;
    const bool isProof = upstream.begun && !upstream.partsNoted && !upstream.target.isDaemon()
        && now() - upstream.begunAt >= quarantine.partSurvivalTime();
    if (!isProof || !quarantine.suspectsParts())
        return;
    upstream.partsNoted = true;
    quarantine.notePartsSound(suspectRequest().parts, upstream.begunAt, now());
}

void StreamedRequest::beginResponse(const UpstreamStream &upstream)
{
    m_exchange.beginStream(upstream.head.status, upstream.head.headers);
    m_headSent = true;
    m_firstEventAt = now();
    m_context.metrics.observe(
        MetricName("first_event_ms").with("route", m_admitted.route->route.text()),
        m_firstEventAt - m_arrival, m_firstEventAt);
    m_context.log.write("first_event", LogWeight::Routine,
                        { { "request", m_incoming.request.text() },
                          { "host", upstream.target.host.text() },
                          { "expected_ms", toMilliseconds(upstream.expected) },
                          { "age_ms", toMilliseconds(m_firstEventAt - m_arrival) } });
}

// A comment shows that a connection lives, not that the stream goes on. Before the first event it
// would begin a response that may have to be an error.
Status StreamedRequest::forwardComment(UpstreamStream &upstream, const std::string &text,
                                       Yield yield)
{
    if (!m_headSent)
        return Done {};
    const MonotonicTime begunAt = now();
    upstream.writingToCaller = true;
    Status written = m_exchange.write(text, yield);
    upstream.writingToCaller = false;
    upstream.lastActivityAt += now() - begunAt;
    return written;
}

Status StreamedRequest::forwardEvent(UpstreamStream &upstream, const std::string &text, Yield yield)
{
    if (m_headSent)
        m_longestEventGap = std::max(m_longestEventGap, now() - m_lastEventAt);
    else
        beginResponse(upstream);
    m_lastEventAt = now();
    ++m_eventsForwarded;
    upstream.writingToCaller = true;
    Status written = m_exchange.write(text, yield);
    upstream.writingToCaller = false;
    upstream.lastActivityAt = now();
    return written;
}

AttemptEnd StreamedRequest::finishResponse(UpstreamStream &upstream, Yield yield)
{
    dropCandidate();
    upstream.writingToCaller = true;
    m_context.state.targets.succeeded(upstream.target.host, now());
    noteAnswered(upstream.begunAt);
    if (!m_headSent)
        beginResponse(upstream);
    static_cast<void>(m_exchange.finish(yield)); // The HTTP server notes a failure.
    logEnd("answered", LogWeight::Routine,
           { { "host", upstream.target.host.text() },
             { "status", statusOk },
             { "events", m_eventsForwarded },
             { "first_event_ms", toMilliseconds(m_firstEventAt - m_arrival) },
             { "longest_pause_ms", toMilliseconds(m_longestEventGap) } });
    countServed();
    return AttemptEnd::Done;
}

void StreamedRequest::endWithError(RefusalReason reason, Yield yield)
{
    if (!m_headSent) {
        ProxiedRequest::endWithError(reason, yield);
        return;
    }
    // The caller has a part of the response, which must not look complete.
    logEnd("stream_broken_off", LogWeight::Failure,
           { { "reason", toString(reason) }, { "last_event", m_lastEvent.text() } });
    countOutcome("broken_off");
    m_exchange.abort();
}

} // namespace ramphinge
