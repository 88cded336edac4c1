// Interface for reading a server's statement about itself (rate limit, backoff, shutdown) from a
// response's head.

#pragma once

#include "ramphinge/limits/server_statement.h"
#include "ramphinge/net/http_types.h"

namespace ramphinge {

class StatementDecoder
{
public:
    virtual ~StatementDecoder() = default;

    // Decodes the head of a response to a request that named the server's incarnation. `now`
    // converts points in time to durations.
    virtual ServerStatement decode(int status, const HttpHeaders &headers, WallTime now) const = 0;
};

} // namespace ramphinge
