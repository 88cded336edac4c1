// Timers on a clock that keeps running while the machine is suspended.
//
// Asio's kernel timers stop during a suspension and would fire late by its length, which would hold
// a request beyond its deadline. So a timer checks the clock at least every `maxSleep`.

#pragma once

#include <algorithm>

#include <boost/asio/basic_waitable_timer.hpp>

#include "ramphinge/base/time.h"

namespace ramphinge {

// Wait traits for Asio.
struct BootWaitTraits
{
    // Maximum delay of a timer after a suspension. Costs five wake-ups a second while any timer is
    // pending; the daemon's loops cause more.
    static constexpr Duration maxSleep = std::chrono::milliseconds(200);

    static Duration to_wait_duration(const Duration &left) // NOLINT: Asio's name
    {
        return std::min(left, maxSleep);
    }
    static Duration to_wait_duration(const MonotonicTime &at) // NOLINT: Asio's name
    {
        return to_wait_duration(at - BootClock::now());
    }
};

using BootTimer = boost::asio::basic_waitable_timer<BootClock, BootWaitTraits>;

} // namespace ramphinge
