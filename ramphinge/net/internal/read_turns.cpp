// Turns for reading large requests: see read_turns.h.

#include "ramphinge/net/internal/read_turns.h"

#include <algorithm>
#include <list>
#include <utility>

#include <boost/asio/post.hpp>

#include "ramphinge/net/boot_timer.h"

namespace ramphinge {

namespace {

// The loop is overloaded, and keeps up: as for the concurrency limit.
constexpr Duration maxDelay = std::chrono::milliseconds(20);
constexpr Duration onTime = std::chrono::milliseconds(5);
constexpr Duration minPause = std::chrono::milliseconds(1);
constexpr Duration maxPause = std::chrono::milliseconds(100);
constexpr int pauseGrowth = 2;
constexpr double pauseDecay = 0.8;

} // namespace

struct ReadTurns::State : std::enable_shared_from_this<ReadTurns::State>
{
    explicit State(IoContext &loop) : io(loop), timer(loop) { }

    // What is ready now comes before the next turn.
    void beginTurn()
    {
        isTaken = true;
        if (pause == Duration::zero()) {
            boost::asio::post(io, [state = shared_from_this()] { state->endTurn(); });
            return;
        }
        timer.expires_after(pause);
        timer.async_wait([state = shared_from_this()](const auto &) { state->endTurn(); });
    }

    void endTurn()
    {
        isTaken = false;
        if (waiting.empty())
            return;
        BootTimer *const next = waiting.front();
        waiting.pop_front();
        next->cancel();
        beginTurn();
    }

    IoContext &io;
    BootTimer timer;
    Duration pause {}; // Between two turns.
    bool isTaken = false; // A reader has had its turn in this pass.
    std::list<BootTimer *> waiting; // Each with its own timer, in the order of their calls.
};

// Registers a timer, which is on its coroutine's stack, for as long as the coroutine waits.
class ReadTurns::Waiting
{
public:
    Waiting(std::shared_ptr<State> state, BootTimer &timer)
        : m_state(std::move(state)), m_timer(timer)
    {
        m_state->waiting.push_back(&m_timer);
    }
    ~Waiting() { m_state->waiting.remove(&m_timer); }
    Waiting(const Waiting &) = delete;
    Waiting &operator=(const Waiting &) = delete;

private:
    std::shared_ptr<State> m_state;
    BootTimer &m_timer;
};

ReadTurns::ReadTurns(IoContext &io) : m_state(std::make_shared<State>(io)) { }

ReadTurns::~ReadTurns() = default;

void ReadTurns::noteLoopDelay(Duration delay)
{
    Duration &pause = m_state->pause;
    if (delay >= maxDelay)
        pause = std::clamp(pause * pauseGrowth, minPause, maxPause);
    else if (delay <= onTime)
        pause = pause <= minPause ? Duration() : scaled(pause, pauseDecay);
}

Duration ReadTurns::pause() const
{
    return m_state->pause;
}

void ReadTurns::await(Yield yield)
{
    const std::shared_ptr<State> state = m_state;
    if (!state->isTaken) {
        state->beginTurn();
        return;
    }
    BootTimer timer(state->io, MonotonicTime::max());
    const Waiting waiting(state, timer);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace ramphinge
