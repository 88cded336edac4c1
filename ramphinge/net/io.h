// The I/O vocabulary: one event loop per thread, and coroutines that wait on it.

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

// The stack of most coroutines.
constexpr std::size_t coroutineStackBytes = 64 * 1024;

// Runs `body` as a coroutine on `io`. An exception in it is logged and ends only it. What it may
// refer to over a wait: docs/design/coroutines.md.
// `stackBytes` bounds its stack; pages are used only as touched. A coroutine that needs more ends
// the process by SIGSEGV. Throws std::bad_alloc if there is no memory for the stack.
void spawnCoroutine(IoContext &io, std::function<void(Yield)> body,
                    std::size_t stackBytes = coroutineStackBytes);

// Runs `io` until it is stopped or has nothing left to do. An exception of a handler that is no
// coroutine (of a timer, a signal, a link) is logged and ends only that handler: left to io.run(),
// it would end the process, and all requests on it.
void runLoop(IoContext &io);

// Suspends the coroutine.
void sleepFor(IoContext &io, Duration duration, Yield yield);

// Something that one coroutine waits for and another signals; both on one event loop.
class Signal
{
public:
    explicit Signal(IoContext &io);
    ~Signal();
    Signal(const Signal &) = delete;
    Signal &operator=(const Signal &) = delete;

    // Wakes all present waiters.
    void notify();

    // Waits for notify() or the timeout; true if notified.
    bool wait(Duration timeout, Yield yield);

private:
    struct State;
    class Waiting;
    std::shared_ptr<State> m_state; // Held by each wait too.
};

} // namespace ramphinge
