// Logs the steps of a process's start, each once, with the time that has passed since it began:
// they show where a start waits.
//
//   StartSteps steps(clock, log);
//   steps.reached("view", { { "relayed", true } });

#pragma once

#include <set>
#include <string>

#include "ramphinge/observe/decision_log.h"

namespace ramphinge {

// Not thread-safe: used on the event loop only.
class StartSteps
{
public:
    // The start begins now.
    StartSteps(const Clock &clock, DecisionLog &log)
        : m_clock(clock), m_log(log), m_startedAt(clock.now())
    { }

    // Logs `start_step` with the step, `after_ms` and `fields` the first time, and returns true;
    // later calls for the same step do nothing.
    bool reached(const std::string &step, nlohmann::json fields = nlohmann::json::object());

private:
    const Clock &m_clock;
    DecisionLog &m_log;
    MonotonicTime m_startedAt;
    std::set<std::string> m_reached;
};

} // namespace ramphinge
