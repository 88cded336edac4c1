// Checks histories of real runs: the callers' responses, what the stand-ins executed, and the
// daemons' events. There is one function for each property that such histories can decide.
//
// A result states how many cases were checked, since a property without cases is not proved.

#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct History
{
    std::vector<nlohmann::json> executions; // By the stand-ins, in order; "at_us".
    std::vector<nlohmann::json> tries; // By the load client; "at_ms" is when the try ended.
    std::vector<nlohmann::json> events; // By the daemons; "ms".
    std::vector<nlohmann::json> faults; // By the failure run; "at_us", "kind", "target".
};

// Reads JSON lines. A truncated last line, as a killed process leaves, is ignored. Errors:
// NotFound, InvalidInput.
Result<std::vector<nlohmann::json>> readLines(const std::string &path);

struct Judgement
{
    std::string property;
    std::int64_t cases = 0;
    std::vector<std::string> violations;
};

struct HistoryBounds
{
    Duration configInForce = std::chrono::seconds(5);
    // From a host's death to the last new request for its replica.
    Duration deadHost = std::chrono::milliseconds(1000);
    // From a host's departure to the last new request for its replica, including the list's lag.
    Duration leavingHost = std::chrono::milliseconds(2500);
};

// A request under a key runs at most once.
Judgement judgeAtMostOnce(const History &history);

// A request that was answered "not run" did not run.
Judgement judgeNotRun(const History &history);

// Responses are complete and belong to the caller's request.
Judgement judgeAnswers(const History &history);

// At the start of each run, every host of the replica had been ordered into it at its epoch, and
// into no other since. Runs that their sender had abandoned before they began are ignored, here and
// in judgeMissingHosts.
Judgement judgeHostsInOneReplica(const History &history);

// No run starts on a replica with a host that has been dead or leaving for longer than the bound.
Judgement judgeMissingHosts(const History &history, const HistoryBounds &bounds);

// The configuration version of a process never decreases, and no process sends a request under one
// that was replaced longer ago than the bound.
Judgement judgeConfiguration(const History &history, const HistoryBounds &bounds);

// No response was lost or uncertain; for runs whose only faults are planned stops.
Judgement judgeNothingLost(const History &history);

} // namespace ramphinge
