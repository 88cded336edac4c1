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

// Whether arrays and objects nest deeper than maxJsonDepth; works on any text, also if it isn't
// valid JSON.
bool isTooDeep(const std::string &text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString && c == '\\')
            ++i;
        else if (c == '"')
            inString = !inString;
        else if (!inString && (c == '[' || c == '{') && ++depth > maxJsonDepth)
            return true;
        else if (!inString && (c == ']' || c == '}') && depth > 0)
            --depth;
    }
    return false;
}

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

Result<nlohmann::json> parseJson(const std::string &text)
{
    // Copying, writing and checking a document recurse to its depth, on a coroutine's 64 KB stack.
    if (isTooDeep(text))
        return Error(ErrorKind::InvalidInput,
                     "this JSON nests deeper than " + std::to_string(maxJsonDepth) + " levels");
    try {
        return nlohmann::json::parse(text);
    } catch (const std::exception &e) { // Numbers out of range are no parse_error.
        return Error(ErrorKind::InvalidInput, std::string("this is no JSON: ") + e.what());
    }
}

} // namespace ramphinge
