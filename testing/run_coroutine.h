// Runs a test's body as a coroutine and lets its failed assertions reach the test: a coroutine that
// ends by an exception is only logged otherwise.

#pragma once

#include <exception>
#include <functional>

#include "ramphinge/net/io.h"

namespace ramphinge {

// Runs `io` until `body` has ended, and throws what it threw. Other work on `io` is left undone.
inline void runCoroutine(IoContext &io, const std::function<void(Yield)> &body)
{
    std::exception_ptr failure;
    bool ended = false;
    spawnCoroutine(io, [&](Yield yield) {
        try {
            body(yield);
        } catch (const std::exception &) {
            failure = std::current_exception();
        }
        ended = true;
        io.stop();
    });
    io.run();
    if (failure)
        std::rethrow_exception(failure);
    if (!ended)
        throw std::runtime_error("the test's coroutine waits for something that never comes");
}

} // namespace ramphinge
