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

    // Takes note of a received message's time. A time too far ahead is not followed: one wrong
    // clock must not move the whole fleet's.
    void merge(HybridTime remote);

private:
    const Clock &m_clock;
    std::mutex m_mutex;
    HybridTime m_last;
};

} // namespace ramphinge
