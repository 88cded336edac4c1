// Operators' commands on quarantined requests: list them, and release one. They work on the store,
// which holds all persistent state.

#pragma once

#include "ramphinge/quarantine/quarantine.h"
#include "ramphinge/store/key_value_store.h"

namespace ramphinge {

// The requests that are quarantined according to the store's current content. Errors: those of the
// store.
Result<CrashReport> readQuarantinedRequests(KeyValueStore &store, Yield yield);

// Excuses all known crashes under the request, so that daemons send it again. It is quarantined
// again once it has crashed as many servers again. Errors: NotFound if it isn't quarantined; those
// of the store.
Status releaseRequest(KeyValueStore &store, const Fingerprint &fingerprint, Yield yield);

} // namespace ramphinge
