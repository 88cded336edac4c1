// The HTTP client over Beast: see http_client.h.

#include "ramphinge/net/http_client.h"

#include <charconv>
#include <map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace ramphinge {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t pieceBytes = 2048;
constexpr std::uint64_t unlimitedBody = 1ULL << 40U;

using Stream = std::unique_ptr<beast::tcp_stream>;

// Connections that are open, idle and fit for another exchange.
class IdleConnections
{
public:
    explicit IdleConnections(int maxPerEndpoint) : m_maxPerEndpoint(maxPerEndpoint) { }

    Stream take(const Endpoint &endpoint)
    {
        std::vector<Stream> &idle = m_idle[endpoint];
        while (!idle.empty()) {
            Stream stream = std::move(idle.back());
            idle.pop_back();
            if (isQuiet(*stream))
                return stream;
        }
        return nullptr;
    }

    void put(const Endpoint &endpoint, Stream stream)
    {
        std::vector<Stream> &idle = m_idle[endpoint];
        if (static_cast<int>(idle.size()) < m_maxPerEndpoint)
            idle.push_back(std::move(stream));
    }

private:
    // False if the other side has closed it or sent something unasked.
    static bool isQuiet(beast::tcp_stream &stream)
    {
        char byte = 0;
        ErrorCode ec;
        stream.socket().non_blocking(true, ec);
        stream.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
        return ec == asio::error::would_block;
    }

    int m_maxPerEndpoint;
    std::map<Endpoint, std::vector<Stream>> m_idle;
};

class Call : public HttpCall
{
public:
    Call(IoContext &io, std::shared_ptr<IdleConnections> idle, Endpoint endpoint,
         const HttpRequest &request, HttpCallOptions options)
        : m_io(io), m_idle(std::move(idle)), m_endpoint(std::move(endpoint)), m_options(options),
          m_message(http::string_to_verb(request.method), request.target, 11, request.body)
    {
        for (const HttpHeader &field : request.headers.fields())
            m_message.insert(field.name, field.value);
        m_message.set(http::field::host, m_endpoint.address);
        m_message.prepare_payload();
        m_parser.body_limit(unlimitedBody);
        m_parser.eager(true);
        m_buffer.reserve(pieceBytes); // Of one read: Beast's own first choice is 512 bytes.
    }

    Status start(Yield yield) override;
    int status() const override { return m_parser.get().result_int(); }
    const HttpHeaders &headers() const override { return m_headers; }
    Result<std::size_t> read(std::string &into, Yield yield) override;
    void cancel() override;

private:
    Status connect(Yield yield);
    void release();

    IoContext &m_io;
    std::shared_ptr<IdleConnections> m_idle;
    Endpoint m_endpoint;
    HttpCallOptions m_options;
    http::request<http::string_body> m_message;
    http::response_parser<http::buffer_body> m_parser;
    beast::flat_buffer m_buffer;
    HttpHeaders m_headers;
    Stream m_stream; // Null before the connection is made and after it was given back.
    bool m_cancelled = false;
};

Status Call::connect(Yield yield)
{
    if (m_cancelled)
        return Error(ErrorKind::Unavailable, "cancelled before it was sent");
    if (!m_options.freshConnection)
        m_stream = m_idle->take(m_endpoint);
    if (m_stream)
        return Done {};
    m_stream = std::make_unique<beast::tcp_stream>(m_io);
    ErrorCode ec;
    const Tcp::endpoint address(asio::ip::make_address(m_endpoint.address, ec), m_endpoint.port);
    if (!ec) {
        m_stream->expires_after(m_options.connectTimeout);
        m_stream->async_connect(address, yield[ec]);
    }
    if (!ec)
        m_stream->socket().set_option(Tcp::no_delay(true), ec);
    if (ec || m_cancelled)
        return Error(ErrorKind::Unavailable,
                     "no connection to " + toString(m_endpoint) + ": "
                         + (m_cancelled ? "cancelled" : ec.message()));
    return Done {};
}

Status Call::start(Yield yield)
{
    if (const Status connected = connect(yield); !connected.ok())
        return connected;
    if (m_options.sendBy && std::chrono::steady_clock::now() >= *m_options.sendBy) {
        cancel();
        return Error(ErrorKind::Unavailable, "the right to send has ended; nothing was sent");
    }
    ErrorCode ec;
    m_stream->expires_after(m_options.headTimeout);
    http::async_write(*m_stream, m_message, yield[ec]);
    if (!ec)
        http::async_read_header(*m_stream, m_buffer, m_parser, yield[ec]);
    if (ec) {
        cancel();
        return Error(ErrorKind::Unknown,
                     "no answer from " + toString(m_endpoint) + ": " + ec.message()
                         + "; it may have run");
    }
    for (const auto &field : m_parser.get())
        m_headers.add(std::string(field.name_string()), std::string(field.value()));
    return Done {};
}

Result<std::size_t> Call::read(std::string &into, Yield yield)
{
    if (!m_stream)
        return std::size_t { 0 };
    const std::size_t before = into.size();
    while (!m_parser.is_done()) {
        // Straight into the caller's string: a call that waits holds no buffer of its own for it.
        into.resize(before + pieceBytes);
        m_parser.get().body().data = into.data() + before;
        m_parser.get().body().size = pieceBytes;
        ErrorCode ec;
        m_stream->expires_after(m_options.readTimeout);
        http::async_read_some(*m_stream, m_buffer, m_parser, yield[ec]);
        const std::size_t got = pieceBytes - m_parser.get().body().size;
        into.resize(before + got);
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec) {
            cancel();
            return Error(ErrorKind::Unknown,
                         "the answer of " + toString(m_endpoint) + " broke off: " + ec.message());
        }
        if (got > 0)
            return got;
    }
    release();
    return std::size_t { 0 };
}

void Call::release()
{
    m_stream->expires_never();
    if (m_parser.keep_alive() && m_buffer.size() == 0 && !m_cancelled)
        m_idle->put(m_endpoint, std::move(m_stream));
    m_stream.reset();
}

void Call::cancel()
{
    m_cancelled = true;
    if (!m_stream)
        return;
    ErrorCode ignored;
    m_stream->socket().close(ignored);
}

class PooledClient : public HttpClient
{
public:
    PooledClient(IoContext &io, int maxIdlePerEndpoint)
        : m_io(io), m_idle(std::make_shared<IdleConnections>(maxIdlePerEndpoint))
    { }

    std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                   HttpCallOptions options) override
    {
        return std::make_unique<Call>(m_io, m_idle, endpoint, request, options);
    }

private:
    IoContext &m_io;
    std::shared_ptr<IdleConnections> m_idle;
};

} // namespace

std::unique_ptr<HttpClient> HttpClient::create(IoContext &io, int maxIdlePerEndpoint)
{
    return std::make_unique<PooledClient>(io, maxIdlePerEndpoint);
}

Result<HttpResponse> HttpClient::exchange(const Endpoint &endpoint, const HttpRequest &request,
                                          HttpCallOptions options, Yield yield,
                                          std::size_t maxBytes)
{
    const std::unique_ptr<HttpCall> pending = call(endpoint, request, options);
    if (const Status sent = pending->start(yield); !sent.ok())
        return sent.error();
    HttpResponse response { pending->status(), pending->headers(), {} };
    while (true) {
        const Result<std::size_t> got = pending->read(response.body, yield);
        if (!got.ok())
            return got.error();
        if (got.value() == 0)
            return response;
        if (response.body.size() > maxBytes) {
            pending->cancel();
            return Error(ErrorKind::Unknown, "the answer is larger than this side accepts");
        }
    }
}

BlockingHttpClient::BlockingHttpClient()
    : m_io(std::make_unique<IoContext>(1)), m_client(HttpClient::create(*m_io, 1))
{ }

BlockingHttpClient::~BlockingHttpClient() = default;

Result<HttpResponse> BlockingHttpClient::exchange(const Endpoint &endpoint,
                                                  const HttpRequest &request, Duration timeout)
{
    HttpCallOptions options;
    options.connectTimeout = timeout;
    options.headTimeout = timeout;
    options.readTimeout = timeout;
    Result<HttpResponse> result = Error(ErrorKind::Unavailable, "interrupted by the process's end");
    spawnCoroutine(*m_io, [&](Yield yield) {
        result = m_client->exchange(endpoint, request, options, yield);
    });
    m_io->restart();
    if (!m_interrupted)
        m_io->run();
    return result;
}

void BlockingHttpClient::interrupt()
{
    m_interrupted = true;
    m_io->stop();
}

Result<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    ErrorCode ec;
    unsigned int port = 0;
    if (colon != std::string_view::npos) {
        asio::ip::make_address(std::string(text.substr(0, colon)), ec);
        const std::string_view digits = text.substr(colon + 1);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (!ec && parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size()
            && port < 65536)
            return Endpoint { std::string(text.substr(0, colon)),
                              static_cast<std::uint16_t>(port) };
    }
    return Error(ErrorKind::InvalidInput,
                 "\"" + std::string(text)
                     + "\" is no endpoint; write a numeric address and a port, "
                       "such as 127.0.0.1:8080");
}

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace ramphinge
