// Chooses the relays of a zone: see relay_choice.h.

#include "ramphinge/relay/relay_choice.h"

#include <algorithm>
#include <sstream>

#include <nlohmann/json.hpp>

#include "ramphinge/base/erase_if.h"
#include "ramphinge/base/hash.h"
#include "ramphinge/net/http_client.h"

namespace ramphinge {

namespace {

const std::string noEndpoint = "-"; // No readable endpoint.
constexpr std::size_t maxZoneBytes = 200; // The store's keys are no longer.

} // namespace

std::string serializeRegistration(const DaemonRegistration &record)
{
    std::ostringstream text;
    text << record.zone.text();
    const bool hasForwards = record.forwards.port != 0;
    if (record.links.port != 0 || hasForwards)
        text << ' ' << (record.links.port != 0 ? toString(record.links) : noEndpoint) << ' '
             << record.processor;
    if (hasForwards)
        text << ' ' << toString(record.forwards);
    return text.str();
}

DaemonRegistration parseRegistration(const DaemonId &daemon, const std::string &text)
{
    std::istringstream fields(text);
    std::string zone;
    std::string links;
    DaemonRegistration record;
    record.daemon = daemon;
    fields >> zone >> links;
    record.zone = ZoneId(zone);
    if (const Result<Endpoint> endpoint = parseEndpoint(links); endpoint.ok())
        record.links = endpoint.value();
    if (!(fields >> record.processor)) {
        record.processor = 0;
        return record;
    }
    std::string forwards;
    fields >> forwards;
    if (const Result<Endpoint> endpoint = parseEndpoint(forwards); endpoint.ok())
        record.forwards = endpoint.value();
    return record;
}

// The zone's name goes into keys, documents and metrics.
bool isUsable(const DaemonRegistration &record)
{
    std::string zone = record.zone.text();
    if (zone.empty() || zone.size() > maxZoneBytes)
        return false;
    eraseIf(zone, [](char c) { return c == '"' || c == '\\'; });
    return nlohmann::json::accept('"' + zone + '"'); // UTF-8 without control characters.
}

int countInZone(const std::vector<DaemonRegistration> &daemons, const ZoneId &zone)
{
    return static_cast<int>(
        std::count_if(daemons.begin(), daemons.end(),
                      [&zone](const DaemonRegistration &daemon) { return daemon.zone == zone; }));
}

RelayChoice chooseRelays(const ZoneId &zone, const std::vector<DaemonRegistration> &daemons,
                         const RelayChoiceOptions &options)
{
    std::vector<DaemonRegistration> candidates;
    for (const DaemonRegistration &daemon : daemons) {
        if (daemon.zone == zone && daemon.links.port != 0)
            candidates.push_back(daemon);
    }
    const int inZone = countInZone(daemons, zone);
    if (inZone < options.minDaemons)
        return {};
    const int relayCount = std::clamp(
        (inZone + options.maxDaemonsPerRelay - 1) / options.maxDaemonsPerRelay,
        options.relaysPerZone, std::max(options.relaysPerZone, options.maxRelaysPerZone));
    const auto rank = [](const DaemonRegistration &daemon) {
        return std::make_tuple(-daemon.processor, stableHash(daemon.daemon.text()), daemon.daemon);
    };
    std::sort(candidates.begin(), candidates.end(),
              [&](const DaemonRegistration &a, const DaemonRegistration &b) {
                  return rank(a) < rank(b);
              });
    const auto end = static_cast<std::ptrdiff_t>(candidates.size());
    const std::ptrdiff_t relays = std::min<std::ptrdiff_t>(end, relayCount);
    const std::ptrdiff_t reserves = std::min<std::ptrdiff_t>(end, relays + options.reservesPerZone);
    return { { candidates.begin(), candidates.begin() + relays },
             { candidates.begin() + relays, candidates.begin() + reserves } };
}

std::vector<DaemonRegistration> orderRelays(const DaemonId &daemon,
                                            std::vector<DaemonRegistration> relays)
{
    const std::uint64_t key = stableHash(daemon.text());
    std::sort(relays.begin(), relays.end(),
              [key](const DaemonRegistration &a, const DaemonRegistration &b) {
                  return rendezvousScore(key, a.daemon.text())
                      > rendezvousScore(key, b.daemon.text());
              });
    return relays;
}

} // namespace ramphinge
