// Tracks the backoff periods in which servers asked this daemon to send them nothing.
//
// A server gets nothing until the end of the latest backoff that it has asked for. Daemons that it
// refused at the same time would all resume at that end, so each adds its own delay, drawn from a
// range that grows with the number of daemons. Then one request is sent as a probe, and more only
// after it has been answered or has timed out.
//
//   backoffs.noteRefusal(host, backoff, now);
//   if (backoffs.admits(host, now)) {
//       backoffs.recordSend(host, now);
//       send();
//   }
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

enum class BackoffChange { None, Asked, Extended, Ended };

const char *toString(BackoffChange change);

struct ServerBackoffState
{
    HostId host;
    Duration left {}; // Time until the backoff ends; zero after the end, until a probe is answered.
};

struct ServerBackoffsOptions
{
    // The daemons' delays after a backoff spread over this time per daemon, up to `maxSpread`.
    Duration resumeSpacing = std::chrono::milliseconds(10);
    Duration maxSpread = std::chrono::seconds(2);
    // A probe that was not answered in this time is ignored, and another one is sent.
    Duration probeTimeout = std::chrono::seconds(1);
    // A backoff is dropped this long after this daemon may send again, even without an answered
    // probe.
    Duration endedRetention = std::chrono::seconds(30);
    // A backoff is kept this long after its server left the fleet, since a lapsed registration may
    // be renewed.
    Duration goneRetention = std::chrono::minutes(10);
    std::size_t maxServers = 4096;
};

// Not thread-safe: lives on the event loop.
class ServerBackoffs
{
public:
    explicit ServerBackoffs(ServerBackoffsOptions options = {}) : m_options(options) { }

    // Sets this daemon's id and the number of daemons that send to the same servers, including it.
    void setDaemons(const DaemonId &self, std::size_t daemons);

    // Records that the server refused a request and asked for this backoff. One that would end
    // before the current backoff has no effect.
    BackoffChange noteRefusal(const HostId &host, Duration backoff, MonotonicTime now);

    // Records an answer without a backoff to a request that was sent at `sentAt`. It ends the
    // backoff only if the request was sent after the backoff period.
    BackoffChange noteAnswer(const HostId &host, MonotonicTime sentAt);

    // Whether the server's backoff period is running, in which nothing at all may be sent.
    bool isBackingOff(const HostId &host, MonotonicTime now) const;

    // Whether a new request may be sent to the server.
    bool admits(const HostId &host, MonotonicTime now) const;

    // When this daemon may send to the server again; empty if that time has passed or the server
    // has no backoff.
    std::optional<MonotonicTime> resumesAt(const HostId &host, MonotonicTime now) const;

    // Records that a request is sent to the server.
    void recordSend(const HostId &host, MonotonicTime now);

    // Drops backoffs that ended long ago, and those of servers that left the fleet. `exists` tells
    // whether a server is in the fleet.
    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    bool empty() const { return m_backoffs.empty(); }

    // All servers with a backoff, or waiting for an answered probe after one.
    std::vector<ServerBackoffState> states(MonotonicTime now) const;

private:
    struct Backoff
    {
        MonotonicTime until;
        MonotonicTime resumeAt; // When this daemon may probe. Invariant: not before `until`.
        std::optional<MonotonicTime> lastSentAt; // When a request was last sent.
        std::optional<MonotonicTime> missingSince; // When the server was first absent.
    };

    Duration resumeDelay(const HostId &host) const;

    ServerBackoffsOptions m_options;
    DaemonId m_self;
    std::size_t m_daemons = 1;
    std::map<HostId, Backoff> m_backoffs;
};

} // namespace ramphinge
