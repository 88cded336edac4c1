// Links between daemons over websocketpp: see peer_network.h.
//
// Handshake, in both directions at once: each side sends its daemon id and a nonce, then the HMAC
// of both ids and nonces under the shared key. No other message is accepted from a side that has
// not proved the key.

#include "ramphinge/peers/peer_network.h"

#include <list>
#include <map>
#include <set>

#include <netinet/tcp.h>

#include <nlohmann/json.hpp>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "ramphinge/base/hash.h"
#include "ramphinge/base/random.h"
#include "ramphinge/net/boot_timer.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/observe/log.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;
using Server = websocketpp::server<websocketpp::config::asio>;
using Client = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;

constexpr std::size_t maxHandshakeBytes = 1024;
// A link with bytes unacknowledged for this long is considered dead. Requests on it have much
// shorter timeouts of their own; this one only frees the link's memory.
constexpr int deadLinkSeconds = 10;

// One connection, whichever side made it.
struct Link
{
    std::function<bool(const std::string &)> send; // False if closed or the queue is full.
    std::function<void()> close;
    std::function<void()> acceptLargeMessages; // Not before the other side has proved the key.
    std::string ownNonce;
    DaemonId claimedPeer; // The id that the other side sent; authentic once `proved`.
    std::string peerNonce;
    bool proofSent = false;
    bool proved = false; // The other side has proved the key.
    Endpoint dialled; // The endpoint that this side connected to; port 0 for an accepted link.
};
using LinkPtr = std::shared_ptr<Link>;

using SocketTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;

// Lets the kernel detect a peer that lost power or is partitioned from this host, and close the
// link.
void configureSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored; // The link works without these options.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(deadLinkSeconds), ignored);
    socket.set_option(SocketTimeout(deadLinkSeconds * 1000), ignored);
}

// Empty if the field is missing or not a string. The library's accessor throws on another type, and
// an exception out of a handler would end the event loop; a handshake comes from an unauthenticated
// peer.
std::string stringField(const Json &object, const char *field)
{
    const auto found = object.find(field);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

class WebsocketNetwork : public PeerNetwork
{
public:
    WebsocketNetwork(IoContext &io, PeerNetworkOptions options, PeerHandler &handler)
        : m_io(io), m_options(std::move(options)), m_handler(handler), m_random(entropySeed())
    { }

    ~WebsocketNetwork() override { *m_alive = false; }

    Status bind()
    {
        configureSide(m_server);
        configureSide(m_client);
        m_server.set_tcp_post_init_handler([this](const Handle &handle) { onAccept(handle); });
        websocketpp::lib::error_code ec;
        m_server.set_reuse_addr(true);
        const boost::asio::ip::tcp::endpoint address(
            boost::asio::ip::make_address(m_options.listen.address), m_options.listen.port);
        m_server.listen(address, ec);
        if (!ec)
            m_server.start_accept(ec);
        if (ec)
            return Error(ErrorKind::Unavailable,
                         "can't listen for peers on " + toString(m_options.listen) + ": "
                             + ec.message() + "; choose a free address in the settings");
        return Done {};
    }

    void connect(const DaemonId &peer, const Endpoint &endpoint) override
    {
        if (peer != m_options.self && !linked(peer))
            dial(endpoint);
    }

    void connectToSeed(const Endpoint &endpoint) override
    {
        if (!(endpoint == m_options.listen))
            dial(endpoint);
    }

    bool linked(const DaemonId &peer) const override { return m_peers.count(peer) > 0; }

    std::vector<DaemonId> linkedPeers() const override
    {
        std::vector<DaemonId> peers;
        for (const auto &[peer, link] : m_peers)
            peers.push_back(peer);
        return peers;
    }

    int openLinks() const override { return static_cast<int>(m_links.size() + m_unproved.size()); }

    bool send(const DaemonId &peer, const PeerMessage &message) override
    {
        const auto found = m_peers.find(peer);
        if (found == m_peers.end())
            return false;
        const std::string bytes = encode(message);
        const LinkPtr link = found->second;
        if (!link->send(bytes)) {
            link->close();
            return false;
        }
        ++m_traffic.messagesOut;
        m_traffic.bytesOut += static_cast<std::int64_t>(bytes.size());
        return true;
    }

    void drop(const DaemonId &peer) override
    {
        const auto found = m_peers.find(peer);
        if (found == m_peers.end())
            return;
        const LinkPtr link = found->second;
        m_peers.erase(found);
        // The closing handshake of a dead connection takes seconds; a new connection may be opened
        // meanwhile.
        m_dialling.erase(link->dialled);
        link->close();
        m_handler.onLink(peer, false);
    }

    const PeerTraffic &traffic() const override { return m_traffic; }

    void close() override
    {
        websocketpp::lib::error_code ignored;
        m_server.stop_listening(ignored);
        const auto links = m_links;
        for (const auto &[handle, link] : links)
            link->close();
    }

private:
    template <typename Side> void configureSide(Side &side)
    {
        side.clear_access_channels(websocketpp::log::alevel::all);
        side.clear_error_channels(websocketpp::log::elevel::all);
        side.init_asio(&m_io);
        side.set_max_message_size(maxHandshakeBytes);
        side.set_open_handshake_timeout(
            std::chrono::duration_cast<Milliseconds>(m_options.handshakeTimeout).count());
        side.set_tcp_post_init_handler(
            [this, &side](const Handle &handle) { configureLinkSocket(side, handle); });
        side.set_open_handler([this, &side](const Handle &handle) { onOpen(side, handle); });
        side.set_close_handler([this](const Handle &handle) { onClose(handle); });
        side.set_fail_handler([this](const Handle &handle) { onClose(handle); });
        side.set_message_handler([this](const Handle &handle, const auto &message) {
            onPayload(handle, message->get_payload());
        });
    }

    template <typename Side> void configureLinkSocket(Side &side, const Handle &handle)
    {
        websocketpp::lib::error_code ec;
        const auto connection = side.get_con_from_hdl(handle, ec);
        if (!ec)
            configureSocket(connection->get_raw_socket());
    }

    // Also before the WebSocket handshake, which a peer may never begin.
    void onAccept(const Handle &handle)
    {
        configureLinkSocket(m_server, handle);
        m_unproved.push_back(handle);
        if (static_cast<int>(m_unproved.size()) <= m_options.maxUnprovedLinks)
            return;
        ++m_traffic.unprovedClosed;
        const Handle oldest = m_unproved.front();
        m_unproved.pop_front();
        websocketpp::lib::error_code ec;
        boost::system::error_code ignored;
        const auto connection = m_server.get_con_from_hdl(oldest, ec);
        if (!ec) // Without a closing handshake, which takes seconds.
            connection->get_raw_socket().close(ignored);
    }

    void forgetUnproved(const Handle &handle)
    {
        m_unproved.remove_if([&handle](const Handle &other) {
            return !handle.owner_before(other) && !other.owner_before(handle);
        });
    }

    void dial(const Endpoint &endpoint)
    {
        if (!m_dialling.insert(endpoint).second)
            return;
        websocketpp::lib::error_code ec;
        const auto connection = m_client.get_connection("ws://" + toString(endpoint) + "/peer", ec);
        if (ec) {
            m_dialling.erase(endpoint);
            return;
        }
        m_dialledEndpoints[connection->get_handle()] = endpoint;
        m_client.connect(connection);
    }

    template <typename Side> void onOpen(Side &side, const Handle &handle)
    {
        auto link = std::make_shared<Link>();
        websocketpp::lib::error_code ec;
        const auto connection = side.get_con_from_hdl(handle, ec);
        if (ec)
            return;
        const std::weak_ptr<typename Side::connection_type> weak = connection;
        link->send = [weak, limit = m_options.maxQueuedBytes](const std::string &bytes) {
            const auto open = weak.lock();
            return open && open->get_buffered_amount() + bytes.size() <= limit
                && !open->send(bytes, websocketpp::frame::opcode::binary);
        };
        link->close = [weak] {
            websocketpp::lib::error_code ignored;
            if (const auto open = weak.lock())
                open->close(websocketpp::close::status::going_away, "", ignored);
        };
        link->acceptLargeMessages = [weak, most = m_options.maxMessageBytes] {
            if (const auto open = weak.lock())
                open->set_max_message_size(most);
        };
        link->ownNonce = m_random.token() + m_random.token();
        const auto dialled = m_dialledEndpoints.find(handle);
        if (dialled != m_dialledEndpoints.end())
            link->dialled = dialled->second;
        m_links[handle] = link;
        link->send(Json { { "d", m_options.self.text() }, { "n", link->ownNonce } }.dump());
        startHandshakeTimer(handle);
    }

    void startHandshakeTimer(const Handle &handle)
    {
        auto timer = std::make_shared<BootTimer>(m_io, m_options.handshakeTimeout);
        timer->async_wait([this, timer, handle, alive = m_alive](const auto &) {
            if (!*alive)
                return;
            const auto found = m_links.find(handle);
            if (found != m_links.end() && !found->second->proved)
                reject(found->second);
        });
    }

    void reject(const LinkPtr &link)
    {
        ++m_traffic.refused;
        link->close();
    }

    void onClose(const Handle &handle)
    {
        forgetUnproved(handle);
        const auto dialled = m_dialledEndpoints.find(handle);
        if (dialled != m_dialledEndpoints.end()) {
            m_dialling.erase(dialled->second);
            m_dialledEndpoints.erase(dialled);
        }
        const auto found = m_links.find(handle);
        if (found == m_links.end())
            return;
        const LinkPtr link = found->second;
        m_links.erase(found);
        const auto peer = m_peers.find(link->claimedPeer);
        if (peer == m_peers.end() || peer->second != link)
            return;
        m_peers.erase(peer);
        m_handler.onLink(link->claimedPeer, false);
    }

    void onPayload(const Handle &handle, const std::string &bytes)
    {
        const auto found = m_links.find(handle);
        if (found == m_links.end())
            return;
        const LinkPtr link = found->second;
        if (!link->proved) {
            processHandshake(handle, link, bytes);
            return;
        }
        ++m_traffic.messagesIn;
        m_traffic.bytesIn += static_cast<std::int64_t>(bytes.size());
        const Result<PeerMessage> message = decode(bytes, BootClock::now());
        if (message.ok()) {
            m_handler.onMessage(link->claimedPeer, message.value());
            return;
        }
        ++m_traffic.refused;
        if (message.error().kind() != ErrorKind::NotFound)
            logWarning("peers", message.error().message(),
                       { { "peer", link->claimedPeer.text() } });
    }

    std::string proofOf(const DaemonId &by, const std::string &byNonce, const DaemonId &to,
                        const std::string &toNonce) const
    {
        return hmacSha256Hex(m_options.sharedKey,
                             by.text() + "|" + byNonce + "|" + to.text() + "|" + toNonce);
    }

    void processHandshake(const Handle &handle, const LinkPtr &link, const std::string &bytes)
    {
        const Json json =
            bytes.size() > maxHandshakeBytes ? Json() : Json::parse(bytes, nullptr, false);
        if (!json.is_object()) {
            reject(link);
            return;
        }
        if (!link->proofSent) {
            link->claimedPeer = DaemonId(stringField(json, "d"));
            link->peerNonce = stringField(json, "n");
            const bool isValid = !link->claimedPeer.empty() && link->claimedPeer != m_options.self
                && link->peerNonce.size() >= 16;
            if (!isValid) {
                reject(link);
                return;
            }
            link->proofSent = true;
            const std::string ownProof =
                proofOf(m_options.self, link->ownNonce, link->claimedPeer, link->peerNonce);
            link->send(Json { { "proof", ownProof } }.dump());
            return;
        }
        const std::string expected =
            proofOf(link->claimedPeer, link->peerNonce, m_options.self, link->ownNonce);
        if (!equalConstantTime(expected, stringField(json, "proof"))) {
            logWarning("peers",
                       "peer failed to prove the shared key; configure the same key on all daemons",
                       { { "peer", link->claimedPeer.text() } });
            reject(link);
            return;
        }
        link->proved = true;
        link->acceptLargeMessages();
        forgetUnproved(handle);
        // A newer link replaces an older one, which may be dead without having been detected yet.
        m_peers[link->claimedPeer] = link;
        m_handler.onLink(link->claimedPeer, true);
    }

    IoContext &m_io;
    PeerNetworkOptions m_options;
    PeerHandler &m_handler;
    Random m_random;
    Server m_server;
    Client m_client;
    std::map<Handle, LinkPtr, std::owner_less<Handle>> m_links;
    std::list<Handle> m_unproved; // Accepted ones whose other side has not proved the key.
    std::map<Handle, Endpoint, std::owner_less<Handle>> m_dialledEndpoints;
    std::set<Endpoint> m_dialling; // Endpoints with an outgoing connection, opening or open.
    std::map<DaemonId, LinkPtr> m_peers; // Invariant: only links whose peer has proved the key.
    PeerTraffic m_traffic;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::listen(IoContext &io, PeerNetworkOptions options,
                                                         PeerHandler &handler)
{
    auto network = std::make_unique<WebsocketNetwork>(io, std::move(options), handler);
    const Status bound = network->bind();
    if (!bound.ok())
        return bound.error();
    return std::unique_ptr<PeerNetwork>(std::move(network));
}

} // namespace ramphinge
