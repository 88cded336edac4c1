// Probes of servers whose responses ended with their connections: see liveness_checker.h.

#include "ramphinge/dispatch/liveness_checker.h"

#include <exception>
#include <map>
#include <utility>

namespace ramphinge {

// The questions that one probe answers.
struct LivenessChecker::Round
{
    explicit Round(IoContext &io) : decided(io) { }

    bool isDecided = false;
    ProbeVerdict verdict = ProbeVerdict::Unknown;
    Signal decided;
};

struct LivenessChecker::State
{
    IoContext &io;
    const Clock &clock;
    LivenessCheckerOptions options;
    ServerProbe &probe;
    DecisionLog &log;
    Metrics &metrics;
    // The round after the one in progress; null if nobody has asked for it. Invariant: has an entry
    // for each server with a coroutine that runs its rounds, and for no other.
    std::map<HostId, std::shared_ptr<Round>> nextRounds;

    ProbeVerdict probeRepeatedly(const Target &target, Yield yield)
    {
        ProbeVerdict verdict = ProbeVerdict::Unknown;
        for (int probes = 0; probes < options.maxProbes; ++probes) {
            if (probes > 0)
                sleepFor(io, options.probeInterval, yield);
            verdict = probe.probe(target.address(), options.probeTimeout, yield);
            if (verdict != ProbeVerdict::Unknown)
                break;
        }
        return verdict;
    }
};

// Lets the next question start a new coroutine, however this one ends.
class LivenessChecker::RunningGuard
{
public:
    RunningGuard(State &state, HostId host) : m_state(state), m_host(std::move(host)) { }
    ~RunningGuard() { m_state.nextRounds.erase(m_host); }
    RunningGuard(const RunningGuard &) = delete;
    RunningGuard &operator=(const RunningGuard &) = delete;

private:
    State &m_state;
    HostId m_host;
};

LivenessChecker::LivenessChecker(IoContext &io, const Clock &clock, LivenessCheckerOptions options,
                                 ServerProbe &probe, DecisionLog &log, Metrics &metrics)
    : m_state(new State { io, clock, options, probe, log, metrics, {} })
{ }

void LivenessChecker::runRounds(State &state, const Target &target, Yield yield)
{
    const RunningGuard guard(state, target.host);
    while (const std::shared_ptr<Round> round = std::exchange(state.nextRounds[target.host], {})) {
        try {
            round->verdict = state.probeRepeatedly(target, yield);
        } catch (
            const std::exception &e) { // Such as std::bad_alloc; the questions still get a verdict.
            state.log.write("probe_failed_inside", LogWeight::Failure,
                            { { "host", target.host.text() }, { "why", e.what() } });
        }
        round->isDecided = true;
        round->decided.notify();
    }
}

// Returns the round whose probe is not sent yet.
std::shared_ptr<LivenessChecker::Round> LivenessChecker::join(const Target &target)
{
    const auto running = m_state->nextRounds.find(target.host);
    if (running != m_state->nextRounds.end()) {
        if (!running->second)
            running->second = std::make_shared<Round>(m_state->io);
        return running->second;
    }
    auto round = std::make_shared<Round>(m_state->io);
    m_state->nextRounds[target.host] = round;
    try {
        spawnCoroutine(m_state->io, [state = m_state, target](Yield yield) {
            runRounds(*state, target, yield);
        });
    } catch (...) { // std::bad_alloc: there is no coroutine.
        m_state->nextRounds.erase(target.host);
        throw;
    }
    return round;
}

bool LivenessChecker::isAlive(const Target &target, Duration maxWait, Yield yield)
{
    const MonotonicTime askedAt = m_state->clock.now();
    const std::shared_ptr<Round> round = join(target);
    if (!round->isDecided)
        round->decided.wait(maxWait, yield);
    const bool isProven = round->verdict == ProbeVerdict::Alive;
    const MonotonicTime now = m_state->clock.now();
    m_state->metrics.observe(
        MetricName("liveness_check_ms").with("proven", isProven ? "yes" : "no"), now - askedAt,
        now);
    return isProven;
}

} // namespace ramphinge
