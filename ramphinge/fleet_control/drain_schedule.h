// When a daemon that was told to stop takes its last request, and when it ends.

#pragma once

#include <algorithm>

#include "ramphinge/base/time.h"

namespace ramphinge {

class DrainSchedule
{
public:
    // `grace` is the time from the signal to the forced end.
    DrainSchedule(MonotonicTime signalAt, Duration grace) : m_signalAt(signalAt), m_grace(grace) { }

    // Until then requests are taken: the balancer sends callers until it has seen two red answers,
    // a second apart. Later ones might not be finished within the grace.
    MonotonicTime takesUntil() const { return m_signalAt + std::min(rotation, m_grace / 3); }

    // Then the process ends, with requests in progress if there still are any.
    MonotonicTime endsAt() const { return m_signalAt + m_grace - std::min(reserve, m_grace / 4); }

private:
    static constexpr Duration rotation = std::chrono::milliseconds(2600);
    // For closing down before the forced end.
    static constexpr Duration reserve = std::chrono::milliseconds(700);

    MonotonicTime m_signalAt;
    Duration m_grace;
};

} // namespace ramphinge
