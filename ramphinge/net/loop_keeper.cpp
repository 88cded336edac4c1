// Loops that are restarted after failures: see loop_keeper.h.

#include "ramphinge/net/loop_keeper.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "ramphinge/observe/log.h"

namespace ramphinge {

namespace {

// The message of the exception that `body` threw; nullopt if it returned.
std::optional<std::string> failureOf(const std::function<void(Yield)> &body, Yield yield)
{
    try {
        body(yield);
    } catch (const std::exception &e) {
        return e.what();
    }
    return std::nullopt;
}

} // namespace

struct LoopKeeper::State
{
    void run(const std::string &name, const std::function<void(Yield)> &body, Yield yield);

    IoContext &io;
    const Clock &clock;
    LoopKeeperOptions options;
    std::int64_t failures = 0;
};

void LoopKeeper::State::run(const std::string &name, const std::function<void(Yield)> &body,
                            Yield yield)
{
    Duration backoff = options.initialBackoff;
    while (true) {
        const MonotonicTime startedAt = clock.now();
        const std::optional<std::string> failure = failureOf(body, yield);
        if (!failure)
            return;
        ++failures;
        if (clock.now() - startedAt >= options.resetAfter)
            backoff = options.initialBackoff;
        logError(
            "loop", "failed_and_begun_again",
            { { "name", name }, { "why", *failure }, { "pause_ms", toMilliseconds(backoff) } });
        sleepFor(io, backoff, yield);
        backoff = std::min(2 * backoff, options.maxBackoff);
    }
}

LoopKeeper::LoopKeeper(IoContext &io, const Clock &clock, LoopKeeperOptions options)
    : m_state(std::make_shared<State>(State { io, clock, options }))
{ }

LoopKeeper::~LoopKeeper() = default;

void LoopKeeper::keep(const std::string &name, std::function<void(Yield)> body)
{
    spawnCoroutine(m_state->io, [state = m_state, name, body = std::move(body)](Yield yield) {
        state->run(name, body, yield);
    });
}

std::int64_t LoopKeeper::failures() const
{
    return m_state->failures;
}

} // namespace ramphinge
