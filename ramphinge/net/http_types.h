// HTTP messages as plain values, so that only this library depends on Beast.

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ramphinge/base/time.h"

namespace ramphinge {

struct HttpHeader
{
    std::string name;
    std::string value;
};

// Header fields in order of arrival. Names are case-insensitive.
class HttpHeaders
{
public:
    HttpHeaders() = default;
    HttpHeaders(std::initializer_list<HttpHeader> fields) : m_fields(fields) { }

    void add(std::string name, std::string value);

    // Replaces all fields of that name by one with this value.
    void replace(const std::string &name, std::string value);

    // The value of the first field of that name; nullopt if there is none.
    std::optional<std::string_view> find(std::string_view name) const;

    // Number of fields with that name.
    int count(std::string_view name) const;

    const std::vector<HttpHeader> &fields() const { return m_fields; }

private:
    std::vector<HttpHeader> m_fields;
};

// The body of a request. Immutable and shared by all copies of the request: a large body is in
// memory once while the request is decoded, routed, sent and sent again.
class HttpBody
{
public:
    HttpBody() = default;
    HttpBody(std::string text);
    HttpBody(const char *text) : HttpBody(std::string(text)) { }

    const std::string &text() const;
    std::size_t size() const { return text().size(); }
    bool empty() const { return m_text == nullptr; }

private:
    std::shared_ptr<const std::string> m_text; // Null if empty.
};

struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    HttpBody body;

    // The target without its query.
    std::string_view path() const;

    // The value of a query parameter, not percent-decoded; empty if absent.
    std::string_view queryParameter(std::string_view name) const;
};

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

// A response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

} // namespace ramphinge
