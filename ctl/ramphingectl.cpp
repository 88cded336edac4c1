// The operators' command-line tool. Prints human-readable output, or JSON with --json.
//
// Exit codes: 0 success, 1 rejected or failed, 2 usage error, 3 outcome unknown.

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "ctl/admin_client.h"
#include "ctl/handover.h"
#include "ctl/print.h"
#include "ctl/quarantine_commands.h"
#include "ctl/server_commands.h"
#include "ramphinge/base/hash.h"
#include "ramphinge/base/json.h"
#include "ramphinge/base/random.h"
#include "ramphinge/config/configuration.h"
#include "ramphinge/settings/settings.h"

namespace {

using namespace ramphinge;
using Json = nlohmann::json;

constexpr int exitFailed = 1;
constexpr int exitUsage = 2;
constexpr int exitUnknown = 3;

const char *const commandHelp = R"(Commands:
  validate FILE            check a configuration, offline
  validate-settings FILE   check a daemon's settings, offline
  schema WHAT              print a schema: configuration or settings
  diff FILE                show what a configuration would change, expanded
  apply FILE               apply a configuration on all daemons, or report why it is rejected
  config                   print the accepted configuration
  history                  list accepted changes, newest first
  status                   show daemons, replicas and planners
  explain ACCOUNT MODEL    show where a request would go, and why
  timeline [TEXT]          list events of all daemons by time; TEXT is an id of any kind
  drain                    shut the (first) server down gracefully
  handover ACCOUNT         hand an account's work over to the destination side (--to)
  quarantine               list requests quarantined because servers crashed while running them (--store)
  limits                   list servers that limit their rate, back off or are leaving, by daemon (--metrics)
  release FINGERPRINT      release a quarantined request, until it crashes servers again (--store)
  hash-key                 print the SHA-256 of a key on standard input, for a configuration
  new-key                  print a new random key
)";

int reportFailure(const Error &error)
{
    std::cerr << toString(error.kind()) << ": " << error.message() << '\n';
    return error.kind() == ErrorKind::Unknown ? exitUnknown : exitFailed;
}

// The parsed command line and the client that commands use.
struct Invocation
{
    cxxopts::ParseResult options;
    std::vector<std::string> words; // Command and its arguments.
    AdminClient client;
    bool json = false;

    std::string argument(std::size_t index) const
    {
        return index < words.size() ? words[index] : std::string();
    }
};

int printResult(const Invocation &invocation, const Result<Json> &result,
                const std::function<void(const Json &)> &print)
{
    if (!result.ok())
        return reportFailure(result.error());
    if (invocation.json)
        std::cout << result.value().dump(2) << '\n';
    else
        print(result.value());
    return 0;
}

Result<Json> readDocument(const std::string &path)
{
    const Result<std::string> text = readFile(path);
    if (!text.ok())
        return text.error();
    return parseJson(text.value());
}

int validate(const Invocation &invocation)
{
    const Result<Json> document = readDocument(invocation.argument(1));
    if (!document.ok())
        return reportFailure(document.error());
    const Findings findings = validateConfiguration(document.value());
    if (invocation.json) {
        Json list = Json::array();
        for (const Finding &finding : findings)
            list.push_back({ { "pointer", finding.pointer }, { "message", finding.message } });
        std::cout << Json { { "findings", list } }.dump(2) << '\n';
        return findings.empty() ? 0 : exitFailed;
    }
    if (!findings.empty())
        return reportFailure(toError(findings));
    std::cout << "the configuration is valid\n";
    return 0;
}

int validateSettings(const Invocation &invocation)
{
    const Result<Settings> settings = loadSettings(invocation.argument(1));
    if (!settings.ok())
        return reportFailure(settings.error());
    std::cout << "the settings are valid\n";
    return 0;
}

int schema(const Invocation &invocation)
{
    if (invocation.argument(1) == "configuration")
        std::cout << configurationSchemaText;
    else if (invocation.argument(1) == "settings")
        std::cout << settingsSchemaText;
    else
        return reportFailure(
            { ErrorKind::InvalidInput, "use \"schema configuration\" or \"schema settings\"" });
    return 0;
}

int diff(Invocation &invocation)
{
    const Result<Json> document = readDocument(invocation.argument(1));
    if (!document.ok())
        return reportFailure(document.error());
    return printResult(invocation,
                       invocation.client.callAny("POST", "/admin/v1/diff", document.value()),
                       [](const Json &json) { printDiff(json.at("diff"), std::cout); });
}

int apply(Invocation &invocation)
{
    const Result<Json> document = readDocument(invocation.argument(1));
    if (!document.ok())
        return reportFailure(document.error());
    Json body { { "document", document.value() },
                { "withoutZones", Json::array() },
                { "withoutDaemons", Json::array() } };
    if (invocation.options.count("expected-version") > 0)
        body["expectedVersion"] = invocation.options["expected-version"].as<std::int64_t>();
    for (const char *name : { "without-zone", "without-daemon" }) {
        if (invocation.options.count(name) == 0)
            continue;
        const char *field = std::string(name) == "without-zone" ? "withoutZones" : "withoutDaemons";
        body[field] = invocation.options[name].as<std::vector<std::string>>();
    }
    return printResult(invocation, invocation.client.callAny("POST", "/admin/v1/apply", body),
                       [](const Json &json) {
                           printDiff(json.at("diff"), std::cout);
                           std::cout << "version " << json.at("version")
                                     << " accepted, in force after "
                                     << json.at("inForceMs").get<double>() << " ms";
                           for (const Json &late : json.at("notYetInForce"))
                               std::cout << "; NOT YET on " << late.get<std::string>();
                           std::cout << '\n';
                       });
}

int config(Invocation &invocation)
{
    return printResult(invocation, invocation.client.callAny("GET", "/admin/v1/config"),
                       [](const Json &json) {
                           std::cerr << "version " << json.at("version") << '\n';
                           std::cout << json.at("document").dump(2) << '\n';
                       });
}

int history(Invocation &invocation)
{
    return printResult(invocation, invocation.client.callAny("GET", "/admin/v1/history"),
                       [](const Json &json) { printHistory(json.at("history"), std::cout); });
}

int status(Invocation &invocation)
{
    std::vector<DaemonStatus> all;
    bool anyAnswered = false;
    for (const Endpoint &server : invocation.client.servers()) {
        const Result<Json> answer = invocation.client.call(server, "GET", "/admin/v1/status");
        all.push_back({ toString(server), answer.ok() ? answer.value() : Json(),
                        answer.ok() ? "" : answer.error().message() });
        anyAnswered = anyAnswered || answer.ok();
    }
    if (invocation.json) {
        Json list = Json::array();
        for (const DaemonStatus &daemon : all)
            list.push_back({ { "server", daemon.server },
                             { "status", daemon.status },
                             { "error", daemon.error } });
        std::cout << list.dump(2) << '\n';
    } else {
        printStatus(all, std::cout);
    }
    return anyAnswered ? 0 : exitFailed;
}

int explain(Invocation &invocation)
{
    const std::string target = "/admin/v1/explain?account=" + percentEncoded(invocation.argument(1))
        + "&model=" + percentEncoded(invocation.argument(2))
        + "&prompt=" + percentEncoded(invocation.options["prompt"].as<std::string>());
    return printResult(invocation, invocation.client.callAny("GET", target),
                       [](const Json &json) { std::cout << json.dump(2) << '\n'; });
}

int timeline(Invocation &invocation)
{
    std::vector<Json> events;
    const std::string target =
        "/admin/v1/timeline?limit=" + std::to_string(invocation.options["limit"].as<int>())
        + "&text=" + percentEncoded(invocation.argument(1));
    for (const Endpoint &server : invocation.client.servers()) {
        const Result<Json> answer = invocation.client.call(server, "GET", target);
        if (!answer.ok()) {
            std::cerr << toString(server) << ": " << answer.error().message() << '\n';
            continue;
        }
        for (const Json &event : answer.value().at("events"))
            events.push_back(event);
    }
    std::sort(events.begin(), events.end(), [](const Json &a, const Json &b) {
        const auto order = [](const Json &event) {
            return std::make_tuple(event.value("ms", std::int64_t { 0 }),
                                   event.value("counter", std::int64_t { 0 }),
                                   event.value("daemon", std::string()));
        };
        return order(a) < order(b);
    });
    if (invocation.options.count("trace") > 0) {
        std::ofstream(invocation.options["trace"].as<std::string>()) << traceOf(events).dump();
        return 0;
    }
    if (invocation.json)
        std::cout << Json(events).dump(2) << '\n';
    else
        printEvents(events, std::cout);
    return 0;
}

int drain(Invocation &invocation)
{
    return printResult(invocation,
                       invocation.client.callAny("POST", "/admin/v1/drain", Json::object()),
                       [](const Json &) { std::cout << "draining\n"; });
}

int handover(Invocation &invocation)
{
    const Result<std::vector<Endpoint>> servers =
        parseServers(invocation.options["to"].as<std::string>());
    if (!servers.ok())
        return reportFailure(
            { ErrorKind::InvalidInput, "pass the destination side's servers with --to" });
    const std::string key = invocation.options["to-key"].as<std::string>();
    AdminClient to(
        { servers.value(), key.empty() ? invocation.options["key"].as<std::string>() : key });
    HandoverRequest request;
    request.account = invocation.argument(1);
    request.abort = invocation.options.count("abort") > 0;
    request.drainLimit = std::chrono::seconds(invocation.options["drain-limit"].as<int>());
    const Status done = handOver(invocation.client, to, request,
                                 [](const std::string &step) { std::cout << step << std::endl; });
    return done.ok() ? 0 : reportFailure(done.error());
}

int quarantine(const Invocation &invocation)
{
    const Result<CrashReport> quarantined =
        listQuarantinedRequests(invocation.options["store"].as<std::string>());
    if (!quarantined.ok())
        return reportFailure(quarantined.error());
    if (invocation.json)
        std::cout << quarantinedRequestsAsJson(quarantined.value()) << '\n';
    else
        printQuarantinedRequests(quarantined.value(), std::cout);
    return 0;
}

int limits(const Invocation &invocation)
{
    return printResult(invocation,
                       fetchServerStates(invocation.options["metrics"].as<std::string>()),
                       [](const Json &json) { printServerStates(json, std::cout); });
}

int release(const Invocation &invocation)
{
    const std::string fingerprint = invocation.argument(1);
    const Status done =
        releaseQuarantinedRequest(invocation.options["store"].as<std::string>(), fingerprint);
    if (!done.ok())
        return reportFailure(done.error());
    std::cout << fingerprint << " released; daemons will send it again within seconds\n";
    return 0;
}

int hashKey()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << sha256Hex(key) << '\n';
    return 0;
}

int newKey()
{
    Random random(entropySeed());
    std::cout << random.token() << random.token() << '\n';
    return 0;
}

int run(Invocation &invocation)
{
    const std::string command = invocation.argument(0);
    if (command == "validate")
        return validate(invocation);
    if (command == "validate-settings")
        return validateSettings(invocation);
    if (command == "schema")
        return schema(invocation);
    if (command == "diff")
        return diff(invocation);
    if (command == "apply")
        return apply(invocation);
    if (command == "config")
        return config(invocation);
    if (command == "history")
        return history(invocation);
    if (command == "status")
        return status(invocation);
    if (command == "explain")
        return explain(invocation);
    if (command == "timeline")
        return timeline(invocation);
    if (command == "drain")
        return drain(invocation);
    if (command == "handover")
        return handover(invocation);
    if (command == "quarantine")
        return quarantine(invocation);
    if (command == "limits")
        return limits(invocation);
    if (command == "release")
        return release(invocation);
    if (command == "hash-key")
        return hashKey();
    if (command == "new-key")
        return newKey();
    std::cerr << "unknown command \"" << command << "\"\n" << commandHelp;
    return exitUsage;
}

std::string environment(const char *name)
{
    const char *value = std::getenv(name);
    return value == nullptr ? "" : value;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("ramphingectl", "Operates ramphinge");
    options.add_options()(
        "server", "administration addresses, comma-separated",
        cxxopts::value<std::string>()->default_value(environment("RAMPHINGE_SERVERS")))(
        "key", "operator's key; better in RAMPHINGE_KEY",
        cxxopts::value<std::string>()->default_value(environment("RAMPHINGE_KEY")))(
        "store", "the platform's store, address:port",
        cxxopts::value<std::string>()->default_value(environment("RAMPHINGE_STORE")))(
        "metrics", "daemons' metrics addresses, comma-separated",
        cxxopts::value<std::string>()->default_value(environment("RAMPHINGE_METRICS")))(
        "json", "print JSON")("expected-version", "fail if another version is accepted",
                              cxxopts::value<std::int64_t>())(
        "without-zone", "a zone that need not confirm", cxxopts::value<std::vector<std::string>>())(
        "without-daemon", "a stopped daemon that need not confirm",
        cxxopts::value<std::vector<std::string>>())(
        "prompt", "prompt of the request to explain",
        cxxopts::value<std::string>()->default_value(""))(
        "limit", "maximum number of events from each daemon",
        cxxopts::value<int>()->default_value("1000"))("trace", "write a trace-event file",
                                                      cxxopts::value<std::string>())(
        "to", "administration addresses of the destination side",
        cxxopts::value<std::string>()->default_value(""))(
        "to-key", "operator's key of the destination side",
        cxxopts::value<std::string>()->default_value(""))("abort", "abort a handover")(
        "drain-limit", "seconds to wait for requests in progress",
        cxxopts::value<int>()->default_value("120"))("h,help", "show this")(
        "words", "command and arguments", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "words" });
    options.positional_help("COMMAND [ARGUMENTS]");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("words") == 0) {
            std::cout << options.help() << commandHelp;
            return parsed.count("help") > 0 ? 0 : exitUsage;
        }
        ServerList list;
        list.key = parsed["key"].as<std::string>();
        if (const std::string servers = parsed["server"].as<std::string>(); !servers.empty()) {
            const Result<std::vector<Endpoint>> endpoints = parseServers(servers);
            if (!endpoints.ok())
                return reportFailure(endpoints.error()), exitUsage;
            list.servers = endpoints.value();
        }
        const auto words = parsed["words"].as<std::vector<std::string>>();
        const bool json = parsed.count("json") > 0;
        Invocation invocation { parsed, words, AdminClient(std::move(list)), json };
        return run(invocation);
    } catch (const std::exception &e) {
        std::cerr << e.what() << '\n';
        return exitUsage;
    }
}
