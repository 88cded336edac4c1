// One request on its way: what its attempts have in common. The two kinds of answer, whole and
// streamed, are separate classes over this one.

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "ramphinge/base/random.h"
#include "ramphinge/dispatch/dispatcher.h"
#include "ramphinge/quarantine/fingerprint.h"

namespace ramphinge {

// What all runs of a daemon share.
struct RunContext
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
    CrashWatch crashes;
    TrialGranter &trials;
};

// How one attempt ended.
enum class AttemptEnd {
    Done, // The caller has its whole answer, or is gone.
    NotSent, // No byte of it went out.
    NotExecuted, // The upstream promised that it has not run and won't.
    Failed, // It may have run.
};

// A request's place in the accounts of one upstream, from its sending to its end, whatever way that
// comes: an account that is not closed would keep requests away from a healthy upstream for good.
class TargetUse
{
public:
    TargetUse(TargetTable &targets, HostId host, Tokens prompt, Urgency urgency = Urgency::InTime);
    ~TargetUse();
    TargetUse(const TargetUse &) = delete;
    TargetUse &operator=(const TargetUse &) = delete;

    // The first event or the answer's head came after `took`. Call once.
    void begin(Duration took, Duration expected, MonotonicTime now);

private:
    TargetTable &m_targets;
    HostId m_host;
    Tokens m_prompt;
    Urgency m_urgency;
    bool m_begun = false;
};

// One request. Lives in its connection's coroutine.
//
// What is thrown on its way, by whatever part, ends it with an answer that is true: execute() does
// not throw unless the answer itself can't be made.
class Run
{
public:
    Run(RunContext &context, HttpExchange &exchange, const IncomingRequest &incoming,
        AdmittedRequest admitted, MonotonicTime arrival);
    virtual ~Run();
    Run(const Run &) = delete;
    Run &operator=(const Run &) = delete;

    // Serves the request to its end.
    void execute(Yield yield);

protected:
    // Tries one upstream. `m_call` is the call in progress.
    virtual AttemptEnd attempt(const Target &target, Yield yield) = 0;

    // Ends the request with an answer of the daemon's own.
    virtual void giveUp(RefusalReason reason, Yield yield);

    // Whether the upstream may be sent the request again after it may have run there.
    bool mayRepeat() const { return m_admitted.route->mayRepeat(); }

    // Whether the request could go to another upstream if the present one fails now.
    bool mayMove(int mayHaveRun) const;

    // The upstream of the next attempt; nothing if there is none.
    virtual std::optional<Target> nextTarget() { return takeTarget(); }

    // The best upstream that this request has not been to; it counts as one from now on.
    std::optional<Target> takeTarget();

    // Why the request ends after an attempt that did not answer it; nothing if it goes on.
    virtual std::optional<RefusalReason> whyNotAgain(AttemptEnd last);

    // Whether servers have ended under this request, so that no other may be sent it. Asked before
    // each send: the word may come from another daemon at any time.
    bool isQuarantined() const;
    SuspectRequest suspect() const;
    // The connection to an upstream ended under the request. Waits until it is known whether the
    // upstream has ended: what is decided next depends on it.
    void noteConnectionEnded(const Target &target, MonotonicTime sentAt, Yield yield);
    // An upstream has answered whole, so the request doesn't crash what runs it.
    void noteAnswered();

    // Ends the work of upstreams for a caller who has gone.
    virtual void cancelCalls();

    // Ends the work of upstreams after an exception, and counts those that may have run it.
    virtual void abandon();

    std::unique_ptr<UpstreamCall> makeCall(const Target &target, const EventId &resumeAfter,
                                           Duration headTimeout, Urgency urgency) const;
    // Of connections to one server, this daemon's part of what the server accepts from all.
    int maxIdleConnections() const;
    // What the failure of a call's start means.
    AttemptEnd endOf(const Status &failure) const;
    // The request was not written, since its server asked for nothing meanwhile.
    void noteWithheld(const Target &target) const;
    // What an upstream's refusal means; also remembers it against the server.
    AttemptEnd noteRefusal(const Target &target, const AnswerHead &head);
    // Sends nothing more there for a while, and lets the planner look after its replica.
    void avoid(const Target &target);
    // Reads the rest of an answer. Errors: Unknown.
    Result<std::string> readWhole(Yield yield);
    Status deliver(const AnswerHead &head, std::string body, Yield yield);

    // Of what the caller asks for, whatever attempt this is. Computed when first asked for: it
    // takes a pass over the body.
    const RequestFingerprint &fingerprint() const;

    MonotonicTime now() const { return m_context.clock.now(); }
    Duration timeLeft() const { return m_admitted.deadline - now(); }
    bool callerGone() const { return m_exchange.callerGone(); }
    void logTarget(const Target &target, Duration expected, Urgency urgency) const;
    void logEnd(const char *event, LogWeight weight, nlohmann::json more) const;
    void logAttempt(const Target &target, const char *what, const std::string &why) const;
    void countEnd(const char *outcome) const;

    RunContext &m_context;
    HttpExchange &m_exchange;
    const IncomingRequest &m_incoming;
    AdmittedRequest m_admitted;
    MonotonicTime m_arrival;
    std::unique_ptr<UpstreamCall> m_call; // Null between two attempts.
    int m_sends = 0; // Upstreams that were sent at least a part of the request.
    int m_mayHaveRun = 0; // Of those, the ones that did not promise the contrary.
    bool m_repeatPaid = false; // The next attempt was taken from the budget already.

private:
    void tryUpstreams(Yield yield);
    void endByFailure(const std::string &why, Yield yield);
    TargetQuery query() const;
    RefusalReason finalReason() const;
    // All that could serve it, also those that accept nothing now.
    std::vector<HostId> possibleHosts() const;
    // Why none of them is sent anything now; nothing if one may be.
    std::optional<RefusalReason> whyWithheld() const;
    // When servers that accept nothing now are expected to; nothing if one does, or none is there.
    std::optional<Duration> untilAccepted();
    // Nothing for reasons that don't promise that the request has not run.
    std::optional<Duration> retryAfter(RefusalReason reason);
    // The part of what the request's servers accept from all daemons that falls to this one.
    RequestRate acceptedPart() const;

    bool m_onTrial = false; // It is held back, and may be sent to one server all the same.
    mutable RequestFingerprint m_fingerprint; // Empty until it was asked for.
    std::set<HostId> m_tried;
    int m_refusals = 0;
};

// A request whose answer is read whole before it is passed on.
class WholeRun : public Run
{
public:
    using Run::Run;

protected:
    AttemptEnd attempt(const Target &target, Yield yield) override;

private:
    Status startCall(const Target &target, Yield yield);
    Duration headPatience() const;
};

// A request that is answered by a stream of events.
//
// A stream that stands still is kept where it is until another upstream has taken it: the others
// may be full, and one that only paused would have ended it.
//
// Watchers are coroutines of their own that refer to the run. After each wait they ask the relay
// they were started for whether it is over, and touch nothing of the run if it is. The run knows
// every relay that isn't over (m_underWay) and its destructor releases what is left of them, so
// that none is missed on any way out.
class StreamRun : public Run
{
public:
    StreamRun(RunContext &context, HttpExchange &exchange, const IncomingRequest &incoming,
              AdmittedRequest admitted, MonotonicTime arrival);
    ~StreamRun() override;

protected:
    AttemptEnd attempt(const Target &target, Yield yield) override;
    std::optional<Target> nextTarget() override;
    std::optional<RefusalReason> whyNotAgain(AttemptEnd last) override;
    void cancelCalls() override;
    void abandon() override;
    void giveUp(RefusalReason reason, Yield yield) override;

private:
    // State of one upstream's stream.
    struct Relay;

    std::shared_ptr<Relay> ask(const Target &target);
    void release(Relay &relay);
    void releaseAll();
    void takeHead(Relay &relay, const HttpCall &call) const;
    void noteNoAnswer(const Relay &relay, const UpstreamCall &call, const Status &failure);
    AttemptEnd relayEvents(Relay &relay, Yield yield);
    bool isWhole(const Relay &relay) const;
    Status passOn(Relay &relay, const std::string &text, Yield yield);
    void watchForStall(const std::shared_ptr<Relay> &relay);
    StreamObservation observe(const Relay &relay) const;
    void logLeft(const Relay &relay, const StreamObservation &stream) const;
    bool shouldLeave(const Relay &relay);
    bool payForMove(const Relay &relay);
    int mayHaveRunWith(const Relay &present) const;
    bool askAnother(const std::shared_ptr<Relay> &present, Yield yield);
    void watchAsked(const std::shared_ptr<Relay> &asked, const std::shared_ptr<Relay> &present);
    bool settle(Relay &asked, const Status &started);
    void awaitAnother(Yield yield);
    void dropAnother();
    // Starts the caller's answer with the head of this upstream's.
    void beginAnswer(const Relay &relay);
    AttemptEnd endStream(Relay &relay, Yield yield);

    // Every upstream that was sent the request and isn't released. Invariant: none of them is over.
    std::vector<std::shared_ptr<Relay>> m_underWay;
    std::shared_ptr<Relay> m_asked; // Another upstream that has not answered yet; null for none.
    std::shared_ptr<Relay> m_taken; // The one that took the stream, until it is the present one.
    Signal m_decided; // m_asked has answered.
    bool m_headSent = false;
    EventId m_lastEvent; // That the caller has; of the request before any came.
    int m_events = 0; // Passed on to the caller.
    MonotonicTime m_firstEventAt;
    MonotonicTime m_lastEventAt;
    Duration m_longestPause {};
};

} // namespace ramphinge
