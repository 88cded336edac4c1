// Idempotency keys that carry the zone and time of their creation:
// "rk1-<zone>-<creation time, ms, hex>-<random>".
//
// The new owner of a slot doesn't know which keys its predecessor granted. With the creation time
// it can grant every key that was created after it became the owner, and refuses only older ones.

#pragma once

#include <optional>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/random.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct KeyStamp
{
    ZoneId zone;
    WallTime createdAt;
};

// Nullopt if the key has no valid stamp; such a key is opaque.
std::optional<KeyStamp> parseKeyStamp(const IdempotencyKey &key);

IdempotencyKey makeStampedKey(const ZoneId &zone, WallTime now, Random &random);

} // namespace ramphinge
