// The rates at which client accounts send requests for each model: as seen by one daemon, or summed
// over many.

#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/request_rate.h"

namespace ramphinge {

struct AccountLoad
{
    RequestRate recent; // Averaged over about a second.
    RequestRate usual; // Averaged over about half a minute.
};

using AccountLoads = std::map<std::pair<ModelId, AccountId>, AccountLoad>;

// Reports carry at most this many entries, so that their size is bounded.
constexpr std::size_t maxAccountLoads = 24;

inline AccountLoad operator+(const AccountLoad &a, const AccountLoad &b)
{
    return { RequestRate(a.recent.perSecond() + b.recent.perSecond()),
             RequestRate(a.usual.perSecond() + b.usual.perSecond()) };
}

// The entries with the highest rates, at most `maxAccountLoads`.
AccountLoads largestAccountLoads(const AccountLoads &loads);

} // namespace ramphinge
