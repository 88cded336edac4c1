// Human-readable output of statuses, configuration differences, history and timeline events.

#pragma once

#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

namespace ramphinge {

// A daemon's answer to a status call; `status` is null and `error` set if the call failed.
struct DaemonStatus
{
    std::string server;
    nlohmann::json status;
    std::string error;
};

void printStatus(const std::vector<DaemonStatus> &all, std::ostream &out);
void printDiff(const nlohmann::json &diff, std::ostream &out);
void printHistory(const nlohmann::json &history, std::ostream &out);
void printEvents(const std::vector<nlohmann::json> &events, std::ostream &out);

// Converts events to the trace-event format of browsers' trace viewers, with one row per daemon and
// requests as spans.
nlohmann::json traceOf(const std::vector<nlohmann::json> &events);

} // namespace ramphinge
