// Hashing that is the same in every process: placement by rendezvous hashing and digests.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ramphinge {

// XXH3 of `data`; equal on every machine and in every version of the product.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

// Score of `candidate` for `key`: the highest score over all candidates wins. Removing a candidate
// moves only the keys it had won.
std::uint64_t rendezvousScore(std::uint64_t key, std::string_view candidate);

// Hex SHA-256, for API keys at rest.
std::string sha256Hex(std::string_view data);

// Hex HMAC-SHA-256 of `data` under `key`.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

// Compares in time that depends on the lengths alone.
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace ramphinge
