// Accepted versions of the configuration: see accepted.h.

#include "ramphinge/config/accepted.h"

#include <algorithm>

#include "ramphinge/base/json.h"

namespace ramphinge {

using Json = nlohmann::json;

namespace {

template <typename IdType> Json toTexts(const std::vector<IdType> &ids)
{
    Json texts = Json::array();
    for (const IdType &id : ids)
        texts.push_back(id.text());
    return texts;
}

template <typename IdType> std::vector<IdType> parseIds(const Json &texts)
{
    std::vector<IdType> ids;
    for (const Json &text : texts)
        ids.emplace_back(text.get<std::string>());
    return ids;
}

Json withoutAccountsOf(Json expanded, const std::string &team)
{
    Json &accounts = expanded["accounts"];
    for (auto it = accounts.begin(); it != accounts.end();) {
        if (it.value().value("team", "") == team)
            it = accounts.erase(it);
        else
            ++it;
    }
    return expanded;
}

} // namespace

std::string serialize(const AcceptedConfig &config)
{
    const Json json { { "version", config.record.version.count() },
                      { "change", config.record.change.text() },
                      { "who", config.record.who },
                      { "when", toUnixMilliseconds(config.record.when) },
                      { "withoutZones", toTexts(config.record.withoutZones) },
                      { "withoutDaemons", toTexts(config.record.withoutDaemons) },
                      { "diff", config.record.diff },
                      { "document", config.document } };
    return json.dump();
}

Result<AcceptedConfigPtr> parseAccepted(const std::string &text)
{
    const Result<Json> json = parseJson(text);
    if (!json.ok())
        return json.error();
    try {
        const Json &fields = json.value();
        auto config = std::make_shared<AcceptedConfig>();
        config->record.version = ConfigVersion(fields.at("version").get<std::int64_t>());
        config->record.change = ChangeId(fields.at("change").get<std::string>());
        config->record.who = fields.at("who").get<std::string>();
        config->record.when = fromUnixMilliseconds(fields.at("when").get<std::int64_t>());
        config->record.withoutZones = parseIds<ZoneId>(fields.at("withoutZones"));
        config->record.withoutDaemons = parseIds<DaemonId>(fields.at("withoutDaemons"));
        config->record.diff = fields.at("diff");
        config->document = fields.at("document");
        Result<Configuration> parsed = parseConfiguration(config->document);
        if (!parsed.ok())
            return parsed.error();
        config->configuration = std::move(parsed.value());
        return AcceptedConfigPtr(std::move(config));
    } catch (const Json::exception &e) {
        return Error(ErrorKind::InvalidInput,
                     std::string("a stored configuration is damaged: ") + e.what());
    }
}

Result<AcceptedConfigPtr> makeSuccessor(const AcceptedConfigPtr &base, const Json &document,
                                        ChangeRecord record)
{
    Result<Configuration> parsed = parseConfiguration(document);
    if (!parsed.ok())
        return parsed.error();
    auto next = std::make_shared<AcceptedConfig>();
    const ConfigVersion before = base ? base->record.version : ConfigVersion(0);
    record.version = std::max(before, record.version) + ConfigVersion(1);
    record.diff = describeDiff(base ? base->configuration : Configuration(), parsed.value());
    next->record = std::move(record);
    next->document = document;
    next->configuration = std::move(parsed.value());
    return AcceptedConfigPtr(std::move(next));
}

Status checkAuthority(const Operator &who, const AcceptedConfigPtr &base,
                      const AcceptedConfig &next)
{
    if (who.team.empty())
        return Done {};
    const Json before = withoutAccountsOf(
        base ? base->configuration.expanded() : Configuration().expanded(), who.team);
    const Json after = withoutAccountsOf(next.configuration.expanded(), who.team);
    const Json foreign = Json::diff(before, after);
    if (foreign.empty())
        return Done {};
    return Error(ErrorKind::Unauthorized,
                 "operator " + who.name + " may change the accounts of team " + who.team
                     + " only, but the change also touches "
                     + foreign.front().value("path", std::string()) + "; leave that as it is");
}

namespace {

bool isAllowedStep(const Holding &from, const Holding &to)
{
    const Epoch next = from.epoch + Epoch(1);
    if (from.phase == to.phase)
        return from.epoch == to.epoch && from.since == to.since;
    switch (to.phase) {
    case HoldingPhase::Draining:
        return from.phase == HoldingPhase::Here && to.epoch == next;
    case HoldingPhase::There:
        return from.phase == HoldingPhase::Draining && to.epoch == from.epoch;
    case HoldingPhase::Here:
        return from.phase == HoldingPhase::Draining
            ? to.epoch == next && to.since == from.since
            : to.epoch > from.epoch && to.since != WallTime();
    }
    return false;
}

} // namespace

Status checkHoldingSteps(const Configuration &before, const Configuration &after)
{
    for (const Account &account : after.accounts()) {
        if (before.account(account.account) == nullptr)
            continue; // A new account may start in any phase.
        const Holding from = before.holdingOf(account.account);
        const Holding to = after.holdingOf(account.account);
        if (!isAllowedStep(from, to))
            return Error(ErrorKind::InvalidInput,
                         "the holding of " + account.account.text() + " can't go from "
                             + toString(from.phase) + " at epoch "
                             + std::to_string(from.epoch.count()) + " to " + toString(to.phase)
                             + " at epoch " + std::to_string(to.epoch.count())
                             + "; use \"ramphingectl handover\", which makes the steps in order");
    }
    return Done {};
}

std::vector<TakenHolding> takenHoldings(const Configuration &before, const Configuration &after)
{
    std::vector<TakenHolding> taken;
    for (const Account &account : after.accounts()) {
        const Holding from = before.holdingOf(account.account);
        const Holding to = after.holdingOf(account.account);
        if (from.phase == HoldingPhase::There && to.phase == HoldingPhase::Here)
            taken.push_back({ account.account, to.epoch });
    }
    return taken;
}

Json describeDiff(const Configuration &before, const Configuration &after)
{
    const Json old = before.expanded();
    Json patch = Json::diff(old, after.expanded());
    for (Json &operation : patch) {
        const Json::json_pointer path(operation.value("path", std::string()));
        if (operation.value("op", "") != "add" && old.contains(path))
            operation["old"] = old.at(path);
    }
    return patch;
}

} // namespace ramphinge
