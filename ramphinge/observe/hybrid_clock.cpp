// Hybrid logical clock: see hybrid_clock.h.

#include "ramphinge/observe/hybrid_clock.h"

namespace ramphinge {

namespace {
constexpr std::int64_t maxAheadMilliseconds = 5000;
} // namespace

HybridTime HybridClock::tick()
{
    const std::int64_t wall = toUnixMilliseconds(m_clock.wallNow());
    const std::lock_guard lock(m_mutex);
    if (wall > m_last.wallMilliseconds)
        m_last = { wall, 0 };
    else
        ++m_last.counter;
    return m_last;
}

void HybridClock::merge(HybridTime remote)
{
    const std::int64_t wall = toUnixMilliseconds(m_clock.wallNow());
    const std::lock_guard lock(m_mutex);
    if (remote.wallMilliseconds <= wall + maxAheadMilliseconds && m_last < remote)
        m_last = remote;
}

} // namespace ramphinge
