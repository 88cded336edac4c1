// Decides whether a server may be sent something now, by what it said of itself in its answers: the
// rate that it accepts, the time for which it asked for nothing, and that it leaves. The one place
// that every way to a server asks.
//
//   gate.noteAnswer({ host, zone }, statement, sentAt, now);
//   if (gate.admits(host, now)) {
//       gate.take(host, now);
//       ... // Connects; what the server says meanwhile counts too.
//       if (gate.mayWrite(host, SendPurpose::Request, now))
//           write();
//   }
//
// Pure: no clock, no network.

#pragma once

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
    bool isLeaving = false; // The server was not known to leave.
};

enum class SendPurpose {
    Request, // Of a caller.
    Control, // A report or an order; a server that leaves is still told to close, and asked.
};

// What daemons tell each other of what servers said.
struct ServerNews
{
    std::vector<ServerLimitNews> limits;
    std::vector<HostId> leaving;

    bool empty() const { return limits.empty() && leaving.empty(); }
};

// Not thread-safe: lives on the event loop.
class ServerGate
{
public:
    // The daemons that are registered, all zones together; `self` counts in any case.
    void setDaemons(const LimitSharer &self, const std::vector<LimitSharer> &daemons,
                    MonotonicTime now);

    // What an answer to a request that was sent at `sentAt` says of its server.
    StatementChanges noteAnswer(const LimitedServer &server, const ServerStatement &statement,
                                MonotonicTime sentAt, MonotonicTime now);

    // What the other daemons are to be told now.
    ServerNews takeNews(MonotonicTime now);

    // Another daemon heard the server say that it leaves. True if it was not known.
    bool hearLeaving(const HostId &host) { return m_departures.note(host); }

    // Whether a new request may be sent there.
    bool admits(const HostId &host, MonotonicTime now) const
    {
        return !m_departures.isLeaving(host) && m_backoffs.admits(host, now)
            && m_limits.admits(host, now);
    }

    // A new request is to be sent there.
    void take(const HostId &host, MonotonicTime now);

    // Whether what was admitted or is not asked for may be written now.
    bool mayWrite(const HostId &host, SendPurpose purpose, MonotonicTime now) const
    {
        const bool mayGoThere = purpose == SendPurpose::Control || !m_departures.isLeaving(host);
        return mayGoThere && !m_backoffs.isBackingOff(host, now);
    }

    // Lets go of what has ended, and of servers that are gone.
    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    // Whether no server has said anything that holds something back.
    bool empty() const { return m_limits.empty() && m_backoffs.empty() && m_departures.empty(); }

    ServerLimits &limits() { return m_limits; }
    const ServerLimits &limits() const { return m_limits; }
    const ServerBackoffs &backoffs() const { return m_backoffs; }
    const ServerDepartures &departures() const { return m_departures; }

private:
    ServerLimits m_limits;
    ServerDepartures m_departures;
    ServerBackoffs m_backoffs;
};

} // namespace ramphinge
