// One daemon's part of a bound on retries over all daemons, enforced without coordination.
//
// The bound: in any window, retries <= ratio x requests + slack, summed over all daemons. It holds
// if each daemon keeps retries <= ratio x its own requests + its part of the slack. That part is
// less than slack / daemons, since a daemon that restarts loses the record of what it used, and it
// is available only after the daemon has run for one window. The number of daemons comes from
// registrations, which lapse while the store is unavailable, so it never decreases here.
//
//   budget.onRequest(now);
//   if (failed && budget.take(now)) sendAgain();

#pragma once

#include <deque>

#include "ramphinge/base/time.h"

namespace ramphinge {

struct SharedRetryBudgetOptions
{
    double ratio = 0.2; // Retries per request.
    double slack = 10; // Additional retries per window, over all daemons.
    Duration window = std::chrono::seconds(10);
};

// Not thread-safe.
class SharedRetryBudget
{
public:
    SharedRetryBudget(SharedRetryBudgetOptions options, MonotonicTime startedAt)
        : m_options(options), m_startedAt(startedAt)
    { }

    // Retries already counted still count if they are within the current window.
    void setOptions(const SharedRetryBudgetOptions &options) { m_options = options; }

    // Sets the number of daemons that share the slack. A lower number than before has no effect.
    void setDaemons(int daemons);

    void onRequest(MonotonicTime now);

    // Retries that may be sent now; negative if the options have become stricter.
    double available(MonotonicTime now);

    // Whether one more retry may be sent now.
    bool allows(MonotonicTime now);

    // Counts one more retry if the budget allows it; false if it doesn't.
    bool take(MonotonicTime now);

private:
    // Fraction of slack / daemons that a daemon uses. The rest covers retries that restarted
    // daemons sent earlier in the window.
    static constexpr double usedSlackFraction = 0.5;
    // Requests are counted over a shorter window than retries, so that the bound holds in every
    // window.
    static constexpr double requestWindowFraction = 0.9;

    void forgetOld(MonotonicTime now);

    SharedRetryBudgetOptions m_options;
    MonotonicTime m_startedAt;
    int m_daemons = 1; // Highest number seen.
    std::deque<MonotonicTime> m_requests; // Ascending, within the window.
    std::deque<MonotonicTime> m_retries;
};

} // namespace ramphinge
