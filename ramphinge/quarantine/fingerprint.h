// What a caller asks for, told apart from the attempt that brings it: two attempts of one request
// have the same fingerprint, at every daemon of a deployment.
//
//   const RequestFingerprint fingerprint =
//       fingerprintOf(linkKey, { "POST", "h.example", "/chat/1", body, account });

#pragma once

#include <string_view>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// 128 bits in hex. Goes into logs, the store and links in place of what it was made of.
using RequestFingerprint = Id<struct RequestFingerprintTag>;

// The parts of a request that stay the same when it comes again. Left out on purpose: the id and
// the deadline of the attempt, the point from which a stream is resumed, headers of the connection.
struct RequestIdentity
{
    std::string_view method;
    std::string_view host;
    std::string_view target; // Path and query.
    std::string_view body; // Whole, however its chunks were cut.
    AccountId account; // Empty on public routes.
};

// HMAC-SHA-256 under `key`, which all daemons share: without it nobody can find a body by trying
// likely ones, or make a request that has another's fingerprint.
RequestFingerprint fingerprintOf(std::string_view key, const RequestIdentity &identity);

} // namespace ramphinge
