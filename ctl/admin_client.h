// Talks to the administration APIs of one or more daemons.

#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ramphinge/net/http_client.h"

namespace ramphinge {

struct ServerList
{
    std::vector<Endpoint> servers;
    std::string key; // Operator's key.
};

// "a:1,b:2". Errors: InvalidInput.
Result<std::vector<Endpoint>> parseServers(const std::string &text);

// Not thread-safe.
class AdminClient
{
public:
    explicit AdminClient(ServerList list) : m_list(std::move(list)) { }

    const std::vector<Endpoint> &servers() const { return m_list.servers; }

    // Calls one server. Errors: the API's own kind and message, or Unavailable, Unknown.
    Result<nlohmann::json> call(const Endpoint &server, const std::string &method,
                                const std::string &target, const nlohmann::json &body = {});

    // Calls the first server that can be reached. Nothing is tried again that may have had an
    // effect.
    Result<nlohmann::json> callAny(const std::string &method, const std::string &target,
                                   const nlohmann::json &body = {});

private:
    ServerList m_list;
    BlockingHttpClient m_client;
};

// A query parameter's value, percent-encoded.
std::string encoded(const std::string &text);

} // namespace ramphinge
