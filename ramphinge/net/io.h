// Event loops and coroutines: one event loop per thread, and coroutines that run on it.

#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

using IoContext = boost::asio::io_context;
using Yield = boost::asio::yield_context;

// Default stack size of a coroutine.
constexpr std::size_t coroutineStackBytes = 64 * 1024;

// Runs `body` as a coroutine on `io`. An exception is logged and ends only that coroutine. See
// docs/design/coroutines.md for what it may refer to across a suspension.
// `stackBytes` limits its stack, whose pages are allocated when touched; an overflow ends the
// process with SIGSEGV. Throws std::bad_alloc if there is no memory for the stack.
void spawnCoroutine(IoContext &io, std::function<void(Yield)> body,
                    std::size_t stackBytes = coroutineStackBytes);

// Runs `io` until it is stopped or out of work. An exception of a handler that is not a coroutine
// (of a timer, a signal or a link) is logged and ends only that handler: io.run() would let it end
// the process and all requests on it.
void runLoop(IoContext &io);

// Suspends the coroutine.
void sleepFor(IoContext &io, Duration duration, Yield yield);

// Lets the event loop run what else is ready.
void yieldToLoop(IoContext &io, Yield yield);

// A condition that coroutines wait for and others notify, all on one event loop.
class Signal
{
public:
    explicit Signal(IoContext &io);
    ~Signal();
    Signal(const Signal &) = delete;
    Signal &operator=(const Signal &) = delete;

    // Wakes all current waiters.
    void notify();

    // Waits for notify() or the timeout. Returns whether it was notified. If the event loop is late
    // for the timeout, what would notify may be waiting in it: the wait goes on for as long as the
    // loop was late, at most for the timeout once more.
    bool wait(Duration timeout, Yield yield);

private:
    struct State;
    class Waiting;
    std::shared_ptr<State> m_state; // Shared with each wait.
};

} // namespace ramphinge
