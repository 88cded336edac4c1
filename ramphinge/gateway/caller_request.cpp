// Parsing and validation of callers' requests: see caller_request.h.

#include "ramphinge/gateway/caller_request.h"

#include <algorithm>
#include <charconv>

#include "ramphinge/base/hash.h"
#include "ramphinge/base/json.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

constexpr std::size_t prefixBytes = 256;
constexpr std::int64_t bytesPerToken = 4;
constexpr std::size_t maxKeyBytes = 200;
constexpr std::int64_t maxAnswerTokens = 1'000'000;
constexpr std::int64_t maxDeadlineMilliseconds = 3'600'000;
constexpr std::string_view bearerScheme = "Bearer ";
const char *const singletonHeaders[] = { "authorization", "idempotency-key", "x-deadline-ms",
                                         "x-unrepeatable", "content-type" };

Failure unauthorized()
{
    return { 401, "unauthorized",
             "give an API key of a client account as \"Authorization: Bearer KEY\"",
             Outcome::NotRun, std::nullopt };
}

std::optional<std::string> duplicatedHeader(const HttpRequest &request)
{
    for (const char *name : singletonHeaders) {
        if (request.headers.count(name) > 1)
            return name;
    }
    return std::nullopt;
}

// The prompt's text, whose beginning decides whether two prompts can share cached work.
std::string promptText(const Json &messages)
{
    std::string text;
    for (const Json &message : messages) {
        text += message.value("role", "") + ":" + message.value("content", "") + "\n";
    }
    return text;
}

bool areMessagesValid(const Json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return false;
    return std::all_of(messages->begin(), messages->end(), [](const Json &message) {
        return message.is_object() && message.contains("role") && message["role"].is_string()
            && message.contains("content") && message["content"].is_string();
    });
}

} // namespace

std::uint64_t promptPrefixHash(const std::string &prompt, const std::string &adapter)
{
    return stableHash(std::string_view(prompt).substr(0, prefixBytes), stableHash(adapter));
}

std::variant<const Account *, Failure> RequestReader::authenticate(const HttpRequest &request) const
{
    if (const auto name = duplicatedHeader(request))
        return invalidRequest("the header " + *name + " stands twice; send it once");
    const auto header = request.headers.find("authorization");
    if (!header || header->substr(0, bearerScheme.size()) != bearerScheme)
        return unauthorized();
    const Account *account =
        m_configuration.accountByKey(sha256Hex(header->substr(bearerScheme.size())));
    if (account == nullptr)
        return unauthorized();
    return account;
}

std::variant<CallerRequest, Failure> RequestReader::readCommon(const HttpRequest &request,
                                                               const Account &account,
                                                               bool unrepeatable, MonotonicTime now,
                                                               RequestId id) const
{
    CallerRequest common;
    common.id = std::move(id);
    common.account = account.account;
    common.arrived = now;
    common.deadline = now + m_defaults.deadline;
    common.unrepeatable = unrepeatable;
    if (const auto text = request.headers.find("x-deadline-ms")) {
        std::int64_t milliseconds = 0;
        const auto parsed =
            std::from_chars(text->data(), text->data() + text->size(), milliseconds);
        const bool whole = parsed.ec == std::errc() && parsed.ptr == text->data() + text->size();
        if (!whole || milliseconds < 1 || milliseconds > maxDeadlineMilliseconds)
            return invalidRequest("x-deadline-ms must be whole milliseconds from 1 to an hour");
        common.deadline = now + Milliseconds(milliseconds);
    }
    if (const auto mark = request.headers.find("x-unrepeatable")) {
        if (*mark != "true" && *mark != "false")
            return invalidRequest("x-unrepeatable must be true or false");
        // A caller may add the mark but not remove the one that the configuration sets.
        common.unrepeatable = unrepeatable || *mark == "true";
    }
    if (const auto key = request.headers.find("idempotency-key")) {
        if (key->empty() || key->size() > maxKeyBytes)
            return invalidRequest("idempotency-key must have 1 to 200 characters");
        common.key = IdempotencyKey(std::string(*key));
        common.fingerprint =
            stableHash(request.body.text(), stableHash(request.target, stableHash(request.method)));
    }
    return common;
}

std::variant<CompletionRequest, Failure> RequestReader::readCompletion(const HttpRequest &request,
                                                                       const Account &account,
                                                                       MonotonicTime now,
                                                                       RequestId id) const
{
    auto common = readCommon(request, account, false, now, std::move(id));
    if (const auto *failure = std::get_if<Failure>(&common))
        return *failure;
    Result<Json> parsed = parseJson(request.body.text());
    if (!parsed.ok())
        return invalidRequest(parsed.error().message());
    Json &body = parsed.value();
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string())
        return invalidRequest("the body must be a JSON object with \"model\" and \"messages\"");
    if (!areMessagesValid(body))
        return invalidRequest(
            "\"messages\" must be a list of objects with \"role\" and \"content\" as text");
    const auto alias = body["model"].get<std::string>();
    const ModelGrant *grant = account.grantFor(alias);
    if (grant == nullptr) {
        return Failure { 404, "unknown_model",
                         "this account has no model \"" + alias
                             + "\"; GET /v1/models lists its own",
                         Outcome::NotRun, std::nullopt };
    }
    const Json maxTokens = body.value("max_tokens", Json(m_defaults.maxAnswer.count()));
    const Json stream = body.value("stream", Json(false));
    if (!maxTokens.is_number_integer() || maxTokens.get<std::int64_t>() < 1
        || maxTokens.get<std::int64_t>() > maxAnswerTokens || !stream.is_boolean())
        return invalidRequest(
            "\"max_tokens\" must be a whole number from 1 to 1000000 and \"stream\" true or false");
    const std::string prompt = promptText(body["messages"]);
    CompletionRequest completion;
    completion.common = std::get<CallerRequest>(std::move(common));
    completion.model = grant->model;
    completion.adapter = grant->adapter;
    completion.priority = grant->priority;
    completion.stream = stream.get<bool>();
    completion.prefix = promptPrefixHash(prompt, grant->adapter);
    completion.promptTokens = Tokens(static_cast<std::int64_t>(prompt.size()) / bytesPerToken + 1);
    completion.maxAnswer = Tokens(maxTokens.get<std::int64_t>());
    body["model"] = grant->model.text();
    if (!grant->adapter.empty())
        body["adapter"] = grant->adapter;
    body["max_tokens"] = maxTokens;
    completion.upstreamBody = body.dump();
    return completion;
}

} // namespace ramphinge
