// Enforces the rate limits that servers state in their answers. A limit applies to the requests of
// all daemons together.
//
// A limited server is shared by a few daemons, more of them at higher rates. All daemons compute
// the same sharers by rendezvous hashing over the registered daemons, half of them in the server's
// own zone. Each sharer has an equal share of the rate as a token bucket, so the sum over all
// daemons is bounded without coordination. The bucket starts empty, so that a daemon that restarts
// gains no allowance. The other daemons send the server nothing while updates say that it is
// limited; without updates they probe it one after the other.
//
// After a limit ends, the accepted rate is doubled in steps and finally becomes unlimited.
//
//   ServerLimits limits(options);
//   limits.setDaemons(self, daemons, now);
//   limits.noteAnswer({ host, zone }, rate, sentAt, now);
//   if (limits.admits(host, now)) {
//       limits.recordSend(host, now);
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
#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

enum class LimitChange { None, Stated, Changed, Ended };

const char *toString(LimitChange change);

struct ServerLocation
{
    HostId host;
    ZoneId zone;
};

struct RegisteredDaemon
{
    DaemonId daemon;
    ZoneId zone;

    friend bool operator==(const RegisteredDaemon &a, const RegisteredDaemon &b)
    {
        return a.daemon == b.daemon && a.zone == b.zone;
    }
};

// An update about a server's limit that daemons broadcast to each other. It carries an age instead
// of a time, since their clocks differ.
struct ServerLimitUpdate
{
    ServerLocation server;
    std::optional<RequestRate> rate; // Empty: the limit has ended.
    Duration age {}; // Time since the answer that stated it or ended the limit.
};

// What a daemon knows of a server's limit.
struct ServerLimitState
{
    HostId host;
    RequestRate accepted; // From all daemons together.
    Duration sinceStated {}; // Time since an answer last stated the limit.
    bool hasEnded = false; // The limit has ended, and the accepted rate is recovering.
    bool isSharer = false; // This daemon has a share of the accepted rate.
};

struct ServerLimitsOptions
{
    // Number of daemons that share a server: baseSharers + sharersPerRequestRate x rate in requests
    // per second, rounded down.
    double baseSharers = 2.6;
    double sharersPerRequestRate = 1.4;
    // Rate that is sent to a server that states a lower one, since only an answer can end its
    // limit.
    RequestRate minRate { 0.5 };
    // Capacity of a sharer's token bucket: its share of the rate over `burstTime`, but at least
    // `minBurstRequests` requests.
    Duration burstTime = std::chrono::seconds(1);
    double minBurstRequests = 1.4;
    // A daemon whose registration is gone keeps its share for this time: registrations lapse while
    // the store is unavailable, and restarted processes register again.
    Duration daemonRetention = std::chrono::seconds(30);
    // Until this time after the last new daemon, the fleet is assumed to have
    // `unknownDaemonsFactor` times the daemons that are known.
    Duration daemonSettleTime = std::chrono::seconds(5);
    double unknownDaemonsFactor = 4;
    // After a limit ends, the accepted rate stays constant for `constantSteps` steps, since limits
    // may alternate, then doubles in each of `doublingSteps` steps and becomes unlimited after
    // them.
    Duration recoveryStep = std::chrono::milliseconds(700);
    int constantSteps = 3;
    int doublingSteps = 6;
    // Initial tokens of a daemon that becomes a sharer during the recovery.
    double newSharerTokens = 0.5;
    // Once the last statement is older than `probeAfter`, daemons without tokens probe the server,
    // each in its own time slot of length `probeSlot`.
    Duration probeAfter = std::chrono::seconds(5);
    Duration probeSlot = std::chrono::seconds(4);
    // Slots per daemon in a cycle, of which it uses one: without links, the daemons' cycles are not
    // aligned.
    std::int64_t probeSlotsPerDaemon = 2;
    // A change is broadcast at once and repeated `broadcastRepeats` times, for daemons whose links
    // were still being established. After that, newer statements are broadcast at this interval.
    int broadcastRepeats = 2;
    Duration broadcastInterval = std::chrono::seconds(2);
    // Updates per second for all servers together, at 45 bytes each: control traffic may use 5 KB/s
    // of a link. Changes take precedence, then the servers that have been due for longest.
    double updatesPerSecond = 90;
    double updateBurst = 360;
    // Retention of a limit after it ended, and after the last statement of a server that left the
    // fleet.
    Duration endedRetention = std::chrono::seconds(40);
    Duration goneRetention = std::chrono::seconds(30);
    std::size_t maxServers = 4096;
};

// Not thread-safe: lives on the event loop.
class ServerLimits
{
public:
    explicit ServerLimits(ServerLimitsOptions options = {}) : m_options(options) { }

    // Sets the registered daemons of all zones. `self` counts as one even if it is not registered.
    void setDaemons(const RegisteredDaemon &self, const std::vector<RegisteredDaemon> &daemons,
                    MonotonicTime now);

    // Records an answer to a request that was sent at `sentAt`. `stated` is empty if the answer
    // states no limit; that ends the limit only if the request was sent after the last statement,
    // since answers on different connections may arrive out of order.
    LimitChange noteAnswer(const ServerLocation &server, std::optional<RequestRate> stated,
                           MonotonicTime sentAt, MonotonicTime now);

    // Applies another daemon's update if it is newer than what is known. An old update about a
    // server that left the fleet is ignored; otherwise daemons that have dropped the server would
    // restore it for each other.
    LimitChange applyUpdate(const ServerLimitUpdate &update, MonotonicTime now,
                            bool isInFleet = true);

    // The updates to broadcast to the other daemons now, within the rate of updates.
    std::vector<ServerLimitUpdate> takeUpdates(MonotonicTime now);

    // Whether this daemon may send the server a request now.
    bool admits(const HostId &host, MonotonicTime now) const;

    // Records that a request is sent to the server.
    void recordSend(const HostId &host, MonotonicTime now);

    // Rate that the server accepts from all daemons together; empty if it is unlimited.
    std::optional<RequestRate> rateOf(const HostId &host, MonotonicTime now) const;

    // Drops limits that ended long ago, and those of servers that left the fleet. `exists` tells
    // whether a server is in the fleet.
    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    // Drops the limits of all servers but those for which `keep` returns true.
    void retain(const std::function<bool(const HostId &)> &keep);

    // All servers that are limited or recovering from a limit.
    std::vector<ServerLimitState> states(MonotonicTime now) const;
    bool empty() const { return m_limits.empty(); }
    std::size_t daemons() const { return m_daemons.size(); }

private:
    struct Limit
    {
        ZoneId zone;
        RequestRate rate; // As last stated.
        MonotonicTime statedAt; // When an answer last stated it to any daemon.
        std::optional<MonotonicTime> endedAt;
        std::size_t rank = 0; // This daemon's position among the candidate sharers.
        double tokens = 0; // Requests that may be sent, as of `refilledAt`.
        MonotonicTime refilledAt;
        std::optional<MonotonicTime> lastSentAt; // When this daemon last sent a request.
        int broadcastsLeft = 0; // Of the last change.
        MonotonicTime nextBroadcastAt; // Earliest time of the next broadcast.
        MonotonicTime broadcastUpTo; // Time of the newest observation that was broadcast.
    };

    struct Daemon
    {
        ZoneId zone;
        std::optional<MonotonicTime> missingSince; // When its registration was first absent.
    };

    Limit &add(const ServerLocation &server, RequestRate rate, MonotonicTime statedAt,
               MonotonicTime now);
    LimitChange applyStatement(Limit &limit, RequestRate rate, MonotonicTime statedAt,
                               MonotonicTime now);
    void end(Limit &limit, MonotonicTime endedAt, MonotonicTime now);
    void scheduleBroadcast(Limit &limit, MonotonicTime now) const;
    std::size_t updatesAllowed(MonotonicTime now);
    ServerLimitUpdate makeUpdate(const HostId &host, Limit &limit, MonotonicTime now) const;
    std::size_t rankFor(const ServerLocation &server) const;
    double recoveryStepsOf(const Limit &limit, MonotonicTime now) const;
    bool hasRecovered(const Limit &limit, MonotonicTime now) const;
    RequestRate acceptedRate(const Limit &limit, MonotonicTime now) const;
    double sharerCount(const Limit &limit, MonotonicTime now) const;
    MonotonicTime accruesSince(const Limit &limit) const;
    double availableTokens(const Limit &limit, MonotonicTime now) const;
    void refill(Limit &limit, MonotonicTime now) const;
    bool mayProbe(const Limit &limit, MonotonicTime now) const;

    ServerLimitsOptions m_options;
    RegisteredDaemon m_self;
    std::map<DaemonId, Daemon> m_daemons; // Includes this one after setDaemons().
    std::vector<RegisteredDaemon> m_registered; // Last argument of setDaemons().
    MonotonicTime m_lastDaemonAddedAt;
    std::map<HostId, Limit> m_limits;
    // Updates that may be sent, as of `m_updateTokensAt`. Invariant: at most `updateBurst`.
    double m_updateTokens = 0;
    MonotonicTime m_updateTokensAt;
};

} // namespace ramphinge
