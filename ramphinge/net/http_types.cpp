// HTTP messages as values: see http_types.h.

#include "ramphinge/net/http_types.h"

#include <algorithm>
#include <utility>

#include "ramphinge/base/text.h"

namespace ramphinge {

HttpBody::HttpBody(std::string text)
    : m_text(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
{ }

const std::string &HttpBody::text() const
{
    static const std::string empty;
    return m_text ? *m_text : empty;
}

void HttpHeaders::add(std::string name, std::string value)
{
    m_fields.push_back({ std::move(name), std::move(value) });
}

void HttpHeaders::replace(const std::string &name, std::string value)
{
    const auto isNamed = [&name](const HttpHeader &field) {
        return sameIgnoringCase(field.name, name);
    };
    m_fields.erase(std::remove_if(m_fields.begin(), m_fields.end(), isNamed), m_fields.end());
    add(name, std::move(value));
}

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const HttpHeader &field : m_fields) {
        if (sameIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

int HttpHeaders::count(std::string_view name) const
{
    return static_cast<int>(
        std::count_if(m_fields.begin(), m_fields.end(), [name](const HttpHeader &field) {
            return sameIgnoringCase(field.name, name);
        }));
}

std::string_view HttpRequest::path() const
{
    const std::string_view whole(target);
    return whole.substr(0, whole.find('?'));
}

std::string_view HttpRequest::queryParameter(std::string_view name) const
{
    std::string_view rest(target);
    const std::size_t mark = rest.find('?');
    if (mark == std::string_view::npos)
        return {};
    rest.remove_prefix(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
    }
    return {};
}

HttpResponse jsonResponse(int status, std::string body)
{
    return { status, { { "content-type", "application/json" } }, std::move(body) };
}

} // namespace ramphinge
