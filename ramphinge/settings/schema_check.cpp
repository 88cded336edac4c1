// Schema checks through valijson: see schema_check.h.

#include "ramphinge/settings/schema_check.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace ramphinge {

namespace {

// "<root>[accounts][0]" -> "/accounts/0".
std::string toPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (const std::string &part : context) {
        if (part.empty() || part.front() != '[')
            continue;
        pointer += "/" + part.substr(1, part.size() - 2);
    }
    return pointer;
}

} // namespace

Findings checkAgainstSchema(const nlohmann::json &document, const char *schemaText)
{
    using valijson::adapters::NlohmannJsonAdapter;
    const nlohmann::json schemaJson = nlohmann::json::parse(schemaText);
    valijson::Schema schema;
    valijson::SchemaParser().populateSchema(NlohmannJsonAdapter(schemaJson), schema);
    valijson::Validator validator;
    valijson::ValidationResults results;
    Findings findings;
    if (validator.validate(schema, NlohmannJsonAdapter(document), &results))
        return findings;
    valijson::ValidationResults::Error error;
    while (results.popError(error))
        findings.push_back({ toPointer(error.context), error.description });
    return findings;
}

Error toError(const Findings &findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += (text.empty() ? "" : "\n") + (finding.pointer.empty() ? "/" : finding.pointer)
            + ": " + finding.message;
    }
    return { ErrorKind::InvalidInput, text };
}

} // namespace ramphinge
