// What operators do about requests that are held back: see them, and let one go. They speak to the
// store, as everything that lasts is there.

#pragma once

#include "ramphinge/quarantine/quarantine.h"
#include "ramphinge/store/key_value_store.h"

namespace ramphinge {

// The requests that daemons hold back by what the store tells now. Errors: those of the store.
Result<CrashReport> readHeldRequests(KeyValueStore &store, Yield yield);

// Excuses all ends of servers that are known under the request, so that daemons send it again. It
// is held back anew once it has ended as many servers again. Errors: NotFound if it isn't held
// back; those of the store.
Status releaseRequest(KeyValueStore &store, const RequestFingerprint &fingerprint, Yield yield);

} // namespace ramphinge
