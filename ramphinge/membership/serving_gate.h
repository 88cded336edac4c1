// Decides whether a daemon may serve, from what it knows about its own registration and its zone.
//
// The tension: an accepted change must be in force everywhere, and a zone cut off from the platform
// must go on serving. Both hold because two majorities of the zone's roster can't be disjoint:
//
// - a change is accepted, and a key slot taken over, only with the confirmation of every registered
//   daemon, which must be more than half of each zone's roster (see mayAcceptWithout);
// - a daemon whose registration has lapsed goes on only together with at least half of its zone's
//   roster that says it is unregistered too and promises to stay so for a while, and only with the
//   newest configuration that any of these has, accepted or merely confirmed. What was confirmed
//   and not decided, as far as it can know, may have been accepted: it then serves only the
//   accounts for which both configurations say the same (ServingDecision::inDoubt).
//
// A daemon whose term has ended by its own clock therefore does not renew its lease any more, even
// if the platform would still let it: it wins a new one once its promise is over.
//
// See docs/design/configuration.md.

#pragma once

#include <string>
#include <vector>

#include "ramphinge/base/lease_term.h"
#include "ramphinge/membership/peer_state.h"

namespace ramphinge {

// The daemons of a zone that count for its majorities; kept at the platform.
struct ZoneRoster
{
    ZoneId zone;
    std::vector<DaemonId> daemons;

    bool contains(const DaemonId &daemon) const;
};

enum class ServingMode {
    Confirmed, // Registered: what it serves is the newest accepted configuration.
    ZoneAlone, // The zone is cut off; nothing can have been accepted without it.
    Refusing, // It may be stale: takes nothing new, says so, finishes what it has.
};

const char *toString(ServingMode mode);

struct ServingDecision
{
    ServingMode mode = ServingMode::Refusing;
    std::string reason; // For operators.
    bool inDoubt = false; // A confirmed proposal may have been accepted.
};

struct ServingInput
{
    DaemonId self;
    std::int64_t configVersion = 0; // Of the accepted configuration it has; 0 is none.
    std::int64_t preparedVersion = 0; // Of a confirmed proposal without a known decision; or 0.
    LeaseTerm registration;
    ZoneRoster roster; // Of the own zone, as last known.
    std::vector<PeerState> zonePeers; // All peers of the own zone ever heard from.
    MonotonicTime now;
};

struct ServingOptions
{
    // For how long what a peer said of itself may be relied on. A peer that says Unregistered
    // promises to win no registration for at least twice this.
    Duration promise = std::chrono::seconds(1);
};

ServingDecision decideServing(const ServingInput &input, const ServingOptions &options);

// True if more than half of the roster is in `registered`: then no unregistered half can be
// serving.
bool hasMajority(const ZoneRoster &roster, const std::vector<DaemonId> &registered);

} // namespace ramphinge
