// Requests and answers as the request path knows them, whatever the wire calls their parts.

#pragma once

#include <optional>
#include <string>

#include "ramphinge/base/result.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/fleet/incarnation.h"
#include "ramphinge/net/http_types.h"

namespace ramphinge {

using EventId = Id<struct EventIdTag>; // Of one event in a stream of events.

// One attempt of a caller, decoded.
struct IncomingRequest
{
    RequestId request;
    std::string host;
    std::string path;
    std::optional<std::string> key; // The client account's secret; never passed on.
    ModelId model; // Empty for plain services.
    Tokens promptTokens;
    Tokens maxAnswerTokens;
    std::optional<Duration> patience; // How long the caller will wait, from its sending.
    EventId resumeAfter; // The last event that the caller already has; empty for none.
    HttpRequest message; // As received.
};

// What one upstream is sent.
struct OutgoingRequest
{
    const IncomingRequest &incoming;
    AccountId account; // Empty on public routes.
    HostId expectedHost; // No other server may run it.
    Duration timeLeft {};
    EventId resumeAfter; // Empty: from the beginning.
    int priority = 5; // 0 is first.
};

// The head of an upstream's answer.
struct AnswerHead
{
    int status = 0;
    bool notExecuted = false; // The server promises that the request has not run there.
    bool authentic = false; // Carries the server's proof that it is a whole answer of its own.
    bool decoded = false; // The body has been transformed on the way: not the server's bytes.
    ServerName faultyServer; // The server that a refusal is about; empty if it says nothing.
    HttpHeaders headers; // For the caller: without those of one connection.
};

// Why the request path ends a request itself.
enum class RefusalReason {
    UnknownRoute,
    UnknownKey,
    Malformed,
    NoCatalog, // This daemon knows no configuration yet.
    StaleCatalog, // It can't prove that the caller's key is still valid.
    NoUpstream, // Nothing can serve it now; nothing has run.
    Overloaded, // It could not be served in time; nothing has run.
    OutcomeUnknown, // Sent, and may have run; it may not be repeated.
    UpstreamFailed, // Every permitted attempt failed.
    DeadlineExceeded,
    RateLimited, // Its servers accept no more now; nothing was sent.
    BackingOff, // Its servers have asked for nothing for a while; nothing was sent.
    Quarantined, // Servers ended under the same request before; this attempt was not sent.
    InternalError, // This daemon failed on it before anything was sent.
};

const char *toString(RefusalReason reason);

// The answer that the request path gives itself. `retryAfter` goes with reasons that promise that
// nothing has run.
HttpResponse refusalAnswer(RefusalReason reason, std::optional<Duration> retryAfter);

// Translates between the wire and the types above. Implementations decide nothing.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;

    // Errors: InvalidInput.
    virtual Result<IncomingRequest> decode(const HttpRequest &message) const = 0;
    virtual HttpRequest encode(const OutgoingRequest &request) const = 0;
    virtual AnswerHead decodeAnswer(int status, const HttpHeaders &headers) const = 0;

    // Whether an answer's head belongs to the request. One that names no request does.
    virtual bool answers(const HttpHeaders &headers, const RequestId &request) const = 0;
};

} // namespace ramphinge
