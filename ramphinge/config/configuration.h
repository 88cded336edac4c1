// The operators' configuration, with templates expanded: client accounts with their grants, models
// with the replicas to run, services with their paths.
//
//   Result<Configuration> config = parseConfiguration(text);
//   const Account *account = config.value().accountByKey(sha256Hex(apiKey));

#pragma once

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"
#include "ramphinge/settings/schema_check.h"

namespace ramphinge {

struct ZoneReplicas
{
    ZoneId zone;
    int count = 0;
};

// A version of a model and the replicas of it that are to run.
struct ModelSpec
{
    ModelId model; // name@version
    std::vector<std::string> adapters;
    int hostsPerReplica = 1;
    std::vector<ZoneReplicas> replicas;
    Tokens replicaCapacity; // Tokens per second of one replica.
    int importance = 50;

    int totalReplicas() const;
};

struct ServiceSpec
{
    ServiceId service;
    std::string pathPrefix;
    std::vector<std::string> unrepeatableMethods;

    bool isUnrepeatable(const std::string &method) const;
};

// What one account gets of one model.
struct ModelGrant
{
    std::string alias; // The name that callers use.
    ModelId model; // name@version: which replicas serve it.
    std::string adapter; // Empty for the base model.
    Tokens share; // Tokens per second, guaranteed while there is demand.
    int priority = 0;
};

struct Account
{
    AccountId account;
    std::string team;
    std::vector<ModelGrant> models;
    std::vector<ServiceId> services;
    std::vector<std::string> apiKeysSha256;

    const ModelGrant *grantFor(const std::string &alias) const;
    bool mayUse(const ServiceId &service) const;
};

// Which side of a migration serves an account; see docs/design/migration.md.
enum class HoldingPhase {
    Here, // Its requests are served here.
    Draining, // New requests are refused here; those in progress finish here.
    There, // The other side serves its requests.
};

const char *toString(HoldingPhase phase);

struct Holding
{
    HoldingPhase phase = HoldingPhase::Here;
    Epoch epoch; // Grows with each handover; shared by both sides.
    WallTime since; // When this side took it over; the Unix epoch if the other side never had it.
};

// The other system in a migration.
struct OtherSide
{
    std::string callers; // Where callers connect to it; sent to callers that reach the wrong side.
    std::string
        administration; // address:port of one of its administration APIs; empty: no migration.
};

struct Operator
{
    std::string name;
    std::string keySha256;
    std::string team; // Empty if the operator may change everything.
};

// Immutable once parsed.
class Configuration
{
public:
    Configuration() = default;

    const std::vector<ModelSpec> &models() const { return m_models; }
    const std::vector<ServiceSpec> &services() const { return m_services; }
    const std::vector<Account> &accounts() const { return m_accounts; }
    const std::vector<Operator> &operators() const { return m_operators; }

    // Null if there is none.
    const Account *accountByKey(const std::string &apiKeySha256) const;
    const Account *account(const AccountId &id) const;
    const ServiceSpec *serviceForPath(std::string_view path) const;
    const Operator *operatorByKey(const std::string &keySha256) const;

    // The phase is Here unless the document says otherwise.
    Holding holdingOf(const AccountId &id) const;
    const OtherSide &otherSide() const { return m_otherSide; }

    // The expanded form, for people and for diffs.
    nlohmann::json expanded() const;

    // Everything that decides how this account is served: if the values of two configurations are
    // equal, they serve it alike. Null if there is no such account.
    nlohmann::json expandedFor(const AccountId &id) const;

private:
    friend class ConfigurationReader;

    std::vector<ModelSpec> m_models;
    std::vector<ServiceSpec> m_services;
    std::vector<Account> m_accounts;
    std::vector<Operator> m_operators;
    std::map<AccountId, Holding> m_holdings;
    OtherSide m_otherSide;
    std::map<std::string, std::size_t> m_byKey; // Index in m_accounts by hash of the API key.
};

// Checks schema, references, parameters and capacity, and expands templates. Errors: InvalidInput
// with a line for each finding, by JSON pointer; shares that exceed a model's capacity are listed
// with their sum.
Result<Configuration> parseConfiguration(const nlohmann::json &document);

// Returns all findings of parseConfiguration(); empty if the document is valid.
Findings validateConfiguration(const nlohmann::json &document);

} // namespace ramphinge
