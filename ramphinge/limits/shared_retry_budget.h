// One daemon's part of a bound on repeats that holds over all daemons, kept without messages.
//
// The bound: in any window, repeats <= ratio x requests + slack, over all daemons. If each daemon
// keeps repeats <= ratio x its own requests + its part of the slack, the sum keeps it too. The part
// is less than slack / daemons, since a daemon that restarts forgets what it has used, and it is
// used only once the daemon has run for a window. How many daemons there are is known from
// registrations, which lapse when the store is away: so the number never falls here.
//
//   budget.onRequest(now);
//   if (failed && budget.take(now)) sendAgain();

#pragma once

#include <deque>

#include "ramphinge/base/time.h"

namespace ramphinge {

struct SharedRetryBudgetOptions
{
    double ratio = 0.2; // Repeats for each request.
    double slack = 10; // Repeats beyond that, over all daemons.
    Duration window = std::chrono::seconds(10);
};

// Not thread-safe.
class SharedRetryBudget
{
public:
    SharedRetryBudget(SharedRetryBudgetOptions options, MonotonicTime startedAt)
        : m_options(options), m_startedAt(startedAt)
    { }

    // What was used before counts on, as far as it was still in the window.
    void setOptions(const SharedRetryBudgetOptions &options) { m_options = options; }

    // How many daemons are known to share the slack. Fewer than before change nothing.
    void setDaemons(int daemons);

    void onRequest(MonotonicTime now);

    // Whether one more repeat may be sent now.
    bool allows(MonotonicTime now);

    // True if one more repeat may be sent; counts it.
    bool take(MonotonicTime now);

private:
    // Part of the daemon's even share of the slack that it uses. The rest covers what daemons
    // that restarted within the window had used before.
    static constexpr double usedShare = 0.5;
    // Requests count a little shorter than repeats, so that every window holds the bound.
    static constexpr double requestWindowShare = 0.9;

    void forgetOld(MonotonicTime now);

    SharedRetryBudgetOptions m_options;
    MonotonicTime m_startedAt;
    int m_daemons = 1; // The most that were ever known.
    std::deque<MonotonicTime> m_requests; // Ascending, within the window.
    std::deque<MonotonicTime> m_repeats;
};

} // namespace ramphinge
