// Interface for checking whether a server process is alive.

#pragma once

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/upstream_server.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

enum class ProbeVerdict {
    Alive, // It responded.
    Ended, // Nothing listens at its address, or another server or a later incarnation does.
    // The connection failed, or broke before a response: the server may be unreachable, or reset
    // new connections.
    Unknown,
};

class ServerProbe
{
public:
    virtual ~ServerProbe() = default;

    // Probes that incarnation of a server; returns within `timeout`.
    virtual ProbeVerdict probe(const ServerAddress &server, Duration timeout, Yield yield) = 0;

    // Whether anything at the server's address responds on a new connection within `timeout`.
    virtual bool responds(const ServerAddress &server, Duration timeout, Yield yield) = 0;
};

} // namespace ramphinge
