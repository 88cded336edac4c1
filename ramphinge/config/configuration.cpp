// Reading and expanding the configuration: see configuration.h.

#include "ramphinge/config/configuration.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>

namespace ramphinge {

using Json = nlohmann::json;

namespace {

std::string at(const std::string &list, std::size_t index, const std::string &field = "")
{
    return "/" + list + "/" + std::to_string(index) + (field.empty() ? "" : "/" + field);
}

// Replaces "${name}" in every string below `value`. A string that is nothing but one placeholder
// becomes the parameter with its JSON type.
class Substitution
{
public:
    explicit Substitution(Json parameters) : m_parameters(std::move(parameters)) { }

    Json apply(const Json &value)
    {
        if (value.is_string())
            return applyText(value.get<std::string>());
        if (!value.is_structured())
            return value;
        Json result = value;
        for (auto &element : result)
            element = apply(element);
        return result;
    }

    const std::set<std::string> &missing() const { return m_missing; }

private:
    Json applyText(const std::string &text)
    {
        if (text.size() > 3 && text.rfind("${", 0) == 0 && text.find('}') == text.size() - 1)
            return lookUp(text.substr(2, text.size() - 3));
        std::string result;
        std::size_t position = 0;
        while (true) {
            const std::size_t open = text.find("${", position);
            const std::size_t close = text.find('}', open);
            if (open == std::string::npos || close == std::string::npos)
                return result + text.substr(position);
            const Json value = lookUp(text.substr(open + 2, close - open - 2));
            result += text.substr(position, open - position);
            result += value.is_string() ? value.get<std::string>() : value.dump();
            position = close + 1;
        }
    }

    Json lookUp(const std::string &name)
    {
        if (m_parameters.contains(name) && !m_parameters[name].is_null())
            return m_parameters[name];
        m_missing.insert(name);
        return "";
    }

    Json m_parameters;
    std::set<std::string> m_missing;
};

// Parses an integer or a string that holds one; empty if it is neither.
std::optional<std::int64_t> integerOf(const Json &value)
{
    if (value.is_number_integer())
        return value.get<std::int64_t>();
    if (!value.is_string())
        return std::nullopt;
    const auto text = value.get<std::string>();
    std::int64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || text.empty())
        return std::nullopt;
    return number;
}

struct ModelReference
{
    std::string name;
    std::string adapter;
    ModelId model; // Without the adapter.
};

ModelReference parseReference(const std::string &text)
{
    const std::size_t versionMark = text.find('@');
    const std::string nameAndAdapter = text.substr(0, versionMark);
    const std::size_t colon = nameAndAdapter.find(':');
    ModelReference reference;
    reference.name = nameAndAdapter.substr(0, colon);
    reference.adapter = colon == std::string::npos ? "" : nameAndAdapter.substr(colon + 1);
    reference.model = ModelId(reference.name
                              + (versionMark == std::string::npos ? "" : text.substr(versionMark)));
    return reference;
}

} // namespace

// Builds a Configuration from a document that conforms to the schema, and collects findings that
// the schema can't express: duplicate names, missing references and parameters, exceeded capacity.
class ConfigurationReader
{
public:
    explicit ConfigurationReader(const Json &document) : m_document(document) { }

    Configuration read()
    {
        readModels();
        readServices();
        readTemplates();
        readAccounts();
        readOperators();
        readHoldings();
        checkCapacity();
        return std::move(m_result);
    }

    const Findings &findings() const { return m_findings; }

private:
    void addFinding(const std::string &pointer, const std::string &message)
    {
        m_findings.push_back({ pointer, message });
    }

    Json list(const std::string &name) const { return m_document.value(name, Json::array()); }

    void checkNameIsUnique(const std::string &listName, std::size_t index, const std::string &name)
    {
        if (!m_names.insert(listName + "/" + name).second)
            addFinding(at(listName, index, "name"), "\"" + name + "\" stands twice; rename one");
    }

    void readModels()
    {
        const Json models = list("models");
        for (std::size_t i = 0; i < models.size(); ++i) {
            const Json &json = models[i];
            ModelSpec spec;
            spec.model = ModelId(json.at("name").get<std::string>() + "@"
                                 + json.at("version").get<std::string>());
            spec.adapters = json.value("adapters", std::vector<std::string>());
            spec.hostsPerReplica = json.at("hostsPerReplica").get<int>();
            for (const auto &[zone, count] : json.at("replicas").items())
                spec.replicas.push_back({ ZoneId(zone), count.get<int>() });
            spec.replicaCapacity = Tokens(json.at("tokensPerSecond").get<std::int64_t>());
            spec.importance = json.value("importance", spec.importance);
            checkNameIsUnique("models", i, spec.model.text());
            m_result.m_models.push_back(std::move(spec));
        }
    }

    void readServices()
    {
        const Json services = list("services");
        for (std::size_t i = 0; i < services.size(); ++i) {
            const Json &json = services[i];
            ServiceSpec spec;
            spec.service = ServiceId(json.at("name").get<std::string>());
            spec.pathPrefix = json.at("pathPrefix").get<std::string>();
            spec.unrepeatableMethods =
                json.value("unrepeatableMethods", std::vector<std::string> { "POST", "PATCH" });
            if (spec.pathPrefix.rfind("/v1/", 0) == 0)
                addFinding(at("services", i, "pathPrefix"),
                           "/v1/ is taken by the models; choose another");
            checkNameIsUnique("services", i, spec.service.text());
            m_result.m_services.push_back(std::move(spec));
        }
    }

    void readTemplates()
    {
        const Json templates = list("templates");
        for (std::size_t i = 0; i < templates.size(); ++i) {
            const auto name = templates[i].at("name").get<std::string>();
            checkNameIsUnique("templates", i, name);
            m_templates[name] = templates[i];
        }
    }

    void readAccounts()
    {
        const Json accounts = list("accounts");
        for (std::size_t i = 0; i < accounts.size(); ++i) {
            const Json &json = accounts[i];
            checkNameIsUnique("accounts", i, json.at("name").get<std::string>());
            const auto found = m_templates.find(json.at("template").get<std::string>());
            if (found == m_templates.end()) {
                addFinding(at("accounts", i, "template"), "there is no such template; declare it");
                continue;
            }
            readAccount(i, json, found->second);
        }
    }

    void readAccount(std::size_t index, const Json &json, const Json &accountTemplate)
    {
        Json parameters = accountTemplate.value("parameters", Json::object());
        const Json given = json.value("parameters", Json::object());
        for (const auto &[name, value] : given.items()) {
            if (!parameters.contains(name))
                addFinding(at("accounts", index, "parameters/" + name),
                           "the template has no such parameter; remove it");
            parameters[name] = value;
        }
        Substitution substitution(parameters);
        const Json body = substitution.apply(accountTemplate.at("body"));
        for (const std::string &name : substitution.missing())
            addFinding(at("accounts", index, "parameters"), "give the parameter \"" + name + "\"");
        Account account;
        account.account = AccountId(json.at("name").get<std::string>());
        account.team = json.at("team").get<std::string>();
        account.apiKeysSha256 = json.value("apiKeysSha256", std::vector<std::string>());
        readGrants(index, body, account);
        indexApiKeys(index, account);
        m_result.m_accounts.push_back(std::move(account));
    }

    void readGrants(std::size_t index, const Json &body, Account &account)
    {
        const std::string pointer = at("accounts", index);
        for (const Json &json : body.value("models", Json::array())) {
            const ModelReference reference = parseReference(json.at("model").get<std::string>());
            ModelGrant grant;
            grant.model = reference.model;
            grant.adapter = reference.adapter;
            grant.alias = json.value("alias", reference.name);
            const auto share = integerOf(json.at("tokensPerSecond"));
            const auto priority = integerOf(json.value("priority", Json(0)));
            if (!share || *share < 1)
                addFinding(pointer,
                           "tokensPerSecond of " + grant.alias + " must be a whole number from 1");
            if (!priority)
                addFinding(pointer, "priority of " + grant.alias + " must be a whole number");
            grant.share = Tokens(share.value_or(1));
            grant.priority = static_cast<int>(priority.value_or(0));
            checkReference(pointer, grant);
            account.models.push_back(std::move(grant));
        }
        for (const Json &json : body.value("services", Json::array())) {
            const ServiceId service(json.get<std::string>());
            if (m_names.count("services/" + service.text()) == 0)
                addFinding(pointer, "there is no service " + service.text() + "; declare it");
            account.services.push_back(service);
        }
    }

    void checkReference(const std::string &pointer, const ModelGrant &grant)
    {
        const auto spec = std::find_if(
            m_result.m_models.begin(), m_result.m_models.end(),
            [&grant](const ModelSpec &candidate) { return candidate.model == grant.model; });
        if (spec == m_result.m_models.end()) {
            addFinding(pointer,
                       "there is no model " + grant.model.text() + "; declare it under models");
            return;
        }
        const bool loaded = grant.adapter.empty()
            || std::find(spec->adapters.begin(), spec->adapters.end(), grant.adapter)
                != spec->adapters.end();
        if (!loaded)
            addFinding(pointer, "model " + grant.model.text() + " has no adapter " + grant.adapter);
    }

    void indexApiKeys(std::size_t index, const Account &account)
    {
        for (const std::string &key : account.apiKeysSha256) {
            if (!m_result.m_byKey.emplace(key, m_result.m_accounts.size()).second)
                addFinding(at("accounts", index, "apiKeysSha256"),
                           "this key belongs to another account too; make a new one");
        }
    }

    void readOperators()
    {
        for (const Json &json : list("operators")) {
            m_result.m_operators.push_back({ json.at("name").get<std::string>(),
                                             json.at("keySha256").get<std::string>(),
                                             json.value("team", "") });
        }
    }

    void readHoldings()
    {
        const Json other = m_document.value("otherSide", Json::object());
        m_result.m_otherSide = { other.value("callers", ""), other.value("administration", "") };
        const Json holdings = list("holdings");
        for (std::size_t i = 0; i < holdings.size(); ++i) {
            const Json &json = holdings[i];
            const AccountId account(json.at("account").get<std::string>());
            if (m_result.account(account) == nullptr)
                addFinding(at("holdings", i, "account"), "there is no such account; declare it");
            Holding holding;
            holding.phase = phaseOf(json.at("phase").get<std::string>());
            holding.epoch = Epoch(json.at("epoch").get<std::int64_t>());
            holding.since = fromUnixMilliseconds(json.value("sinceMs", std::int64_t { 0 }));
            if (holding.phase != HoldingPhase::Here && m_result.m_otherSide.administration.empty())
                addFinding(at("holdings", i, "phase"),
                           "declare the other side under otherSide first");
            if (!m_result.m_holdings.emplace(account, holding).second)
                addFinding(at("holdings", i, "account"), "it stands twice; remove one");
        }
    }

    static HoldingPhase phaseOf(const std::string &text)
    {
        if (text == "draining")
            return HoldingPhase::Draining;
        return text == "there" ? HoldingPhase::There : HoldingPhase::Here;
    }

    void checkCapacity()
    {
        for (std::size_t i = 0; i < m_result.m_models.size(); ++i) {
            const ModelSpec &spec = m_result.m_models[i];
            Tokens claimed;
            std::string sum;
            for (const Account &account : m_result.m_accounts) {
                for (const ModelGrant &grant : account.models) {
                    if (grant.model != spec.model)
                        continue;
                    claimed += grant.share;
                    sum += (sum.empty() ? "" : " + ") + account.account.text() + " "
                        + std::to_string(grant.share.count());
                }
            }
            const Tokens capacity(spec.replicaCapacity.count() * spec.totalReplicas());
            if (claimed > capacity)
                addFinding(at("models", i),
                           "the accounts' shares of " + spec.model.text() + " are " + sum + " = "
                               + std::to_string(claimed.count()) + " tokens/s, but "
                               + std::to_string(spec.totalReplicas()) + " replicas x "
                               + std::to_string(spec.replicaCapacity.count()) + " = "
                               + std::to_string(capacity.count())
                               + "; lower shares or raise replicas");
        }
    }

    const Json &m_document;
    Configuration m_result;
    Findings m_findings;
    std::set<std::string> m_names;
    std::map<std::string, Json> m_templates;
};

const char *toString(HoldingPhase phase)
{
    switch (phase) {
    case HoldingPhase::Here:
        return "here";
    case HoldingPhase::Draining:
        return "draining";
    case HoldingPhase::There:
        return "there";
    }
    return "there";
}

int ModelSpec::totalReplicas() const
{
    int total = 0;
    for (const ZoneReplicas &zone : replicas)
        total += zone.count;
    return total;
}

bool ServiceSpec::isUnrepeatable(const std::string &method) const
{
    return std::find(unrepeatableMethods.begin(), unrepeatableMethods.end(), method)
        != unrepeatableMethods.end();
}

const ModelGrant *Account::grantFor(const std::string &alias) const
{
    for (const ModelGrant &grant : models) {
        if (grant.alias == alias)
            return &grant;
    }
    return nullptr;
}

bool Account::mayUse(const ServiceId &service) const
{
    return std::find(services.begin(), services.end(), service) != services.end();
}

const Account *Configuration::accountByKey(const std::string &apiKeySha256) const
{
    const auto found = m_byKey.find(apiKeySha256);
    return found == m_byKey.end() ? nullptr : &m_accounts[found->second];
}

const Account *Configuration::account(const AccountId &id) const
{
    for (const Account &account : m_accounts) {
        if (account.account == id)
            return &account;
    }
    return nullptr;
}

const ServiceSpec *Configuration::serviceForPath(std::string_view path) const
{
    const ServiceSpec *best = nullptr;
    for (const ServiceSpec &spec : m_services) {
        const std::size_t size = spec.pathPrefix.size();
        const bool below = path.substr(0, size) == spec.pathPrefix
            && (path.size() == size || path[size] == '/' || spec.pathPrefix.back() == '/');
        if (below && (best == nullptr || size > best->pathPrefix.size()))
            best = &spec;
    }
    return best;
}

const Operator *Configuration::operatorByKey(const std::string &keySha256) const
{
    for (const Operator &entry : m_operators) {
        if (entry.keySha256 == keySha256)
            return &entry;
    }
    return nullptr;
}

Holding Configuration::holdingOf(const AccountId &id) const
{
    const auto found = m_holdings.find(id);
    return found == m_holdings.end() ? Holding() : found->second;
}

Json Configuration::expandedFor(const AccountId &id) const
{
    const Account *found = account(id);
    if (found == nullptr)
        return nullptr;
    Json models = Json::object();
    for (const ModelGrant &grant : found->models) {
        models[grant.alias] = { { "model", grant.model.text() },
                                { "adapter", grant.adapter },
                                { "tokensPerSecond", grant.share.count() },
                                { "priority", grant.priority } };
    }
    Json services = Json::object();
    for (const ServiceSpec &spec : m_services) {
        if (found->mayUse(spec.service))
            services[spec.service.text()] = { { "pathPrefix", spec.pathPrefix },
                                              { "unrepeatable", spec.unrepeatableMethods } };
    }
    const Holding holding = holdingOf(id);
    return { { "holding",
               { { "phase", toString(holding.phase) },
                 { "epoch", holding.epoch.count() },
                 { "sinceMs", toUnixMilliseconds(holding.since) } } },
             { "team", found->team },
             { "models", models },
             { "services", services },
             { "apiKeysSha256", found->apiKeysSha256 } };
}

Json Configuration::expanded() const
{
    Json models = Json::object();
    for (const ModelSpec &spec : m_models) {
        Json replicas = Json::object();
        for (const ZoneReplicas &zone : spec.replicas)
            replicas[zone.zone.text()] = zone.count;
        models[spec.model.text()] = { { "adapters", spec.adapters },
                                      { "hostsPerReplica", spec.hostsPerReplica },
                                      { "replicas", replicas },
                                      { "tokensPerSecond", spec.replicaCapacity.count() },
                                      { "importance", spec.importance } };
    }
    Json accounts = Json::object();
    for (const Account &account : m_accounts)
        accounts[account.account.text()] = expandedFor(account.account);
    Json operators = Json::object();
    for (const Operator &entry : m_operators)
        operators[entry.name] = { { "team", entry.team }, { "keySha256", entry.keySha256 } };
    Json services = Json::object();
    for (const ServiceSpec &spec : m_services)
        services[spec.service.text()] = { { "pathPrefix", spec.pathPrefix },
                                          { "unrepeatable", spec.unrepeatableMethods } };
    return { { "models", models },
             { "services", services },
             { "accounts", accounts },
             { "operators", operators } };
}

Findings validateConfiguration(const Json &document)
{
    Findings findings = checkAgainstSchema(document, configurationSchemaText);
    if (!findings.empty())
        return findings;
    ConfigurationReader reader(document);
    reader.read();
    return reader.findings();
}

Result<Configuration> parseConfiguration(const Json &document)
{
    const Findings schemaFindings = checkAgainstSchema(document, configurationSchemaText);
    if (!schemaFindings.empty())
        return toError(schemaFindings);
    ConfigurationReader reader(document);
    Configuration configuration = reader.read();
    if (!reader.findings().empty())
        return toError(reader.findings());
    return configuration;
}

} // namespace ramphinge
