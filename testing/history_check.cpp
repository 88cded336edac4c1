// Judges the history of a run and prints a line for each property; status 1 if one is violated.
//
//   history-check --run FOLDER [--planned-stops-only]
//
// The folder holds executions.jsonl, timeline.jsonl, faults.jsonl and history-*.jsonl.

#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>

#include "testing/history.h"

using namespace ramphinge;

namespace {

constexpr std::size_t shownViolations = 5;

bool readInto(const std::filesystem::path &path, std::vector<nlohmann::json> &lines)
{
    if (!std::filesystem::exists(path))
        return true;
    const auto read = readLines(path.string());
    if (!read.ok()) {
        std::cerr << read.error().message() << '\n';
        return false;
    }
    lines.insert(lines.end(), read.value().begin(), read.value().end());
    return true;
}

bool print(const Judgement &judgement)
{
    std::cout << (judgement.violations.empty() ? "held      " : "VIOLATED  ") << judgement.property
              << ": " << judgement.cases << " cases, " << judgement.violations.size()
              << " violations\n";
    for (std::size_t i = 0; i < std::min(shownViolations, judgement.violations.size()); ++i)
        std::cout << "            " << judgement.violations[i] << '\n';
    return judgement.violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("history-check", "Judges the history of a run");
    options.add_options()("run", "folder", cxxopts::value<std::string>())(
        "planned-stops-only", "nothing may have been lost");
    const auto arguments = options.parse(argc, argv);
    const std::filesystem::path run(arguments["run"].as<std::string>());
    History history;
    bool readable = readInto(run / "executions.jsonl", history.executions)
        && readInto(run / "timeline.jsonl", history.events)
        && readInto(run / "faults.jsonl", history.faults);
    for (const auto &entry : std::filesystem::directory_iterator(run)) {
        if (entry.path().filename().string().rfind("history-", 0) == 0)
            readable = readable && readInto(entry.path(), history.tries);
    }
    if (!readable)
        return 2;
    const HistoryBounds bounds;
    std::vector<Judgement> judgements { judgeAtMostOnce(history),
                                        judgeNotRun(history),
                                        judgeAnswers(history),
                                        judgeHostsInOneReplica(history),
                                        judgeMissingHosts(history, bounds),
                                        judgeConfiguration(history, bounds) };
    if (arguments.count("planned-stops-only") > 0)
        judgements.push_back(judgeNothingLost(history));
    bool allHeld = true;
    for (const Judgement &judgement : judgements)
        allHeld = print(judgement) && allHeld;
    return allHeld ? 0 : 1;
}
