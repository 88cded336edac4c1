// Quarantines requests that crash the servers that run them.
//
// A crash doesn't show which request caused it, so each request that the server ran is suspected.
// The cause is retried and crashes another server; the other requests are retried elsewhere and are
// answered. So a request is quarantined once `crashesToQuarantine` servers have crashed while they
// ran it, as seen by all daemons together, without a complete answer in between. A complete answer
// shows that the request doesn't crash servers, and excuses the crashes that are known. Each crash
// is attributed to one cause: if a request with more crashes explains it, it doesn't count against
// the others that ran on the server. Otherwise, popular requests would be quarantined for running
// along with two harmful ones.
//
//   if (quarantine.contains(fingerprint)) refuse();
//   quarantine.noteCrash(suspect, server, now, wallNow); // A server crashed while it ran it.
//   quarantine.noteCompleteAnswer(fingerprint, now); // A server answered it completely.
//   publish(quarantine.own()); // Whenever ownVersion() has changed.
//   quarantine.applyReport(source, report, now); // A report that another daemon published.

#pragma once

#include <cstdint>
#include <vector>

#include "ramphinge/quarantine/crash_report.h"

namespace ramphinge {

// Origin of a report: its key in the store.
using CrashReportSource = Id<struct CrashReportSourceTag>;

struct QuarantineOptions
{
    // Number of crashes after which a request is quarantined. A harmless request rarely meets a
    // second crash, and each crash interrupts some ten other requests and a replica for seconds.
    int crashesToQuarantine = 2;
    // Requests in this daemon's own report.
    std::size_t maxRequests = maxReportedRequests;
    std::size_t maxRequestsPerAccount = maxReportedRequestsPerAccount;
    // Retention of an own record after its last crash. By then the caller has given up.
    Duration suspicionRetention = std::chrono::minutes(5);
    // Retention of an own record with excused crashes. Must be longer than others may report these
    // crashes: the report of a daemon that is gone stays in the store for ten minutes.
    Duration excuseRetention = std::chrono::minutes(15);
    // A complete answer also excuses crashes that become known within this time after it, since
    // reports of crashes may arrive just after the answers that disprove them. A longer time would
    // excuse a request that has become harmful since, for example with other weights.
    Duration answerExcuseWindow = std::chrono::seconds(10);
    // Complete answers that are remembered for this, at 100 bytes each: ten seconds at 200 per
    // second. Further ones are not recorded.
    std::size_t maxAnswers = 2048;
};

// A request that was on a server when that crashed.
struct SuspectRequest
{
    Fingerprint fingerprint;
    AccountId account;
    std::string route;
    std::vector<Fingerprint> parts {}; // Of its prompt.
};

// Not thread-safe: lives on the event loop.
class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options) : m_options(options) { }

    // Whether no request is suspected; then no fingerprints need to be computed.
    bool empty() const { return m_merged.empty(); }

    // Whether the request is quarantined, and must not be sent to any server.
    bool contains(const Fingerprint &fingerprint) const;

    // Records that the server crashed while it ran the request. True if that puts the request into
    // quarantine.
    bool noteCrash(const SuspectRequest &request, const HostId &server, MonotonicTime now,
                   WallTime wallNow);

    // Records that a server answered the request completely. True if that excused crashes.
    bool noteCompleteAnswer(const Fingerprint &fingerprint, MonotonicTime now);

    // Replaces the source's previous report.
    void applyReport(const CrashReportSource &source, CrashReport report, MonotonicTime now);
    // Drops the source's report, if there is one.
    void removeReport(const CrashReportSource &source);

    // Continues from the report that this daemon's previous process published.
    void adopt(const CrashReport &report, MonotonicTime now);

    // Drops own records and answers that are past their retention.
    void expire(MonotonicTime now);

    // The report that this daemon publishes, and a number that changes with it.
    const CrashReport &own() const { return m_own; }
    std::uint64_t ownVersion() const { return m_ownVersion; }
    // The last own version that added something. Removals need not be published at once: most
    // requests that a crash interrupted are answered shortly after.
    std::uint64_t ownAddedVersion() const { return m_ownAddedVersion; }

    // Changes with any change of the own report or another daemon's.
    std::uint64_t version() const { return m_version; }

    // The quarantined requests, with the merged records of all reports.
    CrashReport quarantinedRequests() const;
    // Number of suspected requests, including the quarantined ones.
    std::size_t suspectCount() const { return m_merged.size(); }

private:
    // The requests to which crashes are attributed; these are quarantined.
    const std::set<Fingerprint> &quarantinedFingerprints() const;
    bool wasRecentlyAnswered(const Fingerprint &fingerprint, MonotonicTime now) const;
    bool excuse(const Fingerprint &fingerprint, MonotonicTime now);
    // Records whether the source's report contains the request.
    void setReporter(const Fingerprint &fingerprint, const CrashReportSource &source,
                     bool isReporting);
    void makeRoom(const AccountId &account);
    void drop(const Fingerprint &fingerprint);
    void updateMerged(const Fingerprint &fingerprint);

    QuarantineOptions m_options;
    CrashReport m_own;
    // When each own record was last seen. Invariant: the same keys as m_own.
    std::map<Fingerprint, MonotonicTime> m_ownSeenAt;
    std::map<CrashReportSource, CrashReport> m_reports;
    // Index of m_reports: the sources whose reports contain a request. Hundreds of daemons report,
    // but few of them on the same request.
    std::map<Fingerprint, std::set<CrashReportSource>> m_reporters;
    // The merged records of m_own and m_reports, without those whose crashes are all excused.
    CrashReport m_merged;
    std::map<Fingerprint, MonotonicTime> m_answeredAt; // When last answered completely.
    std::uint64_t m_ownVersion = 0;
    std::uint64_t m_ownAddedVersion = 0; // Invariant: at most m_ownVersion.
    std::uint64_t m_version = 0;
    // The requests of m_merged with enough crashes to be quarantined. The attribution considers
    // only these, since hundreds of daemons report thousands of requests that a crash interrupted.
    std::set<Fingerprint> m_candidates;
    mutable std::set<Fingerprint> m_quarantined;
    mutable bool m_quarantinedIsStale = false; // A record of m_candidates has changed since.
};

} // namespace ramphinge
