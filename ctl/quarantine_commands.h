// The commands about requests that are held back, on a platform: they speak to its store.

#pragma once

#include <string>

#include "ramphinge/base/result.h"
#include "ramphinge/quarantine/crash_report.h"

namespace ramphinge {

// `store`: "address:port". Errors: InvalidInput for an address that can't be read; the store's.
Result<CrashReport> heldRequests(const std::string &store);
Status releaseHeldRequest(const std::string &store, const std::string &fingerprint);

// A line a request: fingerprint, account, route, when it was last seen, the servers.
void printHeldRequests(const CrashReport &held, std::ostream &out);
std::string heldRequestsAsJson(const CrashReport &held);

} // namespace ramphinge
