// Bounds retries to a fraction of the requests, so that a fault can't multiply the load.

#pragma once

#include <algorithm>

namespace ramphinge {

struct RetryBudgetOptions
{
    double retriesPerRequest = 0.1; // Retries earned per request.
    double maxSavedRetries = 10; // Retries available at the start, and the most that accumulate.
};

// Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options)
        : m_options(options), m_available(options.maxSavedRetries)
    { }

    // Records a first attempt, which adds `retriesPerRequest` to the budget.
    void onRequest()
    {
        m_available =
            std::min(m_options.maxSavedRetries, m_available + m_options.retriesPerRequest);
    }

    // Takes one retry from the budget; false if less than one is left.
    bool take()
    {
        if (m_available < 1)
            return false;
        m_available -= 1;
        return true;
    }

private:
    RetryBudgetOptions m_options;
    double m_available; // Invariant: in [0, reserve].
};

} // namespace ramphinge
