// Plays the start of fleets of several sizes, and faults after it, on virtual time. Prints one line
// of CSV for each fleet and phase.

#include <iostream>

#include <cxxopts.hpp>

#include "testing/simulated_fleet.h"

using namespace ramphinge;

namespace {

void printHeader()
{
    std::cout << "daemons,servers,limited,phase,store_calls,store_mb,bulk_readers,"
                 "busiest_relay_mb,with_view,last_view_ms,last_catalog_ms\n";
}

void printRow(const SimulatedFleetOptions &options, const char *phase, const FleetReport &report)
{
    const double megabyte = 1e6;
    std::cout << options.daemons << ',' << options.daemons * options.serversPerDaemon << ','
              << options.limitsBulkReads << ',' << phase << ',' << report.storeCalls << ','
              << static_cast<double>(report.storeBytes) / megabyte << ',' << report.bulkReaders
              << ',' << static_cast<double>(report.busiestRelayBytes) / megabyte << ','
              << report.daemonsWithView << ',' << toMilliseconds(report.lastView) << ','
              << toMilliseconds(report.lastCatalog) << std::endl;
}

void play(const SimulatedFleetOptions &options, bool withFaults)
{
    SimulatedFleet fleet(options);
    fleet.run(std::chrono::seconds(20));
    printRow(options, "start", fleet.report());
    const auto runPhase = [&](const char *phase, const std::function<void()> &fault) {
        fleet.resetFigures();
        fault();
        fleet.run(std::chrono::seconds(1));
        fleet.changeCatalog();
        fleet.run(std::chrono::seconds(9));
        printRow(options, phase, fleet.report());
    };
    runPhase("calm", [] {});
    if (!withFaults)
        return;
    runPhase("history_lost", [&] { fleet.forgetHistory(); });
    runPhase("all_restarted", [&] { fleet.restartAll(); });
    runPhase("relays_killed", [&] { fleet.killRelays(); });
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options arguments("fleet-simulation",
                               "The start of a fleet, and faults after it, on virtual time");
    arguments.add_options()(
        "daemons", "numbers of daemons",
        cxxopts::value<std::vector<int>>()->default_value("50,100,200,400,986,2000"))(
        "servers-per-daemon", "", cxxopts::value<double>()->default_value("3"))(
        "large-per-zone", "machines with a whole processor in each zone",
        cxxopts::value<int>()->default_value("10"))(
        "unlimited", "each daemon reads the store until it has found a relay")(
        "no-faults", "only the start")("seed", "",
                                       cxxopts::value<std::uint64_t>()->default_value("1"));
    const auto parsed = arguments.parse(argc, argv);
    printHeader();
    for (const int daemons : parsed["daemons"].as<std::vector<int>>()) {
        SimulatedFleetOptions options;
        options.daemons = daemons;
        options.serversPerDaemon = parsed["servers-per-daemon"].as<double>();
        options.largeDaemonsPerZone = parsed["large-per-zone"].as<int>();
        options.limitsBulkReads = parsed.count("unlimited") == 0;
        options.seed = parsed["seed"].as<std::uint64_t>();
        play(options, parsed.count("no-faults") == 0);
    }
    return 0;
}
