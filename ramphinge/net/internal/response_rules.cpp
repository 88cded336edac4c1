// The rules for response heads: see response_rules.h.

#include "ramphinge/net/internal/response_rules.h"

#include "ramphinge/net/internal/request_rules.h"

namespace ramphinge {

namespace {

constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr int minFinalStatus = 200;
constexpr int switchingProtocols = 101; // Only valid if the request asked for it; none does.

} // namespace

bool hasFoldedLine(std::string_view fields)
{
    for (const std::string_view fold : { "\r\n ", "\r\n\t" }) {
        if (fields.find(fold) != std::string_view::npos)
            return true;
    }
    return false;
}

bool isInterim(int status)
{
    return status >= minStatus && status < minFinalStatus;
}

std::optional<const char *> headFault(int status, const HttpHeaders &headers)
{
    if (status < minStatus || status > maxStatus)
        return "its status is invalid";
    if (status == switchingProtocols)
        return "it switches to a protocol that was not asked for";
    const bool announcesBody =
        headers.count("Content-Length") > 0 || headers.count("Transfer-Encoding") > 0;
    if (isInterim(status) && announcesBody)
        return "an interim response has no body";
    if (!hasKnownCoding(headers))
        return "its transfer coding is unknown";
    return std::nullopt;
}

} // namespace ramphinge
