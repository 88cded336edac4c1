// Links between daemons over websocketpp: see peer_network.h.
//
// Handshake, both ways at once: each side sends its name and a nonce, then the HMAC of both names
// and nonces under the shared key. Nothing else is read from a side that has not proved the key.

#include "ramphinge/peers/peer_network.h"

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
// A link on which bytes stay unacknowledged for so long is dead. Whoever waits for an answer on it
// has a time-out of its own, far shorter; this only frees its memory.
constexpr int deadLinkSeconds = 10;

// One connection, whichever side made it.
struct Link
{
    std::function<bool(const std::string &)> send; // False if it can't take the bytes.
    std::function<void()> close;
    std::string ownNonce;
    DaemonId claimedPeer; // Who the other side says it is.
    std::string peerNonce;
    bool proofSent = false;
    bool proved = false; // The other side has proved the key.
    Endpoint dialled; // Where this side called; port 0 if it was called.
};
using LinkPtr = std::shared_ptr<Link>;

using SocketTimeout = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepAliveIdle = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;

// A peer that lost power, or is cut off, says nothing: the kernel finds out and ends the link.
void prepareSocket(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored; // Without an option the link still works.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepAliveIdle(deadLinkSeconds), ignored);
    socket.set_option(SocketTimeout(deadLinkSeconds * 1000), ignored);
}

// Empty if the field is missing or of another type. Whoever greets has proved nothing yet, and the
// library's own accessor throws at another type: out of a handler that would end the event loop.
std::string textOf(const Json &object, const char *field)
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
        prepare(m_server);
        prepare(m_client);
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
        // The closing handshake of a dead connection takes seconds; a new one may be made
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
    template <typename Side> void prepare(Side &side)
    {
        side.clear_access_channels(websocketpp::log::alevel::all);
        side.clear_error_channels(websocketpp::log::elevel::all);
        side.init_asio(&m_io);
        side.set_max_message_size(m_options.maxMessageBytes);
        side.set_open_handshake_timeout(
            std::chrono::duration_cast<Milliseconds>(m_options.handshakeTimeout).count());
        side.set_tcp_post_init_handler([&side](const Handle &handle) {
            websocketpp::lib::error_code ec;
            const auto connection = side.get_con_from_hdl(handle, ec);
            if (!ec)
                prepareSocket(connection->get_raw_socket());
        });
        side.set_open_handler([this, &side](const Handle &handle) { opened(side, handle); });
        side.set_close_handler([this](const Handle &handle) { closed(handle); });
        side.set_fail_handler([this](const Handle &handle) { closed(handle); });
        side.set_message_handler([this](const Handle &handle, const auto &message) {
            received(handle, message->get_payload());
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
        m_dialledBy[connection->get_handle()] = endpoint;
        m_client.connect(connection);
    }

    template <typename Side> void opened(Side &side, const Handle &handle)
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
        link->ownNonce = m_random.token() + m_random.token();
        const auto dialled = m_dialledBy.find(handle);
        if (dialled != m_dialledBy.end())
            link->dialled = dialled->second;
        m_links[handle] = link;
        link->send(Json { { "d", m_options.self.text() }, { "n", link->ownNonce } }.dump());
        expireHandshake(handle);
    }

    void expireHandshake(const Handle &handle)
    {
        auto timer = std::make_shared<BootTimer>(m_io, m_options.handshakeTimeout);
        timer->async_wait([this, timer, handle, alive = m_alive](const auto &) {
            if (!*alive)
                return;
            const auto found = m_links.find(handle);
            if (found != m_links.end() && !found->second->proved)
                refuse(found->second);
        });
    }

    void refuse(const LinkPtr &link)
    {
        ++m_traffic.refused;
        link->close();
    }

    void closed(const Handle &handle)
    {
        const auto dialled = m_dialledBy.find(handle);
        if (dialled != m_dialledBy.end()) {
            m_dialling.erase(dialled->second);
            m_dialledBy.erase(dialled);
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

    void received(const Handle &handle, const std::string &bytes)
    {
        const auto found = m_links.find(handle);
        if (found == m_links.end())
            return;
        const LinkPtr link = found->second;
        if (!link->proved) {
            shakeHands(link, bytes);
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

    std::string proof(const DaemonId &by, const std::string &byNonce, const DaemonId &to,
                      const std::string &toNonce) const
    {
        return hmacSha256Hex(m_options.sharedKey,
                             by.text() + "|" + byNonce + "|" + to.text() + "|" + toNonce);
    }

    void shakeHands(const LinkPtr &link, const std::string &bytes)
    {
        const Json json =
            bytes.size() > maxHandshakeBytes ? Json() : Json::parse(bytes, nullptr, false);
        if (!json.is_object()) {
            refuse(link);
            return;
        }
        if (!link->proofSent) {
            link->claimedPeer = DaemonId(textOf(json, "d"));
            link->peerNonce = textOf(json, "n");
            const bool sound = !link->claimedPeer.empty() && link->claimedPeer != m_options.self
                && link->peerNonce.size() >= 16;
            if (!sound) {
                refuse(link);
                return;
            }
            link->proofSent = true;
            const std::string own =
                proof(m_options.self, link->ownNonce, link->claimedPeer, link->peerNonce);
            link->send(Json { { "proof", own } }.dump());
            return;
        }
        const std::string expected =
            proof(link->claimedPeer, link->peerNonce, m_options.self, link->ownNonce);
        if (!equalConstantTime(expected, textOf(json, "proof"))) {
            logWarning("peers",
                       "a peer did not prove the shared key; give all daemons the same one",
                       { { "peer", link->claimedPeer.text() } });
            refuse(link);
            return;
        }
        link->proved = true;
        // A newer link replaces an older one, which may be dead without our knowing.
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
    std::map<Handle, Endpoint, std::owner_less<Handle>> m_dialledBy;
    std::set<Endpoint> m_dialling; // Calls that are being made or have become links.
    std::map<DaemonId, LinkPtr> m_peers; // Invariant: proved links only.
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
