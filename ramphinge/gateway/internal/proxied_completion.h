// One completion, from the queue to the last byte sent to the caller, with retries on other
// replicas and resumption of broken streams. Internal to the gateway library.

#pragma once

#include "ramphinge/gateway/internal/context.h"
#include "ramphinge/gateway/sse_relay.h"

namespace ramphinge::internal {

class ProxiedCompletion
{
public:
    ProxiedCompletion(GatewayContext &context, HttpExchange &exchange, CompletionRequest request);

    void run(Yield yield);

private:
    // How an attempt ended.
    enum class AttemptResult {
        Completed, // The caller has the complete answer.
        CallerGone, // The caller disconnected.
        NotRun, // Certainly not run: no connection, or the engine does not serve that replica (any
                // more).
        Failed, // Sent, but the answer broke off or is invalid.
        UpstreamError, // The engine answered with an error status, which was forwarded.
    };

    bool acquireSlot(Yield yield);
    void runAttempts(Yield yield);
    bool mayRetry(AttemptResult end);
    std::optional<ReplicaEntry> chooseReplica(Yield yield);
    AttemptResult attempt(const ReplicaEntry &replica, Yield yield);
    AttemptResult receive(HttpCall &call, const ReplicaEntry &replica, Yield yield);
    AttemptResult receiveBuffered(HttpCall &call, const ReplicaEntry &replica, Yield yield);
    AttemptResult receiveStream(HttpCall &call, const ReplicaEntry &replica, Yield yield);
    AttemptResult failedOrCallerGone() const;
    bool matchesAttempt(const HttpCall &call, const ReplicaEntry &replica);
    HttpRequest upstreamRequest(const ReplicaEntry &replica) const;
    void recordFirstToken(const ReplicaEntry &replica);
    void finish(const ReplicaEntry &replica, std::int64_t answerTokens);
    void failRequest(Failure failure, Yield yield);
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
    bool m_mayHaveRun = false; // A request may have reached an engine.
    bool m_streamBegun = false; // The response headers were sent to the caller.
    bool m_callerGone = false;
    HttpCall *m_call = nullptr; // The attempt in progress; null if there is none.
    MonotonicTime m_sentAt;
    bool m_sawFirstToken = false; // Of the current attempt.
    std::string m_keptBody; // Replayed to later tries with the same key.
    std::int64_t m_answerTokens = 0; // Charged to the account.
};

} // namespace ramphinge::internal
