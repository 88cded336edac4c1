// Servers that limit their rate, for operators: see limit_commands.h.

#include "ctl/limit_commands.h"

#include "ctl/admin_client.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/settings/schema_check.h"

namespace ramphinge {

namespace {

constexpr const char *limitsPath = "/limits";
constexpr int statusOk = 200;
constexpr Duration timeout = std::chrono::seconds(3);

Result<nlohmann::json> limitsAt(const Endpoint &daemon)
{
    BlockingHttpClient client;
    const Result<HttpResponse> response =
        client.exchange(daemon, { "GET", limitsPath, {}, {} }, timeout);
    if (!response.ok())
        return response.error();
    if (response.value().status != statusOk)
        return Error(ErrorKind::Unavailable,
                     toString(daemon) + " answered " + std::to_string(response.value().status));
    return parseJson(response.value().body);
}

} // namespace

Result<nlohmann::json> limitedServers(const std::string &daemons)
{
    const Result<std::vector<Endpoint>> endpoints = parseServers(daemons);
    if (!endpoints.ok() || endpoints.value().empty())
        return Error(ErrorKind::InvalidInput, "say which daemons to ask, with --metrics");
    nlohmann::json byDaemon = nlohmann::json::object();
    for (const Endpoint &daemon : endpoints.value()) {
        Result<nlohmann::json> limits = limitsAt(daemon);
        if (!limits.ok())
            return limits.error();
        byDaemon[toString(daemon)] = std::move(limits.value());
    }
    return byDaemon;
}

void printLimitedServers(const nlohmann::json &byDaemon, std::ostream &out)
{
    for (const auto &[daemon, limits] : byDaemon.items()) {
        if (limits.empty())
            out << daemon << "  no server limits its rate\n";
        for (const nlohmann::json &limit : limits)
            out << daemon << "  " << limit.at("host").get<std::string>() << "  service "
                << limit.at("service").get<std::string>() << "  "
                << limit.at("per_second").get<double>() << " a second"
                << (limit.at("ended").get<bool>() ? " and rising, its limit has ended" : "")
                << (limit.at("shares").get<bool>() ? ", sent to by this daemon" : "") << "  stated "
                << limit.at("stated_ms_ago").get<double>() / 1000 << " s ago\n";
    }
}

} // namespace ramphinge
