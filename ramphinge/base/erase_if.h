// Conditional erasure from maps, a substitute for C++20's std::erase_if.

#pragma once

#include <iterator>

namespace ramphinge {

// Erases each entry for which `predicate` returns true.
template <typename Map, typename Predicate> void eraseIf(Map &map, Predicate predicate)
{
    for (auto entry = map.begin(); entry != map.end();)
        entry = predicate(*entry) ? map.erase(entry) : std::next(entry);
}

} // namespace ramphinge
