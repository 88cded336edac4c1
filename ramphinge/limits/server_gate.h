// Decides whether something may be sent to a server now, from what it stated in its answers (the
// rate that it accepts, a backoff, and that it shuts down), from its coldness, and from the
// evacuation of its zone. All code that sends to servers consults this class.
//
//   gate.noteAnswer({ host, zone }, statement, sentAt, now);
//   if (gate.admits(host, now)) {
//       gate.recordSend(host, now);
//       ... // Connects. The server may state something else meanwhile.
//       if (gate.mayWrite(host, SendPurpose::Request, now))
//           write();
//   }
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <set>

#include "ramphinge/limits/cold_servers.h"
#include "ramphinge/limits/server_backoffs.h"
#include "ramphinge/limits/server_departures.h"
#include "ramphinge/limits/server_limits.h"
#include "ramphinge/limits/server_statement.h"

namespace ramphinge {

// What an answer changed.
struct StatementChanges
{
    LimitChange limit = LimitChange::None;
    BackoffChange backoff = BackoffChange::None;
    bool isLeaving = false; // The server announced its shutdown, and that is new.
};

enum class SendPurpose {
    Request, // A caller's request.
    Control, // A report query or an order. Servers that shut down still get these.
};

// What daemons broadcast to each other about the statements of servers.
struct ServerUpdate
{
    std::vector<ServerLimitUpdate> limits;
    std::vector<HostId> leaving;

    bool empty() const { return limits.empty() && leaving.empty(); }
};

// Not thread-safe: lives on the event loop.
class ServerGate
{
public:
    explicit ServerGate(ColdServersOptions coldOptions = {}) : m_cold(coldOptions) { }

    // Sets the registered daemons of all zones. `self` counts as one even if it is not listed.
    void setDaemons(const RegisteredDaemon &self, const std::vector<RegisteredDaemon> &daemons,
                    MonotonicTime now);

    // Applies the statement in an answer to a request that was sent at `sentAt`.
    StatementChanges noteAnswer(const ServerLocation &server, const ServerStatement &statement,
                                MonotonicTime sentAt, MonotonicTime now);

    // What to broadcast to the other daemons now.
    ServerUpdate takeUpdate(MonotonicTime now);

    // Records that the server announced its shutdown to another daemon. True if that is new.
    bool noteLeaving(const HostId &host) { return m_departures.note(host); }

    // Replaces the set of cold servers.
    void setColdServers(const std::vector<ColdServer> &servers, MonotonicTime now)
    {
        m_cold.setServers(servers, now);
    }

    // Replaces the set of servers whose zone is being evacuated.
    void setEvacuated(std::set<HostId> servers) { m_evacuated = std::move(servers); }
    bool isEvacuated(const HostId &host) const { return m_evacuated.count(host) > 0; }

    // Sets how to find out whether the fleet view holds the server and it is not about to leave. A
    // request whose connection took long to establish must not be written to a server that left
    // meanwhile. Without it every server counts as serving.
    void setServingCheck(std::function<bool(const HostId &)> isServing)
    {
        m_isServing = std::move(isServing);
    }

    // Whether the server takes new requests at all, at whatever rate.
    bool takesRequests(const HostId &host) const
    {
        return !m_departures.isLeaving(host) && !isEvacuated(host);
    }

    // Whether a new request may be sent to the server.
    bool admits(const HostId &host, MonotonicTime now) const
    {
        return takesRequests(host) && m_backoffs.admits(host, now) && m_limits.admits(host, now)
            && m_cold.admits(host, now);
    }

    // Records that a new request is sent to the server.
    void recordSend(const HostId &host, MonotonicTime now);

    // Whether something may be written to the server now: an admitted request, or control traffic,
    // which needs no admission.
    bool mayWrite(const HostId &host, SendPurpose purpose, MonotonicTime now) const
    {
        const bool isServing = !m_isServing || m_isServing(host);
        const bool mayGoThere =
            purpose == SendPurpose::Control || (isServing && takesRequests(host));
        return mayGoThere && !m_backoffs.isBackingOff(host, now);
    }

    // Drops what ended long ago, and what concerns servers that left the fleet. `exists` tells
    // whether a server is in the fleet.
    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    // Whether nothing is recorded that restricts what is sent.
    bool empty() const
    {
        return m_limits.empty() && m_backoffs.empty() && m_departures.empty() && m_cold.empty()
            && m_evacuated.empty();
    }

    ServerLimits &limits() { return m_limits; }
    const ServerLimits &limits() const { return m_limits; }
    const ServerBackoffs &backoffs() const { return m_backoffs; }
    const ServerDepartures &departures() const { return m_departures; }
    const ColdServers &coldServers() const { return m_cold; }

    // Rate that the server accepts from all daemons together; empty if it is unlimited.
    std::optional<RequestRate> rateOf(const HostId &host, MonotonicTime now) const;

private:
    ServerLimits m_limits;
    ServerDepartures m_departures;
    ServerBackoffs m_backoffs;
    ColdServers m_cold;
    std::function<bool(const HostId &)> m_isServing; // Null: every server is.
    std::set<HostId> m_evacuated; // Servers whose zone is being evacuated.
};

} // namespace ramphinge
