// What daemons have under way, and how much work they are asked for: as one daemon knows it of
// itself, or summed over many.

#pragma once

#include <cstdint>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/fleet/model_work.h"

namespace ramphinge {

struct PlaceLoad
{
    HostId host; // The server, or a replica's head.
    int running = 0; // Requests that were sent and have not ended, without late ones that wait.
    std::int64_t waitingPrompt = 0; // Tokens of those that have not begun.
};

using PlaceLoads = std::vector<PlaceLoad>;

// What daemons tell each other.
struct SharedLoad
{
    PlaceLoads places; // Without those where nothing is.
    WorkByModel work;
};

} // namespace ramphinge
