// Estimates a request's cost in tokens before it runs: the prompt plus a moving average of the
// account's recent answer lengths, capped at the answer length that the request allows.

#pragma once

#include <algorithm>
#include <map>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// Not thread-safe.
class CostEstimator
{
public:
    Tokens estimate(const AccountId &account, Tokens prompt, Tokens maxAnswer) const
    {
        const auto found = m_averageAnswerTokens.find(account);
        const double expected =
            found == m_averageAnswerTokens.end() ? initialAnswerTokens : found->second;
        const auto bounded =
            std::min(static_cast<double>(maxAnswer.count()), std::max(1.0, expected));
        return prompt + Tokens(static_cast<std::int64_t>(bounded));
    }

    void observe(const AccountId &account, Tokens answer)
    {
        const auto [it, isNew] =
            m_averageAnswerTokens.emplace(account, static_cast<double>(answer.count()));
        if (!isNew)
            it->second += smoothingFactor * (static_cast<double>(answer.count()) - it->second);
    }

private:
    static constexpr double initialAnswerTokens = 128; // For accounts without an observed answer.
    static constexpr double smoothingFactor = 0.1; // Weight of the newest answer.
    std::map<AccountId, double>
        m_averageAnswerTokens; // Exponential moving average of answer lengths, in tokens.
};

} // namespace ramphinge
