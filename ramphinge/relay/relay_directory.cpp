// The directory of relays in the store: see relay_directory.h.

#include "ramphinge/relay/relay_directory.h"

#include <algorithm>
#include <charconv>
#include <iterator>

namespace ramphinge {

namespace {

const std::string slotPrefix = "ramphinge/link-relays/";

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

StoreKey linkKeysPrefix()
{
    return StoreKey("ramphinge/link-");
}

StoreKey relaySlotKey(const ZoneId &zone, int slot)
{
    return StoreKey(slotPrefix + zone.text() + '/' + std::to_string(slot));
}

std::string serializeRelay(const DaemonRegistration &relay)
{
    return relay.daemon.text() + ' ' + serializeRegistration(relay);
}

bool isRelayDirectoryKey(const StoreKey &key)
{
    return startsWith(key.text(), slotPrefix);
}

std::optional<RelayDirectoryEntry> parseRelayEntry(const StoreKey &key, const StoredValue &stored)
{
    const std::string &text = key.text();
    const std::size_t slash = text.rfind('/');
    if (!startsWith(text, slotPrefix) || slash < slotPrefix.size())
        return std::nullopt;
    RelayDirectoryEntry entry;
    const char *const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data() + slash + 1, end, entry.slot);
    const std::size_t space = stored.value.find(' ');
    if (error != std::errc() || parsed != end || space == std::string::npos)
        return std::nullopt;
    entry.relay =
        parseRegistration(DaemonId(stored.value.substr(0, space)), stored.value.substr(space + 1));
    entry.revision = stored.revision;
    // A slot under another key, such as with leading zeros, could never be claimed.
    const bool isOwnKey = entry.slot >= 0 && relaySlotKey(entry.relay.zone, entry.slot) == key;
    if (!isOwnKey || entry.relay.daemon.empty() || entry.relay.links.port == 0)
        return std::nullopt;
    return entry;
}

RelayDirectory parseRelayDirectory(const std::map<StoreKey, StoredValue> &keys)
{
    RelayDirectory directory;
    for (auto key = keys.lower_bound(StoreKey(slotPrefix));
         key != keys.end() && startsWith(key->first.text(), slotPrefix); ++key) {
        if (const auto entry = parseRelayEntry(key->first, key->second))
            directory.push_back(*entry);
    }
    return directory;
}

RelayDirectory entriesOfZone(const RelayDirectory &directory, const ZoneId &zone)
{
    RelayDirectory entries;
    std::copy_if(directory.begin(), directory.end(), std::back_inserter(entries),
                 [&zone](const RelayDirectoryEntry &entry) { return entry.relay.zone == zone; });
    return entries;
}

} // namespace ramphinge
