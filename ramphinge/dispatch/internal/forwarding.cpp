// Headers of forwarded requests: see forwarding.h.

#include "ramphinge/dispatch/internal/forwarding.h"

#include <algorithm>
#include <array>
#include <charconv>

#include "ramphinge/base/text.h"

namespace ramphinge {

namespace {

constexpr const char *forwardedByHeader = "Ramphinge-Forwarded-By"; // The daemon's name.
constexpr const char *attemptsHeader = "Ramphinge-Attempts-Left";
constexpr const char *atMostOnceHeader = "Ramphinge-At-Most-Once"; // "1", or absent.
constexpr const char *refusalHeader = "Ramphinge-Refusal"; // The reason's name.
constexpr const char *sendsHeader = "Ramphinge-Sends";
constexpr const char *unexecutedHeader = "Ramphinge-Unexecuted"; // The request's id.
constexpr const char *retryAfterHeader = "Retry-After"; // Seconds, with a fraction.
constexpr double maxRetryAfterSeconds = 3600;

std::optional<int> numberOf(const HttpHeaders &headers, std::string_view name)
{
    const auto field = headers.find(name);
    int number = 0;
    if (!field
        || std::from_chars(field->data(), field->data() + field->size(), number).ec != std::errc()
        || number < 0)
        return std::nullopt;
    return number;
}

std::optional<Duration> retryAfterOf(const HttpHeaders &headers)
{
    const auto field = headers.find(retryAfterHeader);
    if (!field)
        return std::nullopt;
    const std::optional<double> seconds = parseDecimal(*field);
    if (!seconds)
        return std::nullopt;
    return scaled(std::chrono::seconds(1), std::min(*seconds, maxRetryAfterSeconds));
}

bool isForwardHeader(std::string_view name)
{
    constexpr std::array names { forwardedByHeader, attemptsHeader, atMostOnceHeader };
    return std::any_of(names.begin(), names.end(),
                       [name](const char *other) { return sameIgnoringCase(name, other); });
}

// Statuses with which daemons turn a request away.
bool isRefusal(int status)
{
    return status >= 400 && (status < 500 || status == 503);
}

} // namespace

void addForwardHeaders(HttpRequest &message, const DaemonId &forwardedBy, int attemptsLeft,
                       Repeatability repeatability)
{
    message.headers.replace(forwardedByHeader, forwardedBy.text());
    message.headers.replace(attemptsHeader, std::to_string(attemptsLeft));
    if (repeatability == Repeatability::AtMostOnce)
        message.headers.replace(atMostOnceHeader, "1");
}

void takeForwardHeaders(IncomingRequest &request)
{
    const HttpHeaders received = std::move(request.message.headers);
    request.forwardedBy = DaemonId(std::string(received.find(forwardedByHeader).value_or("")));
    if (request.forwardedBy.empty())
        request.forwardedBy = DaemonId("another daemon");
    request.attemptsLeft = std::max(1, numberOf(received, attemptsHeader).value_or(1));
    request.isAtMostOnce = received.find(atMostOnceHeader).has_value();
    request.message.headers = {};
    for (const HttpHeader &field : received.fields()) {
        if (!isForwardHeader(field.name))
            request.message.headers.add(field.name, field.value);
    }
}

void addRefusalHeaders(HttpResponse &response, RefusalReason reason, int sends,
                       const std::optional<RequestId> &notExecuted)
{
    response.headers.add(refusalHeader, toString(reason));
    response.headers.add(sendsHeader, std::to_string(sends));
    if (notExecuted)
        response.headers.add(unexecutedHeader, notExecuted->text());
}

ForwardRefusal decodeForwardRefusal(int status, const HttpHeaders &headers)
{
    ForwardRefusal refusal;
    if (const auto name = headers.find(refusalHeader))
        refusal.reason = parseRefusalReason(*name);
    refusal.sends = numberOf(headers, sendsHeader).value_or(0);
    refusal.retryAfter = retryAfterOf(headers);
    refusal.isRefusal = isRefusal(status);
    if (headers.count(unexecutedHeader) == 1)
        refusal.notExecuted = RequestId(std::string(*headers.find(unexecutedHeader)));
    return refusal;
}

} // namespace ramphinge
