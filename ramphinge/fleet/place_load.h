// What daemons have under way at one place that takes requests: as one daemon knows it of itself,
// or summed over many.

#pragma once

#include <cstdint>
#include <vector>

#include "ramphinge/base/ids.h"

namespace ramphinge {

struct PlaceLoad
{
    HostId host; // The server, or a replica's head.
    int running = 0; // Requests that were sent and have not ended, without late ones that wait.
    std::int64_t waitingPrompt = 0; // Tokens of those that have not begun.
};

using PlaceLoads = std::vector<PlaceLoad>;

} // namespace ramphinge
