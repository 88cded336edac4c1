// What is known of the servers that ended under requests, in the form in which daemons tell each
// other: a set of ends for each request, and the ends among them that don't count any more.
//
// Both sets only grow, and are united by whoever reads several reports; so it doesn't matter in
// which order reports arrive, how often, or who has seen the same end.

#pragma once

#include <map>
#include <set>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"
#include "ramphinge/quarantine/fingerprint.h"

namespace ramphinge {

// One request, and the servers that ended under it.
struct CrashRecord
{
    AccountId account; // Whose request it is; empty on public routes.
    std::string route; // For the operators.
    std::set<HostId> ended; // Lives of servers: one that came back and ended again is another.
    // Of `ended`, those that were proved not to be this request's doing, or that an operator
    // excused.
    std::set<HostId> excused;
    WallTime lastSeen; // When it last ended a server, or came again while it was held back.

    // The servers whose ends count, and how many they are.
    std::set<HostId> counting() const;
    int ends() const { return static_cast<int>(counting().size()); }
    // Whether `other` says nothing else of servers.
    bool tellsTheSame(const CrashRecord &other) const
    {
        return ended == other.ended && excused == other.excused;
    }
    // Takes over all that `other` knows besides.
    void unite(const CrashRecord &other);
};

using CrashReport = std::map<RequestFingerprint, CrashRecord>;

// What a report holds at most: 512 records of 150 bytes are 75 KB of the 160 MB that the smallest
// machines have. And of one account, so that a caller with very many harmful requests does not push
// out the others'.
constexpr std::size_t mostReported = 512;
constexpr std::size_t mostReportedOfAccount = 64;

// What was seen last of `report`: `most` requests, `mostOfAccount` of one account.
CrashReport newestOf(const CrashReport &report, std::size_t most, std::size_t mostOfAccount);

// As JSON text, the same for equal reports. Some servers of a request are left out where there are
// very many, so that a report is bounded by the number of its requests.
std::string serializeCrashReport(const CrashReport &report);

// Takes `mostRequests` at most, whatever the text holds. Errors: InvalidInput.
Result<CrashReport> parseCrashReport(const std::string &text, std::size_t mostRequests);

} // namespace ramphinge
