// The loops of a daemon: coroutines that are to run for as long as it does. One that ends by an
// exception is logged by its name and begun again after a pause, since without it the daemon would
// go on with an old picture and nobody would know.
//
//   LoopKeeper loops(io, clock);
//   loops.keep("leases", [this](Yield yield) { m_leases.run(yield); });
//
// A loop must bear being begun again: what it was in the middle of is its own to put right.
//
// However often a loop fails, the process goes on. What fails for one daemon may fail for all, as a
// value that all read would, and ending would then end them all at once, with the requests on them;
// and a new process knows less than this one. What must not be believed for too long has its own
// bounds, and turns the daemon's readiness red when they pass.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "ramphinge/base/time.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

struct LoopKeeperOptions
{
    // After a failure; twice as long after each that follows, up to `longestPause`:
    // shorter than any bound on the daemon's picture, and no load when it lasts.
    Duration firstPause = std::chrono::milliseconds(250);
    Duration longestPause = std::chrono::seconds(4);
    // A loop that has run for so long is sound again: its next failure counts as the first.
    Duration soundAfter = std::chrono::seconds(30);
};

// Not thread-safe: lives on the event loop.
class LoopKeeper
{
public:
    LoopKeeper(IoContext &io, const Clock &clock, LoopKeeperOptions options = {});
    ~LoopKeeper();

    // Runs `body` until it returns. `name` is for the log.
    void keep(const std::string &name, std::function<void(Yield)> body);

    // Of all loops, so far.
    std::int64_t failures() const;

private:
    struct State;
    std::shared_ptr<State> m_state; // Held by each loop too.
};

} // namespace ramphinge
