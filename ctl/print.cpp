// Human-readable output: see print.h.

#include "ctl/print.h"

#include <ctime>
#include <iomanip>
#include <map>
#include <set>

namespace ramphinge {

namespace {

using Json = nlohmann::json;

std::string clockTime(std::int64_t milliseconds)
{
    const std::time_t seconds = milliseconds / 1000;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%H:%M:%S", &parts);
    char whole[40];
    std::snprintf(whole, sizeof whole, "%s.%03d", text, static_cast<int>(milliseconds % 1000));
    return whole;
}

std::string valueOrDash(const Json &json)
{
    return json.is_null() ? "-" : json.is_string() ? json.get<std::string>() : json.dump();
}

void printDaemons(const std::vector<DaemonStatus> &all, std::ostream &out)
{
    out << std::left << std::setw(14) << "DAEMON" << std::setw(10) << "ZONE" << std::setw(13)
        << "SERVING" << std::setw(9) << "CONFIG"
        << "WHY\n";
    for (const DaemonStatus &daemon : all) {
        if (daemon.status.is_null()) {
            out << std::setw(14) << daemon.server << "no answer: " << daemon.error << '\n';
            continue;
        }
        const Json &status = daemon.status;
        std::string version = std::to_string(status["config"].value("version", 0));
        if (status["config"].value("undecided", 0) != 0)
            version += "?";
        out << std::setw(14) << status.value("daemon", "") << std::setw(10)
            << status.value("zone", "") << std::setw(13) << status["serving"].value("mode", "")
            << std::setw(9) << version << status["serving"].value("reason", "") << '\n';
    }
}

void printPlans(const Json &status, std::ostream &out)
{
    out << '\n'
        << std::setw(34) << "REPLICA" << std::setw(10) << "PHASE" << std::setw(8) << "EPOCH"
        << "HOSTS\n";
    for (const auto &[zone, plan] : status.at("plans").items()) {
        for (const Json &replica : plan.at("replicas")) {
            std::string hosts;
            for (const Json &host : replica.at("hosts"))
                hosts += (hosts.empty() ? "" : " ") + host.get<std::string>();
            out << std::setw(34) << replica.value("replica", "") << std::setw(10)
                << replica.value("phase", "") << std::setw(8) << replica.value("epoch", 0) << hosts
                << (replica.value("surplus", false) ? " (surplus)" : "") << '\n';
        }
    }
    out << "\nplanners:";
    for (const auto &[zone, holder] : status.at("planners").items())
        out << ' ' << zone << '=' << valueOrDash(holder);
    out << "\nhosts down:";
    for (const Json &host : status.at("hostsDown"))
        out << ' ' << host.get<std::string>();
    out << '\n';
}

} // namespace

void printStatus(const std::vector<DaemonStatus> &all, std::ostream &out)
{
    printDaemons(all, out);
    const Json *newest = nullptr;
    for (const DaemonStatus &daemon : all) {
        if (daemon.status.is_null())
            continue;
        const bool serves = daemon.status["serving"].value("mode", "") == "confirmed";
        if (newest == nullptr || serves)
            newest = &daemon.status;
    }
    if (newest == nullptr)
        return;
    printPlans(*newest, out);
    for (const DaemonStatus &daemon : all) {
        if (!daemon.status.is_null() && daemon.status["planner"].value("holds", false))
            out << "zone " << daemon.status.value("zone", "") << ": stranded hosts "
                << daemon.status["planner"].value("strandedHosts", 0) << ", replicas down "
                << daemon.status["planner"].value("replicasDown", 0) << '\n';
    }
}

void printDiff(const Json &diff, std::ostream &out)
{
    if (diff.empty())
        out << "no difference\n";
    for (const Json &operation : diff) {
        const std::string kind = operation.value("op", "");
        const char *sign = kind == "add" ? "+" : kind == "remove" ? "-" : "~";
        out << sign << ' ' << operation.value("path", "");
        if (operation.contains("old"))
            out << "  was " << operation["old"].dump();
        if (operation.contains("value"))
            out << "  is " << operation["value"].dump();
        out << '\n';
    }
}

void printHistory(const Json &history, std::ostream &out)
{
    for (const Json &record : history) {
        out << record.value("version", 0) << "  "
            << clockTime(record.value("when", std::int64_t { 0 })) << "  "
            << record.value("who", "") << "  change " << record.value("change", "");
        for (const Json &left : record.value("without", Json::array()))
            out << "  without " << left.get<std::string>();
        out << '\n';
        if (record.contains("diff") && record["diff"].is_array())
            printDiff(record["diff"], out);
    }
}

void printEvents(const std::vector<Json> &events, std::ostream &out)
{
    for (const Json &event : events) {
        out << clockTime(event.value("ms", std::int64_t { 0 })) << "  " << std::left
            << std::setw(10) << event.value("daemon", "") << ' ' << std::setw(20)
            << event.value("event", "");
        for (const char *field :
             { "request", "account", "replica", "host", "change", "attempt", "epoch", "detail" }) {
            if (event.contains(field))
                out << ' ' << field << '=' << valueOrDash(event[field]);
        }
        out << '\n';
    }
}

Json traceOf(const std::vector<Json> &events)
{
    Json list = Json::array();
    std::map<std::string, int> rows;
    std::set<std::string> open;
    for (const Json &event : events) {
        const std::string daemon = event.value("daemon", "");
        const int row = rows.emplace(daemon, static_cast<int>(rows.size()) + 1).first->second;
        const std::string kind = event.value("event", "");
        const std::string request = event.value("request", "");
        Json entry { { "pid", row },
                     { "tid", 1 },
                     { "ts",
                       event.value("ms", std::int64_t { 0 }) * 1000
                           + event.value("counter", std::int64_t { 0 }) },
                     { "name", request.empty() ? kind : request },
                     { "args", event } };
        const bool begins = kind == "request_received";
        const bool ends = kind == "request_ended" || kind == "request_refused"
            || kind == "request_unknown" || kind == "caller_gone";
        if (begins && open.insert(request).second) {
            entry["ph"] = "b";
            entry["cat"] = "request";
            entry["id"] = request;
        } else if (ends && open.erase(request) > 0) {
            entry["ph"] = "e";
            entry["cat"] = "request";
            entry["id"] = request;
        } else {
            entry["ph"] = "i";
            entry["s"] = "p";
            entry["name"] = kind;
        }
        list.push_back(std::move(entry));
    }
    for (const auto &[daemon, row] : rows)
        list.push_back({ { "ph", "M" },
                         { "pid", row },
                         { "name", "process_name" },
                         { "args", { { "name", daemon } } } });
    return { { "traceEvents", list } };
}

} // namespace ramphinge
