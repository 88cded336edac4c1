// Stand-in for a network path: forwards TCP connections, and can be partitioned so that packets are
// dropped without an error.
//
//   fake-link --control 127.0.0.1:9000 --path north-platform=127.0.0.1:9001=127.0.0.1:7000 ...
//
// POST /cut {"path": "north-platform", "cut": true} sets the state of a path; a prefix of names
// selects several.

#include <iostream>
#include <map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/http_server.h"

using namespace ramphinge;
using Tcp = boost::asio::ip::tcp;
using Json = nlohmann::json;

namespace {

constexpr Duration cutPoll = std::chrono::milliseconds(10);
constexpr std::size_t pieceBytes = 16 * 1024;

struct Path
{
    std::string name;
    Endpoint listen;
    Endpoint to;
    bool cut = false;
};

class Links : public HttpHandler
{
public:
    explicit Links(IoContext &io) : m_io(io) { }

    void add(Path path)
    {
        const auto shared = std::make_shared<Path>(std::move(path));
        m_paths.push_back(shared);
        spawnCoroutine(m_io, [this, shared](Yield yield) { accept(shared, yield); });
    }

    void handle(HttpExchange &exchange, Yield yield) override
    {
        const Json body = Json::parse(exchange.request().body.text(), nullptr, false);
        int matched = 0;
        if (body.is_object()) {
            const std::string prefix = body.value("path", "");
            for (const auto &path : m_paths) {
                if (path->name.rfind(prefix, 0) != 0)
                    continue;
                path->cut = body.value("cut", false);
                ++matched;
            }
        }
        exchange.respond(jsonResponse(200, Json { { "paths", matched } }.dump()), yield);
    }

private:
    using PathPtr = std::shared_ptr<Path>;
    using SocketPtr = std::shared_ptr<Tcp::socket>;

    static Tcp::endpoint address(const Endpoint &endpoint)
    {
        return { boost::asio::ip::make_address(endpoint.address), endpoint.port };
    }

    void accept(const PathPtr &path, Yield yield)
    {
        Tcp::acceptor acceptor(m_io, address(path->listen));
        while (true) {
            const auto from = std::make_shared<Tcp::socket>(m_io);
            boost::system::error_code ec;
            acceptor.async_accept(*from, yield[ec]);
            if (!ec)
                spawnCoroutine(m_io, [this, path, from](Yield inner) { join(path, from, inner); });
        }
    }

    void join(const PathPtr &path, const SocketPtr &from, Yield yield)
    {
        while (path->cut)
            sleepFor(m_io, cutPoll, yield);
        const auto to = std::make_shared<Tcp::socket>(m_io);
        boost::system::error_code ec;
        to->async_connect(address(path->to), yield[ec]);
        if (ec)
            return;
        from->set_option(Tcp::no_delay(true), ec);
        to->set_option(Tcp::no_delay(true), ec);
        spawnCoroutine(m_io, [this, path, from, to](Yield inner) { pump(path, to, from, inner); });
        pump(path, from, to, yield);
    }

    void pump(const PathPtr &path, const SocketPtr &from, const SocketPtr &to, Yield yield)
    {
        std::vector<char> piece(pieceBytes);
        boost::system::error_code ec;
        while (!ec) {
            const std::size_t got = from->async_read_some(boost::asio::buffer(piece), yield[ec]);
            // During a partition nothing arrives, not even the end of a connection.
            while (path->cut)
                sleepFor(m_io, cutPoll, yield);
            if (!ec)
                boost::asio::async_write(*to, boost::asio::buffer(piece.data(), got), yield[ec]);
        }
        boost::system::error_code ignored;
        to->shutdown(Tcp::socket::shutdown_send, ignored);
    }

    IoContext &m_io;
    std::vector<PathPtr> m_paths;
};

Result<Path> parsePath(const std::string &text)
{
    const std::size_t first = text.find('=');
    const std::size_t next = text.find('=', first + 1);
    if (first == std::string::npos || next == std::string::npos)
        return Error(ErrorKind::InvalidInput, "write a path as NAME=LISTEN=TO, not " + text);
    const Result<Endpoint> listen = parseEndpoint(text.substr(first + 1, next - first - 1));
    const Result<Endpoint> to = parseEndpoint(text.substr(next + 1));
    if (!listen.ok())
        return listen.error();
    if (!to.ok())
        return to.error();
    return Path { text.substr(0, first), listen.value(), to.value(), false };
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fake-link", "Stand-in of network paths that can be cut");
    options.add_options()("control", "address:port", cxxopts::value<std::string>())(
        "path", "NAME=LISTEN=TO", cxxopts::value<std::vector<std::string>>());
    const auto arguments = options.parse(argc, argv);
    const Result<Endpoint> control = parseEndpoint(arguments["control"].as<std::string>());
    if (!control.ok()) {
        std::cerr << control.error().message() << '\n';
        return 2;
    }
    IoContext io(1);
    Links links(io);
    for (const std::string &text : arguments["path"].as<std::vector<std::string>>()) {
        const Result<Path> path = parsePath(text);
        if (!path.ok()) {
            std::cerr << path.error().message() << '\n';
            return 2;
        }
        links.add(path.value());
    }
    const auto server = HttpServer::listen(io, control.value(), {}, links);
    if (!server.ok()) {
        std::cerr << server.error().message() << '\n';
        return 1;
    }
    io.run();
    return 0;
}
