// Reports that daemons exchange about server crashes: for each request, the servers that crashed
// while they ran it, and those of the crashes that are excused and no longer count.
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

// A request, and the servers that crashed while they ran it.
struct CrashRecord
{
    AccountId account; // Empty on public routes.
    std::string route; // Shown to operators.
    std::set<HostId> ended; // Server incarnations: a restarted server counts as another one.
    // Crashes that don't count: the request was shown not to be the cause, or an operator excused
    // them. May hold servers that are not in `ended`.
    std::set<HostId> excused;
    // When a server last crashed while it ran the request; in the list of tried requests, when the
    // request was granted a trial.
    WallTime lastSeen;

    // The servers whose crashes count, and their number.
    std::set<HostId> countedCrashes() const;
    int crashCount() const { return static_cast<int>(countedCrashes().size()); }
    // Whether `other` has the same servers; other fields are ignored.
    bool hasSameServers(const CrashRecord &other) const
    {
        return ended == other.ended && excused == other.excused;
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

// The most recently seen requests of `report`: at most `maxRequests`, and at most `maxPerAccount`
// of one account.
CrashReport newestOf(const CrashReport &report, std::size_t maxRequests, std::size_t maxPerAccount);

// Returns the report as JSON text, which is the same for equal reports. Writes a limited number of
// servers per request, so that the size is bounded by the number of requests.
std::string serializeCrashReport(const CrashReport &report);

// Reads at most `maxRequests` requests, and skips the rest. Errors: InvalidInput.
Result<CrashReport> parseCrashReport(const std::string &text, std::size_t maxRequests);

} // namespace ramphinge
