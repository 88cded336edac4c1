// Which daemons of an availability zone ask the store for the others. Everyone computes it from the
// registrations that the store holds, so there is no election: two daemons with different pictures
// may choose differently for a moment, which costs calls and breaks nothing.

#pragma once

#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// Part of a processor that a machine has.
using ProcessorShare = double;

// What a daemon's registration says of it.
struct RelayCandidate
{
    DaemonId daemon;
    ZoneId zone;
    // Where other daemons link up; port 0 if it takes no links (also one of another version).
    Endpoint links;
    ProcessorShare processor = 0;
};

std::string serializeCandidate(const RelayCandidate &record);

// Whatever can't be read is left out; the zone comes first, so that a registration of just a zone
// is one too.
RelayCandidate parseCandidate(const DaemonId &daemon, const std::string &text);

int countInZone(const std::vector<RelayCandidate> &daemons, const ZoneId &zone);

struct RelayChoiceOptions
{
    // One that is lost costs its zone no more than the time to notice it, and the work of asking is
    // spread.
    int relaysPerZone = 2;
    // Further ones that become relays while somebody asks them, since the first ones can't help.
    // The store may turn a third of the machines away for seconds, relays among them; all daemons
    // of their zone would ask the store then.
    int reservesPerZone = 2;
    // In a smaller zone relays save few calls, and each hop makes news older.
    int fewestDaemons = 8;
    // A larger zone gets further relays. While replicas form, each daemon is sent a few kilobytes
    // of each server: those that follow one relay share the link of one machine.
    int mostDaemonsPerRelay = 30;
};

struct RelayChoice
{
    std::vector<RelayCandidate> relays; // None in a small zone.
    std::vector<RelayCandidate> reserves; // The best first.
};

// Those with the most processor first: a relay passes all news on to some thirty others.
RelayChoice chooseRelays(const ZoneId &zone, const std::vector<RelayCandidate> &daemons,
                         const RelayChoiceOptions &options);

// `relays` in the order in which `daemon` asks them: each relay is the first for about as many.
std::vector<RelayCandidate> orderRelays(const DaemonId &daemon, std::vector<RelayCandidate> relays);

} // namespace ramphinge
