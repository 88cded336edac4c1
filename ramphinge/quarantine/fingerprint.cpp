// Fingerprints of requests and of parts of prompts: see fingerprint.h.

#include "ramphinge/quarantine/fingerprint.h"

#include <string>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

constexpr std::size_t fingerprintDigits = 32;
// Contains a character that is no hexadecimal digit, so that no request's fingerprint begins so.
constexpr std::string_view promptPartPrefix = "part-";

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

Fingerprint fingerprintOf(std::string_view key, const PromptPartIdentity &identity)
{
    std::string text;
    append(text, identity.model.text());
    append(text, identity.part.text());
    return Fingerprint(std::string(promptPartPrefix)
                       + hmacSha256Hex(key, text).substr(0, fingerprintDigits));
}

bool isOfPromptPart(const Fingerprint &fingerprint)
{
    return fingerprint.text().compare(0, promptPartPrefix.size(), promptPartPrefix) == 0;
}

} // namespace ramphinge
