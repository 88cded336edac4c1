// Keeps the rates that servers state in their answers as the most that they accept, from all
// daemons together.
//
// A limited server is shared by a few daemons, the more the higher its rate; every daemon computes
// the same ones by rendezvous hashing over the registered daemons, half of them in the server's own
// zone. Each sharer has an equal part of the rate as a token bucket that starts empty, so the sum
// over all daemons is bounded without a message between them: a daemon that starts again brings
// nothing along. The others send the server nothing while they hear that it is limited; without
// news they ask it in turns.
//
// After the limit's end the accepted rate doubles by steps until it is without a bound.
//
//   ServerLimits limits(options);
//   limits.setDaemons(self, daemons, now);
//   limits.noteAnswer({ host, zone }, rate, sentAt, now);
//   if (limits.admits(host, now)) {
//       limits.take(host, now);
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
#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

enum class LimitChange { None, Stated, Changed, Ended };

const char *toString(LimitChange change);

struct LimitedServer
{
    HostId host;
    ZoneId zone;
};

struct LimitSharer
{
    DaemonId daemon;
    ZoneId zone;

    friend bool operator==(const LimitSharer &a, const LimitSharer &b)
    {
        return a.daemon == b.daemon && a.zone == b.zone;
    }
};

// What daemons tell each other of a server's limit. An age travels instead of a time, since clocks
// differ.
struct ServerLimitNews
{
    LimitedServer server;
    std::optional<RequestRate> rate; // Nothing: the limit has ended.
    Duration age {}; // Since an answer said so.
};

// What a daemon knows of a server's limit.
struct ServerLimitState
{
    HostId host;
    RequestRate accepted; // By all daemons together.
    Duration statedBefore {}; // Since an answer last stated it.
    bool hasEnded = false; // The accepted rate rises.
    bool isSharer = false; // This daemon may send it requests.
};

struct ServerLimitsOptions
{
    // Daemons that share a server, and how many more for each request a second that it accepts.
    double leastSharers = 2.6;
    double sharersPerRate = 1.4;
    // Sent to a server that accepts less: only an answer can end its limit.
    RequestRate leastRate { 0.5 };
    // A sharer saves up its part of so much time, but so many requests at least.
    Duration burst = std::chrono::seconds(1);
    double leastBurst = 1.4;
    // A daemon that is no longer registered keeps its part for so long: registrations lapse while
    // the store is away, and processes that restart register again.
    Duration daemonMemory = std::chrono::seconds(30);
    // While the list of daemons grows, there may be so many times as many as are known.
    Duration daemonsSettle = std::chrono::seconds(5);
    double unknownDaemons = 4;
    // After a limit's end the rate stays for some steps, since a limit may come and go, then
    // doubles in each step, and is unbounded after so many more.
    Duration recoveryStep = std::chrono::milliseconds(700);
    int heldSteps = 3;
    int doublingSteps = 6;
    // Of a daemon that becomes a sharer meanwhile.
    double firstTokens = 0.5;
    // A daemon that is no sharer and has no news of the server for so long asks it in its turn.
    Duration askAfter = std::chrono::seconds(5);
    Duration turn = std::chrono::seconds(4);
    std::int64_t turnsPerDaemon = 2; // All but one pass: without links the turns are not in step.
    // News is told at once and twice more, for links that were being made, and then at most so
    // often.
    int repeatsOfNews = 2;
    Duration newsInterval = std::chrono::seconds(2);
    // Of all servers together, 45 bytes each: control traffic may take 5 KB a second of a link.
    // Changes go first, then what was told the longest ago.
    double newsPerSecond = 90;
    double newsBurst = 360;
    // An ended limit, or one of a server that is gone, is kept in mind for so long.
    Duration endedMemory = std::chrono::seconds(40);
    Duration goneMemory = std::chrono::seconds(30);
    std::size_t mostServers = 4096;
};

// Not thread-safe: lives on the event loop.
class ServerLimits
{
public:
    explicit ServerLimits(ServerLimitsOptions options = {}) : m_options(options) { }

    // The daemons that are registered, all zones together; `self` counts in any case.
    void setDaemons(const LimitSharer &self, const std::vector<LimitSharer> &daemons,
                    MonotonicTime now);

    // An answer to a request that was sent at `sentAt`; `stated` is nothing if it states no rate.
    // A limit ends with an answer without one to a request that was sent after the last statement:
    // answers on different connections may overtake each other.
    LimitChange noteAnswer(const LimitedServer &server, std::optional<RequestRate> stated,
                           MonotonicTime sentAt, MonotonicTime now);

    // What another daemon tells; the newer word counts. Old news of a server that is not in the
    // fleet is passed over: daemons that have forgotten the server would bring it back for each
    // other.
    LimitChange hear(const ServerLimitNews &news, MonotonicTime now, bool isInFleet = true);

    // What the other daemons are to be told now, as much as may be.
    std::vector<ServerLimitNews> takeNews(MonotonicTime now);

    // Whether this daemon may send the server a request now.
    bool admits(const HostId &host, MonotonicTime now) const;

    // A request is sent to the server.
    void take(const HostId &host, MonotonicTime now);

    // What the server accepts; nothing if it has no limit.
    std::optional<RequestRate> rateOf(const HostId &host, MonotonicTime now) const;

    // Lets go of limits that have ended, and of those of servers that are gone.
    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    // All servers that don't accept any number now.
    std::vector<ServerLimitState> states(MonotonicTime now) const;
    bool empty() const { return m_limits.empty(); }
    std::size_t daemons() const { return m_daemons.size(); }

private:
    struct Limit
    {
        ZoneId zone;
        RequestRate rate; // As last stated.
        MonotonicTime statedAt; // When an answer last stated it, to whatever daemon.
        std::optional<MonotonicTime> endedAt;
        std::size_t rank = 0; // Of this daemon among those that might share it.
        double tokens = 0; // As of `refilledAt`.
        MonotonicTime refilledAt;
        std::optional<MonotonicTime> askedAt; // When this daemon last had its turn.
        int tellings = 0; // Of the last change, that are left.
        MonotonicTime tellAt; // The next time, if there is news.
        MonotonicTime toldUpTo; // The observation that was told last.
    };

    struct Daemon
    {
        ZoneId zone;
        std::optional<MonotonicTime> missingSince; // When it was first not registered any more.
    };

    Limit &add(const LimitedServer &server, RequestRate rate, MonotonicTime statedAt,
               MonotonicTime now);
    LimitChange restate(Limit &limit, RequestRate rate, MonotonicTime statedAt, MonotonicTime now);
    void end(Limit &limit, MonotonicTime endedAt, MonotonicTime now);
    void tell(Limit &limit, MonotonicTime now) const;
    std::size_t newsAllowed(MonotonicTime now);
    ServerLimitNews newsOf(const HostId &host, Limit &limit, MonotonicTime now) const;
    std::size_t rankFor(const LimitedServer &server) const;
    double recoveryStepsOf(const Limit &limit, MonotonicTime now) const;
    bool isOver(const Limit &limit, MonotonicTime now) const;
    RequestRate acceptedRate(const Limit &limit, MonotonicTime now) const;
    double sharersOf(const Limit &limit, MonotonicTime now) const;
    MonotonicTime sharesSince(const Limit &limit) const;
    double tokensOf(const Limit &limit, MonotonicTime now) const;
    void refill(Limit &limit, MonotonicTime now) const;
    bool hasTurn(const Limit &limit, MonotonicTime now) const;

    ServerLimitsOptions m_options;
    LimitSharer m_self;
    std::map<DaemonId, Daemon> m_daemons; // This one among them, once it is known.
    std::vector<LimitSharer> m_listed; // As last given to setDaemons().
    MonotonicTime m_daemonsGrewAt;
    std::map<HostId, Limit> m_limits;
    double m_newsSaved = 0; // Of `newsBurst`, as of `m_newsAt`.
    MonotonicTime m_newsAt;
};

} // namespace ramphinge
