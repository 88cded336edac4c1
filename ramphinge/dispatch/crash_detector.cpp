// Detection of servers that terminate while they run a request: see crash_detector.h.

#include "ramphinge/dispatch/crash_detector.h"

#include <exception>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Beyond this many entries the terminated servers are dropped from the cache, and may be probed
// again.
constexpr std::size_t maxChecks = 256;
constexpr Duration contactPollInterval = std::chrono::milliseconds(2);

} // namespace

// The probe of one incarnation of a server.
struct CrashDetector::LivenessCheck
{
    LivenessCheck(IoContext &io, MonotonicTime now) : startedAt(now), decided(io) { }

    MonotonicTime startedAt;
    std::optional<ProbeVerdict> verdict; // Empty while the probe is in progress.
    std::vector<SuspectRequest> pendingRequests; // Cleared once the verdict is known.
    Signal decided;
};

// A request whose connection ended at a server that could not be probed.
struct CrashDetector::UnresolvedRequest
{
    SuspectRequest request;
    Target target;
    MonotonicTime since;
};

struct CrashDetector::State
{
    IoContext &io;
    const Clock &clock;
    CrashDetectorOptions options;
    ServerProbe &probe;
    ServerContacts &contacts;
    Quarantine &quarantine;
    DecisionLog &log;
    Metrics &metrics;
    // In progress, or of servers that have terminated.
    std::map<HostId, std::shared_ptr<LivenessCheck>> livenessChecks;
    std::vector<UnresolvedRequest> unresolved; // Bounded by `departureTimeout`.

    void recordCrash(const SuspectRequest &request, const Target &target)
    {
        const bool newlyQuarantined =
            quarantine.noteCrash(request, target.host, clock.now(), clock.wallNow());
        nlohmann::json parts = nlohmann::json::array();
        for (const Fingerprint &part : request.parts)
            parts.push_back(part.text());
        log.write("server_ended_under_request", LogWeight::Failure,
                  { { "fingerprint", request.fingerprint.text() },
                    { "parts", std::move(parts) },
                    { "account", request.account.text() },
                    { "route", request.route },
                    { "host", target.host.text() },
                    { "replica", target.replica.text() },
                    { "quarantined_by_it", newlyQuarantined } });
    }

    // Whether this daemon reaches other servers of the service, so that its failure to reach one
    // says something of that one. Waits until it is known.
    bool awaitContact(const ServiceId &service, Yield yield) const
    {
        ServerContact &contact = contacts.of(service);
        const MonotonicTime startedAt = clock.now();
        if (!contact.isSound() || contact.hasManyFailures(startedAt))
            contacts.requestProbe(service);
        else
            return true;
        while (contact.provenAt() < startedAt && clock.now() - startedAt < options.contactTimeout)
            sleepFor(io, contactPollInterval, yield);
        return contact.provenAt() >= startedAt;
    }

    void finish(LivenessCheck &check, const Target &target, ProbeVerdict verdict)
    {
        check.verdict = verdict;
        if (verdict == ProbeVerdict::Ended)
            metrics.count(MetricName("servers_ended_under_requests_total"));
        else
            livenessChecks.erase(target.host); // The next lost connection starts a new probe.
        for (const SuspectRequest &request : std::exchange(check.pendingRequests, {}))
            applyVerdict(request, target, verdict);
        check.decided.notify();
    }

    void applyVerdict(const SuspectRequest &request, const Target &target, ProbeVerdict verdict)
    {
        if (verdict == ProbeVerdict::Ended)
            recordCrash(request, target);
        else if (verdict == ProbeVerdict::Unknown)
            unresolved.push_back({ request, target, clock.now() });
    }
};

CrashDetector::CrashDetector(IoContext &io, const Clock &clock, CrashDetectorOptions options,
                             ServerProbe &probe, ServerContacts &contacts, Quarantine &quarantine,
                             DecisionLog &log, Metrics &metrics)
    : m_state(new State { io, clock, options, probe, contacts, quarantine, log, metrics, {}, {} })
{ }

std::shared_ptr<CrashDetector::LivenessCheck> CrashDetector::startCheck(const Target &target)
{
    if (m_state->livenessChecks.size() >= maxChecks)
        eraseIf(m_state->livenessChecks,
                [](const auto &entry) { return entry.second->verdict.has_value(); });
    auto check = std::make_shared<LivenessCheck>(m_state->io, m_state->clock.now());
    m_state->livenessChecks[target.host] = check;
    spawnCoroutine(m_state->io, [state = m_state, check, target](Yield yield) {
        ProbeVerdict verdict = ProbeVerdict::Unknown;
        try {
            verdict = state->probe.probe(target.address(), state->options.timeout, yield);
            if (verdict == ProbeVerdict::Ended && !state->awaitContact(target.service, yield))
                verdict = ProbeVerdict::Unknown;
        } catch (const std::exception
                     &e) { // Such as std::bad_alloc; waiting requests still get a verdict.
            state->log.write("probe_failed_inside", LogWeight::Failure,
                             { { "host", target.host.text() }, { "why", e.what() } });
        }
        state->finish(*check, target, verdict);
    });
    return check;
}

bool CrashDetector::connectionEnded(const SuspectRequest &request, const Target &target,
                                    MonotonicTime sentAt, Duration maxWait, Yield yield)
{
    const auto found = m_state->livenessChecks.find(target.host);
    const std::shared_ptr<LivenessCheck> check =
        found == m_state->livenessChecks.end() ? startCheck(target) : found->second;
    if (sentAt > check->startedAt)
        return false;
    if (check->verdict) {
        m_state->applyVerdict(request, target, *check->verdict);
    } else {
        check->pendingRequests.push_back(request);
        check->decided.wait(maxWait, yield);
    }
    return check->verdict == ProbeVerdict::Ended;
}

void CrashDetector::serversChanged(const std::function<bool(const HostId &)> &isPresent)
{
    std::vector<UnresolvedRequest> unresolved = std::exchange(m_state->unresolved, {});
    for (UnresolvedRequest &pending : unresolved) {
        if (!isPresent(pending.target.host))
            m_state->recordCrash(pending.request, pending.target);
        else if (m_state->clock.now() - pending.since < m_state->options.departureTimeout)
            m_state->unresolved.push_back(std::move(pending));
    }
}

} // namespace ramphinge
