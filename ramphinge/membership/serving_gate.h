// Decides whether a daemon may serve, from its registration and its view of its zone's daemons.
//
// Two requirements conflict: no daemon may serve a configuration older than the last accepted
// change, and a zone partitioned from the platform must continue to serve. Both are met because
// more than half of the zone's roster and at least half of it always have a daemon in common:
//
// - a change is accepted, and a key slot taken over, only with the confirmation of every registered
//   daemon, which must be more than half of each zone's roster (see hasMajority);
// - a daemon whose registration has expired continues to serve only while at least half of its
//   zone's roster, including itself, is unregistered and promises to remain so for a while, and
//   only with the newest configuration that any of these has accepted or confirmed. A confirmed
//   proposal whose decision is unknown may have been accepted: the daemon then serves only the
//   accounts for which both configurations agree (ServingDecision::inDoubt).
//
// A daemon whose term has ended by its own clock therefore doesn't renew its lease, even if the
// platform would still allow it, but registers anew after its promise has ended.
//
// See docs/design/configuration.md.

#pragma once

#include <string>
#include <vector>

#include "ramphinge/base/lease_term.h"
#include "ramphinge/membership/peer_state.h"

namespace ramphinge {

// The daemons that a zone's majority is counted over; stored at the platform.
struct ZoneRoster
{
    ZoneId zone;
    std::vector<DaemonId> daemons;

    bool contains(const DaemonId &daemon) const;
};

enum class ServingMode {
    Confirmed, // Registered: it has the newest accepted configuration.
    ZoneAlone, // The zone is partitioned; no change can have been accepted without it.
    Refusing, // It may be stale: rejects new requests and finishes those in flight.
};

const char *toString(ServingMode mode);

struct ServingDecision
{
    ServingMode mode = ServingMode::Refusing;
    std::string reason; // For operators.
    bool inDoubt = false; // A proposal that was confirmed may have been accepted.
};

struct ServingInput
{
    DaemonId self;
    std::int64_t configVersion = 0; // Of its accepted configuration; 0 if none.
    std::int64_t preparedVersion = 0; // Of a confirmed proposal whose decision is unknown; or 0.
    LeaseTerm registration;
    ZoneRoster roster; // Of the daemon's zone, as last known.
    std::vector<PeerState> zonePeers; // Every peer of the daemon's zone that was heard from.
    MonotonicTime now;
};

struct ServingOptions
{
    // Time for which a peer's state is relied on. A peer that reports Unregistered promises not to
    // register for at least twice this.
    Duration promise = std::chrono::seconds(1);
};

ServingDecision decideServing(const ServingInput &input, const ServingOptions &options);

// True if more than half of the roster is in `registered`, so that no unregistered half can be
// serving in ZoneAlone mode.
bool hasMajority(const ZoneRoster &roster, const std::vector<DaemonId> &registered);

} // namespace ramphinge
