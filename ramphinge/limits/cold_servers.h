// Limits the requests to cold servers: a server that has just started, or whose caches were lost,
// tolerates a lower rate for some seconds and crashes far above it. The limit applies to the
// requests of all daemons together, in any second.
//
// The rate is shared like a limit that a server states (see server_limits.h), with token buckets of
// one request: `sharers` buckets that are full and one second of the rate must stay within
// `overshoot` times the rate plus `tolerance`.
//
//   ColdServers cold;
//   cold.setServers({ { { host, zone }, RequestRate(17), coldUntil } }, now);
//   if (cold.admits(host, now))
//       cold.recordSend(host, now);
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <map>
#include <vector>

#include "ramphinge/limits/server_limits.h"

namespace ramphinge {

struct ColdServersOptions
{
    double overshoot = 1.5; // Requests in any second, as a multiple of the tolerated rate.
    double tolerance = 5; // Requests in any second beyond that.
};

struct ColdServer
{
    ServerLocation server;
    RequestRate rate; // Tolerated while cold, from all daemons together.
    MonotonicTime coldUntil;
};

// Not thread-safe: lives on the event loop.
class ColdServers
{
public:
    explicit ColdServers(ColdServersOptions options = {});

    // Sets the registered daemons of all zones; see ServerLimits::setDaemons().
    void setDaemons(const RegisteredDaemon &self, const std::vector<RegisteredDaemon> &daemons,
                    MonotonicTime now);

    // Replaces the set of cold servers. A server that stays in it keeps its tokens.
    void setServers(const std::vector<ColdServer> &servers, MonotonicTime now);

    // Whether this daemon may send the server a request now.
    bool admits(const HostId &host, MonotonicTime now) const;

    // Records that a request is sent to the server.
    void recordSend(const HostId &host, MonotonicTime now);

    // Rate that the server tolerates now; empty if it is not cold.
    std::optional<RequestRate> rateOf(const HostId &host, MonotonicTime now) const;

    bool empty() const { return m_coldUntil.empty(); }
    // The servers that are cold now.
    std::vector<HostId> servers(MonotonicTime now) const;

private:
    bool isCold(const HostId &host, MonotonicTime now) const;

    ServerLimits m_limits;
    std::map<HostId, MonotonicTime> m_coldUntil; // Exactly the servers with a limit in m_limits.
};

} // namespace ramphinge
