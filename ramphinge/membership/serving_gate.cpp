// The serving decision: see serving_gate.h.

#include "ramphinge/membership/serving_gate.h"

#include <algorithm>

namespace ramphinge {

const char *toString(Registration registration)
{
    switch (registration) {
    case Registration::Registered:
        return "registered";
    case Registration::Unregistered:
        return "unregistered";
    case Registration::Rejoining:
        return "rejoining";
    }
    return "rejoining";
}

const char *toString(ServingMode mode)
{
    switch (mode) {
    case ServingMode::Confirmed:
        return "confirmed";
    case ServingMode::ZoneAlone:
        return "zone_alone";
    case ServingMode::Refusing:
        return "refusing";
    }
    return "refusing";
}

bool ZoneRoster::contains(const DaemonId &daemon) const
{
    return std::find(daemons.begin(), daemons.end(), daemon) != daemons.end();
}

ServingDecision decideServing(const ServingInput &input, const ServingOptions &options)
{
    if (input.configVersion == 0)
        return { ServingMode::Refusing, "no configuration has been learned yet", false };
    const std::int64_t newestVersion = std::max(input.configVersion, input.preparedVersion);
    const bool undecided = input.preparedVersion > input.configVersion;
    if (input.registration.mayAct(input.now))
        return { ServingMode::Confirmed, "registered at the platform", undecided };
    std::size_t unregistered = input.roster.contains(input.self) ? 1 : 0;
    for (const PeerState &peer : input.zonePeers) {
        const bool fresh = input.now - peer.heardAt < options.promise;
        if (!fresh || !input.roster.contains(peer.daemon) || peer.daemon == input.self)
            continue;
        if (peer.registration == Registration::Registered)
            return { ServingMode::Refusing,
                     "the platform is out of reach from here, but not from " + peer.daemon.text()
                         + ": changes may be accepted without this daemon",
                     false };
        if (peer.registration != Registration::Unregistered)
            continue;
        if (std::max(peer.configVersion, peer.preparedVersion) > newestVersion)
            return { ServingMode::Refusing,
                     peer.daemon.text() + " has a newer configuration, which is being fetched",
                     false };
        ++unregistered;
    }
    if (unregistered > 0 && 2 * unregistered >= input.roster.daemons.size())
        return { ServingMode::ZoneAlone,
                 "the platform is out of reach from the zone; no change can be accepted meanwhile",
                 undecided };
    return {
        ServingMode::Refusing,
        "the platform and half of the zone's daemons are out of reach: changes may be accepted "
        "without this daemon",
        false
    };
}

bool hasMajority(const ZoneRoster &roster, const std::vector<DaemonId> &registered)
{
    const auto present = std::count_if(
        roster.daemons.begin(), roster.daemons.end(), [&registered](const DaemonId &daemon) {
            return std::find(registered.begin(), registered.end(), daemon) != registered.end();
        });
    return 2 * static_cast<std::size_t>(present) > roster.daemons.size();
}

} // namespace ramphinge
