// One upstream server as it describes itself: where it is, what it holds, which replica it is in.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// How far a server is in its replica. Only rank 0, the head, gets beyond Ready.
enum class MembershipState {
    Joining, // Loads or connects.
    Ready, // Holds its part; serves nothing.
    Open, // Head: takes requests.
    Closing, // Head: finishes what it has.
    Broken, // Head: gave up on a missing member; refuses everything.
};

const char *toString(MembershipState state);

struct ReplicaMembership
{
    ReplicaId replica;
    Epoch epoch;
    int rank = 0;
    MembershipState state = MembershipState::Joining;
};

// Where requests to one life of a server go.
struct ServerAddress
{
    HostId host;
    Endpoint endpoint;
    ZoneId zone;
    ServiceId service;
};

// One life of a server: `host` names it, see incarnation.h.
struct UpstreamServer
{
    HostId host;
    ServiceId service;
    Endpoint endpoint;
    ZoneId zone;
    DomainId domain; // Empty for plain services.
    int slots = 1;
    bool draining = false; // Leaves soon; gets nothing new.
    std::vector<ModelId> stagedModels; // On its host's own storage.
    ModelId model; // Held in memory; empty for none, and outside of replicas.
    // The model of its last replica in this life, as far as it was seen: it is back in a moment.
    ModelId lastModel;
    std::optional<ReplicaMembership> membership;

    ServerAddress address() const { return { host, endpoint, zone, service }; }

    bool hasStaged(const ModelId &wanted) const;

    // Whether it could hold the model without a load from the weight store.
    bool isWarmFor(const ModelId &wanted) const;

    // In that replica at that epoch, in whatever state.
    bool isMemberOf(const ReplicaId &replica, Epoch epoch) const;
};

} // namespace ramphinge
