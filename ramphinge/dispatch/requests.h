// Requests and responses as the request path sees them, independent of the wire format.

#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ramphinge/base/result.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/dispatch/execution_record.h"
#include "ramphinge/fleet/incarnation.h"
#include "ramphinge/net/http_types.h"

namespace ramphinge {

using EventId = Id<struct EventIdTag>; // Of one server-sent event in a stream.

// One attempt of a caller, decoded from the wire format.
struct IncomingRequest
{
    RequestId request;
    std::string host;
    std::string path;
    std::optional<std::string> key; // The client account's secret; never sent to an upstream.
    ModelId model; // Empty for plain services.
    Tokens promptTokens;
    Tokens maxAnswerTokens;
    // In the order of the prompt, each once; the last one belongs to the request or its session.
    // Bounded by the codec, since callers choose how many there are.
    std::vector<PromptPartId> promptParts;
    std::optional<Duration> callerTimeout; // From its sending.
    EventId resumeAfter; // The last event that the caller has received; empty for none.
    HttpRequest message; // As received, without the headers of forwarding.
    DaemonId forwardedBy; // The daemon that forwarded it; empty if it came from its caller.
    // Of a forwarded request: the upstreams that may still execute it, beside its route's limit.
    std::optional<int> attemptsLeft;
    // Of a forwarded request: the daemon that forwarded it holds it for one that may be executed
    // once only.
    bool isAtMostOnce = false;
};

// A request as it is sent to one upstream.
struct OutgoingRequest
{
    const IncomingRequest &incoming;
    AccountId account; // Empty on public routes.
    HostId expectedHost; // No other server, nor another incarnation of it, may execute it.
    Duration timeLeft {}; // Until its deadline.
    EventId resumeAfter; // The stream starts after this event; empty: at the beginning.
    int priority = 5; // 0 is the highest.
};

// Status and headers of an upstream's response.
struct ResponseHead
{
    int status = 0;
    bool refused = false; // The upstream says that it has turned the request away.
    // The request of which the head states that it was not executed; empty if it states that of
    // none, or not of which one.
    std::optional<RequestId> notExecuted;
    bool authentic = false; // Carries the server's proof that it is a complete response of its own.
    bool decoded = false; // An intermediary changed the body: it is not what the server sent.
    ServerName faultyServer; // The server that caused a refusal; empty if none is named.
    std::string evidence; // What the head says of the execution, for logs.
    HttpHeaders headers; // For the caller, without the hop-by-hop headers.
};

// Why the request path ends a request with an error of its own.
enum class RefusalReason {
    UnknownRoute,
    UnknownKey,
    Malformed,
    NoCatalog, // This daemon has no catalog yet.
    StaleCatalog, // This daemon can't prove that the caller's key is still valid.
    NoUpstream, // No upstream can serve it now; not executed.
    Partitioned, // This daemon reaches no upstream, and no daemon that does; not executed.
    Overloaded, // It could not be served in time; not executed.
    OutcomeUnknown, // It was sent and may have been executed, and must not be retried.
    UpstreamFailed, // Every permitted attempt failed.
    DeadlineExceeded,
    RateLimited, // Its servers are at their rate limits; not sent.
    BackingOff, // Its servers have asked for a pause; not sent.
    Quarantined, // Servers have terminated while they ran the same request; this one was not sent.
    SlowSender, // It did not arrive in time; not sent.
    Draining, // This daemon stops before it could be answered; not executed.
    InternalError, // This daemon failed before it sent anything.
};

const char *toString(RefusalReason reason);
// The reason of that name; nothing if there is none, as from a newer daemon.
std::optional<RefusalReason> parseRefusalReason(std::string_view name);

bool isSuccess(int status);

// Whether a response with this status promises its caller that the request was not executed and
// never will be.
bool promisesNotExecuted(int status);
bool promisesNotExecuted(RefusalReason reason);

// The error response for `reason`. Without a guarantee, a reason that promises becomes
// OutcomeUnknown. `retryAfter` is only for reasons that promise.
HttpResponse refusalResponse(RefusalReason reason,
                             const std::optional<NotExecutedGuarantee> &guarantee,
                             std::optional<Duration> retryAfter);

// Translates between the wire format and the types above. Implementations make no decisions.
class RequestCodec
{
public:
    virtual ~RequestCodec() = default;

    // Errors: InvalidInput.
    virtual Result<IncomingRequest> decode(const HttpRequest &message) const = 0;
    virtual HttpRequest encode(const OutgoingRequest &request) const = 0;

    // The request as it is forwarded to another daemon: as received, but with `timeLeft` until its
    // deadline, and resumed after `resumeAfter`.
    virtual HttpRequest encodeForwarded(const IncomingRequest &request, Duration timeLeft,
                                        const EventId &resumeAfter) const = 0;
    virtual ResponseHead decodeResponseHead(int status, const HttpHeaders &headers) const = 0;

    // Whether a response with these headers belongs to the request; true if they name none.
    virtual bool answers(const HttpHeaders &headers, const RequestId &request) const = 0;
};

} // namespace ramphinge
