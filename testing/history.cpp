// Checks of histories: see history.h.

#include "testing/history.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <set>

namespace ramphinge {

namespace {

using Json = nlohmann::json;

std::string text(const Json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t number(const Json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_number() ? found->get<std::int64_t>() : 0;
}

std::int64_t microseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

// A replica at one epoch.
using Forming = std::pair<std::string, std::int64_t>;

struct Assignment
{
    std::int64_t from = 0; // at_us of the order.
    Forming forming;
};

// All orders that a host executed, by time.
using Assignments = std::map<std::string, std::vector<Assignment>>;

Assignments assignmentsOf(const History &history)
{
    Assignments assignments;
    for (const Json &line : history.executions) {
        if (text(line, "event") == "order")
            assignments[text(line, "host")].push_back(
                { number(line, "at_us"), { text(line, "replica"), number(line, "epoch") } });
    }
    return assignments;
}

Forming formingAt(const std::vector<Assignment> &assignments, std::int64_t at)
{
    Forming forming;
    for (const Assignment &assignment : assignments) {
        if (assignment.from <= at)
            forming = assignment.forming;
    }
    return forming;
}

std::map<Forming, std::set<std::string>> membersOf(const Assignments &assignments)
{
    std::map<Forming, std::set<std::string>> members;
    for (const auto &[host, list] : assignments) {
        for (const Assignment &assignment : list)
            members[assignment.forming].insert(host);
    }
    return members;
}

// Finds the runs that nobody was waiting for when they began: a host that was frozen finds requests
// in its sockets that their sender abandoned long ago. They still count as runs of their keys.
class GivenUp
{
public:
    explicit GivenUp(const History &history)
    {
        for (const Json &event : history.events) {
            const std::string kind = text(event, "event");
            const bool ofAttempt = kind == "request_retried" || kind == "request_resumed";
            const bool ofRequest = kind == "request_ended" || kind == "request_unknown"
                || kind == "request_refused" || kind == "caller_gone";
            if (!ofAttempt && !ofRequest)
                continue;
            const std::string attempt =
                ofAttempt ? std::to_string(number(event, "attempt")) : std::string();
            const auto added =
                m_at.emplace(std::make_pair(text(event, "request"), attempt), number(event, "ms"));
            added.first->second = std::min(added.first->second, number(event, "ms"));
        }
    }

    bool beforeRun(const Json &run) const
    {
        for (const std::string &attempt : { text(run, "attempt"), std::string() }) {
            const auto found = m_at.find({ text(run, "request"), attempt });
            if (found != m_at.end() && found->second * 1000 < number(run, "at_us"))
                return true;
        }
        return false;
    }

private:
    std::map<std::pair<std::string, std::string>, std::int64_t> m_at;
};

bool isEngineRun(const Json &line)
{
    return text(line, "event") == "start" && !text(line, "replica").empty();
}

// When a host was absent or leaving: from the fault to its end, if any.
struct Absence
{
    std::int64_t from = 0;
    std::int64_t until = 0;
    bool leaving = false;
};

std::map<std::string, std::vector<Absence>> absencesOf(const History &history)
{
    constexpr std::int64_t forEver = INT64_MAX;
    std::map<std::string, std::vector<Absence>> absences;
    for (const Json &fault : history.faults) {
        const std::string kind = text(fault, "kind");
        auto &list = absences[text(fault, "target")];
        if (kind == "kill" || kind == "freeze" || kind == "leave")
            list.push_back({ number(fault, "at_us"), forEver, kind == "leave" });
        else if ((kind == "start" || kind == "thaw" || kind == "stay") && !list.empty())
            list.back().until = number(fault, "at_us");
    }
    return absences;
}

} // namespace

Result<std::vector<Json>> readLines(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Error(ErrorKind::NotFound, "can't read " + path);
    std::vector<Json> lines;
    std::string line;
    while (std::getline(file, line)) {
        Json json = Json::parse(line, nullptr, false);
        if (json.is_object()) {
            lines.push_back(std::move(json));
            continue;
        }
        if (file.peek() != EOF)
            return Error(ErrorKind::InvalidInput, path + " has a line that is no JSON: " + line);
    }
    return lines;
}

Judgement judgeAtMostOnce(const History &history)
{
    Judgement judgement { "a request under a key runs at most once", 0, {} };
    std::map<std::string, int> runs;
    for (const Json &line : history.executions) {
        const std::string key = text(line, "key");
        if (text(line, "event") != "start" || key.empty())
            continue;
        if (++runs[key] > 1)
            judgement.violations.push_back("key " + key + " ran " + std::to_string(runs[key])
                                           + " times");
    }
    judgement.cases = static_cast<std::int64_t>(runs.size());
    return judgement;
}

Judgement judgeNotRun(const History &history)
{
    Judgement judgement { "what was called not run was not run", 0, {} };
    std::map<std::string, std::int64_t> firstRunOfKey;
    std::set<std::string> requestsRun;
    for (const Json &line : history.executions) {
        if (text(line, "event") != "start")
            continue;
        requestsRun.insert(text(line, "request"));
        if (!text(line, "key").empty())
            firstRunOfKey.emplace(text(line, "key"), number(line, "at_us"));
    }
    for (const Json &attempt : history.tries) {
        const std::string request = text(attempt, "request");
        if (text(attempt, "verdict") != "not_run" || request.empty())
            continue;
        ++judgement.cases;
        if (requestsRun.count(request) > 0)
            judgement.violations.push_back("request " + request + " was called not run, and ran");
        const auto run = firstRunOfKey.find(text(attempt, "key"));
        if (run != firstRunOfKey.end() && run->second < number(attempt, "at_ms") * 1000)
            judgement.violations.push_back("key " + run->first
                                           + " was called not run after it had run");
    }
    return judgement;
}

Judgement judgeAnswers(const History &history)
{
    Judgement judgement { "answers are whole and the caller's own", 0, {} };
    for (const Json &attempt : history.tries) {
        const std::string verdict = text(attempt, "verdict");
        judgement.cases += verdict == "whole" ? 1 : 0;
        if (verdict == "wrong")
            judgement.violations.push_back("request number "
                                           + std::to_string(number(attempt, "number"))
                                           + " got a wrong answer");
    }
    return judgement;
}

Judgement judgeHostsInOneReplica(const History &history)
{
    Judgement judgement { "a replica runs only with all its hosts in it", 0, {} };
    const Assignments assignments = assignmentsOf(history);
    const auto members = membersOf(assignments);
    const GivenUp givenUp(history);
    for (const Json &line : history.executions) {
        if (!isEngineRun(line) || givenUp.beforeRun(line))
            continue;
        ++judgement.cases;
        const Forming forming { text(line, "replica"), number(line, "epoch") };
        const auto hosts = members.find(forming);
        if (hosts == members.end()) {
            judgement.violations.push_back("a run on " + forming.first
                                           + ", into which no host was ordered");
            continue;
        }
        for (const std::string &host : hosts->second) {
            const Forming now = formingAt(assignments.at(host), number(line, "at_us"));
            if (now != forming)
                judgement.violations.push_back("a run on " + forming.first + " at epoch "
                                               + std::to_string(forming.second) + " while host "
                                               + host + " was in \"" + now.first + "\" at "
                                               + std::to_string(now.second));
        }
    }
    return judgement;
}

Judgement judgeMissingHosts(const History &history, const HistoryBounds &bounds)
{
    Judgement judgement { "no new request for a replica with a dead or leaving host", 0, {} };
    const auto absences = absencesOf(history);
    const auto members = membersOf(assignmentsOf(history));
    const GivenUp givenUp(history);
    for (const Json &line : history.executions) {
        if (!isEngineRun(line) || givenUp.beforeRun(line))
            continue;
        const std::int64_t at = number(line, "at_us");
        const auto hosts = members.find({ text(line, "replica"), number(line, "epoch") });
        if (hosts == members.end())
            continue;
        for (const std::string &host : hosts->second) {
            const auto gone = absences.find(host);
            if (gone == absences.end())
                continue;
            ++judgement.cases;
            for (const Absence &absence : gone->second) {
                const Duration bound = absence.leaving ? bounds.leavingHost : bounds.deadHost;
                if (at > absence.from + microseconds(bound) && at < absence.until)
                    judgement.violations.push_back(
                        "a run on " + text(line, "replica") + " "
                        + std::to_string((at - absence.from) / 1000) + " ms after host " + host
                        + (absence.leaving ? " began to leave" : " was lost"));
            }
        }
    }
    return judgement;
}

Judgement judgeConfiguration(const History &history, const HistoryBounds &bounds)
{
    Judgement judgement { "configuration is in force in time and never goes back", 0, {} };
    std::vector<Json> events = history.events;
    std::stable_sort(events.begin(), events.end(), [](const Json &a, const Json &b) {
        return number(a, "ms") < number(b, "ms");
    });
    const std::int64_t limit = microseconds(bounds.configInForce) / 1000;
    std::map<std::int64_t, std::int64_t> acceptedAt; // Version to ms: when first in force anywhere.
    std::map<std::string, std::int64_t> versionOf; // Of each daemon's current process.
    for (const Json &event : events) {
        const std::string kind = text(event, "event");
        const std::string daemon = text(event, "daemon");
        if (kind == "started")
            versionOf[daemon] = 0;
        if (kind == "change_in_force") {
            ++judgement.cases;
            const std::int64_t version = std::atoll(text(event, "detail").substr(8).c_str());
            if (version <= versionOf[daemon])
                judgement.violations.push_back(daemon + " went from version "
                                               + std::to_string(versionOf[daemon]) + " to "
                                               + std::to_string(version));
            versionOf[daemon] = version;
            acceptedAt.emplace(version, number(event, "ms"));
        }
        if (kind != "request_sent")
            continue;
        for (const auto &[version, at] : acceptedAt) {
            if (version > versionOf[daemon] && number(event, "ms") > at + limit)
                judgement.violations.push_back(
                    daemon + " sent a request under version " + std::to_string(versionOf[daemon])
                    + " " + std::to_string(number(event, "ms") - at) + " ms after version "
                    + std::to_string(version) + " was in force");
        }
    }
    return judgement;
}

Judgement judgeNothingLost(const History &history)
{
    Judgement judgement { "no answer was lost or unsure", 0, {} };
    for (const Json &attempt : history.tries) {
        ++judgement.cases;
        const std::string verdict = text(attempt, "verdict");
        if (verdict == "lost" || verdict == "unknown")
            judgement.violations.push_back("request number "
                                           + std::to_string(number(attempt, "number")) + ": "
                                           + verdict + " (" + text(attempt, "type") + ")");
    }
    return judgement;
}

} // namespace ramphinge
