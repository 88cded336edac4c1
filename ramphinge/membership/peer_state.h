// The state that daemons send each other about themselves.

#pragma once

#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// A daemon's registration at the platform.
enum class Registration {
    Registered, // Its lease is valid; changes need its confirmation.
    Unregistered, // Its lease has expired; it doesn't register within 2 * ServingOptions::promise.
    Rejoining, // It reaches the platform again, but has not registered yet.
};

const char *toString(Registration registration);

// A peer's state as last received.
struct PeerState
{
    DaemonId daemon;
    ZoneId zone;
    Endpoint peers;
    Endpoint administration;
    std::string incarnation; // New with each start of the process.
    Registration registration = Registration::Unregistered;
    std::int64_t configVersion = 0; // Of its accepted configuration; 0 if none.
    std::int64_t preparedVersion = 0; // Of a confirmed proposal whose decision is unknown; or 0.
    MonotonicTime heardAt; // By the local clock.
};

} // namespace ramphinge
