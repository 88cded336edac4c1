// The platform's key-value service and membership list over HTTP. Each deployment's platform may
// have its own wire format; the format is confined to the implementation of this adapter.

#pragma once

#include <memory>

#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct HttpPlatformStoreOptions
{
    Endpoint endpoint;
    Duration timeout = std::chrono::milliseconds(800); // Per call, on top of a watch's wait.
};

// Not thread-safe: one object per thread.
std::unique_ptr<PlatformStore> makeHttpPlatformStore(HttpPlatformStoreOptions options);

} // namespace ramphinge
