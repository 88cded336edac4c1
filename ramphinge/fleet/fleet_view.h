// The daemon's view of the upstream servers, built from the store's entries.
//
// A server's entry lapses when the server stops renewing it, but also when the store itself was
// unavailable. So a server whose entry disappears shortly after the store is back is retained until
// a grace period ends: a live server has registered again by then, and only one that is still
// missing is taken for gone.
//
// The view holds one incarnation per server name, the latest one seen. A later incarnation replaces
// the earlier one at once, even a retained one.
//
//   fleet.put(server);
//   fleet.remove(name, clock.now());
//   for (const auto &[host, server] : fleet.servers()) ...

#pragma once

#include <map>
#include <vector>

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/incarnation.h"
#include "ramphinge/fleet/upstream_server.h"

namespace ramphinge {

using ServerMap = std::map<HostId, UpstreamServer>;

// What became of an entry.
enum class PutOutcome {
    Stored, // New, or of the incarnation in the view.
    Restarted, // Stored; it replaced another incarnation, which is gone.
    Outdated, // Ignored: a later incarnation was seen before.
};

// Not thread-safe: lives on the request loop.
class FleetView
{
public:
    FleetView() = default;

    // Stores a new or changed entry. The incarnation's last model is kept when the entry names
    // none.
    PutOutcome put(UpstreamServer server);

    // The server announced by other means than its entry that it leaves. Holds until its next
    // entry. Returns whether this changed the view.
    bool markDraining(const HostId &host);

    // The entry has disappeared. Returns true if the server is gone at once, false if it is
    // retained or was not in the view.
    bool remove(const ServerName &name, MonotonicTime now);

    // The entry names no server any more: the server is gone at once and isn't retained. Returns
    // false if it was not in the view.
    bool removeAtOnce(const ServerName &name);

    // The store is available again. Entries that disappear until `graceEnd` may have lapsed during
    // the outage though their servers live: they are retained until then.
    void startGracePeriod(MonotonicTime graceEnd) { m_graceEnd = graceEnd; }

    // Extends the time of the servers that are retained now to `until` at least, since their
    // entries could not be read meanwhile.
    void extendRetention(MonotonicTime until);

    // Applies a full list of entries: those that are not in it have disappeared.
    void replaceAll(std::vector<UpstreamServer> servers, MonotonicTime now);

    // Removes retained servers whose time is up, and returns them.
    std::vector<HostId> expire(MonotonicTime now);

    const ServerMap &servers() const { return m_servers; }
    const UpstreamServer *find(const HostId &host) const;

    // Changes whenever the servers do.
    std::uint64_t generation() const { return m_generation; }

private:
    void erase(const HostId &host);
    bool isOutdated(const Incarnation &incarnation) const;

    MonotonicTime m_graceEnd;
    ServerMap m_servers;
    std::map<ServerName, HostId> m_incarnations; // Exactly the servers in m_servers.
    // The latest start time seen of each name that had one, also of names that are gone: an older
    // entry may arrive late. Bounded by maxRememberedStarts.
    std::map<ServerName, StartTime> m_latestStarts;
    std::map<HostId, MonotonicTime> m_retained; // Retained in m_servers; until when.
    std::uint64_t m_generation = 0;
};

} // namespace ramphinge
