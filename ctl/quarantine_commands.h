// The commands that list and release quarantined requests. They access the platform's store
// directly.

#pragma once

#include <string>

#include "ramphinge/base/result.h"
#include "ramphinge/quarantine/crash_report.h"

namespace ramphinge {

// `store`: "address:port". Errors: InvalidInput if the address is malformed; the store's errors.
Result<CrashReport> listQuarantinedRequests(const std::string &store);
Status releaseQuarantinedRequest(const std::string &store, const std::string &fingerprint);

// Prints one line per request: fingerprint, account, route, when it was last seen, and the servers
// that crashed while running it.
void printQuarantinedRequests(const CrashReport &quarantined, std::ostream &out);
std::string quarantinedRequestsAsJson(const CrashReport &quarantined);

} // namespace ramphinge
