// Rate-limited log lines for decisions. Each event has a token bucket of its own; lines beyond its
// rate are left out and counted, and reportLeftOut() logs the counts (the daemon calls it once a
// second). Failures have a separate rate, so that served requests can't crowd them out.
//
//   log.write("target_chosen", LogWeight::Routine, { { "request", id }, { "host", host } });

#pragma once

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "ramphinge/base/time.h"

namespace ramphinge {

enum class LogWeight {
    Routine, // A step of a request that goes well.
    Failure, // A request that failed, was refused or retried.
    Belief, // A change of the daemon's state or view of the fleet. Never left out.
};

struct DecisionLogOptions
{
    double routinePerSecond = 60; // Lines of one event.
    double failuresPerSecond = 120;
};

// Not thread-safe: used on the event loop only.
class DecisionLog
{
public:
    DecisionLog(const Clock &clock, DecisionLogOptions options) : m_clock(clock), m_options(options)
    { }

    // `event` must be a string literal: a crash report may name it later. It is recorded for the
    // crash report also if its line is left out.
    void write(const char *event, LogWeight weight, nlohmann::json fields);

    // Logs how many lines of each event were left out since the last call, if any were.
    void reportLeftOut();

    // Returns how many lines of `event` were left out since the last report.
    std::int64_t leftOut(const std::string &event) const;

private:
    struct Bucket
    {
        double tokens = 0;
        MonotonicTime refilledAt;
        std::int64_t leftOut = 0;
    };

    // Takes a token from `bucket`, refilled at `perSecond`; counts the line as left out if there
    // is none.
    bool takeToken(Bucket &bucket, double perSecond);

    const Clock &m_clock;
    DecisionLogOptions m_options;
    std::map<std::string, Bucket> m_buckets;
};

} // namespace ramphinge
