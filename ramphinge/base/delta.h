// A value described by what it shares with an earlier one: for large documents of which each
// version differs little from the last.
//
//   const Delta delta = makeDelta(base, target);
//   if (delta.encodedBytes() < target.size() / 2)
//       send(delta);
//   ...
//   const Result<std::string> value = applyDelta(base, delta);

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ramphinge/base/result.h"

namespace ramphinge {

// A range of the base, or literal bytes if `length` is 0.
struct DeltaSegment
{
    std::size_t offset = 0;
    std::size_t length = 0;
    std::string literal;
};

struct Delta
{
    std::vector<DeltaSegment> segments; // In the order of the target.
    std::uint64_t targetHash = 0; // stableHash() of the target.

    // About the size on the wire.
    std::size_t encodedBytes() const;
};

// Finds common ranges of 256 bytes and more. Takes time in proportion to both sizes.
Delta makeDelta(std::string_view base, std::string_view target);

// Errors: InvalidInput if a segment is outside of the base, if the result is larger than
// `maxBytes`, or if it isn't the target, since the delta was made for another base.
Result<std::string> applyDelta(std::string_view base, const Delta &delta, std::size_t maxBytes);

} // namespace ramphinge
