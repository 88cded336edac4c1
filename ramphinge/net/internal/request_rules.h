// What a request's head must be like before anybody acts on it (RFC 9112, sections 3.2, 6.1 and
// 6.3): one host, a target that names a path, and a length that nobody on the way can read in two
// ways. A body whose end is in doubt could hide a second request.

#pragma once

#include "ramphinge/net/http_types.h"

namespace ramphinge {

enum class HttpVersion { Http10, Http11 };

// Whether it is certain where the request ends and whom it is for. Connections of others are to be
// closed after the refusal.
bool isUnambiguous(const HttpRequest &request, HttpVersion version);

// Whether a message, also a response, has no transfer coding but "chunked". Of several codings the
// reader must undo all; this side knows that one.
bool hasKnownCoding(const HttpHeaders &headers);

// Brings a target that names the host too ("http://host/path") into the usual form, "/path". Its
// host then goes before the Host header's.
void normalizeTarget(HttpRequest &request);

} // namespace ramphinge
