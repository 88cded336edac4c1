// When a daemon that was told to stop accepts its last request, ends those in progress, and exits.

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

    // Until when requests may be answered as usual; those still in progress then get an error.
    MonotonicTime answersUntil() const
    {
        return m_signalAt + m_grace - std::min(shutdownTime, m_grace / 4);
    }

    // When the process exits, even with requests still in progress.
    MonotonicTime exitsAt() const { return answersUntil() + std::min(errorTime, m_grace / 8); }

private:
    static constexpr Duration balancerReactionTime = std::chrono::milliseconds(2600);
    // Left for the errors and the shutdown itself before the process is killed.
    static constexpr Duration shutdownTime = std::chrono::milliseconds(700);
    // In which the error responses are sent.
    static constexpr Duration errorTime = std::chrono::milliseconds(300);

    MonotonicTime m_signalAt;
    Duration m_grace;
};

} // namespace ramphinge
