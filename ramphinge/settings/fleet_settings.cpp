// Parses the settings of a daemon on a platform: see fleet_settings.h.

#include "ramphinge/settings/fleet_settings.h"

#include <nlohmann/json.hpp>

#include "ramphinge/base/json.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/settings/schema_check.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

Duration seconds(const Json &json, const char *field, Duration fallback)
{
    if (!json.contains(field))
        return fallback;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(json.at(field).get<double>()));
}

Duration milliseconds(const Json &json, const char *field, Duration fallback)
{
    if (!json.contains(field))
        return fallback;
    return Milliseconds(json.at(field).get<std::int64_t>());
}

Endpoint endpoint(const Json &json, const char *field, Findings &findings)
{
    const Result<Endpoint> parsed = parseEndpoint(json.at(field).get<std::string>());
    if (parsed.ok())
        return parsed.value();
    findings.push_back({ std::string("/") + field, parsed.error().message() });
    return {};
}

} // namespace

bool isFleetSettings(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    return json.is_object() && json.contains("fleet");
}

Result<FleetSettings> parseFleetSettings(const std::string &text)
{
    const Result<Json> parsed = parseJson(text);
    if (!parsed.ok())
        return parsed.error();
    const Json &json = parsed.value();
    Findings findings = checkAgainstSchema(json, fleetSettingsSchemaText);
    if (!findings.empty())
        return toError(findings);
    FleetSettings settings;
    settings.daemon = DaemonId(json.at("daemon").get<std::string>());
    settings.zone = ZoneId(json.at("zone").get<std::string>());
    settings.callers = endpoint(json, "callers", findings);
    settings.readiness = endpoint(json, "readiness", findings);
    settings.store = endpoint(json, "store", findings);
    if (json.contains("metrics"))
        settings.metrics = endpoint(json, "metrics", findings);
    if (json.contains("links"))
        settings.links = endpoint(json, "links", findings);
    if (json.contains("forwards"))
        settings.forwards = endpoint(json, "forwards", findings);
    settings.relaysFrom = json.value("relaysFrom", settings.relaysFrom);
    settings.processorShare = json.value("processorShare", settings.processorShare);
    settings.memoryMb = json.value("memoryMb", settings.memoryMb);
    if (json.contains("connectionMemoryMb"))
        settings.connectionMemoryMb = json.at("connectionMemoryMb").get<int>();
    if (settings.connectionMemoryMb >= settings.memoryMb)
        findings.push_back({ "/connectionMemoryMb", "must be less than memoryMb" });
    if (json.contains("keyRevocationMs") && !json.at("keyRevocationMs").is_null())
        settings.keyRevocation = Milliseconds(json.at("keyRevocationMs").get<std::int64_t>());
    settings.changeInForce = milliseconds(json, "changeInForceMs", settings.changeInForce);
    settings.leaveInForce = milliseconds(json, "leaveInForceMs", settings.leaveInForce);
    if (json.contains("evacuationInForceMs"))
        settings.evacuationInForce =
            Milliseconds(json.at("evacuationInForceMs").get<std::int64_t>());
    settings.coldOvershoot = json.value("coldOvershoot", settings.coldOvershoot);
    settings.coldTolerance = json.value("coldTolerance", settings.coldTolerance);
    settings.shortObjective = milliseconds(json, "shortObjectiveMs", settings.shortObjective);
    settings.serverHeartbeat = milliseconds(json, "serverHeartbeatMs", settings.serverHeartbeat);
    settings.connectivityGrace =
        milliseconds(json, "connectivityGraceMs", settings.connectivityGrace);
    settings.fileDescriptors = json.value("fileDescriptors", settings.fileDescriptors);
    settings.stopGrace = seconds(json, "stopGraceSeconds", settings.stopGrace);
    settings.retryRatio = json.value("retryRatio", settings.retryRatio);
    settings.retrySlack = json.value("retrySlack", settings.retrySlack);
    settings.retryWindow = seconds(json, "retryWindowSeconds", settings.retryWindow);
    settings.loadWindow = seconds(json, "loadWindowSeconds", settings.loadWindow);
    settings.logLevel = json.value("logLevel", settings.logLevel);
    if (!findings.empty())
        return toError(findings);
    return settings;
}

} // namespace ramphinge
