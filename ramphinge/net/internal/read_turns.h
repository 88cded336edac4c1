// Turns for reading large requests: one reader goes on in each pass of the event loop, so that a
// crowd of them delays what else is ready by one read at a time. While the loop is late, turns are
// spaced out, until reading leaves enough of the processor. Otherwise a single reader never waits.

#pragma once

#include <memory>

#include "ramphinge/net/io.h"

namespace ramphinge {

class ReadTurns
{
public:
    explicit ReadTurns(IoContext &io);
    ~ReadTurns();
    ReadTurns(const ReadTurns &) = delete;
    ReadTurns &operator=(const ReadTurns &) = delete;

    // Suspends until it is the caller's turn; in the order of the calls.
    void await(Yield yield);

    // How late the event loop ran a periodic timer.
    void noteLoopDelay(Duration delay);

    // Time between two turns.
    Duration pause() const;

private:
    struct State;
    class Waiting;

    std::shared_ptr<State> m_state; // Shared with each wait.
};

} // namespace ramphinge
