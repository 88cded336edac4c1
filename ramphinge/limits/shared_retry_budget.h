// One daemon's part of a bound on retries over all daemons, enforced without coordination.
//
// The bound: in any window, retries <= ratio x requests + slack, summed over all daemons, whenever
// their processes restart. Each daemon has a token bucket that starts empty. A request adds `ratio`
// of a token, time adds the daemon's part of a fraction of the slack, and the bucket holds its part
// of another fraction. A window then sees at most what was in the buckets at its start, which is
// within the slack, and what was added meanwhile. A process that restarts begins with nothing, so
// it needs no record of what the one before it used.
//
// Besides, retries of a window are bounded by the requests of a slightly shorter one. What is
// decided over a while may arrive together, and that leaves room for it.
//
// The number of daemons comes from registrations, which lapse while the store is unavailable, so it
// never decreases here. With more daemons than about half of the slack, a bucket still holds one
// token, since it would never give any otherwise: if all of them restart in one window, the bound
// is exceeded by one retry for each daemon at most.
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
        : m_options(options), m_filledAt(startedAt)
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

    // Returns a retry that was taken and not sent.
    void giveBack(MonotonicTime now);

private:
    // Of this daemon's part of the slack: what the bucket holds, and what time adds in a window.
    // The rest is for retries that arrive later than they were taken.
    static constexpr double heldSlackFraction = 0.7;
    static constexpr double addedSlackFraction = 0.2;
    // Requests are counted over a shorter window than retries.
    static constexpr double requestWindowFraction = 0.9;
    static constexpr double minCapacity = 1; // Tokens.

    double slackPart() const { return m_options.slack / m_daemons; }
    double capacity() const;
    void advance(MonotonicTime now);

    SharedRetryBudgetOptions m_options;
    int m_daemons = 1; // Highest number seen.
    double m_tokens = 0; // Invariant: at most capacity() after advance().
    MonotonicTime m_filledAt;
    std::deque<MonotonicTime> m_requests; // Ascending, within the window.
    std::deque<MonotonicTime> m_retries;
};

} // namespace ramphinge
