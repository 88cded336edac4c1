// Chooses the relays of an availability zone: the daemons that read the store on behalf of the
// others. Each daemon computes the choice from the registrations in the store, so there is no
// election. Two daemons with different views may choose differently for a short time; that costs
// additional calls to the store but not correctness.

#pragma once

#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// Fraction of one processor that a machine has.
using ProcessorShare = double;

// The contents of a daemon's registration.
struct DaemonRegistration
{
    DaemonId daemon;
    ZoneId zone;
    // Where the daemon accepts links from others. Port 0 if it accepts none; also set for a
    // registration without a readable endpoint, as another version may write it.
    Endpoint links;
    ProcessorShare processor = 0;
    Endpoint forwards {}; // Where it accepts forwarded requests. Port 0 if it accepts none.

    friend bool operator==(const DaemonRegistration &a, const DaemonRegistration &b)
    {
        return a.daemon == b.daemon && a.zone == b.zone && a.links == b.links
            && a.processor == b.processor && a.forwards == b.forwards;
    }
};

std::string serializeRegistration(const DaemonRegistration &record);

// Fields that can't be parsed keep their defaults. The zone comes first, so that a registration
// that holds only a zone is valid.
DaemonRegistration parseRegistration(const DaemonId &daemon, const std::string &text);

// False for an entry of another writer: it names no zone.
bool isUsable(const DaemonRegistration &record);

int countInZone(const std::vector<DaemonRegistration> &daemons, const ZoneId &zone);

struct RelayChoiceOptions
{
    // With two relays, the loss of one costs its followers only the time to detect it, and the load
    // of requests is shared.
    int relaysPerZone = 2;
    // Reserves act as relays while other daemons send them requests because the relays are
    // unavailable. The store may be unreachable for a third of the machines for seconds, relays
    // among them; without reserves all daemons of their zone would then read the store.
    int reservesPerZone = 2;
    // In a smaller zone relays save few calls to the store, and each hop makes updates older.
    int minDaemons = 8;
    // A larger zone gets more relays. While replicas form, each daemon receives a few kilobytes per
    // server, and all followers of a relay share the link of its machine.
    int maxDaemonsPerRelay = 30;
    // Bounds the daemons that read the store's changes, whatever the size of the zone.
    int maxRelaysPerZone = 10;
};

struct RelayChoice
{
    std::vector<DaemonRegistration> relays; // Empty in a small zone.
    std::vector<DaemonRegistration> reserves; // The best first.
};

// Prefers daemons with the largest processor share, since a relay forwards all updates to some
// thirty others.
RelayChoice chooseRelays(const ZoneId &zone, const std::vector<DaemonRegistration> &daemons,
                         const RelayChoiceOptions &options);

// `relays` in the order in which `daemon` tries them. By rendezvous hashing each relay comes first
// for about the same number of daemons.
std::vector<DaemonRegistration> orderRelays(const DaemonId &daemon,
                                            std::vector<DaemonRegistration> relays);

} // namespace ramphinge
