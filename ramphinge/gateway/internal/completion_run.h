// One completion from its place in the queue to the caller's last byte, over as many attempts as
// the rules allow. Internal to the gateway library.

#pragma once

#include "ramphinge/gateway/internal/context.h"
#include "ramphinge/gateway/sse_relay.h"

namespace ramphinge::internal {

class CompletionRun
{
public:
    CompletionRun(GatewayContext &context, HttpExchange &exchange, CompletionRequest request);

    void run(Yield yield);

private:
    // How an attempt ended.
    enum class AttemptEnd {
        Whole, // The caller has its answer.
        CallerGone,
        NotRun, // Certainly not run there: no connection, or the engine is not that replica (any
                // more).
        Broke, // Sent, and broke off or came back wrong.
        Refused, // The engine answered with an error of the request's own; passed on.
    };

    bool acquirePlace(Yield yield);
    void runAttempts(Yield yield);
    bool mayTryAgain(AttemptEnd end);
    std::optional<ReplicaEntry> chooseReplica(Yield yield);
    AttemptEnd attempt(const ReplicaEntry &replica, Yield yield);
    AttemptEnd receive(HttpCall &call, const ReplicaEntry &replica, Yield yield);
    AttemptEnd receiveWhole(HttpCall &call, const ReplicaEntry &replica, Yield yield);
    AttemptEnd receiveStream(HttpCall &call, const ReplicaEntry &replica, Yield yield);
    AttemptEnd brokeOrGone() const;
    bool answerIsOurs(const HttpCall &call, const ReplicaEntry &replica);
    HttpRequest upstreamRequest(const ReplicaEntry &replica) const;
    void noteFirstToken(const ReplicaEntry &replica);
    void finish(const ReplicaEntry &replica, std::int64_t answerTokens);
    void giveUp(Failure failure, Yield yield);
    Duration timeLeft() const;
    Outcome outcomeSoFar() const { return m_mayHaveRun ? Outcome::Unknown : Outcome::NotRun; }

    GatewayContext &m_context;
    HttpExchange &m_exchange;
    CompletionRequest m_request;
    ModelPool &m_pool;
    KeyClaim m_claim;
    Ticket m_ticket;
    SseRelay m_relay;
    std::vector<ReplicaId> m_tried;
    int m_attempts = 0;
    bool m_mayHaveRun = false; // Some attempt's request may have reached an engine.
    bool m_streamBegun = false; // The caller has got the head of its stream.
    bool m_callerGone = false;
    HttpCall *m_call = nullptr; // The attempt in progress.
    MonotonicTime m_sentAt;
    bool m_sawFirstToken = false; // Of the present attempt.
    std::string m_keptBody; // What a later try with the same key would get.
    std::int64_t m_answerTokens = 0; // For the account's charge.
};

} // namespace ramphinge::internal
