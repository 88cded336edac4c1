// Links to other daemons: WebSocket over TCP, mutual authentication with a shared key, bounded send
// queues.
//
// Links are opened on demand and kept. A message to a daemon without a link is dropped, and send()
// returns false. Delivery is not guaranteed: a caller that needs it must use acknowledgements and
// retries.
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
    std::size_t maxQueuedBytes = 4 * 1024 * 1024; // Per link; a link beyond it is closed.
    std::size_t maxMessageBytes = 2 * 1024 * 1024;
    Duration handshakeTimeout = std::chrono::seconds(2);
    // Accepted links whose other side has not proved the key. Beyond, the oldest one is closed.
    int maxUnprovedLinks = 64;
};

class PeerHandler
{
public:
    virtual ~PeerHandler() = default;
    virtual void onMessage(const DaemonId &from, const PeerMessage &message) = 0;
    // A link to `peer` has been authenticated, or has ended.
    virtual void onLink(const DaemonId &peer, bool up) = 0;
};

// Counts of the traffic on links, for the budget of control traffic. Bytes are those of messages.
struct PeerTraffic
{
    std::int64_t messagesOut = 0;
    std::int64_t bytesOut = 0;
    std::int64_t messagesIn = 0;
    std::int64_t bytesIn = 0;
    // Links that failed the handshake, and messages that could not be decoded.
    std::int64_t refused = 0;
    std::int64_t unprovedClosed = 0; // Links that were closed for too many unproved ones.
};

// Used on its event loop only.
class PeerNetwork
{
public:
    // `handler` must outlive the run of `io`. Errors: Unavailable if the address can't be bound.
    static Result<std::unique_ptr<PeerNetwork>> listen(IoContext &io, PeerNetworkOptions options,
                                                       PeerHandler &handler);
    virtual ~PeerNetwork() = default;

    // Opens a link unless there is one or one is being opened.
    virtual void connect(const DaemonId &peer, const Endpoint &endpoint) = 0;

    // Opens a link to an endpoint whose daemon is not known yet.
    virtual void connectToSeed(const Endpoint &endpoint) = 0;

    virtual bool linked(const DaemonId &peer) const = 0;
    virtual std::vector<DaemonId> linkedPeers() const = 0;

    // Number of open links, also of those whose other side has not proved the key yet.
    virtual int openLinks() const = 0;

    // False if there is no link, or its send queue is full; it is closed then.
    virtual bool send(const DaemonId &peer, const PeerMessage &message) = 0;

    // Closes the link, if there is one, without waiting for the other side, since it may be dead.
    // connect() can open another one at once.
    virtual void drop(const DaemonId &peer) = 0;

    virtual const PeerTraffic &traffic() const = 0;
    virtual void close() = 0;
};

} // namespace ramphinge
