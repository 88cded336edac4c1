// What a server says of itself beside an answer, whatever the wire calls it.

#pragma once

#include <optional>
#include <set>

#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

enum class StatementField { RateLimit, Backoff, Leaving };

const char *toString(StatementField field);

struct ServerStatement
{
    // Whether the answer is the server's own and whole in its head. Only then does it say something
    // that a field is missing.
    bool isAuthentic = false;
    // The most that the server accepts from all daemons together; nothing if it states no limit.
    std::optional<RequestRate> rateLimit;
    // The server wants no request from this daemon for so long; nothing if it doesn't ask for it.
    std::optional<Duration> backoff;
    bool isLeaving = false; // It ends soon, and is to get nothing new in this life.
    std::set<StatementField> unreadable; // Fields that were there with a value that can't be.
};

} // namespace ramphinge
