// A caller's request, read and checked: who asks, for what, until when, and whether it may be
// repeated.

#pragma once

#include <optional>
#include <string>
#include <variant>

#include "ramphinge/base/random.h"
#include "ramphinge/config/configuration.h"
#include "ramphinge/gateway/failure.h"

namespace ramphinge {

// The limits of a request that names none.
struct RequestDefaults
{
    Duration deadline = std::chrono::seconds(60);
    Tokens maxAnswer { 512 };
};

// What all requests have in common.
struct CallerRequest
{
    RequestId id;
    AccountId account;
    MonotonicTime arrived;
    MonotonicTime deadline;
    bool unrepeatable = false; // At most one attempt may reach an upstream.
    IdempotencyKey key; // Empty: the caller gave none.
    std::uint64_t fingerprint = 0; // Of method, target and body: the same key must mean the same.

    // Whether at most one attempt may reach an upstream.
    bool atMostOnce() const { return unrepeatable || !key.empty(); }
};

// A completion of a model.
struct CompletionRequest
{
    CallerRequest common;
    ModelId model;
    std::string adapter;
    int priority = 0;
    bool stream = false;
    std::uint64_t prefix = 0; // Hash of the beginning of the prompt.
    Tokens promptTokens; // Estimated.
    Tokens maxAnswer;
    std::string upstreamBody; // The caller's body with the model's own name.
};

// What decides which replicas hold a prompt's beginning in their cache. `prompt` is the messages'
// text as the engines join it.
std::uint64_t prefixOf(const std::string &prompt, const std::string &adapter);

// Reads requests against one configuration. Pure but for ids.
class RequestReader
{
public:
    RequestReader(const Configuration &configuration, RequestDefaults defaults)
        : m_configuration(configuration), m_defaults(defaults)
    { }

    // The account whose key the request carries.
    std::variant<const Account *, Failure> authenticate(const HttpRequest &request) const;

    // Deadline, key and mark. `unrepeatable` as far as the path decides it.
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
