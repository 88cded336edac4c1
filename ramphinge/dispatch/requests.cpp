// Error responses of the request path: see requests.h.

#include "ramphinge/dispatch/requests.h"

#include <cstdio>

#include <nlohmann/json.hpp>

namespace ramphinge {

namespace {

struct RefusalText
{
    const char *name;
    int status;
    const char *message;
};

RefusalText textOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownRoute:
        return { "unknown_route", 404, "no route of this host begins the path; check the address" };
    case RefusalReason::UnknownKey:
        return { "unknown_key", 401, "no client account holds this key; use a current one" };
    case RefusalReason::Malformed:
        return { "malformed", 400, "the request can't be read; see the message" };
    case RefusalReason::NoCatalog:
        return { "no_configuration", 503, "this daemon is starting; it has not run, ask again" };
    case RefusalReason::StaleCatalog:
        return { "stale_configuration", 503,
                 "this daemon can't check the key now; it has not run, ask another daemon" };
    case RefusalReason::NoUpstream:
        return { "no_upstream", 503, "nothing can serve this now; it has not run, come back" };
    case RefusalReason::Partitioned:
        return { "partitioned", 503,
                 "this daemon reaches no server now; it has not run, ask another daemon" };
    case RefusalReason::Overloaded:
        return { "overloaded", 429, "no capacity in time; it has not run, come back" };
    case RefusalReason::RateLimited:
        return { "rate_limited", 429, "its servers accept no more now; it has not run, come back" };
    case RefusalReason::BackingOff:
        return { "servers_backing_off", 503,
                 "its servers have asked for no requests; it has not run, come back" };
    case RefusalReason::OutcomeUnknown:
        return { "outcome_unknown", 502, "it may have run; check before asking again" };
    case RefusalReason::UpstreamFailed:
        return { "upstream_failed", 502, "every attempt failed" };
    case RefusalReason::DeadlineExceeded:
        return { "deadline_exceeded", 504, "no answer in time; it may have run" };
    case RefusalReason::Quarantined:
        return {
            "quarantined", 429,
            "servers ended under this very request, so it is held back; this attempt has not run. "
            "Change the request, or ask the operators"
        };
    case RefusalReason::SlowSender:
        return { "sender_too_slow", 408,
                 "it did not arrive in time; it has not run, send it again" };
    case RefusalReason::Draining:
        return { "draining", 503, "this daemon is stopping; it has not run, ask another daemon" };
    case RefusalReason::InternalError:
        return { "internal_error", 503, "this daemon failed on it; it has not run, see the log" };
    }
    return { "upstream_failed", 502, "every attempt failed" };
}

std::string formatSeconds(Duration duration)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f", toMilliseconds(duration) / 1000);
    return text.data();
}

} // namespace

const char *toString(RefusalReason reason)
{
    return textOf(reason).name;
}

std::optional<RefusalReason> parseRefusalReason(std::string_view name)
{
    for (int value = 0; value <= static_cast<int>(RefusalReason::InternalError); ++value) {
        const auto reason = static_cast<RefusalReason>(value);
        if (name == toString(reason))
            return reason;
    }
    return std::nullopt;
}

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

bool promisesNotExecuted(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool promisesNotExecuted(RefusalReason reason)
{
    return promisesNotExecuted(textOf(reason).status);
}

HttpResponse refusalResponse(RefusalReason reason,
                             const std::optional<NotExecutedGuarantee> &guarantee,
                             std::optional<Duration> retryAfter)
{
    if (promisesNotExecuted(reason) && !guarantee)
        return refusalResponse(RefusalReason::OutcomeUnknown, guarantee, std::nullopt);
    const RefusalText text = textOf(reason);
    const nlohmann::json body { { "error",
                                  { { "type", text.name }, { "message", text.message } } } };
    HttpResponse response = jsonResponse(text.status, body.dump());
    if (retryAfter)
        response.headers.add("Retry-After", formatSeconds(*retryAfter));
    return response;
}

} // namespace ramphinge
