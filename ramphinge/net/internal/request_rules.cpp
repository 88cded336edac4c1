// The rules for request heads: see request_rules.h.

#include "ramphinge/net/internal/request_rules.h"

#include <algorithm>

#include "ramphinge/base/text.h"

namespace ramphinge {

namespace {

constexpr std::string_view scheme = "http://";

bool isHost(std::string_view host)
{
    constexpr std::string_view never = " \t,/?#@\\";
    return host.find_first_of(never) == std::string_view::npos;
}

bool hasOneHost(const HttpHeaders &headers, HttpVersion version)
{
    const int count = headers.count("Host");
    const bool enough = count == 1 || (count == 0 && version == HttpVersion::Http10);
    return enough && isHost(headers.find("Host").value_or(std::string_view()));
}

// A length beside a transfer coding would be a second opinion.
bool hasOneLength(const HttpHeaders &headers, HttpVersion version)
{
    if (headers.count("Transfer-Encoding") == 0)
        return headers.count("Content-Length") <= 1;
    return hasKnownCoding(headers) && version == HttpVersion::Http11
        && headers.count("Content-Length") == 0;
}

bool namesAHost(std::string_view target)
{
    return sameIgnoringCase(target.substr(0, scheme.size()), scheme);
}

bool namesAPath(const std::string &target)
{
    return target == "*" || target.front() == '/' || namesAHost(target);
}

} // namespace

bool hasKnownCoding(const HttpHeaders &headers)
{
    const int codings = headers.count("Transfer-Encoding");
    return codings == 0
        || (codings == 1 && sameIgnoringCase(*headers.find("Transfer-Encoding"), "chunked"));
}

bool isUnambiguous(const HttpRequest &request, HttpVersion version)
{
    return !request.target.empty() && namesAPath(request.target)
        && hasOneHost(request.headers, version) && hasOneLength(request.headers, version);
}

void normalizeTarget(HttpRequest &request)
{
    if (!namesAHost(request.target))
        return;
    const std::string rest = request.target.substr(scheme.size());
    const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
    const std::string host = rest.substr(0, end);
    request.target = rest.substr(end);
    if (request.target.empty() || request.target.front() == '?')
        request.target.insert(0, "/");
    request.headers.replace("Host", host);
}

} // namespace ramphinge
