// The requests that daemons have in progress at each target, the work that callers ask for, and the
// request rates of client accounts: of one daemon, or summed over many.

#pragma once

#include <cstdint>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/fleet/account_load.h"
#include "ramphinge/fleet/model_work.h"

namespace ramphinge {

struct TargetLoad
{
    HostId host; // A plain server, or a replica's head.
    int running = 0; // Requests sent and not ended, except late ones that wait.
    std::int64_t waitingPrompt = 0; // Prompt tokens of requests that have not begun.
};

using TargetLoads = std::vector<TargetLoad>;

// The load that daemons report to each other.
struct SharedLoad
{
    TargetLoads targetLoads; // Without idle ones.
    WorkByModel work;
    AccountLoads accounts {}; // Of services whose streams are admitted by model only.
};

} // namespace ramphinge
