// Drives the handover of one account's work from one side of a migration to the other.
//
// It keeps no state: each run looks at both sides and makes the next steps, so that a run that was
// lost anywhere is simply repeated. Every step is an ordinary change of configuration on one side.

#pragma once

#include <functional>
#include <string>

#include "ctl/admin_client.h"

namespace ramphinge {

struct HandoverRequest
{
    std::string account;
    bool abort = false; // Back to the giving side, if it has not let go yet.
    Duration drainLimit = std::chrono::seconds(120);
};

// `say` is told of each step. Errors: what stopped it; run it again to go on.
Status handOver(AdminClient &from, AdminClient &to, const HandoverRequest &request,
                const std::function<void(const std::string &)> &say);

} // namespace ramphinge
