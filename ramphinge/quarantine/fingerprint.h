// Fingerprints of what may crash a server: a whole request, or a part of its prompt that other
// requests share. All attempts of one request, and all requests with one part, have the same
// fingerprint at every daemon of a deployment.
//
//   const Fingerprint whole =
//       fingerprintOf(linkKey, { "POST", "h.example", "/chat/1", body, account });
//   const Fingerprint part = fingerprintOf(linkKey, { model, part });

#pragma once

#include <string_view>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// 128 bits in hex, with a prefix for parts of prompts. Logs, the store and messages between daemons
// carry it instead of the request's contents.
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

// A part of a prompt, whoever sends it. Another model may run it without harm.
struct PromptPartIdentity
{
    ModelId model;
    PromptPartId part;
};

// HMAC-SHA-256 with `key`, which all daemons share, truncated to 128 bits. Without the key nobody
// can find a body by trying likely ones, or forge a request with the fingerprint of another.
Fingerprint fingerprintOf(std::string_view key, const RequestIdentity &identity);
Fingerprint fingerprintOf(std::string_view key, const PromptPartIdentity &identity);

// Whether it is the fingerprint of a part of a prompt.
bool isOfPromptPart(const Fingerprint &fingerprint);

} // namespace ramphinge
