// Keeps the times for which servers have asked this daemon to send them nothing.
//
// A server gets nothing until the end of the longest time that it has asked for. The daemons that
// it turned away together would come back together, so each returns a little later, by its own
// delay: the more daemons there are, the wider they are spread. Then one request is sent as a
// trial, and the next ones only once it has been answered.
//
//   backoffs.noteRefusal(host, backoff, now);
//   if (backoffs.admits(host, now)) {
//       backoffs.take(host, now);
//       send();
//   }
//
// Pure: no clock, no network.

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
    Duration left {}; // Of the time that it asked for; zero while it is being tried again.
};

struct ServerBackoffsOptions
{
    // The daemons' returns to a server are spread over so much time for each daemon.
    Duration returnSpacing = std::chrono::milliseconds(10);
    Duration longestSpread = std::chrono::seconds(2);
    // A trial that got no answer counts for nothing after so long, and another one is sent.
    Duration trialTimeout = std::chrono::seconds(1);
    // A server that nobody wanted to ask after the end is taken for any other then.
    Duration endedMemory = std::chrono::seconds(30);
    // Of servers that are gone; an entry that lapsed may come back.
    Duration goneMemory = std::chrono::minutes(10);
    std::size_t mostServers = 4096;
};

// Not thread-safe: lives on the event loop.
class ServerBackoffs
{
public:
    explicit ServerBackoffs(ServerBackoffsOptions options = {}) : m_options(options) { }

    // How many daemons send to the same servers, this one among them.
    void setDaemons(const DaemonId &self, std::size_t daemons);

    // The server turned a request away and asked for nothing for so long. A shorter time than what
    // is left of an earlier one changes nothing.
    BackoffChange noteRefusal(const HostId &host, Duration backoff, MonotonicTime now);

    // Any other answer to a request that was sent at `sentAt`. One that was sent before the end of
    // the backoff says nothing of it.
    BackoffChange noteAnswer(const HostId &host, MonotonicTime sentAt);

    // Whether the time that the server asked for lasts: nothing at all may be sent.
    bool isBackingOff(const HostId &host, MonotonicTime now) const;

    // Whether a new request may be sent there.
    bool admits(const HostId &host, MonotonicTime now) const;

    // When this daemon returns to the server; nothing if it has, be it only with a trial.
    std::optional<MonotonicTime> returnsAt(const HostId &host, MonotonicTime now) const;

    // A request is sent to the server.
    void take(const HostId &host, MonotonicTime now);

    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    bool empty() const { return m_backoffs.empty(); }

    // All servers that are not taken for any other.
    std::vector<ServerBackoffState> states(MonotonicTime now) const;

private:
    struct Backoff
    {
        MonotonicTime until;
        MonotonicTime returnAt; // Of this daemon; not before `until`.
        std::optional<MonotonicTime> trialAt; // When a request was last sent after that.
        std::optional<MonotonicTime> missingSince; // When the server was first not in the fleet.
    };

    Duration returnDelay(const HostId &host) const;

    ServerBackoffsOptions m_options;
    DaemonId m_self;
    std::size_t m_daemons = 1;
    std::map<HostId, Backoff> m_backoffs;
};

} // namespace ramphinge
