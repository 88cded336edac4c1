// Parsing and validation of callers' requests: account, model or service, deadline, and whether the
// request may be retried.

#pragma once

#include <optional>
#include <string>
#include <variant>

#include "ramphinge/base/random.h"
#include "ramphinge/config/configuration.h"
#include "ramphinge/gateway/failure.h"

namespace ramphinge {

// Limits of requests that state none.
struct RequestDefaults
{
    Duration deadline = std::chrono::seconds(60);
    Tokens maxAnswer { 512 };
};

// The fields that requests of all kinds have.
struct CallerRequest
{
    RequestId id;
    AccountId account;
    MonotonicTime arrived;
    MonotonicTime deadline;
    bool unrepeatable = false; // Marked by the caller or by the configuration of the service.
    IdempotencyKey key; // Empty if the caller gave none.
    std::uint64_t fingerprint = 0; // Of method, target and body; must be the same for the same key.

    // Whether at most one attempt may reach an upstream.
    bool atMostOnce() const { return unrepeatable || !key.empty(); }
};

// A chat completion by a model.
struct CompletionRequest
{
    CallerRequest common;
    ModelId model;
    std::string adapter;
    int priority = 0;
    bool stream = false;
    std::uint64_t prefix = 0; // See promptPrefixHash().
    Tokens promptTokens; // Estimated.
    Tokens maxAnswer;
    std::string upstreamBody; // The caller's body with the alias replaced by the model's name.
};

// Hash of the beginning of a prompt and of its adapter. Prompts with the same hash are routed to
// the same replicas, which may have the prefix cached. `prompt` is the messages' text as engines
// join it.
std::uint64_t promptPrefixHash(const std::string &prompt, const std::string &adapter);

// Parses requests against one configuration. Has no side effects.
class RequestReader
{
public:
    RequestReader(const Configuration &configuration, RequestDefaults defaults)
        : m_configuration(configuration), m_defaults(defaults)
    { }

    // The account whose key the request carries.
    std::variant<const Account *, Failure> authenticate(const HttpRequest &request) const;

    // Parses deadline, key and unrepeatable mark. `unrepeatable`: whether the configuration marks
    // the request.
    std::variant<CallerRequest, Failure> readCommon(const HttpRequest &request,
                                                    const Account &account, bool unrepeatable,
                                                    MonotonicTime now, RequestId id) const;

    std::variant<CompletionRequest, Failure> readCompletion(const HttpRequest &request,
                                                            const Account &account,
                                                            MonotonicTime now, RequestId id) const;

private:
    const Configuration &m_configuration;
    RequestDefaults m_defaults;
};

} // namespace ramphinge
