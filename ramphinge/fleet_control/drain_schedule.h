// When a daemon that was told to stop accepts its last request, and when it exits.

#pragma once

#include <algorithm>

#include "ramphinge/base/time.h"

namespace ramphinge {

class DrainSchedule
{
public:
    // `grace` is the time from the signal until the process is killed.
    DrainSchedule(MonotonicTime signalAt, Duration grace) : m_signalAt(signalAt), m_grace(grace) { }

    // Until when requests are accepted: the load balancer sends callers until it has seen two
    // failed health checks, a second apart. Later requests might not finish within the grace.
    MonotonicTime acceptsUntil() const
    {
        return m_signalAt + std::min(balancerReactionTime, m_grace / 3);
    }

    // When the process exits, even with requests still in progress.
    MonotonicTime exitsAt() const
    {
        return m_signalAt + m_grace - std::min(shutdownTime, m_grace / 4);
    }

private:
    static constexpr Duration balancerReactionTime = std::chrono::milliseconds(2600);
    // Left for the shutdown itself before the process is killed.
    static constexpr Duration shutdownTime = std::chrono::milliseconds(700);

    MonotonicTime m_signalAt;
    Duration m_grace;
};

} // namespace ramphinge
