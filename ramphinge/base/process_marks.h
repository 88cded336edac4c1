// What the process is at, in a form that can be read at any moment, also by the handler of a fatal
// signal: lock-free counters and a pointer to a literal. Written along the way by the libraries
// that know; each write is one relaxed store.

#pragma once

#include <atomic>

namespace ramphinge {

// Numbers of the present moment; each by itself, without an order between them.
struct ProcessMarks
{
    std::atomic<int> coroutines { 0 }; // That have begun and not ended.
    std::atomic<int> openRequests { 0 }; // Of callers, from admission to the end of the answer.
    // The last decision that was to be logged, written or left out. Always a string literal.
    std::atomic<const char *> lastDecision { "" };
};

// The process's own.
inline ProcessMarks &processMarks()
{
    static ProcessMarks marks;
    return marks;
}

// Counts one more for as long as it lives.
class MarkedScope
{
public:
    explicit MarkedScope(std::atomic<int> &count) : m_count(count)
    {
        m_count.fetch_add(1, std::memory_order_relaxed);
    }
    ~MarkedScope() { m_count.fetch_sub(1, std::memory_order_relaxed); }
    MarkedScope(const MarkedScope &) = delete;
    MarkedScope &operator=(const MarkedScope &) = delete;

private:
    std::atomic<int> &m_count;
};

} // namespace ramphinge
