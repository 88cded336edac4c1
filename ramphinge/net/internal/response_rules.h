// What a response's head must be like before anybody acts on it (RFC 9110, section 15; RFC 9112,
// sections 5.2 and 6.3). A head that can be read in two ways hides where the response ends: bytes
// of its body could be taken for another response.

#pragma once

#include <optional>
#include <string_view>

#include "ramphinge/net/http_types.h"

namespace ramphinge {

// Whether a field's value goes on in a second line. `fields` are whole fields as they were
// received.
bool hasFoldedLine(std::string_view fields);

// Whether the status is that of an interim response, which is followed by another one.
bool isInterim(int status);

// Why the response must not be used; nothing if it may be.
std::optional<const char *> headFault(int status, const HttpHeaders &headers);

} // namespace ramphinge
