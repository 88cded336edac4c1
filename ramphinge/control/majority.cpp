// Presence of a zone's daemons: see majority.h.

#include "ramphinge/control/majority.h"

#include "ramphinge/control/keys.h"

namespace ramphinge {

std::vector<DaemonId> ZonePresence::registeredIds() const
{
    std::vector<DaemonId> ids;
    for (const DaemonRecord &record : registered)
        ids.push_back(record.daemon);
    return ids;
}

bool ZonePresence::hasMajority() const
{
    return ramphinge::hasMajority(roster, registeredIds());
}

Result<ZonePresence> readPresence(PlatformStore &store, const ZoneId &zone)
{
    ZonePresence presence;
    presence.roster.zone = zone;
    const Result<std::optional<StoredValue>> stored = store.read(rosterKey(zone));
    if (!stored.ok())
        return stored.error();
    if (stored.value()) {
        const Result<ZoneRoster> roster = parseRoster(stored.value()->value);
        if (!roster.ok())
            return roster.error();
        presence.roster = roster.value();
    }
    const Result<std::vector<StoredEntry>> entries = store.list(daemonPrefix(zone));
    if (!entries.ok())
        return entries.error();
    for (const StoredEntry &entry : entries.value()) {
        const Result<DaemonRecord> record = parseDaemonRecord(entry.stored.value);
        if (record.ok())
            presence.registered.push_back(record.value());
    }
    return presence;
}

} // namespace ramphinge
