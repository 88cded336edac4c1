// Remembers the servers that announced in an answer that they shut down. Such an incarnation gets
// no more requests, whatever its entry in the store says later.
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct ServerDeparturesOptions
{
    // Number of times that a departure is broadcast to the other daemons. The repeats reach daemons
    // whose links were still being established.
    int broadcasts = 3;
    std::size_t maxServersPerBroadcast = 200; // Servers per broadcast, about 20 bytes each.
    // A departure is kept this long after its server left the fleet, since a lapsed registration
    // may be renewed.
    Duration goneRetention = std::chrono::minutes(10);
    std::size_t maxServers = 16 * 1024;
};

// Not thread-safe: lives on the event loop.
class ServerDepartures
{
public:
    explicit ServerDepartures(ServerDeparturesOptions options = {}) : m_options(options) { }

    // Records that the server announced its shutdown to any daemon. True if that is new.
    bool note(const HostId &host);

    bool isLeaving(const HostId &host) const { return m_leaving.count(host) > 0; }

    // The servers to include in the next broadcast to the other daemons, up to the limit.
    std::vector<HostId> takeUpdates();

    // Drops servers that left the fleet long ago. `exists` tells whether a server is in the fleet.
    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    bool empty() const { return m_leaving.empty(); }
    std::vector<HostId> servers() const;

private:
    struct Departure
    {
        int broadcastsLeft = 0;
        std::optional<MonotonicTime> missingSince; // When the server was first absent.
    };

    ServerDeparturesOptions m_options;
    std::map<HostId, Departure> m_leaving;
};

} // namespace ramphinge
