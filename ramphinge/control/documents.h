// The small documents kept at the platform, read and written: registrations, rosters, roles,
// reigns, and the configuration with its proposal. Plans and configurations have their own
// libraries.

#pragma once

#include <optional>
#include <string>

#include "ramphinge/config/accepted.h"
#include "ramphinge/membership/peer_state.h"
#include "ramphinge/membership/serving_gate.h"

namespace ramphinge {

// A daemon's registration.
struct DaemonRecord
{
    DaemonId daemon;
    ZoneId zone;
    Endpoint peers;
    Endpoint administration;
    std::string incarnation;
};
std::string serialize(const DaemonRecord &record);
Result<DaemonRecord> parseDaemonRecord(const std::string &text);

std::string serialize(const ZoneRoster &roster);
Result<ZoneRoster> parseRoster(const std::string &text);

// Who holds a role (planner, slot owner) under its lease.
struct RoleRecord
{
    DaemonId daemon;
    std::string incarnation;
};
std::string serialize(const RoleRecord &record);
Result<RoleRecord> parseRole(const std::string &text);

// How many owners a slot has had, the last one, and who holds a full copy of its memory.
struct ReignRecord
{
    std::int64_t number = 0;
    DaemonId daemon;
    std::string incarnation;
    DaemonId copyAt; // Empty: nobody. While it is set, no grant counts that the copy lacks.
    std::string copyIncarnation;
};
std::string serialize(const ReignRecord &record);
Result<ReignRecord> parseReign(const std::string &text);

// The one key on which every change of configuration is decided. A proposal replaces nothing until
// it is accepted; since both are in one value, accepting an overtaken proposal fails its
// compare-and-swap.
struct ConfigState
{
    AcceptedConfigPtr accepted; // Null before the first.
    AcceptedConfigPtr proposal; // Null if none is being decided.
    DaemonId proposer;
    std::vector<ChangeRecord> history; // Accepted changes, newest first; bounded.
};

// The state after `next` is accepted.
ConfigState acceptedState(const ConfigState &before, const AcceptedConfigPtr &next);

// Whether the change was accepted, as far back as the history goes.
bool wasAccepted(const ConfigState &state, const ChangeId &change);

nlohmann::json toJson(const ChangeRecord &record);
std::string serialize(const ConfigState &state);
Result<ConfigState> parseConfigState(const std::string &text);

} // namespace ramphinge
