// Idempotency keys that carry where and when they were made: "rk1-<zone>-<birth ms, hex>-<random>".
//
// A new owner of a key's slot has no memory of what its predecessor granted. A birth time lets it
// vouch at once for every key born after it took over, and refuse only what may predate it.

#pragma once

#include <optional>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/random.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct KeyStamp
{
    ZoneId zone;
    WallTime birth;
};

// Nothing if the key carries no stamp; such a key is opaque.
std::optional<KeyStamp> parseKeyStamp(const IdempotencyKey &key);

// A new stamped key.
IdempotencyKey makeStampedKey(const ZoneId &zone, WallTime now, Random &random);

} // namespace ramphinge
