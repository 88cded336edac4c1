// Hands one account's work over from the source side of a migration to the destination side.
//
// Keeps no state: each run reads the phase of both sides and carries out the remaining steps, so
// that an interrupted run can simply be repeated. Each step is an ordinary configuration change on
// one side.

#pragma once

#include <functional>
#include <string>

#include "ctl/admin_client.h"

namespace ramphinge {

struct HandoverRequest
{
    std::string account;
    bool abort = false; // Return the account to the source side, if it has not released it yet.
    Duration drainLimit = std::chrono::seconds(120);
};

// Calls `reportStep` with a description of each step. Returns the error that interrupted the
// handover; call it again to continue.
Status handOver(AdminClient &from, AdminClient &to, const HandoverRequest &request,
                const std::function<void(const std::string &)> &reportStep);

} // namespace ramphinge
