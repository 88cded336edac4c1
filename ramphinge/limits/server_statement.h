// What a server states about itself along with an answer (rate limit, backoff, leaving),
// independent of the wire format.

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
    // Whether the answer comes from the server itself and its head is complete. Only then does a
    // missing field mean that the server doesn't state it.
    bool isAuthentic = false;
    // Rate that the server accepts from all daemons together; empty if it states no limit.
    std::optional<RequestRate> rateLimit;
    // Period in which the server wants no request from this daemon; empty if it states none.
    std::optional<Duration> backoff;
    bool isLeaving = false; // It shuts down soon; this incarnation must get no new requests.
    std::set<StatementField> unreadable; // Fields that were present with an invalid value.
};

} // namespace ramphinge
