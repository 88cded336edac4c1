// The servers that the daemon believes in, from the store's entries.
//
// A server's entry lapses when the server is silent, but also when the store itself was away. So an
// entry that vanishes within `returnGrace` after the store came back is kept until the grace has
// passed: a live server is back by then, and only one that is still missing is taken for gone.
//
// Of each server's name there is one life in the view, the latest one that was seen. One that comes
// under the name of another ends it at once: the earlier life is gone, whatever was kept of it.
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

// What an entry was to the view.
enum class PutOutcome {
    Taken, // New, or of the life that was there.
    Restarted, // Of a later life than the one that was there, which is gone.
    Outdated, // Of an earlier life than one that was seen: not taken.
};

// Not thread-safe: lives on the request loop.
class FleetView
{
public:
    FleetView() = default;

    // A new or changed entry. What it no longer tells of the server's last model is kept.
    PutOutcome put(UpstreamServer server);

    // The server said otherwise than by its entry that it leaves. Until the next entry; true if it
    // was not known.
    bool markDraining(const HostId &host);

    // The entry has vanished. True if the server is gone at once.
    bool remove(const ServerName &name, MonotonicTime now);

    // The entry names no server any more, whatever it did before: gone at once, and not kept. False
    // if there was none.
    bool drop(const ServerName &name);

    // The store answers again after it did not. Entries that vanish until `graceEnd` may have
    // lapsed meanwhile, though their servers live: these are kept until then.
    void storeReturned(MonotonicTime graceEnd) { m_graceEnd = graceEnd; }

    // Nothing could be heard of the servers that are kept now: they are until then at least.
    void keepMissing(MonotonicTime until);

    // A fresh list of all entries: whatever is not in it has vanished.
    void replaceAll(std::vector<UpstreamServer> servers, MonotonicTime now);

    // Takes out the servers whose grace has passed; returns them.
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
    std::map<ServerName, HostId> m_lives; // Exactly those of m_servers.
    // The latest start that was seen of each name that said one, also of names that are gone: an
    // older entry may come late. Bounded, see the source.
    std::map<ServerName, StartTime> m_latestStarts;
    std::map<HostId, MonotonicTime> m_missing; // Still in m_servers; until when.
    std::uint64_t m_generation = 0;
};

} // namespace ramphinge
