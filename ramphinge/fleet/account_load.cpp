// Bounds the size of account loads: see account_load.h.

#include "ramphinge/fleet/account_load.h"

#include <algorithm>
#include <vector>

namespace ramphinge {

namespace {

double largerRate(const AccountLoad &load)
{
    return std::max(load.recent, load.usual).perSecond();
}

} // namespace

AccountLoads largestAccountLoads(const AccountLoads &loads)
{
    if (loads.size() <= maxAccountLoads)
        return loads;
    std::vector<AccountLoads::const_iterator> entries;
    for (auto entry = loads.begin(); entry != loads.end(); ++entry)
        entries.push_back(entry);
    const auto end = entries.begin() + static_cast<std::ptrdiff_t>(maxAccountLoads);
    std::nth_element(entries.begin(), end, entries.end(), [](const auto &a, const auto &b) {
        return largerRate(a->second) > largerRate(b->second);
    });
    AccountLoads largest;
    std::for_each(entries.begin(), end, [&](const auto &entry) { largest.insert(*entry); });
    return largest;
}

} // namespace ramphinge
