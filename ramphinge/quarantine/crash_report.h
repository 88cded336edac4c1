// Reports that daemons exchange about server crashes: for each suspect, which is a request or a
// part of prompts, the servers that crashed while they ran it, and those of the crashes that are
// excused and no longer count.
//
// A reader of several reports merges them by set union, so the result doesn't depend on the order
// of reports, on duplicates, or on how many daemons observed the same crash.

#pragma once

#include <map>
#include <set>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"
#include "ramphinge/quarantine/fingerprint.h"

namespace ramphinge {

// A suspect, and the servers that crashed while they ran it.
struct CrashRecord
{
    AccountId account; // Empty on public routes, and for parts of prompts.
    std::string route; // Shown to operators.
    std::set<HostId> ended; // Server incarnations: a restarted server counts as another one.
    // Crashes that don't count: the suspect was shown not to be the cause, or an operator excused
    // them. May hold servers that are not in `ended`.
    std::set<HostId> excused;
    // When a server last crashed while it ran the suspect; in the list of tried suspects, when it
    // was granted a trial.
    WallTime lastSeen;
    // Of a part: the requests with it that crashes interrupted.
    int interruptedRequests = 0;

    // The servers whose crashes count, and their number.
    std::set<HostId> countedCrashes() const;
    int crashCount() const { return static_cast<int>(countedCrashes().size()); }
    // Whether `other` says the same of crashes; other fields are ignored.
    bool hasSameCrashes(const CrashRecord &other) const
    {
        return ended == other.ended && excused == other.excused
            && interruptedRequests == other.interruptedRequests;
    }
    // Adds what `other` has in addition.
    void merge(const CrashRecord &other);
};

using CrashReport = std::map<Fingerprint, CrashRecord>;

// Maximum number of requests in a report, over all accounts and of one account. 512 records of 150
// bytes are 75 KB of the 160 MB that the smallest machines have. The limit per account keeps a
// caller with many harmful requests from evicting the records of others.
constexpr std::size_t maxReportedRequests = 512;
constexpr std::size_t maxReportedRequestsPerAccount = 64;
// The same for parts of prompts, beside the requests. Callers choose the parts, so a caller whose
// requests are all different must not evict them: those that crashed more servers stay.
constexpr std::size_t maxReportedParts = 256;
constexpr std::size_t maxReportedSuspects = maxReportedRequests + maxReportedParts;

// The most recently seen requests of `report`: at most `maxRequests`, and at most `maxPerAccount`
// of one account.
CrashReport newestOf(const CrashReport &report, std::size_t maxRequests, std::size_t maxPerAccount);

// Returns the report as JSON text, which is the same for equal reports. Writes a limited number of
// servers per request, so that the size is bounded by the number of requests.
std::string serializeCrashReport(const CrashReport &report);

// Reads at most `maxSuspects` suspects, and skips the rest. Errors: InvalidInput.
Result<CrashReport> parseCrashReport(const std::string &text, std::size_t maxSuspects);

} // namespace ramphinge
