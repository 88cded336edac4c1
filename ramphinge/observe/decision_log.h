// Log lines for decisions, bounded in number: each kind of line has a rate, and what was left out
// is counted and told once a second. Lines about failures have a rate of their own, so that served
// requests can't crowd them out.
//
//   log.write("target_chosen", LogWeight::Routine, { { "request", id }, { "host", host } });

#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/time.h"

namespace ramphinge {

enum class LogWeight {
    Routine, // A served request's way.
    Failure, // A request that failed, was refused or repeated.
    Belief, // What the daemon believes has changed. Never left out.
};

struct DecisionLogOptions
{
    double routinePerSecond = 60; // Lines of one kind.
    double failuresPerSecond = 120;
};

// Not thread-safe: lives on the request loop.
class DecisionLog
{
public:
    DecisionLog(const Clock &clock, DecisionLogOptions options) : m_clock(clock), m_options(options)
    { }

    // `event` is a string literal: a crash report may still name it.
    void write(const char *event, LogWeight weight, nlohmann::json fields);

    // Tells how many lines of which kind were left out since the last call; nothing if none were.
    void reportLeftOut();

    // Lines of that kind that were left out since the last report.
    std::int64_t leftOut(const std::string &event) const;

private:
    struct Kind
    {
        double tokens = 0;
        MonotonicTime refilledAt;
        std::int64_t leftOut = 0;
    };

    bool mayWrite(Kind &kind, double perSecond);

    const Clock &m_clock;
    DecisionLogOptions m_options;
    std::map<std::string, Kind> m_kinds;
};

} // namespace ramphinge
