// Key names: see keys.h.

#include "ramphinge/control/keys.h"

namespace ramphinge {

namespace {

const std::string root = "ramphinge/";

StoreKey zoneKey(const std::string &kind, const ZoneId &zone, const std::string &name = "")
{
    return StoreKey(root + kind + "/" + zone.text() + (name.empty() ? "" : "/" + name));
}

KeyKind kindOf(const std::string &word)
{
    if (word == "daemons")
        return KeyKind::Daemon;
    if (word == "rosters")
        return KeyKind::Roster;
    if (word == "planners")
        return KeyKind::Planner;
    if (word == "plans")
        return KeyKind::Plan;
    if (word == "owners")
        return KeyKind::Owner;
    return word == "reigns" ? KeyKind::Reign : KeyKind::Other;
}

} // namespace

const StoreKey allKeys { root };
const StoreKey configKey { root + "config" };

StoreKey daemonPrefix(const ZoneId &zone)
{
    return StoreKey(root + "daemons/" + zone.text() + "/");
}

StoreKey daemonKey(const ZoneId &zone, const DaemonId &daemon)
{
    return zoneKey("daemons", zone, daemon.text());
}

StoreKey rosterKey(const ZoneId &zone)
{
    return zoneKey("rosters", zone);
}

StoreKey plannerKey(const ZoneId &zone)
{
    return zoneKey("planners", zone);
}

StoreKey planKey(const ZoneId &zone)
{
    return zoneKey("plans", zone);
}

StoreKey ownerKey(const SlotId &slot)
{
    return zoneKey("owners", slot.zone, std::to_string(slot.number.count()));
}

StoreKey reignKey(const SlotId &slot)
{
    return zoneKey("reigns", slot.zone, std::to_string(slot.number.count()));
}

ParsedKey parseKey(const StoreKey &key)
{
    const std::string &text = key.text();
    if (key == configKey)
        return { KeyKind::Config, {}, {} };
    if (text.compare(0, root.size(), root) != 0)
        return {};
    const std::size_t afterKind = text.find('/', root.size());
    if (afterKind == std::string::npos)
        return {};
    ParsedKey parsed;
    parsed.kind = kindOf(text.substr(root.size(), afterKind - root.size()));
    const std::size_t afterZone = text.find('/', afterKind + 1);
    parsed.zone = ZoneId(text.substr(afterKind + 1, afterZone - afterKind - 1));
    if (afterZone != std::string::npos)
        parsed.name = text.substr(afterZone + 1);
    return parsed;
}

} // namespace ramphinge
