// The directory of relays in the store: one leased key for each slot of a zone, which names the
// relay that holds it. A daemon without a view reads the directory, a few kilobytes, to find a
// relay that sends it one.
//
// A zone has a fixed number of slots, so the number of daemons that read large parts of the store
// at any moment doesn't grow with the fleet.

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "ramphinge/relay/relay_choice.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct RelayDirectoryEntry
{
    DaemonRegistration relay;
    int slot = 0;
    Revision revision; // Of the slot's key.

    friend bool operator==(const RelayDirectoryEntry &a, const RelayDirectoryEntry &b)
    {
        return a.relay == b.relay && a.slot == b.slot && a.revision == b.revision;
    }
};

using RelayDirectory = std::vector<RelayDirectoryEntry>;

// Prefix of the keys with which daemons find each other: the secret of their links, and the
// directory.
StoreKey linkKeysPrefix();
StoreKey relaySlotKey(const ZoneId &zone, int slot);
std::string serializeRelay(const DaemonRegistration &relay);

// The entry that a key of the directory holds; empty for other keys and for values that name no
// reachable relay.
bool isRelayDirectoryKey(const StoreKey &key);
std::optional<RelayDirectoryEntry> parseRelayEntry(const StoreKey &key, const StoredValue &stored);

// The directory's entries among these keys, of all zones.
RelayDirectory parseRelayDirectory(const std::map<StoreKey, StoredValue> &keys);

RelayDirectory entriesOfZone(const RelayDirectory &directory, const ZoneId &zone);

} // namespace ramphinge
