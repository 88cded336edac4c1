// Ends of servers under requests: see crash_watch.h.

#include "ramphinge/dispatch/crash_watch.h"

#include <map>
#include <utility>
#include <vector>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Servers whose ends are remembered, so that nobody asks for them twice; beyond it they are.
constexpr std::size_t mostChecks = 256;

} // namespace

// Of one life of a server.
struct CrashWatch::Check
{
    Check(IoContext &io, MonotonicTime now) : begunAt(now), known(io) { }

    MonotonicTime begunAt;
    bool done = false;
    bool ended = false;
    std::vector<SuspectRequest> waiting; // Until it is done.
    Signal known;
};

struct CrashWatch::State
{
    IoContext &io;
    const Clock &clock;
    CrashWatchOptions options;
    ServerProbe &probe;
    Quarantine &quarantine;
    DecisionLog &log;
    Metrics &metrics;
    std::map<HostId, std::shared_ptr<Check>> checks; // Under way, or of servers that have ended.

    void note(const SuspectRequest &request, const Target &target)
    {
        const bool heldNow = quarantine.noteEnd(request, target.host, clock.now(), clock.wallNow());
        log.write("server_ended_under_request", LogWeight::Failure,
                  { { "fingerprint", request.fingerprint.text() },
                    { "account", request.account.text() },
                    { "route", request.route },
                    { "host", target.host.text() },
                    { "replica", target.replica.text() },
                    { "quarantined_by_it", heldNow } });
    }

    void finish(Check &check, const Target &target, bool ended)
    {
        check.done = true;
        check.ended = ended;
        if (ended)
            metrics.count(MetricName("servers_ended_under_requests_total"));
        else
            checks.erase(target.host); // The next connection that ends there asks anew.
        for (const SuspectRequest &request : std::exchange(check.waiting, {})) {
            if (ended)
                note(request, target);
        }
        check.known.notify();
    }
};

CrashWatch::CrashWatch(IoContext &io, const Clock &clock, CrashWatchOptions options,
                       ServerProbe &probe, Quarantine &quarantine, DecisionLog &log,
                       Metrics &metrics)
    : m_state(new State { io, clock, options, probe, quarantine, log, metrics, {} })
{ }

std::shared_ptr<CrashWatch::Check> CrashWatch::begin(const Target &target)
{
    if (m_state->checks.size() >= mostChecks)
        eraseIf(m_state->checks, [](const auto &entry) { return entry.second->done; });
    auto check = std::make_shared<Check>(m_state->io, m_state->clock.now());
    m_state->checks[target.host] = check;
    spawnCoroutine(m_state->io, [state = m_state, check, target](Yield yield) {
        const bool lives =
            state->probe.lives(target.host, target.endpoint, state->options.timeout, yield);
        state->finish(*check, target, !lives);
    });
    return check;
}

void CrashWatch::connectionEnded(const SuspectRequest &request, const Target &target,
                                 MonotonicTime sentAt, Duration patience, Yield yield)
{
    const auto found = m_state->checks.find(target.host);
    const std::shared_ptr<Check> check =
        found == m_state->checks.end() ? begin(target) : found->second;
    if (sentAt > check->begunAt)
        return;
    if (check->done && check->ended)
        m_state->note(request, target);
    if (check->done)
        return;
    check->waiting.push_back(request);
    check->known.wait(patience, yield);
}

} // namespace ramphinge
