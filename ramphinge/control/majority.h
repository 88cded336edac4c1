// Asks the platform whether a zone's registered daemons are currently a majority of its roster.

#pragma once

#include "ramphinge/control/documents.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct ZonePresence
{
    ZoneRoster roster;
    std::vector<DaemonRecord> registered;

    std::vector<DaemonId> registeredIds() const;
    bool hasMajority() const;
};

// Makes two store calls. Errors: those of the store.
Result<ZonePresence> readPresence(PlatformStore &store, const ZoneId &zone);

} // namespace ramphinge
