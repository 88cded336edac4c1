// The rules for response heads: see response_rules.h.

#include "ramphinge/net/internal/response_rules.h"

namespace ramphinge {

namespace {

constexpr int minStatus = 100;
constexpr int maxStatus = 599;
constexpr int minFinalStatus = 200;

} // namespace

bool isInterim(int status)
{
    return status >= minStatus && status < minFinalStatus;
}

std::optional<const char *> headFault(int status, const HttpHeaders & /*headers*/)
{
    if (status < minStatus || status > maxStatus)
        return "its status is invalid";
    return std::nullopt;
}

} // namespace ramphinge
