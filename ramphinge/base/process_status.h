// The state of the process in a form that a handler of a fatal signal can read: lock-free counters
// and a pointer to a string literal. Updated by the libraries concerned, with relaxed operations.

#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace ramphinge {

// Current values, without an order between their updates.
struct ProcessStatus
{
    std::atomic<int> coroutines { 0 }; // Started and not ended.
    std::atomic<int> openRequests { 0 }; // From admission to the end of the answer.
    // Of HTTP connections in both roles, without the peer links.
    std::atomic<std::int64_t> bytesReceived { 0 };
    std::atomic<std::int64_t> bytesSent { 0 };
    // The last decision passed to the log, even if the log omitted it. Always a string literal.
    std::atomic<const char *> lastDecision { "" };
};

// The instance of this process.
inline ProcessStatus &processStatus()
{
    static ProcessStatus marks;
    return marks;
}

inline void countReceived(std::size_t bytes)
{
    processStatus().bytesReceived.fetch_add(static_cast<std::int64_t>(bytes),
                                            std::memory_order_relaxed);
}

inline void countSent(std::size_t bytes)
{
    processStatus().bytesSent.fetch_add(static_cast<std::int64_t>(bytes),
                                        std::memory_order_relaxed);
}

// Increments a counter for its lifetime.
class ScopedCounter
{
public:
    explicit ScopedCounter(std::atomic<int> &count) : m_count(count)
    {
        m_count.fetch_add(1, std::memory_order_relaxed);
    }
    ~ScopedCounter() { m_count.fetch_sub(1, std::memory_order_relaxed); }
    ScopedCounter(const ScopedCounter &) = delete;
    ScopedCounter &operator=(const ScopedCounter &) = delete;

private:
    std::atomic<int> &m_count;
};

} // namespace ramphinge
