// The daemons that a request can be forwarded to while this daemon reaches no server, and the
// choice among them.
//
//   if (const auto peer = targets.choose(service, tried, now)) ...
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/random.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// A daemon that accepts forwarded requests.
struct ForwardPeer
{
    DaemonId daemon;
    ZoneId zone;
    Endpoint endpoint;
    std::set<ServiceId> lost; // Services of which it reaches no server.
};

struct ForwardTargetsOptions
{
    // How long a daemon gets no requests for a service after it failed, or refused one for want of
    // contact.
    Duration avoidDuration = std::chrono::seconds(1);
};

// Not thread-safe: lives on the event loop.
class ForwardTargets
{
public:
    ForwardTargets(ForwardTargetsOptions options, std::uint64_t seed)
        : m_options(options), m_random(seed)
    { }

    // Replaces the daemons. One of `ownZone` is preferred among equals, since it is nearer.
    void setPeers(std::vector<ForwardPeer> peers, const ZoneId &ownZone);

    // The one of two random daemons that has fewer requests of this daemon, among those with
    // contact to the service; nothing if there is none beside `exclude`.
    std::optional<ForwardPeer> choose(const ServiceId &service, const std::set<DaemonId> &exclude,
                                      MonotonicTime now);
    bool hasOther(const ServiceId &service, const std::set<DaemonId> &exclude,
                  MonotonicTime now) const;
    // Whether any daemon has contact to the service, whether it is avoided or not.
    bool hasAny(const ServiceId &service) const;

    // A request was forwarded to the daemon, and is over. Calls come in pairs.
    void sent(const DaemonId &daemon) { ++m_inFlight[daemon]; }
    void ended(const DaemonId &daemon);

    // The daemon could not be reached, or can't serve requests for the service now.
    void avoid(const DaemonId &daemon, const ServiceId &service, MonotonicTime now);

private:
    bool isAvailable(const ForwardPeer &peer, const ServiceId &service,
                     const std::set<DaemonId> &exclude, MonotonicTime now) const;
    int inFlight(const DaemonId &daemon) const;

    ForwardTargetsOptions m_options;
    Random m_random;
    ZoneId m_ownZone;
    std::vector<ForwardPeer> m_peers;
    std::map<DaemonId, int> m_inFlight; // Invariant: no entry is 0.
    std::map<std::pair<DaemonId, ServiceId>, MonotonicTime> m_avoidedUntil;
};

} // namespace ramphinge
