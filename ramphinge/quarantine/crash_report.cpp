// Reports of server crashes: see crash_report.h.

#include "ramphinge/quarantine/crash_report.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <nlohmann/json.hpp>

#include "ramphinge/base/json.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

// Server incarnations that are reported per suspect. It is quarantined after a few crashes, so it
// crashes only servers that got it before all daemons knew.
constexpr std::size_t maxServersPerSuspect = 64;
// Greater numbers are not believed.
constexpr std::int64_t maxInterruptedRequests = 1000000;
// Ages of times up to here, the year 2200, can be computed without overflow.
constexpr std::int64_t maxUnixMilliseconds = 7'258'118'400'000;
// Larger documents are rejected. 512 records with a few servers each take 200 KB.
constexpr std::size_t maxReportBytes = 1024 * 1024;

Json namesOf(const std::set<HostId> &hosts)
{
    Json names = Json::array();
    for (const HostId &host : hosts) {
        if (names.size() == maxServersPerSuspect)
            break;
        names.push_back(host.text());
    }
    return names;
}

std::set<HostId> hostsOf(const Json &record, const char *field)
{
    std::set<HostId> hosts;
    const auto names = record.find(field);
    if (names == record.end() || !names->is_array())
        return hosts;
    for (const Json &name : *names) {
        if (name.is_string() && hosts.size() < maxServersPerSuspect)
            hosts.insert(HostId(name.get<std::string>()));
    }
    return hosts;
}

std::string textOf(const Json &record, const char *field)
{
    const auto found = record.find(field);
    return found != record.end() && found->is_string() ? found->get<std::string>() : std::string();
}

CrashRecord recordOf(const Json &json)
{
    CrashRecord record;
    record.account = AccountId(textOf(json, "account"));
    record.route = textOf(json, "route");
    record.ended = hostsOf(json, "ended");
    record.excused = hostsOf(json, "excused");
    const auto lastSeen = json.find("lastSeen");
    if (lastSeen != json.end() && lastSeen->is_number_integer())
        record.lastSeen = fromUnixMilliseconds(
            std::clamp(lastSeen->get<std::int64_t>(), std::int64_t { 0 }, maxUnixMilliseconds));
    const auto interrupted = json.find("interrupted");
    if (interrupted != json.end() && interrupted->is_number_integer())
        record.interruptedRequests = std::clamp(interrupted->get<std::int64_t>(),
                                                std::int64_t { 0 }, maxInterruptedRequests);
    return record;
}

} // namespace

std::set<HostId> CrashRecord::countedCrashes() const
{
    std::set<HostId> countedCrashes;
    std::set_difference(ended.begin(), ended.end(), excused.begin(), excused.end(),
                        std::inserter(countedCrashes, countedCrashes.end()));
    return countedCrashes;
}

void CrashRecord::merge(const CrashRecord &other)
{
    if (account.empty())
        account = other.account;
    if (route.empty())
        route = other.route;
    ended.insert(other.ended.begin(), other.ended.end());
    excused.insert(other.excused.begin(), other.excused.end());
    lastSeen = std::max(lastSeen, other.lastSeen);
    interruptedRequests += other.interruptedRequests;
}

CrashReport newestOf(const CrashReport &report, std::size_t maxRequests, std::size_t maxPerAccount)
{
    std::vector<const CrashReport::value_type *> newest;
    for (const auto &entry : report)
        newest.push_back(&entry);
    std::sort(newest.begin(), newest.end(),
              [](const auto *a, const auto *b) { return a->second.lastSeen > b->second.lastSeen; });
    std::map<AccountId, std::size_t> taken;
    CrashReport kept;
    for (const auto *entry : newest) {
        if (kept.size() < maxRequests && taken[entry->second.account]++ < maxPerAccount)
            kept.insert(*entry);
    }
    return kept;
}

std::string serializeCrashReport(const CrashReport &report)
{
    Json document = Json::object();
    for (const auto &[fingerprint, record] : report) {
        Json &json = document[fingerprint.text()];
        json = { { "lastSeen", toUnixMilliseconds(record.lastSeen) } };
        // Empty fields are omitted to keep reports small, since all daemons read each of them.
        if (!record.account.empty())
            json["account"] = record.account.text();
        if (!record.route.empty())
            json["route"] = record.route;
        if (!record.ended.empty())
            json["ended"] = namesOf(record.ended);
        if (!record.excused.empty())
            json["excused"] = namesOf(record.excused);
        if (record.interruptedRequests > 0)
            json["interrupted"] = record.interruptedRequests;
    }
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<CrashReport> parseCrashReport(const std::string &text, std::size_t maxSuspects)
{
    if (text.size() > maxReportBytes)
        return Error(ErrorKind::InvalidInput, "crash report exceeds the size limit");
    const Result<Json> document = parseJson(text);
    if (!document.ok() || !document.value().is_object())
        return Error(ErrorKind::InvalidInput, "crash report is not a JSON object");
    CrashReport report;
    for (const auto &[name, json] : document.value().items()) {
        if (report.size() == maxSuspects)
            break;
        if (!json.is_object())
            return Error(ErrorKind::InvalidInput, "crash record is not a JSON object");
        report[Fingerprint(name)] = recordOf(json);
    }
    return report;
}

} // namespace ramphinge
