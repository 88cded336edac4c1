// Asks a server whether it is still there.

#pragma once

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/upstream_server.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

enum class ProbeVerdict {
    Lives, // It answered.
    Ended, // Nobody listens at its address, or another server or a later life of it does.
    // No connection, or none that lasted for an answer: it may be cut off, or turn connections
    // away.
    Unknown,
};

class ServerProbe
{
public:
    virtual ~ServerProbe() = default;

    // What became of that life of a server, known within `timeout`.
    virtual ProbeVerdict probe(const ServerAddress &server, Duration timeout, Yield yield) = 0;
};

} // namespace ramphinge
