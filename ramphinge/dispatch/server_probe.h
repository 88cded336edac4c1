// Asks a server whether it is still there.

#pragma once

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

class ServerProbe
{
public:
    virtual ~ServerProbe() = default;

    // Whether the life of a server that `host` names answers at `endpoint` within `timeout`. A
    // later life of its name at the same address is another one.
    virtual bool lives(const HostId &host, const Endpoint &endpoint, Duration timeout,
                       Yield yield) = 0;
};

} // namespace ramphinge
