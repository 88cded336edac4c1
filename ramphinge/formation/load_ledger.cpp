// Loads in progress as a document: see load_ledger.h.

#include "ramphinge/formation/load_ledger.h"

#include <nlohmann/json.hpp>

namespace ramphinge {

std::string serializeLoads(const LoadLedger &loads)
{
    nlohmann::json document = nlohmann::json::object();
    for (const auto &[host, model] : loads)
        document[host.text()] = model.text();
    return document.dump();
}

Result<LoadLedger> parseLoads(const std::string &text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object())
        return Error(ErrorKind::InvalidInput, "the list of loads is not a JSON object");
    LoadLedger loads;
    for (const auto &[host, model] : document.items()) {
        if (!model.is_string())
            return Error(ErrorKind::InvalidInput, "the load of " + host + " names no model");
        loads[HostId(host)] = ModelId(model.get<std::string>());
    }
    return loads;
}

} // namespace ramphinge
