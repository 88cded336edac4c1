// What a daemon believes about which hosts and availability zones can be reached from its own zone,
// so that requests don't each find out by a connection that times out.
//
// Evidence is shared among the daemons of a zone. A host counts as unreachable after one connection
// timed out, and a zone after connections to several of its hosts did, with no sign of the zone
// since. Bytes or a connection from a host end the belief, of the host and of its zone. Without
// renewed evidence a belief lapses, so that nothing that is reachable is shut out for longer than
// `beliefDuration`; a few daemons probe meanwhile, so that it is known earlier.
//
// What daemons of other zones observe says nothing about the paths from this zone, since a link may
// fail for one zone or in one direction only; such news is only forwarded.
//
// The time of a failure is when its connection attempt began: whatever arrived after that is newer.
//
//   reachability.setHosts(zones);
//   if (reachability.admits(host, now))
//       reachability.noteSent(host, now);
//   ...
//   reachability.noteTimedOut(host, startedAt, now);
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

enum class ReachabilityScope { Host, Zone };
enum class ReachabilityChange { Unreachable, Reachable, Lapsed };
enum class ReachabilitySource { Own, Told };

const char *toString(ReachabilityScope scope);
const char *toString(ReachabilityChange change);
const char *toString(ReachabilitySource source);

// Evidence that daemons tell each other. It carries an age instead of a time, since clocks differ.
struct ReachabilityUpdate
{
    ZoneId observer; // The zone from which it was observed.
    HostId host;
    ReachabilityScope scope = ReachabilityScope::Host; // Zone: it concerns the host's whole zone.
    bool isReachable = false;
    Duration age {};
    int hops = 0; // How many daemons have forwarded it.
};

enum class ReachabilityVerdict { Applied, Forwarded, Repeated, Outdated, UnknownHost, Invalid };

const char *toString(ReachabilityVerdict verdict);

// A change of a belief, for logs and metrics.
struct ReachabilityEvent
{
    ReachabilityScope scope = ReachabilityScope::Host;
    HostId host; // Whose evidence changed it.
    ZoneId zone;
    ReachabilityChange change = ReachabilityChange::Unreachable;
    ReachabilitySource source = ReachabilitySource::Own;
    Duration age {}; // Of the evidence.
};

struct ReachabilityOptions
{
    // A belief lapses this long after the last failed attempt began: callers accept that something
    // reachable is not used for a second.
    Duration beliefDuration = std::chrono::seconds(1);
    // Failures at this many hosts within `zoneWindow` make their zone unreachable: one or two hosts
    // of a zone may be lost at the same time.
    int hostsForZone = 3;
    Duration zoneWindow = std::chrono::seconds(1);
    // After a failure, one request at a time is sent until something arrives, for at most this
    // time.
    Duration doubtDuration = std::chrono::seconds(3);
    // How long one such request holds back others; the timeout of its connection.
    Duration trialTimeout = std::chrono::milliseconds(100);
    // Probes start this long after the belief began, and follow at this interval. Each further
    // daemon begins `probeStep` later.
    Duration probeInterval = std::chrono::milliseconds(350);
    Duration probeStep = std::chrono::milliseconds(300);
    std::size_t probers = 2; // Daemons of the zone that probe the same host or zone.
    // News of one host or zone that is newer by less is a repetition.
    Duration newsInterval = std::chrono::milliseconds(100);
    // Each update is sent this often, since links fail at the same time, at this interval.
    int newsSends = 2;
    Duration newsRepeatInterval = std::chrono::milliseconds(50);
    Duration maxNewsAge = std::chrono::seconds(1);
    int maxHops = 2; // To the relay of the observer, and to the other relays.
};

// Not thread-safe: lives on the event loop.
class Reachability
{
public:
    explicit Reachability(ReachabilityOptions options = {}) : m_options(options) { }

    // Sets this daemon, and the registered daemons of its zone, which share the probing.
    void setDaemons(const DaemonId &self, const ZoneId &zone,
                    const std::vector<DaemonId> &daemonsOfZone);

    // Replaces the hosts that beliefs are held of; all others count as reachable.
    void setHosts(const std::map<HostId, ZoneId> &hosts);

    // Whether beliefs are held of the host.
    bool knows(const HostId &host) const { return m_hosts.count(host) > 0; }
    // Whether beliefs are held of no host.
    bool empty() const { return m_hosts.empty(); }

    // Something arrived from the host, or it accepted or refused a connection.
    void noteReached(const HostId &host, MonotonicTime now);
    // A connection to the host timed out or had no route.
    void noteTimedOut(const HostId &host, MonotonicTime startedAt, MonotonicTime now);
    // The host closed an established connection: it may have restarted or be cut off.
    void noteReset(const HostId &host, MonotonicTime now);
    // A request is sent to the host.
    void noteSent(const HostId &host, MonotonicTime now);

    // Whether a request should be sent to the host while there are others: it is not believed
    // unreachable, and no request of this daemon waits there while it is in doubt.
    bool admits(const HostId &host, MonotonicTime now) const;
    // Whether the host is believed unreachable, by itself or with its zone.
    bool isUnreachable(const HostId &host, MonotonicTime now) const;
    // Whether a failure of the host or its zone is recent and nothing has arrived since. Its kept
    // connections may be dead.
    bool isInDoubt(const HostId &host, MonotonicTime now) const;
    // When the last failed attempt began, of the host or else of its zone; the epoch of the clock
    // if it is not in doubt.
    MonotonicTime failedAt(const HostId &host, MonotonicTime now) const;

    // Applies another daemon's update.
    ReachabilityVerdict apply(const ReachabilityUpdate &update, MonotonicTime now);
    // What to send to other daemons now. `forwards` tells whether this daemon is a relay, which
    // forwards the updates that it has received.
    std::vector<ReachabilityUpdate> takeUpdates(bool forwards, MonotonicTime now);

    // Drops this daemon's own updates that are still to be sent.
    void discardOwnUpdates() { m_own.clear(); }

    // The hosts that this daemon has to probe now.
    std::vector<HostId> takeProbes(MonotonicTime now);

    // The changes since the last call.
    std::vector<ReachabilityEvent> takeEvents(MonotonicTime now);

    int unreachableHosts(MonotonicTime now) const;
    int unreachableZones(MonotonicTime now) const;

private:
    // What is known of a host or a zone.
    struct Path
    {
        MonotonicTime reachedAt; // When something last arrived.
        MonotonicTime failedAt; // When the last attempt that failed began.
        MonotonicTime unreachableSince; // When the first failure of the current belief began.
        MonotonicTime unreachableUntil;
        MonotonicTime trialUntil; // A request waits there while it is in doubt.
        MonotonicTime probedAt; // When this daemon last probed.
        // When this daemon last sent news of a failure, and of an arrival.
        MonotonicTime toldAt;
        MonotonicTime toldReachableAt;
        bool isReported = false; // An event told that it is unreachable.

        bool isUnreachable(MonotonicTime now) const { return unreachableUntil > now; }
    };

    struct Host
    {
        ZoneId zone;
        Path path;
    };

    struct Zone
    {
        Path path;
        std::vector<HostId> hosts;
        std::size_t nextProbe = 0; // Index in `hosts`; the hosts take turns.
    };

    struct Pending
    {
        ReachabilityUpdate update; // Without its age.
        MonotonicTime observedAt;
        MonotonicTime nextAt; // Earliest time of the next send.
        int sendsLeft = 0;
    };

    // The last news of one subject from one zone, which detects repetitions.
    struct LastNews
    {
        MonotonicTime observedAt;
        bool isReachable = false;
    };

    struct NewsKey
    {
        ZoneId observer;
        HostId host; // Or empty, for `zone`.
        ZoneId zone;

        friend bool operator<(const NewsKey &a, const NewsKey &b)
        {
            return std::tie(a.observer, a.host, a.zone) < std::tie(b.observer, b.host, b.zone);
        }
    };

    void applyReached(Host &host, const HostId &id, MonotonicTime at, MonotonicTime now,
                      ReachabilitySource source);
    void applyFailure(Host &host, const HostId &id, MonotonicTime at, MonotonicTime now,
                      ReachabilitySource source);
    void believeUnreachable(Path &path, ReachabilityScope scope, const HostId &id,
                            const ZoneId &zone, MonotonicTime at, MonotonicTime now,
                            ReachabilitySource source);
    int failedHosts(const Zone &zone, MonotonicTime now) const;
    bool isInDoubt(const Path &path, MonotonicTime now) const;
    bool shouldProbe(const Path &path, const std::string &subject, MonotonicTime now) const;
    void takeDue(std::vector<Pending> &pending, std::vector<ReachabilityUpdate> &updates,
                 MonotonicTime now) const;
    void tell(Path &path, ReachabilityScope scope, const HostId &id, bool isReachable,
              MonotonicTime at, MonotonicTime now);
    bool isRepeated(const ReachabilityUpdate &update, const ZoneId &zone, MonotonicTime at);
    // This daemon's position among those that probe the host or zone.
    std::size_t rankOf(const std::string &subject) const;
    void addEvent(Path &path, ReachabilityEvent event);

    ReachabilityOptions m_options;
    DaemonId m_self;
    ZoneId m_ownZone;
    std::vector<DaemonId> m_daemons; // Of the own zone, sorted; includes this one.
    std::map<HostId, Host> m_hosts;
    std::map<ZoneId, Zone> m_zones; // Invariant: exactly the zones of m_hosts.
    std::map<NewsKey, LastNews> m_lastNews;
    std::vector<Pending> m_own; // Updates of this daemon that are still to be sent.
    std::vector<Pending> m_forwarded; // Updates of others that are still to be sent.
    std::vector<ReachabilityEvent> m_events;
};

} // namespace ramphinge
