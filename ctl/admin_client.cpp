// Calls of the administration API: see admin_client.h.

#include "ctl/admin_client.h"

#include <cctype>
#include <cstdio>

namespace ramphinge {

namespace {

constexpr Duration callTimeout = std::chrono::seconds(30);

ErrorKind kindOf(int status)
{
    switch (status) {
    case 400:
        return ErrorKind::InvalidInput;
    case 401:
    case 403:
        return ErrorKind::Unauthorized;
    case 404:
        return ErrorKind::NotFound;
    case 409:
        return ErrorKind::Conflict;
    case 503:
        return ErrorKind::Unavailable;
    default:
        return ErrorKind::Unknown;
    }
}

} // namespace

Result<std::vector<Endpoint>> parseServers(const std::string &text)
{
    std::vector<Endpoint> servers;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        const Result<Endpoint> endpoint = parseEndpoint(text.substr(begin, end - begin));
        if (!endpoint.ok())
            return endpoint.error();
        servers.push_back(endpoint.value());
        begin = end + 1;
    }
    return servers;
}

Result<nlohmann::json> AdminClient::call(const Endpoint &server, const std::string &method,
                                         const std::string &target, const nlohmann::json &body)
{
    HttpRequest request { method, target, { { "authorization", "Bearer " + m_list.key } }, {} };
    if (!body.is_null()) {
        request.headers.add("content-type", "application/json");
        request.body = body.dump();
    }
    const Result<HttpResponse> response = m_client.exchange(server, request, callTimeout);
    if (!response.ok())
        return response.error();
    nlohmann::json json = nlohmann::json::parse(response.value().body, nullptr, false);
    if (response.value().status == 200 && json.is_object())
        return json;
    std::string message = response.value().body;
    if (json.is_object() && json.contains("error"))
        message = json["error"].value("message", message);
    return Error(kindOf(response.value().status), message);
}

Result<nlohmann::json> AdminClient::callAny(const std::string &method, const std::string &target,
                                            const nlohmann::json &body)
{
    Result<nlohmann::json> last =
        Error(ErrorKind::InvalidInput, "name a server with --server or RAMPHINGE_SERVERS");
    for (const Endpoint &server : m_list.servers) {
        last = call(server, method, target, body);
        const bool neverSent = !last.ok() && last.error().kind() == ErrorKind::Unavailable
            && last.error().message().rfind("no connection", 0) == 0;
        if (!neverSent)
            return last;
    }
    return last;
}

std::string percentEncoded(const std::string &text)
{
    std::string result;
    for (const unsigned char c : text) {
        if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
            result.push_back(static_cast<char>(c));
            continue;
        }
        char buffer[4];
        std::snprintf(buffer, sizeof buffer, "%%%02X", c);
        result += buffer;
    }
    return result;
}

} // namespace ramphinge
