// Servers' announced limits, backoffs and departures: see server_commands.h.

#include "ctl/server_commands.h"

#include "ctl/admin_client.h"
#include "ramphinge/base/json.h"
#include "ramphinge/net/http_client.h"

namespace ramphinge {

namespace {

constexpr const char *statesPath = "/limits";
constexpr int statusOk = 200;
constexpr Duration timeout = std::chrono::seconds(3);

Result<nlohmann::json> fetchStatesFrom(const Endpoint &daemon)
{
    BlockingHttpClient client;
    const Result<HttpResponse> response =
        client.exchange(daemon, { "GET", statesPath, {}, {} }, timeout);
    if (!response.ok())
        return response.error();
    if (response.value().status != statusOk)
        return Error(ErrorKind::Unavailable,
                     toString(daemon) + " answered " + std::to_string(response.value().status));
    return parseJson(response.value().body);
}

void printLimit(const nlohmann::json &limit, std::ostream &out)
{
    out << "  " << limit.at("per_second").get<double>() << " a second"
        << (limit.at("ended").get<bool>() ? " and rising, its limit has ended" : "")
        << (limit.at("shares").get<bool>() ? ", sent to by this daemon" : "") << ", stated "
        << limit.at("stated_ms_ago").get<double>() / 1000 << " s ago";
}

void printBackoff(double leftMilliseconds, std::ostream &out)
{
    if (leftMilliseconds > 0)
        out << "  asked for no requests for " << leftMilliseconds / 1000 << " s more";
    else
        out << "  is tried again after a backoff";
}

} // namespace

Result<nlohmann::json> fetchServerStates(const std::string &daemons)
{
    const Result<std::vector<Endpoint>> endpoints = parseServers(daemons);
    if (!endpoints.ok() || endpoints.value().empty())
        return Error(ErrorKind::InvalidInput, "say which daemons to ask, with --metrics");
    nlohmann::json byDaemon = nlohmann::json::object();
    for (const Endpoint &daemon : endpoints.value()) {
        Result<nlohmann::json> states = fetchStatesFrom(daemon);
        if (!states.ok())
            return states.error();
        byDaemon[toString(daemon)] = std::move(states.value());
    }
    return byDaemon;
}

void printServerStates(const nlohmann::json &byDaemon, std::ostream &out)
{
    for (const auto &[daemon, states] : byDaemon.items()) {
        if (states.empty())
            out << daemon << "  no server limits its rate, asked for backoff or leaves\n";
        for (const nlohmann::json &state : states) {
            out << daemon << "  " << state.at("host").get<std::string>() << "  service "
                << state.at("service").get<std::string>();
            if (state.contains("limit"))
                printLimit(state.at("limit"), out);
            if (state.contains("backoff_left_ms"))
                printBackoff(state.at("backoff_left_ms").get<double>(), out);
            if (state.value("leaving", false))
                out << "  leaves";
            out << "\n";
        }
    }
}

} // namespace ramphinge
