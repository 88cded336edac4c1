// Small documents in the store: see documents.h.

#include "ramphinge/control/documents.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "ramphinge/base/json.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxHistory = 30;
constexpr std::size_t maxHistoryDiff = 4096;

ChangeRecord recordFrom(const Json &json)
{
    ChangeRecord record;
    record.version = ConfigVersion(json.value("version", std::int64_t { 0 }));
    record.change = ChangeId(json.value("change", ""));
    record.who = json.value("who", "");
    record.when = fromUnixMilliseconds(json.value("when", std::int64_t { 0 }));
    record.diff = json.value("diff", Json());
    for (const Json &left : json.value("without", Json::array())) {
        const auto text = left.get<std::string>();
        if (text.rfind("zone ", 0) == 0)
            record.withoutZones.emplace_back(text.substr(5));
        else if (text.rfind("daemon ", 0) == 0)
            record.withoutDaemons.emplace_back(text.substr(7));
    }
    return record;
}

// Runs `read` on the parsed text; all failures become errors of one kind.
template <typename T, typename Read>
Result<T> readDocument(const std::string &what, const std::string &text, Read read)
{
    const Result<Json> json = parseJson(text);
    if (!json.ok())
        return Error(ErrorKind::InvalidInput,
                     "a stored " + what + " is damaged: " + json.error().message());
    try {
        return read(json.value());
    } catch (const Json::exception &e) {
        return Error(ErrorKind::InvalidInput, "a stored " + what + " is damaged: " + e.what());
    }
}

Json endpointJson(const Endpoint &endpoint)
{
    return { { "address", endpoint.address }, { "port", endpoint.port } };
}

Endpoint endpointOf(const Json &json)
{
    return { json.at("address").get<std::string>(), json.at("port").get<std::uint16_t>() };
}

Json storedOrNull(const AcceptedConfigPtr &config)
{
    return config ? Json(serialize(*config)) : Json(nullptr);
}

} // namespace

std::string serialize(const DaemonRecord &record)
{
    return Json {
        { "daemon", record.daemon.text() },
        { "zone", record.zone.text() },
        { "peers", endpointJson(record.peers) },
        { "administration", endpointJson(record.administration) },
        { "incarnation", record.incarnation }
    }.dump();
}

Result<DaemonRecord> parseDaemonRecord(const std::string &text)
{
    return readDocument<DaemonRecord>("registration", text, [](const Json &json) {
        return DaemonRecord { DaemonId(json.at("daemon").get<std::string>()),
                              ZoneId(json.at("zone").get<std::string>()),
                              endpointOf(json.at("peers")), endpointOf(json.at("administration")),
                              json.at("incarnation").get<std::string>() };
    });
}

std::string serialize(const ZoneRoster &roster)
{
    Json daemons = Json::array();
    for (const DaemonId &daemon : roster.daemons)
        daemons.push_back(daemon.text());
    return Json { { "zone", roster.zone.text() }, { "daemons", daemons } }.dump();
}

Result<ZoneRoster> parseRoster(const std::string &text)
{
    return readDocument<ZoneRoster>("roster", text, [](const Json &json) {
        ZoneRoster roster { ZoneId(json.at("zone").get<std::string>()), {} };
        for (const Json &daemon : json.at("daemons"))
            roster.daemons.emplace_back(daemon.get<std::string>());
        return roster;
    });
}

std::string serialize(const RoleRecord &record)
{
    return Json {
        { "daemon", record.daemon.text() }, { "incarnation", record.incarnation }
    }.dump();
}

Result<RoleRecord> parseRole(const std::string &text)
{
    return readDocument<RoleRecord>("role", text, [](const Json &json) {
        return RoleRecord { DaemonId(json.at("daemon").get<std::string>()),
                            json.at("incarnation").get<std::string>() };
    });
}

std::string serialize(const ReignRecord &record)
{
    return Json {
        { "number", record.number },
        { "daemon", record.daemon.text() },
        { "incarnation", record.incarnation },
        { "copyAt", record.copyAt.text() },
        { "copyIncarnation", record.copyIncarnation }
    }.dump();
}

Result<ReignRecord> parseReign(const std::string &text)
{
    return readDocument<ReignRecord>("reign", text, [](const Json &json) {
        return ReignRecord { json.at("number").get<std::int64_t>(),
                             DaemonId(json.at("daemon").get<std::string>()),
                             json.at("incarnation").get<std::string>(),
                             DaemonId(json.value("copyAt", "")),
                             json.value("copyIncarnation", "") };
    });
}

ConfigState acceptedState(const ConfigState &before, const AcceptedConfigPtr &next)
{
    ConfigState state { next, nullptr, DaemonId(), before.history };
    state.history.insert(state.history.begin(), next->record);
    if (state.history.size() > maxHistory)
        state.history.resize(maxHistory);
    return state;
}

bool wasAccepted(const ConfigState &state, const ChangeId &change)
{
    return std::any_of(state.history.begin(), state.history.end(),
                       [&change](const ChangeRecord &record) { return record.change == change; });
}

Json toJson(const ChangeRecord &record)
{
    Json without = Json::array();
    for (const ZoneId &zone : record.withoutZones)
        without.push_back("zone " + zone.text());
    for (const DaemonId &daemon : record.withoutDaemons)
        without.push_back("daemon " + daemon.text());
    const bool isLong = record.diff.dump().size() > maxHistoryDiff;
    return { { "version", record.version.count() },
             { "change", record.change.text() },
             { "who", record.who },
             { "when", toUnixMilliseconds(record.when) },
             { "without", without },
             { "diff", isLong ? Json("too long to keep") : record.diff } };
}

std::string serialize(const ConfigState &state)
{
    Json history = Json::array();
    for (const ChangeRecord &record : state.history)
        history.push_back(toJson(record));

    return Json {
        { "accepted", storedOrNull(state.accepted) },
        { "proposal", storedOrNull(state.proposal) },
        { "proposer", state.proposer.text() },
        { "history", history }
    }.dump();
}

Result<ConfigState> parseConfigState(const std::string &text)
{
    ConfigState state;
    const Result<Json> json = parseJson(text);
    if (!json.ok())
        return json.error();
    for (const auto &[name, target] : { std::make_pair("accepted", &state.accepted),
                                        std::make_pair("proposal", &state.proposal) }) {
        const Json &stored = json.value().value(name, Json());
        if (!stored.is_string())
            continue;
        const Result<AcceptedConfigPtr> config = parseAccepted(stored.get<std::string>());
        if (!config.ok())
            return config.error();
        *target = config.value();
    }
    state.proposer = DaemonId(json.value().value("proposer", ""));
    for (const Json &entry : json.value().value("history", Json::array()))
        state.history.push_back(recordFrom(entry));
    return state;
}

} // namespace ramphinge
