// Links to other daemons: WebSocket over TCP, each side proves the shared key, queues are bounded.
//
// Links are made on demand and kept. A message to a daemon that can't be reached now is dropped,
// and send() says so: whoever must be sure asks again.
//
//   auto network = PeerNetwork::listen(io, options, handler);
//   network.value()->connect(DaemonId("d2"), endpoint);
//   network.value()->send(DaemonId("d2"), InForceMessage { 7 });

#pragma once

#include <memory>
#include <vector>

#include "ramphinge/net/io.h"
#include "ramphinge/peers/message.h"

namespace ramphinge {

struct PeerNetworkOptions
{
    DaemonId self;
    Endpoint listen;
    std::string sharedKey;
    std::size_t maxQueuedBytes = 4 * 1024 * 1024; // To one peer; beyond it the link is closed.
    std::size_t maxMessageBytes = 2 * 1024 * 1024;
    Duration handshakeTimeout = std::chrono::seconds(2);
};

class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onMessage(const DaemonId &from, const PeerMessage &message) = 0;
    virtual void onLink(const DaemonId &peer, bool up) = 0;
};

// How much was said, for the budget of control traffic.
struct PeerTraffic
{
    std::int64_t messagesOut = 0;
    std::int64_t bytesOut = 0;
    std::int64_t messagesIn = 0;
    std::int64_t bytesIn = 0;
    std::int64_t refused =
        0; // Links and messages of whoever did not prove the key or sent garbage.
};

// Used on its event loop only.
class PeerNetwork
{
public:
    // `handler` must outlive the loop's run. Errors: Unavailable if the address can't be bound.
    static Result<std::unique_ptr<PeerNetwork>> listen(IoContext &io, PeerNetworkOptions options,
                                                       PeerHandler &handler);
    virtual ~PeerNetwork() = default;

    // Makes a link unless there is one or one is being made.
    virtual void connect(const DaemonId &peer, const Endpoint &endpoint) = 0;

    // The same to whoever listens there; used when no daemon is known yet.
    virtual void connectToSeed(const Endpoint &endpoint) = 0;

    virtual bool linked(const DaemonId &peer) const = 0;
    virtual std::vector<DaemonId> linkedPeers() const = 0;

    // False if there is no link.
    virtual bool send(const DaemonId &peer, const PeerMessage &message) = 0;

    // Gives the link up, if there is one: it may be dead without our knowing. connect() makes
    // another one at once.
    virtual void drop(const DaemonId &peer) = 0;

    virtual const PeerTraffic &traffic() const = 0;
    virtual void close() = 0;
};

} // namespace ramphinge
