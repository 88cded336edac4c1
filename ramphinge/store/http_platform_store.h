// The platform's service over its HTTP interface. The platform of each deployment may have another
// wire format; this adapter is the only file that knows it.

#pragma once

#include <memory>

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct HttpPlatformStoreOptions
{
    Endpoint endpoint;
    Duration timeout = std::chrono::milliseconds(800); // Of one call, beyond a watch's own wait.
};

// Not thread-safe: one object per thread.
std::unique_ptr<PlatformStore> makeHttpPlatformStore(HttpPlatformStoreOptions options);

} // namespace ramphinge
