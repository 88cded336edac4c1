// A bound on retries: a share of the requests, so that a fault can't multiply the load.

#pragma once

#include <algorithm>

namespace ramphinge {

struct RetryBudgetOptions
{
    double share = 0.1; // Retries per request.
    double reserve = 10; // Retries that a quiet daemon may make, and the most it can save up.
};

// Not thread-safe.
class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetOptions options) : m_options(options), m_tokens(options.reserve)
    { }

    // A first attempt was made: earns a part of a retry.
    void onRequest() { m_tokens = std::min(m_options.reserve, m_tokens + m_options.share); }

    // True if one more retry may be made; takes it from the budget.
    bool take()
    {
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    RetryBudgetOptions m_options;
    double m_tokens; // Invariant: in [0, reserve].
};

} // namespace ramphinge
