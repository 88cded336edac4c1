// Fingerprints of requests, independent of the attempt: all attempts of one request have the same
// fingerprint at every daemon of a deployment.
//
//   const Fingerprint fingerprint =
//       fingerprintOf(linkKey, { "POST", "h.example", "/chat/1", body, account });

#pragma once

#include <string_view>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// 128 bits in hex. Logs, the store and messages between daemons carry it instead of the request's
// contents.
using Fingerprint = Id<struct FingerprintTag>;

// The parts of a request that are the same in each attempt. Excluded: the attempt's id and
// deadline, the position from which a stream is resumed, and connection headers.
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    std::string_view target; // Path and query.
    std::string_view body; // Complete, without the chunk encoding.
    AccountId account; // Empty on public routes.
};

// HMAC-SHA-256 with `key`, which all daemons share, truncated to 128 bits. Without the key nobody
// can find a body by trying likely ones, or forge a request with the fingerprint of another.
Fingerprint fingerprintOf(std::string_view key, const RequestIdentity &identity);

} // namespace ramphinge
