// Hybrid logical time (Kulkarni et al. 2014): wall time that never contradicts the order of
// messages, so that events of many processes can be put in one order.

#pragma once

#include <mutex>

#include "ramphinge/base/time.h"

namespace ramphinge {

struct HybridTime
{
    std::int64_t wallMilliseconds = 0;
    std::int64_t counter = 0; // Orders events of one millisecond.

    friend bool operator<(const HybridTime &a, const HybridTime &b)
    {
        return a.wallMilliseconds != b.wallMilliseconds ? a.wallMilliseconds < b.wallMilliseconds
                                                        : a.counter < b.counter;
    }
};

// Thread-safe.
class HybridClock
{
public:
    explicit HybridClock(const Clock &clock) : m_clock(clock) { }

    // The time of a local event or of a message being sent: later than all before it.
    HybridTime tick();

    // Advances to the time of a received message. A time too far ahead of the local clock is
    // ignored, so that one wrong clock doesn't move the clocks of the whole fleet.
    void merge(HybridTime remote);

private:
    const Clock &m_clock;
    std::mutex m_mutex;
    HybridTime m_last;
};

} // namespace ramphinge
