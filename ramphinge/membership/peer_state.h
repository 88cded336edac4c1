// What daemons tell each other about themselves.

#pragma once

#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// How a daemon stands with the platform.
enum class Registration {
    Registered, // Its lease is current; changes wait for its confirmation.
    Unregistered, // Its lease has lapsed, and it promises not to win a new one for `promise`.
    Rejoining, // It can reach the platform again, but has not registered yet.
};

const char *toString(Registration registration);

// One peer as last heard from.
struct PeerState
{
    DaemonId daemon;
    ZoneId zone;
    Endpoint peers;
    Endpoint administration;
    std::string incarnation; // New with each start of the process.
    Registration registration = Registration::Unregistered;
    std::int64_t configVersion = 0; // Of the accepted configuration it has; 0 is none.
    std::int64_t preparedVersion = 0; // Of a proposal it confirmed and knows no decision of; or 0.
    MonotonicTime heardAt; // By the local clock.
};

} // namespace ramphinge
