// Holds back requests that crash the servers that run them.
//
// A server that ends says nothing of which of its requests ended it, so each one that it ran is
// suspected. The one that did it comes again and ends another; what ran beside it goes on elsewhere
// and is answered. So a request is held back once `endsToHold` servers have ended under it, at
// whatever daemons, with no whole answer between: one whole answer proves that it doesn't crash
// what runs it, and excuses the ends that are known. And an end has one cause: one that a request
// with more ends explains doesn't count against the others that were there. Without that, requests
// which many callers ask would be held back for having met two harmful ones.
//
//   if (quarantine.holds(fingerprint)) refuse();
//   quarantine.noteEnd(suspect, server, now, wallNow); // A server ended while it had the request.
//   quarantine.noteAnswered(fingerprint, now); // A server answered it whole.
//   publish(quarantine.own()); // Whenever ownVersion() is another.
//   quarantine.hear(source, report, now); // What others published.

#pragma once

#include <cstdint>
#include <vector>

#include "ramphinge/quarantine/crash_report.h"

namespace ramphinge {

// Where a report comes from: a key of the store.
using CrashReportSource = Id<struct CrashReportSourceTag>;

struct QuarantineOptions
{
    // Two: an innocent request ends no second server but by bad luck, and each end takes some ten
    // other requests and a replica for seconds with it.
    int endsToHold = 2;
    // What one daemon remembers by itself, and tells the others.
    std::size_t mostRequests = mostReported;
    std::size_t mostOfAccount = mostReportedOfAccount;
    // A request under which one server ended, and that was not seen again: its caller has given up
    // long since.
    Duration suspicionLasts = std::chrono::minutes(5);
    // Longer than anybody may still tell of the ends that are excused: a report of a daemon that is
    // gone stays in the store for ten minutes.
    Duration excuseLasts = std::chrono::minutes(15);
    // Ends that are told so long after a whole answer are excused by it: the news of two ends may
    // come when the answers that disprove them have just been given. Beyond it a request that was
    // answered once may have become harmful, with other weights say.
    Duration answerProves = std::chrono::seconds(10);
    // Answers that are remembered for that, of 100 bytes each: ten seconds of 200 a second. Beyond
    // that new ones are not.
    std::size_t mostAnswers = 2048;
};

// A request, as far as reports tell of it.
struct SuspectRequest
{
    RequestFingerprint fingerprint;
    AccountId account;
    std::string route;
};

// Not thread-safe: lives on the event loop.
class Quarantine
{
public:
    explicit Quarantine(QuarantineOptions options) : m_options(options) { }

    // Whether nothing at all is suspected: then no request needs a fingerprint.
    bool empty() const { return m_united.empty(); }

    // Whether the request must not be sent to any server.
    bool holds(const RequestFingerprint &fingerprint) const;

    // A server ended while it had the request. True if the request is held back now, and was not
    // before.
    bool noteEnd(const SuspectRequest &request, const HostId &server, MonotonicTime now,
                 WallTime wallNow);

    // A server answered the request whole. True if that excused anything.
    bool noteAnswered(const RequestFingerprint &fingerprint, MonotonicTime now);

    // Takes the place of what the source told before.
    void hear(const CrashReportSource &source, CrashReport report, MonotonicTime now);
    void forget(const CrashReportSource &source);

    // What this daemon published in an earlier life; it goes on from there.
    void adopt(const CrashReport &report, MonotonicTime now);

    // Drops what is too old.
    void expire(MonotonicTime now);

    // What this daemon has to tell, and a number that changes whenever that does.
    const CrashReport &own() const { return m_own; }
    std::uint64_t ownVersion() const { return m_ownVersion; }
    // The version with which something was last added to it. What was only taken out since need not
    // be told at once: most requests that met an end are answered a moment later.
    std::uint64_t ownAddedVersion() const { return m_ownAddedVersion; }

    // Changes whenever anything that is known does, of whomever.
    std::uint64_t version() const { return m_version; }

    // The requests that are held back, with all that is known of them.
    CrashReport held() const;
    // How many requests are suspected, the held ones among them.
    std::size_t suspects() const { return m_united.size(); }

private:
    // Whom the ends are put down to, as far as is known now.
    const std::set<RequestFingerprint> &blamed() const;
    bool isProved(const RequestFingerprint &fingerprint, MonotonicTime now) const;
    bool excuse(const RequestFingerprint &fingerprint, MonotonicTime now);
    // Notes that the source tells of the request, or no longer does.
    void noteTeller(const RequestFingerprint &fingerprint, const CrashReportSource &source,
                    bool tells);
    void makeRoom(const AccountId &account);
    void drop(const RequestFingerprint &fingerprint);
    void unite(const RequestFingerprint &fingerprint);

    QuarantineOptions m_options;
    CrashReport m_own;
    std::map<RequestFingerprint, MonotonicTime> m_ownSeen; // Exactly those of m_own; when last.
    std::map<CrashReportSource, CrashReport> m_heard;
    // Who of m_heard tells of a request: hundreds of daemons report, and few of the same one.
    std::map<RequestFingerprint, std::set<CrashReportSource>> m_tellers;
    // Of m_own and all of m_heard, without records all of whose ends are excused.
    CrashReport m_united;
    std::map<RequestFingerprint, MonotonicTime> m_answered; // Lately; when last.
    std::uint64_t m_ownVersion = 0;
    std::uint64_t m_ownAddedVersion = 0; // Invariant: not above m_ownVersion.
    std::uint64_t m_version = 0;
    // Of m_united, those with enough ends to be blamed. The others, nearly all, are left out of
    // that: hundreds of daemons tell of thousands of requests that were there when a server ended.
    std::set<RequestFingerprint> m_repeated;
    mutable std::set<RequestFingerprint> m_blamed;
    mutable bool m_blamedIsOld = false; // A record of m_repeated is another since.
};

} // namespace ramphinge
