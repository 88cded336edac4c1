// Reads what a server says of itself out of an answer's head.

#pragma once

#include "ramphinge/limits/server_statement.h"
#include "ramphinge/net/http_types.h"

namespace ramphinge {

class StatementDecoder
{
public:
    virtual ~StatementDecoder() = default;

    // Of an answer to a request that named the life of the server it was sent to. `now` turns
    // points in time into spans.
    virtual ServerStatement decode(int status, const HttpHeaders &headers, WallTime now) const = 0;
};

} // namespace ramphinge
