// The administration API: see admin_api.h.

#include "ramphinge/admin/admin_api.h"

#include <nlohmann/json.hpp>

#include "ramphinge/base/hash.h"
#include "ramphinge/base/json.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

constexpr std::string_view bearer = "Bearer ";
constexpr Duration applyLimit = std::chrono::seconds(25);
constexpr std::size_t timelineDefault = 1000;
constexpr std::size_t timelineMost = 20'000;

int statusOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return 400;
    case ErrorKind::Unauthorized:
        return 403;
    case ErrorKind::NotFound:
        return 404;
    case ErrorKind::Conflict:
        return 409;
    case ErrorKind::Unknown:
        return 502;
    default:
        return 503;
    }
}

HttpResponse failed(const Error &error)
{
    const Json body { { "error",
                        { { "type", toString(error.kind()) }, { "message", error.message() } } } };
    return jsonResponse(statusOf(error.kind()), body.dump());
}

HttpResponse ok(const Json &body)
{
    return jsonResponse(200, body.dump());
}

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded.push_back(
                static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16)));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

std::string parameter(const HttpRequest &request, std::string_view name)
{
    try {
        return percentDecoded(request.queryParameter(name));
    } catch (const std::exception &) {
        return {};
    }
}

Json findingsJson(const Findings &findings)
{
    Json list = Json::array();
    for (const Finding &finding : findings)
        list.push_back({ { "pointer", finding.pointer }, { "message", finding.message } });
    return list;
}

template <typename IdType> std::vector<IdType> idsOf(const Json &json, const char *name)
{
    std::vector<IdType> ids;
    for (const Json &text : json.value(name, Json::array()))
        ids.emplace_back(text.get<std::string>());
    return ids;
}

} // namespace

void AdminApi::handle(HttpExchange &exchange, Yield yield)
{
    const HttpRequest request = exchange.request();
    HttpResponse response = answerOpen(request);
    if (response.status == 404) {
        const std::optional<Operator> who = authenticate(request);
        response = who ? answer(request, *who, yield)
                       : jsonResponse(401,
                                      Json { { "error",
                                               { { "type", "unauthorized" },
                                                 { "message",
                                                   "give an operator's key as \"Authorization: "
                                                   "Bearer KEY\"" } } } }
                                          .dump());
    }
    exchange.respond(response, yield);
}

std::optional<Operator> AdminApi::authenticate(const HttpRequest &request) const
{
    const auto header = request.headers.find("authorization");
    if (!header || header->substr(0, bearer.size()) != bearer)
        return std::nullopt;
    const std::string hash = sha256Hex(header->substr(bearer.size()));
    if (equalConstantTime(hash, m_parts.settings.bootstrapOperatorKeySha256))
        return Operator { "bootstrap", hash, "" };
    const AcceptedConfigPtr &config = m_parts.hub.config().accepted();
    const Operator *known = config ? config->configuration.operatorByKey(hash) : nullptr;
    return known == nullptr ? std::nullopt : std::optional<Operator>(*known);
}

HttpResponse AdminApi::answerOpen(const HttpRequest &request)
{
    const std::string path(request.path());
    if (path == "/metrics")
        return { 200,
                 { { "content-type", "text/plain; version=0.0.4" } },
                 m_parts.metrics.toText() };
    if (path == "/admin/v1/holding")
        return holding(request);
    if (path == "/health") {
        const ServingDecision serving = m_parts.hub.serving(BootClock::now());
        const bool healthy = serving.mode != ServingMode::Refusing;
        return jsonResponse(healthy ? 200 : 503,
                            Json { { "serving", healthy }, { "reason", serving.reason } }.dump());
    }
    return { 404, {}, {} };
}

HttpResponse AdminApi::answer(const HttpRequest &request, const Operator &who, Yield yield)
{
    const std::string call = request.method + " " + std::string(request.path());
    if (call == "GET /admin/v1/status")
        return status();
    if (call == "GET /admin/v1/config")
        return config();
    if (call == "POST /admin/v1/validate")
        return validate(request);
    if (call == "POST /admin/v1/diff")
        return diff(request);
    if (call == "POST /admin/v1/apply")
        return apply(request, who, yield);
    if (call == "GET /admin/v1/history")
        return history();
    if (call == "GET /admin/v1/timeline")
        return timeline(request);
    if (call == "GET /admin/v1/explain")
        return ok(m_parts.gateway.explain(AccountId(parameter(request, "account")),
                                          parameter(request, "model"),
                                          parameter(request, "prompt")));
    if (call == "POST /admin/v1/drain") {
        if (!who.team.empty())
            return failed(
                { ErrorKind::Unauthorized, "only operators without a team may drain a daemon" });
        m_parts.drain();
        return ok({ { "draining", true } });
    }
    return failed({ ErrorKind::NotFound, "there is no call " + call });
}

HttpResponse AdminApi::status() const
{
    Json status = m_parts.hub.status();
    status["gateway"] = m_parts.gateway.status();
    return ok(status);
}

HttpResponse AdminApi::config() const
{
    const AcceptedConfigPtr &accepted = m_parts.hub.config().accepted();
    if (!accepted)
        return failed({ ErrorKind::NotFound, "no configuration has been accepted yet; apply one" });
    return ok({ { "version", accepted->record.version.count() },
                { "record", toJson(accepted->record) },
                { "document", accepted->document },
                { "expanded", accepted->configuration.expanded() } });
}

HttpResponse AdminApi::validate(const HttpRequest &request) const
{
    const Result<Json> document = parseJson(request.body.text());
    if (!document.ok())
        return failed(document.error());
    return ok({ { "findings", findingsJson(validateConfiguration(document.value())) } });
}

HttpResponse AdminApi::diff(const HttpRequest &request) const
{
    const Result<Json> document = parseJson(request.body.text());
    if (!document.ok())
        return failed(document.error());
    const Result<Configuration> next = parseConfiguration(document.value());
    if (!next.ok())
        return failed(next.error());
    const AcceptedConfigPtr &accepted = m_parts.hub.config().accepted();
    const Configuration before = accepted ? accepted->configuration : Configuration();
    return ok({ { "version", m_parts.hub.config().acceptedVersion() },
                { "diff", describeDiff(before, next.value()) } });
}

HttpResponse AdminApi::apply(const HttpRequest &request, const Operator &who, Yield yield)
{
    const Result<Json> body = parseJson(request.body.text());
    if (!body.ok())
        return failed(body.error());
    if (!body.value().is_object() || !body.value().contains("document"))
        return failed({ ErrorKind::InvalidInput, "send {\"document\": {...}}" });
    ChangeRequest change;
    try {
        change.document = body.value().at("document");
        change.who = who;
        if (body.value().contains("expectedVersion"))
            change.expectedVersion =
                ConfigVersion(body.value().at("expectedVersion").get<std::int64_t>());
        change.withoutZones = idsOf<ZoneId>(body.value(), "withoutZones");
        change.withoutDaemons = idsOf<DaemonId>(body.value(), "withoutDaemons");
    } catch (const Json::exception &e) {
        return failed({ ErrorKind::InvalidInput, e.what() });
    }
    // The callback may come after this coroutine has given up waiting.
    struct Waiting
    {
        explicit Waiting(IoContext &io) : signal(io) { }
        Signal signal;
        std::optional<Result<ChangeResult>> result;
    };
    const auto waiting = std::make_shared<Waiting>(m_parts.io);
    m_parts.actors.apply(std::move(change), [waiting](const Result<ChangeResult> &result) {
        waiting->result = result;
        waiting->signal.notify();
    });
    if (!waiting->result)
        waiting->signal.wait(applyLimit, yield);
    if (!waiting->result)
        return failed({ ErrorKind::Unknown,
                        "the change is still being decided; \"ramphingectl history\" will tell" });
    TimelineEvent event;
    event.kind = waiting->result->ok() ? EventKind::ChangeAccepted : EventKind::ChangeRefused;
    event.detail = waiting->result->ok() ? who.name : waiting->result->error().message();
    if (waiting->result->ok())
        event.change = waiting->result->value().change;
    m_parts.timeline.record(event);
    if (!waiting->result->ok())
        return failed(waiting->result->error());
    const ChangeResult &result = waiting->result->value();
    Json late = Json::array();
    for (const DaemonId &daemon : result.notYetInForce)
        late.push_back(daemon.text());
    return ok({ { "version", result.version.count() },
                { "change", result.change.text() },
                { "diff", result.diff },
                { "decidedMs", toMilliseconds(result.decidedIn) },
                { "inForceMs", toMilliseconds(result.inForceIn) },
                { "notYetInForce", late } });
}

HttpResponse AdminApi::history() const
{
    Json list = Json::array();
    for (const ChangeRecord &record : m_parts.hub.config().history())
        list.push_back(toJson(record));
    return ok({ { "history", list } });
}

HttpResponse AdminApi::timeline(const HttpRequest &request) const
{
    TimelineFilter filter;
    filter.text = parameter(request, "text");
    filter.after = std::atoll(parameter(request, "after").c_str());
    const long long limit = std::atoll(parameter(request, "limit").c_str());
    filter.limit =
        limit <= 0 ? timelineDefault : std::min(timelineMost, static_cast<std::size_t>(limit));
    Json list = Json::array();
    for (const TimelineEvent &event : m_parts.timeline.events(filter))
        list.push_back(m_parts.timeline.toJson(event));
    return ok({ { "events", list } });
}

HttpResponse AdminApi::holding(const HttpRequest &request) const
{
    const AcceptedConfigPtr &accepted = m_parts.hub.config().accepted();
    const AccountId account(parameter(request, "account"));
    // A daemon that may be stale must not speak for its side.
    const ServingDecision serving = m_parts.hub.serving(BootClock::now());
    if (!accepted || serving.mode != ServingMode::Confirmed)
        return failed({ ErrorKind::Unavailable, "this daemon can't be sure; ask another" });
    if (accepted->configuration.account(account) == nullptr)
        return failed({ ErrorKind::InvalidInput, "there is no account " + account.text() });
    const Holding holding = accepted->configuration.holdingOf(account);
    return ok({ { "account", account.text() },
                { "phase", toString(holding.phase) },
                { "epoch", holding.epoch.count() },
                { "sinceMs", toUnixMilliseconds(holding.since) },
                { "inProgress", m_parts.gateway.inProgress(account) } });
}

} // namespace ramphinge
