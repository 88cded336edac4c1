// Timers on the clock that goes on while the machine is suspended.
//
// The kernel's timers that Asio sets stand still meanwhile, and would come late by the time of the
// suspension: a request would be kept beyond its deadline by it. So a timer looks at the clock
// again at least every `longestLook`.

#pragma once

#include <algorithm>

#include <boost/asio/basic_waitable_timer.hpp>

#include "ramphinge/base/time.h"

namespace ramphinge {

// Asio's view of the clock.
struct BootWaitTraits
{
    // How late a timer may come after a suspension. Costs five looks a second where a timer is
    // pending at all; the loops of a daemon make more.
    static constexpr Duration longestLook = std::chrono::milliseconds(200);

    static Duration to_wait_duration(const Duration &left) // NOLINT: Asio's name
    {
        return std::min(left, longestLook);
    }
    static Duration to_wait_duration(const MonotonicTime &at) // NOLINT: Asio's name
    {
        return to_wait_duration(at - BootClock::now());
    }
};

using BootTimer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

} // namespace ramphinge
