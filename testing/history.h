// Judges histories of real runs: what callers were told, what the stand-ins really ran, what the
// daemons said they did. Each property of the brief that such histories can decide is one function.
//
// A judgement says how many cases it looked at: a property that was judged on nothing proves
// nothing.

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

// JSON lines; a last line that was cut short by a kill is left out. Errors: NotFound, InvalidInput.
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
    // From a host's leaving to the last new request for its replica, the list's lag included.
    Duration leavingHost = std::chrono::milliseconds(2500);
};

// A request under a key runs at most once.
Judgement judgeAtMostOnce(const History &history);

// Whoever was told "not run": it was not.
Judgement judgeNotRun(const History &history);

// Answers are whole and to the caller's own request.
Judgement judgeAnswers(const History &history);

// At the start of each run, every host of the replica had been ordered into it, at its epoch, and
// into nothing else since. Runs whose sender had given them up before they began serve nobody and
// are passed over, here and in judgeMissingHosts.
Judgement judgeHostsInOneReplica(const History &history);

// No run starts on a replica, one of whose hosts has been dead or leaving for longer than the
// bound.
Judgement judgeMissingHosts(const History &history, const HistoryBounds &bounds);

// Each process's configuration never goes back; and none sends a request under one that was
// replaced longer ago than the bound.
Judgement judgeConfiguration(const History &history, const HistoryBounds &bounds);

// No answer was lost or unsure: for runs whose only faults are planned stops.
Judgement judgeNothingLost(const History &history);

} // namespace ramphinge
