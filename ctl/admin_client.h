// Client of the administration APIs of one or more daemons.

#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ramphinge/net/http_client.h"

namespace ramphinge {

struct ServerList
{
    std::vector<Endpoint> servers;
    std::string key; // The operator's key.
};

// Parses a comma-separated list of addresses, such as "a:1,b:2". Errors: InvalidInput.
Result<std::vector<Endpoint>> parseServers(const std::string &text);

// Not thread-safe.
class AdminClient
{
public:
    explicit AdminClient(ServerList list) : m_list(std::move(list)) { }

    const std::vector<Endpoint> &servers() const { return m_list.servers; }

    // Calls one daemon. Errors: the kind and message that the API returned, or Unavailable or
    // Unknown if the call failed.
    Result<nlohmann::json> call(const Endpoint &server, const std::string &method,
                                const std::string &target, const nlohmann::json &body = {});

    // Calls the first daemon to which a connection can be made. A call that may have had an effect
    // is not retried.
    Result<nlohmann::json> callAny(const std::string &method, const std::string &target,
                                   const nlohmann::json &body = {});

private:
    ServerList m_list;
    BlockingHttpClient m_client;
};

// Percent-encodes the value of a query parameter.
std::string percentEncoded(const std::string &text);

} // namespace ramphinge
