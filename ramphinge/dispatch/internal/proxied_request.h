// One request that is being forwarded to upstreams: the logic that its attempts share. Requests
// with buffered and with streamed responses are separate subclasses.

#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "ramphinge/admission/admission_place.h"
#include "ramphinge/base/random.h"
#include "ramphinge/dispatch/dispatcher.h"
#include "ramphinge/dispatch/internal/forwarding.h"
#include "ramphinge/quarantine/fingerprint.h"

namespace ramphinge {

class ProxiedRequest;

// What all requests of a daemon share.
struct DispatchContext
{
    IoContext &io;
    const Clock &clock;
    DispatchOptions options;
    const RequestCodec &codec;
    UpstreamClient &upstreams;
    DispatchState &state;
    DecisionLog &log;
    Metrics &metrics;
    Random random;
    CrashDetector crashDetector;
    LivenessChecker livenessChecker;
    TrialGranter &trials;
    std::set<ProxiedRequest *> requests {}; // In progress.
};

// How one attempt ended.
enum class AttemptEnd {
    Done, // The caller has its complete response, or has disconnected.
    NotSent, // No byte of the request was sent.
    Refused, // The upstream says that it has turned the request away; m_record knows if that is
             // proven.
    Failed, // The upstream may have executed it.
};

// RAII guard that counts a request as in flight at one target. A count that is never taken back
// would keep requests away from a healthy upstream forever.
class InFlightGuard
{
public:
    InFlightGuard(DispatchState &state, const Target &target, Tokens prompt,
                  Urgency urgency = Urgency::InTime);
    ~InFlightGuard();
    InFlightGuard(const InFlightGuard &) = delete;
    InFlightGuard &operator=(const InFlightGuard &) = delete;

    // The first event or the response's head arrived after `took`. Call at most once.
    void begin(Duration took, Duration expected, MonotonicTime now);

private:
    DispatchState &m_state;
    HostId m_host;
    DaemonId m_daemon; // Empty for servers.
    Tokens m_prompt;
    Urgency m_urgency;
    bool m_begun = false;
};

// One request. Used by its connection's coroutine.
//
// While this daemon reaches no server, a request of a caller is forwarded to another daemon that
// does; a request that another daemon has forwarded is not forwarded again. What concerns the
// servers is done by the daemon that sends to them: metering, admission, the crash check.
//
// An exception in any component ends the request with an error response that is correct about
// whether it may have been executed: execute() throws only if that response itself can't be made.
class ProxiedRequest
{
public:
    ProxiedRequest(DispatchContext &context, HttpExchange &exchange,
                   const IncomingRequest &incoming, AdmittedRequest admitted,
                   MonotonicTime arrival);
    virtual ~ProxiedRequest();
    ProxiedRequest(const ProxiedRequest &) = delete;
    ProxiedRequest &operator=(const ProxiedRequest &) = delete;

    // Serves the request until its response has been sent or the caller has disconnected.
    void execute(Yield yield);

    // Ends the request with an error response, since the process is about to stop: its calls are
    // cancelled, and there are no further attempts.
    void end();

protected:
    // Tries one upstream. `m_call` is the call in progress.
    virtual AttemptEnd attempt(const Target &target, Yield yield) = 0;

    // Ends the request with an error response of the daemon.
    virtual void endWithError(RefusalReason reason, Yield yield);

    // Whether the request may be retried after an upstream may have executed it: by the catalog
    // under which it was admitted, by the current one, and by the daemon that forwarded it.
    bool mayRetry() const;
    Repeatability repeatability() const
    {
        return mayRetry() ? Repeatability::Repeatable : Repeatability::AtMostOnce;
    }

    // Whether the request could be sent to another upstream if the current one failed now.
    // `mayHaveRunCount` is the number of upstreams that may have executed it by then.
    bool mayFailOver(int mayHaveRunCount) const;

    // Waits until the request may be sent; false if it is refused instead, with m_admissionDelay
    // set. Returns early if the caller disconnects.
    virtual bool awaitAdmission(Yield) { return true; }

    // The target of the next attempt; nothing if there is none.
    virtual std::optional<Target> nextTarget() { return reserveTarget(); }

    virtual TargetQuery targetQuery() const;

    // Chooses the best target that was not tried yet, marks it as tried and charges its rate limit;
    // another daemon, if the request is to be forwarded. Nothing if there is none or the request is
    // quarantined.
    std::optional<Target> reserveTarget();

    // Why the request ends after an unsuccessful attempt; nothing if there may be another one. That
    // is charged to the retry budget if anything was sent before and a target is left.
    virtual std::optional<RefusalReason> reasonToStop(AttemptEnd last, Yield yield);

    // Whether the request must not be sent since servers have terminated while they ran it or a
    // part of its prompt. Checked before each send, since reports of other daemons may arrive at
    // any time.
    bool isQuarantined() const;
    const SuspectRequest &suspectRequest() const;
    // The connection to an upstream ended before the response was complete. Waits until it is known
    // whether the upstream has terminated, since that may quarantine the request. True if it has.
    bool awaitCrashVerdict(const Target &target, MonotonicTime sentAt, Yield yield);
    // Whether the end of the response that was read is the end that its upstream meant. A response
    // without a length ends with its connection, which proves nothing unless the server is still
    // alive. If it isn't known to be, waits for the crash verdict too.
    bool isEndProven(const Target &target, MonotonicTime sentAt, Yield yield);
    // An upstream that began to answer at `begunAt` has responded completely, which proves that the
    // request doesn't crash servers.
    void noteAnswered(MonotonicTime begunAt);

    // Cancels the calls to upstreams after the caller has disconnected.
    virtual void cancelCalls();

    // Cancels the calls to upstreams after an exception, and counts those that may have executed
    // it.
    virtual void cancelAfterException();

    std::unique_ptr<UpstreamCall> makeCall(const Target &target, const EventId &resumeAfter,
                                           Duration headTimeout, Urgency urgency) const;
    // This daemon's share of the connections that one server accepts from all daemons.
    int maxIdleConnections() const;
    // The head of the response to that send. If it proves that the send was not executed, m_record
    // knows. What it means that another daemon has refused the request is kept in m_refusal.
    ResponseHead decodeResponse(const Target &target, SendNumber send, const HttpCall &call);
    // How many upstreams may have executed the request if the target has.
    int runsAt(const Target &target) const { return target.isDaemon() ? m_grantedAttempts : 1; }
    // How an attempt ended whose call could not be started.
    AttemptEnd attemptEndFor(const Status &failure) const;
    // The request was not written, since its server asked for a pause or is leaving.
    void logWithheld(const Target &target) const;
    // Handles a response which says that the upstream has turned the request away; counts as a
    // failure of the target.
    AttemptEnd handleRefusal(const Target &target, const ResponseHead &head);
    // Ends the request after an upstream's own response whose status would promise the caller that
    // the request was not executed, though nothing proves it.
    void endWithUnprovenRefusal(const Target &target, const ResponseHead &head, Yield yield);
    // A call that could not be started. If the target can't be reached, further attempts prefer
    // other zones.
    void noteConnectionFailure(const Target &target, const UpstreamCall &call);
    // Avoids the target for a while, and reports its replica as suspected to the planner.
    void avoid(const Target &target);
    // Reads the whole response body. Errors: Unknown.
    // Reads a body that nobody needs, so that the connection is kept. Closes the connection if the
    // body doesn't end soon.
    void discardBody(Yield yield);
    // Reads the response's body. Its memory is reserved until the next one is read or the request
    // ends.
    Result<std::string> readBody(Yield yield);
    // Whether the last body was given up since it needed too much memory or had no end in time.
    bool gaveUpBody() const { return m_gaveUpBody; }
    Status sendResponse(const ResponseHead &head, std::string body, Yield yield);

    // Identifies the request's content; the same for every attempt.
    const Fingerprint &fingerprint() const { return suspectRequest().fingerprint; }

    MonotonicTime now() const { return m_context.clock.now(); }
    Duration timeLeft() const { return m_admitted.deadline - now(); }
    bool callerGone() const { return m_exchange.callerGone(); }
    // Whether end() was called.
    bool mustEnd() const { return m_mustEnd; }
    // The client account; empty on public routes.
    AccountId account() const;
    void logTarget(const Target &target, Duration expected, Urgency urgency) const;
    void logEnd(const char *event, LogWeight weight, nlohmann::json fields) const;
    void logFailedAttempt(const Target &target, const char *what, const std::string &why) const;
    void countOutcome(const char *outcome) const;
    // The request was answered with success.
    void countServed() const;
    // Counts a call in which something was sent; by cause if it is a retry at a server.
    void countSend(const Target &target, const UpstreamCall &call);
    // To be called before each send of the request. Nothing if it must not be sent again.
    std::optional<SendNumber> beginSend(const Target &target);
    // A send that was begun has ended without a response.
    void noteNoResponse(const Target &target, SendNumber send, const UpstreamCall &call);
    void logSendAgain(const Target &target) const;
    // Keeps how a call ended, for logs.
    void noteSendEnd(const Target &target, const std::string &end);
    // Starts m_call as the send m_send, and counts it. The charge for a retry is used up if
    // anything was sent.
    Status startCounted(const Target &target, Yield yield);
    // A retry that was charged has not been sent: the next one needs no charge.
    void returnCharge();
    // Asks other daemons for a retry of their part of the budget. False if none has one left, or
    // none had a moment ago.
    bool borrowRetry(Yield yield);
    // Charges a retry to the budget, unless one is charged already; false if none is left.
    bool chargeRetry(const char *cause);

    DispatchContext &m_context;
    HttpExchange &m_exchange;
    const IncomingRequest &m_incoming;
    AdmittedRequest m_admitted;
    MonotonicTime m_arrival;
    std::unique_ptr<UpstreamCall> m_call; // Null between attempts.
    ExecutionRecord m_record; // Of all sends.
    SendNumber m_send; // That of m_call.
    bool m_isExhausted = false; // No connection was left for the last call.
    int m_sendCount = 0; // Calls in which at least a part of the request was sent.
    const char *m_retryCause = ""; // Why the request was last charged to the retry budget.
    // Upstreams that may have executed the request, for the limit of its route. Whether it may be
    // sent again, or be called not executed, is m_record's to say.
    int m_mayHaveRunCount = 0;
    std::optional<Duration> m_admissionDelay; // Retry-After, if admission refused the request.
    // The next retry is already charged to the retry budget. If it is never sent, the charge is
    // given back.
    bool m_retryPrepaid = false;

private:
    void tryTargets(Yield yield);
    // Whether the quarantined request may be sent to one server.
    bool requestTrial(Yield yield);
    Fingerprint quarantineCause() const;
    // Meters the request for the shares of client accounts, where its service has them.
    void noteAccount(const EngineProfile &engine);
    void failAfterException(const std::string &why, Yield yield);
    // Whether another target may be sent the request now.
    bool hasTarget() const;
    RefusalReason finalReason() const;
    // Hosts of all targets that could serve the request, including those that admit none now.
    std::vector<HostId> allCandidateHosts() const;
    // RateLimited or BackingOff if none of these hosts admits requests now; nothing if one does, or
    // all are leaving.
    std::optional<RefusalReason> reasonWithheld() const;
    // Whether this daemon reaches no server of the request's service.
    bool hasLostContact() const;
    // Whether the request goes to another daemon instead of a server.
    bool shouldForward() const;
    std::optional<Target> reserveDaemon();
    std::unique_ptr<UpstreamCall> makeForwardCall(const Target &target, const EventId &resumeAfter,
                                                  HttpCallOptions options) const;
    AttemptEnd handleForwardRefusal(const Target &target);
    // Why the request ends after another daemon's refusal; nothing if it may be forwarded to a
    // further one.
    std::optional<RefusalReason> finalForwardRefusal() const;
    Error giveUpBody(const char *why);
    // Upstreams that may execute the request.
    int maxAttempts() const;
    void meterArrival();
    // Time until a host that admits no requests now is expected to; nothing if one does, or there
    // is none.
    std::optional<Duration> timeUntilAccepted();
    // The Retry-After of a refusal; nothing for reasons that don't guarantee that the request was
    // not executed.
    std::optional<Duration> retryAfter(RefusalReason reason);
    // This daemon's share of the request rate that the request's servers accept from all daemons.
    RequestRate acceptedRateShare() const;

    std::set<Endpoint> m_sentTo; // Of every send that was begun, also of those that failed.
    std::vector<std::string> m_sendEnds; // How each call ended, in the order of their ends.
    bool m_isTrial = false; // Quarantined, but granted a trial at one server.
    // Empty until first used, since it takes a hash of the body and of each part of the prompt.
    mutable std::optional<SuspectRequest> m_suspect;
    std::set<HostId> m_triedHosts;
    std::set<ZoneId> m_unreachableZones; // Of targets that could not be reached.
    std::set<DaemonId> m_triedDaemons; // To which it was forwarded.
    std::optional<ForwardRefusal>
        m_refusal; // Of the daemon that was last asked; empty if it didn't.
    // Upstreams that the daemon to which it was last forwarded may let execute it.
    mutable int m_grantedAttempts = 1;
    int m_notExecutedResponses = 0;
    std::optional<AnswerMemory::Reservation> m_bodyMemory; // Of the body that was last read.
    bool m_gaveUpBody = false;
    bool m_mustEnd = false;
};

// A request whose response is read completely before it is forwarded.
class BufferedRequest : public ProxiedRequest
{
public:
    using ProxiedRequest::ProxiedRequest;

protected:
    AttemptEnd attempt(const Target &target, Yield yield) override;

private:
    Status startCall(const Target &target, Yield yield);
    // How long to wait for the response's head before the request is retried elsewhere.
    Duration maxHeadWait() const;
};

// A request whose response is a stream of events.
//
// If the current upstream's stream stalls, the request is sent to another upstream, the candidate.
// The stalled stream is cancelled only once the candidate has accepted and become the successor:
// the other upstreams may be full, and the current one may merely have paused.
//
// Watchers are separate coroutines that refer to the StreamedRequest. After each wait they check
// whether the UpstreamStream that they were started for is released, and if so touch nothing of the
// StreamedRequest, which may be gone. Its destructor releases all streams that are left in
// m_activeStreams, so that none is missed however the request ends.
class StreamedRequest : public ProxiedRequest
{
public:
    StreamedRequest(DispatchContext &context, HttpExchange &exchange,
                    const IncomingRequest &incoming, AdmittedRequest admitted,
                    MonotonicTime arrival);
    ~StreamedRequest() override;

protected:
    AttemptEnd attempt(const Target &target, Yield yield) override;
    bool awaitAdmission(Yield yield) override;
    std::optional<Target> nextTarget() override;
    TargetQuery targetQuery() const override;
    std::optional<RefusalReason> reasonToStop(AttemptEnd last, Yield yield) override;
    void cancelCalls() override;
    void cancelAfterException() override;
    void endWithError(RefusalReason reason, Yield yield) override;

private:
    // The state of one upstream's response stream.
    struct UpstreamStream;

    AdmissionRequest admissionRequest(const TargetRoom &room) const;
    // Passes the model's room on to its admission.
    TargetRoom updateRoom(ModelAdmission &admission);
    void recordAdmission(const ModelAdmission &admission, const TargetRoom &room) const;
    std::shared_ptr<UpstreamStream> startStream(const Target &target);
    void releaseStream(UpstreamStream &upstream);
    void releaseAll();
    void decodeHead(UpstreamStream &upstream, const HttpCall &call);
    void recordNoResponse(const UpstreamStream &upstream, const UpstreamCall &call,
                          const Status &failure);
    AttemptEnd forwardEvents(UpstreamStream &upstream, Yield yield);
    bool isComplete(const UpstreamStream &upstream) const;
    void noteProgress(UpstreamStream &upstream);
    Status forwardComment(UpstreamStream &upstream, const std::string &text, Yield yield);
    Status forwardEvent(UpstreamStream &upstream, const std::string &text, Yield yield);
    void watchCurrent(const std::shared_ptr<UpstreamStream> &upstream);
    const StallOptions &stallOptions(const Target &target) const;
    StreamObservation observeStream(const UpstreamStream &upstream) const;
    void logStreamLeft(const UpstreamStream &upstream, const StreamObservation &stream) const;
    bool shouldFailOver(const UpstreamStream &upstream);
    bool prepayRetry(const UpstreamStream &upstream);
    int mayHaveRunCountWith(const UpstreamStream &current) const;
    bool tryCandidate(const std::shared_ptr<UpstreamStream> &current, Yield yield);
    void watchCandidate(const std::shared_ptr<UpstreamStream> &candidate,
                        const std::shared_ptr<UpstreamStream> &current);
    bool handleCandidateHead(UpstreamStream &candidate, const Status &started);
    void awaitCandidate(Yield yield);
    void dropCandidate();
    // Starts the response to the caller with this upstream's status and headers.
    void beginResponse(const UpstreamStream &upstream);
    AttemptEnd finishResponse(UpstreamStream &upstream, Yield yield);

    std::optional<AdmissionPlace> m_place; // Empty where the service has no admission.
    Signal m_callerLeft; // Ends the wait for admission.
    // Streams of all upstreams that were sent the request. Invariant: none of them is released.
    std::vector<std::shared_ptr<UpstreamStream>> m_activeStreams;
    // Of another upstream that was asked to continue and has not responded yet; null for none.
    std::shared_ptr<UpstreamStream> m_candidate;
    // The candidate that accepted, until it becomes the current stream; null for none.
    std::shared_ptr<UpstreamStream> m_successor;
    Signal m_candidateDecided; // m_candidate has accepted or failed.
    bool m_headSent = false;
    EventId m_lastEvent; // The last that the caller has; initially the one it resumes after.
    int m_eventsForwarded = 0;
    MonotonicTime m_firstEventAt;
    MonotonicTime m_lastEventAt;
    Duration m_longestEventGap {};
};

} // namespace ramphinge
