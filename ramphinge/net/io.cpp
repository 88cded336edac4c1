// Coroutine helpers over Asio: see io.h.

#include "ramphinge/net/io.h"

#include <cstdint>
#include <exception>
#include <iostream>

#include <boost/asio/steady_timer.hpp>
#include <boost/context/fixedsize_stack.hpp>

namespace ramphinge {

void spawnCoroutine(IoContext &io, std::function<void(Yield)> body, std::size_t stackBytes)
{
    const auto onEnd = [](const std::exception_ptr &failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception &e) {
            std::cerr << "coroutine ended by exception: " << e.what() << '\n';
        }
    };
    boost::asio::spawn(io, std::allocator_arg, boost::context::fixedsize_stack(stackBytes),
                       std::move(body), onEnd);
}

void sleepFor(IoContext &io, Duration duration, Yield yield)
{
    boost::asio::steady_timer timer(io, duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

struct Signal::State
{
    explicit State(IoContext &io) : timer(io) { }

    boost::asio::steady_timer timer;
    std::uint64_t notifications = 0;
};

Signal::Signal(IoContext &io) : m_state(std::make_unique<State>(io)) { }

Signal::~Signal() = default;

void Signal::notify()
{
    ++m_state->notifications;
    m_state->timer.cancel();
}

bool Signal::wait(Duration timeout, Yield yield)
{
    const std::uint64_t before = m_state->notifications;
    m_state->timer.expires_after(timeout);
    boost::system::error_code ignored;
    m_state->timer.async_wait(yield[ignored]);
    return m_state->notifications != before;
}

} // namespace ramphinge
