// Ends of servers under requests: see crash_watch.h.

#include "ramphinge/dispatch/crash_watch.h"

#include <exception>
#include <map>
#include <optional>
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
    std::optional<ProbeVerdict> verdict; // Nothing while the server is being asked.
    std::vector<SuspectRequest> waiting; // Until it is done.
    Signal known;
};

// A request whose connection ended at a server that could not be asked.
struct CrashWatch::OpenQuestion
{
    SuspectRequest request;
    Target target;
    MonotonicTime since;
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
    std::vector<OpenQuestion> open; // Bounded by the time that one stays.

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

    void finish(Check &check, const Target &target, ProbeVerdict verdict)
    {
        check.verdict = verdict;
        if (verdict == ProbeVerdict::Ended)
            metrics.count(MetricName("servers_ended_under_requests_total"));
        else
            checks.erase(target.host); // The next connection that ends there asks anew.
        for (const SuspectRequest &request : std::exchange(check.waiting, {}))
            conclude(request, target, verdict);
        check.known.notify();
    }

    void conclude(const SuspectRequest &request, const Target &target, ProbeVerdict verdict)
    {
        if (verdict == ProbeVerdict::Ended)
            note(request, target);
        else if (verdict == ProbeVerdict::Unknown)
            open.push_back({ request, target, clock.now() });
    }
};

CrashWatch::CrashWatch(IoContext &io, const Clock &clock, CrashWatchOptions options,
                       ServerProbe &probe, Quarantine &quarantine, DecisionLog &log,
                       Metrics &metrics)
    : m_state(new State { io, clock, options, probe, quarantine, log, metrics, {}, {} })
{ }

std::shared_ptr<CrashWatch::Check> CrashWatch::begin(const Target &target)
{
    if (m_state->checks.size() >= mostChecks)
        eraseIf(m_state->checks,
                [](const auto &entry) { return entry.second->verdict.has_value(); });
    auto check = std::make_shared<Check>(m_state->io, m_state->clock.now());
    m_state->checks[target.host] = check;
    spawnCoroutine(m_state->io, [state = m_state, check, target](Yield yield) {
        ProbeVerdict verdict = ProbeVerdict::Unknown;
        try {
            verdict = state->probe.probe(target.address(), state->options.timeout, yield);
        } catch (const std::exception &e) { // As for want of memory. Whoever waits is told.
            state->log.write("probe_failed_inside", LogWeight::Failure,
                             { { "host", target.host.text() }, { "why", e.what() } });
        }
        state->finish(*check, target, verdict);
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
    if (check->verdict) {
        m_state->conclude(request, target, *check->verdict);
        return;
    }
    check->waiting.push_back(request);
    check->known.wait(patience, yield);
}

void CrashWatch::serversChanged(const std::function<bool(const HostId &)> &isThere)
{
    std::vector<OpenQuestion> open = std::exchange(m_state->open, {});
    for (OpenQuestion &question : open) {
        if (!isThere(question.target.host))
            m_state->note(question.request, question.target);
        else if (m_state->clock.now() - question.since < m_state->options.goesWithin)
            m_state->open.push_back(std::move(question));
    }
}

} // namespace ramphinge
