// Coroutine helpers over Asio: see io.h.

#include "ramphinge/net/io.h"

#include <algorithm>
#include <cstdint>
#include <exception>
#include <memory>
#include <set>
#include <utility>

#include "ramphinge/base/process_status.h"
#include "ramphinge/net/boot_timer.h"
#include "ramphinge/net/internal/guarded_stack.h"
#include "ramphinge/observe/log.h"

namespace ramphinge {

namespace {

// On a busy daemon timers are late by a few milliseconds.
constexpr Duration minTimerDelay = std::chrono::milliseconds(20);

} // namespace

void spawnCoroutine(IoContext &io, std::function<void(Yield)> body, std::size_t stackBytes)
{
    const auto onEnd = [](const std::exception_ptr &failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &e) {
            logError("coroutine", "ended_by_exception", { { "why", e.what() } });
        }
    };
    auto counted = [body = std::move(body)](Yield yield) {
        const ScopedCounter scope(processStatus().coroutines);
        body(yield);
    };
    // With a guard page: an overflow into another stack would crash the process later, in unrelated
    // code.
    boost::asio::spawn(io, std::allocator_arg, GuardedStackAllocator(stackBytes),
                       std::move(counted), onEnd);
}

void runLoop(IoContext &io)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (const std::exception &e) {
            logError("io", "handler_failed", { { "why", e.what() } });
        }
    }
}

void yieldToLoop(IoContext &io, Yield yield)
{
    boost::asio::post(io, yield);
}

void sleepFor(IoContext &io, Duration duration, Yield yield)
{
    BootTimer timer(io, duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

struct Signal::State
{
    explicit State(IoContext &loop) : io(loop) { }

    IoContext &io;
    std::uint64_t notifications = 0;
    std::set<BootTimer *> waiters; // Each with its own timer.
};

// Registers a timer as a waiter. The timer is on its coroutine's stack, so it must be removed on
// every path, even if the loop ends after the signal was destroyed.
class Signal::Waiting
{
public:
    Waiting(std::shared_ptr<State> state, BootTimer &timer)
        : m_state(std::move(state)), m_timer(timer)
    {
        m_state->waiters.insert(&m_timer);
    }
    ~Waiting() { m_state->waiters.erase(&m_timer); }
    Waiting(const Waiting &) = delete;
    Waiting &operator=(const Waiting &) = delete;

private:
    std::shared_ptr<State> m_state;
    BootTimer &m_timer;
};

Signal::Signal(IoContext &io) : m_state(std::make_shared<State>(io)) { }

Signal::~Signal() = default;

void Signal::notify()
{
    ++m_state->notifications;
    for (BootTimer *waiter : m_state->waiters)
        waiter->cancel();
}

bool Signal::wait(Duration timeout, Yield yield)
{
    const std::uint64_t before = m_state->notifications;
    const MonotonicTime due = BootClock::now() + timeout;
    BootTimer timer(m_state->io, timeout);
    const std::shared_ptr<State> state = m_state;
    const Waiting waiting(state, timer);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    const Duration delay = BootClock::now() - due;
    if (state->notifications == before && delay >= minTimerDelay) {
        timer.expires_after(std::min(delay, timeout));
        timer.async_wait(yield[ignored]);
    }
    return state->notifications != before;
}

} // namespace ramphinge
