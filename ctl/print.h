// What people see: status on one screen, the time line in order, differences.

#pragma once

#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

namespace ramphinge {

// One answer of a daemon's status call each; null for daemons that did not answer.
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

// The trace-event format that browsers' trace viewers open: one row a daemon, requests as spans.
nlohmann::json traceOf(const std::vector<nlohmann::json> &events);

} // namespace ramphinge
