// An upstream for tests, on the loopback interface, that sends bytes until its client closes.

#pragma once

#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include "ramphinge/net/io.h"

namespace ramphinge {

// Sends `head` once, then `piece` every `interval` until the client closes.
class EndlessUpstream
{
public:
    using Tcp = boost::asio::ip::tcp;
    using ErrorCode = boost::system::error_code;

    EndlessUpstream(IoContext &io, std::string head, std::string piece, Duration interval = {})
        : m_io(io), m_acceptor(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        spawnCoroutine(m_io, [=](Yield yield) {
            Tcp::socket socket(m_io);
            m_acceptor.async_accept(socket, yield);
            std::string request;
            boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(request), "\r\n\r\n",
                                          yield);
            ErrorCode ec;
            const std::size_t headBytes =
                boost::asio::async_write(socket, boost::asio::buffer(head), yield[ec]);
            sentBytes += headBytes;
            while (!ec) {
                sentBytes +=
                    boost::asio::async_write(socket, boost::asio::buffer(piece), yield[ec]);
                sleepFor(m_io, interval, yield);
            }
            isClosed = true;
        });
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    std::size_t sentBytes = 0;
    bool isClosed = false; // By the client.

private:
    IoContext &m_io;
    Tcp::acceptor m_acceptor;
};

} // namespace ramphinge
