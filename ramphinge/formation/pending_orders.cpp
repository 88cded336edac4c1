// JSON encoding of a planner's pending orders: see pending_orders.h.

#include "ramphinge/formation/pending_orders.h"

#include <nlohmann/json.hpp>

#include "ramphinge/base/json.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

constexpr const char *loadsField = "loads";
constexpr const char *unansweredJoinsField = "unansweredJoins";

template <typename Id> Json toJson(const std::map<HostId, Id> &entries)
{
    Json object = Json::object();
    for (const auto &[host, id] : entries)
        object[host.text()] = id.text();
    return object;
}

// False if `document` has no object of strings under `field`.
template <typename Id>
bool read(const Json &document, const char *field, std::map<HostId, Id> &entries)
{
    const auto object = document.find(field);
    if (object == document.end() || !object->is_object())
        return false;
    for (const auto &[host, id] : object->items()) {
        if (!id.is_string())
            return false;
        entries[HostId(host)] = Id(id.template get<std::string>());
    }
    return true;
}

} // namespace

std::string serialize(const PendingOrders &pendingOrders)
{
    return Json {
        { loadsField, toJson(pendingOrders.loads) },
        { unansweredJoinsField, toJson(pendingOrders.unansweredJoins) }
    }.dump();
}

Result<PendingOrders> parsePendingOrders(const std::string &text)
{
    const Result<Json> document = parseJson(text);
    PendingOrders pendingOrders;
    if (!document.ok() || !document.value().is_object()
        || !read(document.value(), loadsField, pendingOrders.loads)
        || !read(document.value(), unansweredJoinsField, pendingOrders.unansweredJoins))
        return Error(ErrorKind::InvalidInput,
                     "the stored pending orders lack their loads or unanswered joins, or are not "
                     "valid JSON");
    return pendingOrders;
}

} // namespace ramphinge
