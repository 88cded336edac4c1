// Fingerprints of requests: see fingerprint.h.

#include "ramphinge/quarantine/fingerprint.h"

#include <string>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

constexpr std::size_t fingerprintDigits = 32;

// Appends the part with a length prefix, so that different identities have different texts.
void append(std::string &text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

} // namespace

Fingerprint fingerprintOf(std::string_view key, const RequestIdentity &identity)
{
    std::string text;
    append(text, identity.method);
    append(text, identity.host);
    append(text, identity.target);
    append(text, identity.account.text());
    append(text, sha256Hex(identity.body));
    return Fingerprint(hmacSha256Hex(key, text).substr(0, fingerprintDigits));
}

} // namespace ramphinge
