// Parses and serializes the small documents in the store: registrations, rosters, roles,
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

// The holder of a role (planner, slot owner), under its lease.
struct RoleRecord
{
    DaemonId daemon;
    std::string incarnation;
};
std::string serialize(const RoleRecord &record);
Result<RoleRecord> parseRole(const std::string &text);

// Number of owners that a slot has had, the last owner, and who holds a complete copy of its
// records.
struct ReignRecord
{
    std::int64_t number = 0;
    DaemonId daemon;
    std::string incarnation;
    DaemonId copyAt; // Empty: nobody. While it is set, grants are valid only if the copy has them.
    std::string copyIncarnation;
};
std::string serialize(const ReignRecord &record);
Result<ReignRecord> parseReign(const std::string &text);

// The key on which all changes of the configuration are decided. A proposal has no effect until it
// is accepted. Both are in one value, so accepting a proposal that was overwritten fails the
// compare-and-swap.
struct ConfigState
{
    AcceptedConfigPtr accepted; // Null before the first one.
    AcceptedConfigPtr proposal; // Null if none is pending.
    DaemonId proposer;
    std::vector<ChangeRecord> history; // Accepted changes, newest first; bounded.
};

// The state after `next` is accepted.
ConfigState acceptedState(const ConfigState &before, const AcceptedConfigPtr &next);

// Whether the change was accepted, within the range of the history.
bool wasAccepted(const ConfigState &state, const ChangeId &change);

nlohmann::json toJson(const ChangeRecord &record);
std::string serialize(const ConfigState &state);
Result<ConfigState> parseConfigState(const std::string &text);

} // namespace ramphinge
