// An upstream server as it describes itself: its address, the models it holds, and its replica.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// A server's state in its replica. Only rank 0, the head, gets beyond Ready.
enum class MembershipState {
    Joining, // Loads the model or connects to the other members.
    Ready, // Holds its part of the model; takes no requests.
    Open, // Head: takes requests.
    Closing, // Head: finishes its requests and takes no more.
    Broken, // Head: gave up on a missing member; refuses all requests.
};

const char *toString(MembershipState state);

struct ReplicaMembership
{
    ReplicaId replica;
    Epoch epoch;
    int rank = 0;
    MembershipState state = MembershipState::Joining;
};

// Where requests to one incarnation of a server are sent.
struct ServerAddress
{
    HostId host;
    Endpoint endpoint;
    ZoneId zone;
    ServiceId service;
};

// One incarnation of a server, named by `host`: see incarnation.h.
struct UpstreamServer
{
    HostId host;
    ServiceId service;
    Endpoint endpoint;
    ZoneId zone;
    DomainId domain; // Empty for plain services.
    int slots = 1;
    bool draining = false; // Leaves soon; gets no new requests.
    Duration coldRemaining {}; // How much longer it was cold when it wrote its entry.
    // When it will no longer be cold, counted from the receipt of its entry; the epoch of the clock
    // if it is not cold.
    MonotonicTime coldUntil;
    std::vector<ModelId> stagedModels; // On its host's own storage.
    ModelId model; // Held in memory; empty if none, and outside of replicas.
    // The model of this incarnation's last replica, as far as it was seen: the server can hold it
    // again within moments.
    ModelId lastModel;
    std::optional<ReplicaMembership> membership;

    ServerAddress address() const { return { host, endpoint, zone, service }; }

    bool hasStaged(const ModelId &wanted) const;

    // Whether it could hold the model without a load from the weight store.
    bool isWarmFor(const ModelId &wanted) const;

    // Whether it is in that replica at that epoch, in any state.
    bool isMemberOf(const ReplicaId &replica, Epoch epoch) const;
};

} // namespace ramphinge
