// Supervises a daemon's loops: coroutines that run for as long as the process. A loop that throws
// is logged by name and restarted after a delay; without it the daemon would continue with an
// outdated view, unnoticed.
//
//   LoopKeeper loops(io, clock);
//   loops.keep("leases", [this](Yield yield) { m_leases.run(yield); });
//
// A loop must tolerate being restarted at any point.
//
// The process continues however often a loop fails. A value that all daemons read may fail all of
// them; exiting would end them all at once, with their requests, and a new process knows less than
// this one. State that must not be used for too long has its own staleness bounds, which make the
// daemon unready.

#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "ramphinge/base/time.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

struct LoopKeeperOptions
{
    // Delay before the restart, doubled after each failure up to `maxBackoff`. Shorter than the
    // bounds on the staleness of the daemon's view.
    Duration initialBackoff = std::chrono::milliseconds(250);
    Duration maxBackoff = std::chrono::seconds(4);
    // After running this long without a failure, a loop starts again with `initialBackoff`.
    Duration resetAfter = std::chrono::seconds(30);
};

// Not thread-safe: lives on the event loop.
class LoopKeeper
{
public:
    LoopKeeper(IoContext &io, const Clock &clock, LoopKeeperOptions options = {});
    ~LoopKeeper();

    // Runs `body`, and restarts it when it throws, until it returns. `name` appears in the log.
    void keep(const std::string &name, std::function<void(Yield)> body);

    // Number of failures of all loops so far.
    std::int64_t failures() const;

private:
    struct State;
    std::shared_ptr<State> m_state; // Shared with each loop.
};

} // namespace ramphinge
