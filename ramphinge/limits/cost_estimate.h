// What a request will cost, before it has run: its prompt plus what its account's answers have
// lately been, never more than it asked for.

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
        const auto found = m_answers.find(account);
        const double expected = found == m_answers.end() ? initialAnswer : found->second;
        const auto bounded =
            std::min(static_cast<double>(maxAnswer.count()), std::max(1.0, expected));
        return prompt + Tokens(static_cast<std::int64_t>(bounded));
    }

    void observe(const AccountId &account, Tokens answer)
    {
        const auto [it, isNew] = m_answers.emplace(account, static_cast<double>(answer.count()));
        if (!isNew)
            it->second += smoothing * (static_cast<double>(answer.count()) - it->second);
    }

private:
    static constexpr double initialAnswer = 128;
    static constexpr double smoothing = 0.1;
    std::map<AccountId, double> m_answers; // Smoothed length of the account's answers.
};

} // namespace ramphinge
