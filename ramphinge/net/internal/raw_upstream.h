// An upstream for tests, on the loopback interface, that sends given bytes in given packets.

#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "ramphinge/net/io.h"

namespace ramphinge {

// In an answer: the bytes after it come later.
constexpr char pauseMark = '\x1e';
// Turns of the event loop after which a reader on it has read all that came before.
constexpr int turnsOfAPause = 16;

// Sends the bytes; at each `pauseMark` nothing for a while, so that what follows is read by itself.
inline void sendInParts(IoContext &io, boost::asio::ip::tcp::socket &socket,
                        const std::string &bytes, Yield yield)
{
    std::size_t begin = 0;
    while (begin <= bytes.size()) {
        const std::size_t end = std::min(bytes.find(pauseMark, begin), bytes.size());
        boost::system::error_code ignored; // The client may have closed the connection.
        boost::asio::async_write(socket, boost::asio::buffer(bytes.data() + begin, end - begin),
                                 yield[ignored]);
        begin = end + 1;
        for (int turn = 0; begin <= bytes.size() && turn < turnsOfAPause; ++turn)
            boost::asio::post(io, yield);
    }
}

// An upstream that sends given bytes on each connection, whatever it is asked.
class RawUpstream
{
public:
    // KeepReading: discards what the client still sends. HalfClose: closes its own side first.
    enum class End { Keep, KeepReading, HalfClose, Close, Reset };

    using Tcp = boost::asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    explicit RawUpstream(IoContext &io)
        : m_io(io), m_acceptor(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    { }

    // For the connections to come: uploads beyond it wait until they are read.
    void setReceiveBuffer(int bytes)
    {
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(bytes));
    }

    // The next connection is served with `answers`, one for each request head that is read; then
    // it ends as told.
    void expect(std::vector<std::string> answers, End end)
    {
        m_scripts.push_back({ std::move(answers), end });
        if (m_scripts.size() == 1)
            spawnCoroutine(m_io, [this](Yield yield) { serve(yield); });
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    int connections() const { return m_connections; }
    const std::vector<std::string> &heads() const { return m_heads; }

private:
    struct Script
    {
        std::vector<std::string> answers;
        End end;
    };

    void serve(Yield yield)
    {
        for (std::size_t next = 0; next < m_scripts.size(); ++next) {
            Tcp::socket socket(m_io);
            m_acceptor.async_accept(socket, yield);
            ++m_connections;
            const Script script = m_scripts[next]; // More may be expected meanwhile.
            serveOne(socket, script, yield);
            if (script.end == End::Keep)
                m_kept.push_back(std::move(socket));
        }
    }

    void serveOne(Tcp::socket &socket, const Script &script, Yield yield)
    {
        std::string received;
        for (const std::string &answer : script.answers) {
            ErrorCode ec;
            const std::size_t head = boost::asio::async_read_until(
                socket, boost::asio::dynamic_buffer(received), "\r\n\r\n", yield[ec]);
            if (ec)
                return;
            m_heads.push_back(received.substr(0, head));
            received.erase(0, head);
            sendInParts(m_io, socket, answer, yield);
        }
        ErrorCode ignored;
        if (script.end == End::HalfClose)
            socket.shutdown(Tcp::socket::shutdown_send, ignored);
        if (script.end == End::HalfClose || script.end == End::KeepReading)
            discard(socket, yield);
        if (script.end == End::Reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        if (script.end != End::Keep)
            socket.close(ignored);
    }

    static void discard(Tcp::socket &socket, Yield yield)
    {
        std::string dropped(64 * 1024, ' ');
        ErrorCode ec;
        while (!ec)
            socket.async_read_some(boost::asio::buffer(dropped), yield[ec]);
    }

    IoContext &m_io;
    Tcp::acceptor m_acceptor;
    std::vector<Script> m_scripts;
    std::vector<Tcp::socket> m_kept;
    int m_connections = 0;
    std::vector<std::string> m_heads; // Of the requests, in order of arrival.
};

} // namespace ramphinge
