// Parses settings from JSON: see settings.h.

#include "ramphinge/settings/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "ramphinge/base/json.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/settings/schema_check.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// Reads endpoints and collects the findings about invalid ones.
class EndpointReader
{
public:
    explicit EndpointReader(const Json &json) : m_json(json) { }

    Endpoint read(const std::string &field) { return parse(m_json.at(field), "/" + field); }

    std::vector<Endpoint> readAll(const std::string &field)
    {
        std::vector<Endpoint> endpoints;
        const Json list = m_json.value(field, Json::array());
        for (std::size_t i = 0; i < list.size(); ++i)
            endpoints.push_back(parse(list[i], "/" + field + "/" + std::to_string(i)));
        return endpoints;
    }

    const Findings &findings() const { return m_findings; }

private:
    Endpoint parse(const Json &text, const std::string &pointer)
    {
        const Result<Endpoint> endpoint = parseEndpoint(text.get<std::string>());
        if (endpoint.ok())
            return endpoint.value();
        m_findings.push_back({ pointer, endpoint.error().message() });
        return {};
    }

    const Json &m_json;
    Findings m_findings;
};

RoutingChoice routingOf(const std::string &text)
{
    if (text == "round-robin")
        return RoutingChoice::RoundRobin;
    return text == "least-loaded" ? RoutingChoice::LeastLoaded : RoutingChoice::Affinity;
}

void readZones(const Json &json, Settings &settings)
{
    settings.zone = ZoneId(json.at("zone").get<std::string>());
    for (const Json &zone : json.at("zones"))
        settings.zones.emplace_back(zone.get<std::string>());
    const Json latencies = json.value("zoneLatencyMs", Json::object());
    for (const auto &[zone, latency] : latencies.items())
        settings.zoneLatencies.push_back(
            { ZoneId(zone), fromSeconds(latency.get<double>() / 1000) });
}

void readTimes(const Json &json, Settings &settings)
{
    settings.leaseLength = fromSeconds(json.value("leaseSeconds", 5.0));
    settings.clockMargin = fromSeconds(json.value("clockMarginSeconds", 0.5));
    settings.firstTokenDeadline =
        std::chrono::milliseconds(json.value("firstTokenDeadlineMs", 1000));
    settings.requestDeadline = std::chrono::milliseconds(json.value("requestDeadlineMs", 60'000));
    settings.drainLimit = fromSeconds(json.value("drainSeconds", 120.0));
    settings.loadReportInterval = std::chrono::milliseconds(json.value("loadReportMs", 200));
}

void readChoices(const Json &json, Settings &settings)
{
    settings.maxBodyBytes = json.value("maxBodyBytes", settings.maxBodyBytes);
    settings.connectionMemoryMb = json.value("connectionMemoryMb", settings.connectionMemoryMb);
    settings.maxConnections = json.value("maxConnections", settings.maxConnections);
    settings.objective = json.value("objective", "groupDowntime") == std::string("groupDowntime")
        ? Objective::GroupDowntime
        : Objective::StrandedAccelerators;
    settings.enginesHonourFencing = json.value("enginesHonourFencing", false);
    settings.slotsPerZone = json.value("slotsPerZone", settings.slotsPerZone);
    settings.routing = routingOf(json.value("routing", "affinity"));
    settings.fairness = json.value("fairness", true);
    settings.logLevel = json.value("logLevel", settings.logLevel);
    settings.timelineFile = json.value("timelineFile", "");
}

Findings checkAcrossFields(const Settings &settings)
{
    Findings findings;
    if (std::find(settings.zones.begin(), settings.zones.end(), settings.zone)
        == settings.zones.end())
        findings.push_back({ "/zone", "it is not among /zones; add it there" });
    if (settings.clockMargin * 3 > settings.leaseLength)
        findings.push_back({ "/clockMarginSeconds", "make it at most a third of leaseSeconds" });
    return findings;
}

} // namespace

Result<Settings> parseSettings(const std::string &text)
{
    const Result<Json> json = parseJson(text);
    if (!json.ok())
        return json.error();
    const Findings schemaFindings = checkAgainstSchema(json.value(), settingsSchemaText);
    if (!schemaFindings.empty())
        return toError(schemaFindings);
    Settings settings;
    EndpointReader endpoints(json.value());
    settings.daemon = DaemonId(json.value().at("daemon").get<std::string>());
    settings.callers = endpoints.read("callers");
    settings.administration = endpoints.read("administration");
    settings.peers = endpoints.read("peers");
    settings.advertisedPeers = json.value().contains("advertisedPeers")
        ? endpoints.read("advertisedPeers")
        : settings.peers;
    settings.platform = endpoints.read("platform");
    settings.peerSeeds = endpoints.readAll("peerSeeds");
    settings.sharedKey = json.value().at("sharedKey").get<std::string>();
    settings.bootstrapOperatorKeySha256 = json.value().value("bootstrapOperatorKeySha256", "");
    readZones(json.value(), settings);
    readTimes(json.value(), settings);
    readChoices(json.value(), settings);
    Findings findings = endpoints.findings();
    const Findings acrossFields = checkAcrossFields(settings);
    findings.insert(findings.end(), acrossFields.begin(), acrossFields.end());
    if (!findings.empty())
        return toError(findings);
    return settings;
}

Result<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error(ErrorKind::NotFound, "can't read " + path + "; check the path and its rights");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Result<Settings> loadSettings(const std::string &path)
{
    const Result<std::string> text = readFile(path);
    if (!text.ok())
        return text.error();
    return parseSettings(text.value());
}

} // namespace ramphinge
