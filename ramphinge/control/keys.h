// The keys that the system writes to the store.
//
//   ramphinge/config                     accepted configuration and the proposal under decision
//   ramphinge/daemons/<zone>/<daemon>    a registration, under the daemon's lease
//   ramphinge/rosters/<zone>             the daemons that count for the zone's majorities
//   ramphinge/planners/<zone>            who plans the zone, under the holder's lease
//   ramphinge/plans/<zone>               the zone's replica plan
//   ramphinge/owners/<zone>/<slot>       who owns a slot of keys, under the holder's lease
//   ramphinge/reigns/<zone>/<slot>       how many owners the slot has had

#pragma once

#include "ramphinge/claims/slots.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

extern const StoreKey allKeys; // The common prefix.
extern const StoreKey configKey;

StoreKey daemonPrefix(const ZoneId &zone);
StoreKey daemonKey(const ZoneId &zone, const DaemonId &daemon);
StoreKey rosterKey(const ZoneId &zone);
StoreKey plannerKey(const ZoneId &zone);
StoreKey planKey(const ZoneId &zone);
StoreKey ownerKey(const SlotId &slot);
StoreKey reignKey(const SlotId &slot);

// The kind of a key and its parts; parts that the kind doesn't have are empty.
enum class KeyKind { Config, Daemon, Roster, Planner, Plan, Owner, Reign, Other };
struct ParsedKey
{
    KeyKind kind = KeyKind::Other;
    ZoneId zone;
    std::string name; // Daemon or slot number.
};
ParsedKey parseKey(const StoreKey &key);

} // namespace ramphinge
