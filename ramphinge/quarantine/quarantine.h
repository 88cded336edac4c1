// Quarantines what crashes the servers that run it: requests, and parts of prompts that requests
// share.
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
// A part of a prompt may be in most requests of a route, so that it is on every server that
// crashes. What tells it from the cause is that servers go on running other requests with it. A
// crash therefore doesn't count against a part if a server began a request with it after the crash,
// and ran it without harm. For a part that this daemon knows to be sound, a crash only counts once
// there was time for such a request: before, the part is neither reported nor quarantined.
//
//   if (quarantine.contains(request)) refuse();
//   quarantine.noteCrash(request, server, now, wallNow); // A server crashed while it ran it.
//   quarantine.noteCompleteAnswer(fingerprint, now); // A server answered it completely.
//   quarantine.notePartsSound(parts, begunAt, now); // A server ran a request with these parts.
//   quarantine.advance(now); // Regularly: crashes may count after a while.
//   publish(quarantine.own()); // Whenever ownVersion() has changed.
//   quarantine.applyReport(source, report, now); // A report that another daemon published.

#pragma once

#include <cstdint>
#include <vector>

#include "ramphinge/quarantine/crash_report.h"
#include "ramphinge/quarantine/part_soundness.h"

namespace ramphinge {

// Origin of a report: its key in the store.
using CrashReportSource = Id<struct CrashReportSourceTag>;

struct QuarantineOptions
{
    // Number of crashes after which a request is quarantined. A harmless request rarely meets a
    // second crash, and each crash interrupts some ten other requests and a replica for seconds.
    int crashesToQuarantine = 2;
    // The same for a part of a prompt. More than for a request, since a sound part may be in
    // several requests that run along with a harmful one. It takes one crash more each time that
    // the requests with it that a crash interrupts double: the more requests have a part, the more
    // crashes it meets, and the more would be held back.
    int crashesToQuarantinePart = 3;
    std::size_t maxParts = maxReportedParts; // In this daemon's own report.
    // A stream that goes on for this long after its first event shows that its parts are sound. A
    // harmful part crashes its server a tenth of a second after the stream begins.
    Duration partSurvivalTime = std::chrono::seconds(1);
    // After a crash, the time in which a sound part is expected to be shown to be so.
    Duration partEvidenceTime = std::chrono::seconds(2);
    // Sound parts that are remembered: twice this many at most, at 150 bytes each.
    std::size_t maxSoundParts = 4096;
    // Crashes of sound parts that don't count yet. Further ones are not recorded.
    std::size_t maxDeferredCrashes = 2048;
    // A report's crash is at most this old, whatever the clock of the daemon that reported it says.
    Duration maxReportAge = std::chrono::seconds(10);
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

// Numbers of suspects; the quarantined ones are suspected, too.
struct SuspectCounts
{
    std::size_t requests = 0;
    std::size_t parts = 0;
    std::size_t quarantinedRequests = 0;
    std::size_t quarantinedParts = 0;
};

// Not thread-safe: lives on the event loop.
class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options)
        : m_options(options), m_soundParts(options.maxSoundParts)
    { }

    // Whether nothing is suspected.
    bool empty() const { return m_merged.empty(); }
    // Whether nothing is quarantined; then no fingerprints need to be computed for contains().
    bool quarantinesNothing() const;

    // Whether the request or part is quarantined.
    bool contains(const Fingerprint &fingerprint) const;
    // Whether the request or a part of its prompt is quarantined, so that it must not be sent to
    // any server.
    bool contains(const SuspectRequest &request) const { return !causesIn(request).empty(); }
    // What of the request is quarantined: itself, parts of its prompt, or nothing.
    std::vector<Fingerprint> causesIn(const SuspectRequest &request) const;

    // Records that the server crashed while it ran the request. True if that puts the request or a
    // part of its prompt into quarantine.
    bool noteCrash(const SuspectRequest &request, const HostId &server, MonotonicTime now,
                   WallTime wallNow);

    // Records that a server answered the request completely. True if that excused crashes.
    bool noteCompleteAnswer(const Fingerprint &fingerprint, MonotonicTime now);

    // Records that a server began to answer a request with these parts at `begunAt`, and answered
    // it completely or for `partSurvivalTime`. True if that excused crashes.
    bool notePartsSound(const std::vector<Fingerprint> &parts, MonotonicTime begunAt,
                        MonotonicTime now);
    // Whether a part is suspected, so that streams that go on are worth being noted.
    bool suspectsParts() const { return !m_deferredCrashes.empty() || !m_partCrashes.empty(); }
    Duration partSurvivalTime() const { return m_options.partSurvivalTime; }

    // Lets crashes of sound parts count that nothing has disproved in time.
    void advance(MonotonicTime now);

    // Replaces the source's previous report. `wallNow` tells how old its crashes are.
    void applyReport(const CrashReportSource &source, CrashReport report, MonotonicTime now,
                     WallTime wallNow);
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

    // What is quarantined, with the merged records of all reports.
    CrashReport quarantined() const;
    // Number of suspected requests and parts, including the quarantined ones.
    std::size_t suspectCount() const { return m_merged.size(); }
    SuspectCounts suspectCounts() const;

private:
    // A crash of a part.
    struct PartCrash
    {
        MonotonicTime crashedAt; // For a report's, as its time stamp tells.
        MonotonicTime countsFrom;
    };

    // A crash of a part that this daemon knows to be sound.
    struct DeferredCrash
    {
        Fingerprint part;
        HostId server;
        std::string route;
        MonotonicTime crashedAt;
        WallTime seenAt;
    };

    // The suspects to which crashes are attributed; these are quarantined.
    const std::set<Fingerprint> &quarantinedFingerprints() const;
    int crashesToQuarantine(const Fingerprint &fingerprint, const CrashRecord &merged) const;
    // The servers whose crashes count against the suspect.
    std::set<HostId> countedCrashes(const Fingerprint &fingerprint,
                                    const CrashRecord &merged) const;
    void notePartCrash(const DeferredCrash &crash, MonotonicTime now);
    // Records when the part's crashes that `record` reports happened, unless it is known.
    void setCrashTimes(const Fingerprint &part, const CrashRecord &record, MonotonicTime crashedAt);
    // Excuses the crashes before the part was last sound; false if there are none that count.
    bool excusePart(const Fingerprint &part, MonotonicTime now);
    bool isSoundSince(const Fingerprint &part, const HostId &server) const;
    bool wasRecentlyAnswered(const Fingerprint &fingerprint, MonotonicTime now) const;
    bool excuse(const Fingerprint &fingerprint, MonotonicTime now);
    // Records whether the source's report contains the request.
    void setReporter(const Fingerprint &fingerprint, const CrashReportSource &source,
                     bool isReporting);
    void makeRoom(const AccountId &account);
    void makeRoomForPart();
    void drop(const Fingerprint &fingerprint);
    void updateMerged(const Fingerprint &fingerprint);
    void forgetCrashTimes(const Fingerprint &part, const CrashRecord &merged);

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
    PartSoundness m_soundParts;
    std::vector<DeferredCrash> m_deferredCrashes; // In the order of their times.
    // Of the parts in m_merged. Invariant: the servers of each are those of its merged record.
    std::map<Fingerprint, std::map<HostId, PartCrash>> m_partCrashes;
    std::multimap<MonotonicTime, Fingerprint>
        m_countingLater; // Parts with a crash that counts then.
    MonotonicTime m_now; // The latest that was passed.
    // The suspects of m_merged with enough crashes to be quarantined. The attribution considers
    // only these, since hundreds of daemons report thousands of requests that a crash interrupted.
    std::set<Fingerprint> m_candidates;
    mutable std::set<Fingerprint> m_quarantined;
    mutable bool m_quarantinedIsStale = false; // A record of m_candidates has changed since.
};

} // namespace ramphinge
