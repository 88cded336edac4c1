// Hashes that are the same in every process: rendezvous hashing and digests.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ramphinge {

// XXH3 of `data`; the same on every machine and in every version of the product.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

// Rendezvous hashing: a key is assigned to the candidate with the highest score. Removing a
// candidate reassigns only its own keys.
std::uint64_t rendezvousScore(std::uint64_t key, std::string_view candidate);

// Hex SHA-256, for stored API keys.
std::string sha256Hex(std::string_view data);

// Hex HMAC-SHA-256 of `data` under `key`.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

// Compares in time that depends only on the lengths.
bool equalConstantTime(std::string_view a, std::string_view b);

} // namespace ramphinge
