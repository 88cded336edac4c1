// The HTTP client over Beast: see http_client.h.

#include "ramphinge/net/http_client.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "ramphinge/base/process_status.h"
#include "ramphinge/net/internal/response_rules.h"
#include "ramphinge/net/internal/socket_deadline.h"

namespace ramphinge {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t pieceBytes = 2048;
// Of a body whose pieces arrive full. Below `maxBuffered`, of which the read buffer is a part.
constexpr std::size_t maxPieceBytes = 16 * 1024;
// Limit of the response data that the parser has not consumed: it buffers heads, chunk extensions
// and trailers until they are complete. Smaller than the largest field that Beast's message holds,
// beyond which the parser throws in a handler of the event loop.
constexpr std::size_t maxBuffered = 32 * 1024;
constexpr std::uint64_t unlimitedBody = 1ULL << 40U;
// Responses to other requests that are discarded on one connection before it is closed.
constexpr int maxSkippedAnswers = 3;
// Bytes of the body of one such response.
constexpr std::size_t maxSkippedBytes = 1024 * 1024;

using Stream = std::unique_ptr<beast::tcp_stream>;
// Refers to a body that is kept elsewhere.
using SharedBody = http::span_body<const char>;

// How long the peer keeps an idle connection open, if it states whole seconds.
std::optional<Duration> keepAliveTimeout(std::string_view field)
{
    constexpr std::string_view name = "timeout=";
    const std::size_t at = field.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = field.substr(at + name.size());
    int seconds = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    if (parsed.ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

// Idle connections to one endpoint that can be reused.
class IdleConnections
{
public:
    // `total` counts the idle connections to all endpoints.
    IdleConnections(int most, std::shared_ptr<int> total) : m_most(most), m_total(std::move(total))
    { }
    ~IdleConnections()
    {
        m_idle.clear();
        countIdle();
    }
    IdleConnections(const IdleConnections &) = delete;
    IdleConnections &operator=(const IdleConnections &) = delete;

    int inUse = 0; // Connections to the endpoint that carry a request.

    bool empty() const { return m_idle.empty(); }
    MonotonicTime oldestSince() const { return m_idle.front().since; }
    void closeOldest()
    {
        m_idle.erase(m_idle.begin());
        countIdle();
    }

    // Returns the most recently used connection if it has been idle for at most `maxIdle`.
    Stream take(Duration maxIdle)
    {
        const MonotonicTime now = BootClock::now();
        while (!m_idle.empty()) {
            Idle last = std::move(m_idle.back());
            m_idle.pop_back();
            countIdle();
            if (now < last.goodUntil && now - last.since <= maxIdle && isQuiet(*last.stream))
                return std::move(last.stream);
        }
        return nullptr;
    }

    // `keepAlive` is how long the other side said that it keeps the connection. Closes it if `most`
    // are kept already.
    void put(Stream stream, std::optional<Duration> keepAlive, int most)
    {
        const MonotonicTime now = BootClock::now();
        m_idle.erase(std::remove_if(m_idle.begin(), m_idle.end(),
                                    [now](const Idle &entry) { return now >= entry.goodUntil; }),
                     m_idle.end());
        countIdle();
        if (m_closed || static_cast<int>(m_idle.size()) >= std::min(m_most, most))
            return;
        const Duration use = keepAlive ? *keepAlive - keepAliveMargin : defaultKeepAlive;
        if (use <= Duration::zero())
            return;
        m_idle.push_back({ std::move(stream), now, now + use });
        countIdle();
    }

    // Closes all connections, and those that are returned later.
    void close()
    {
        m_closed = true;
        m_idle.clear();
        countIdle();
    }

private:
    // The peer counts from its last byte and may close slightly earlier or later.
    static constexpr Duration keepAliveMargin = std::chrono::milliseconds(500);
    // Used if the peer states none.
    static constexpr Duration defaultKeepAlive = std::chrono::seconds(60);

    struct Idle
    {
        Stream stream;
        MonotonicTime since;
        MonotonicTime goodUntil;
    };

    // False if the peer has closed the connection or sent unsolicited data.
    static bool isQuiet(beast::tcp_stream &stream)
    {
        char byte = 0;
        ErrorCode ec;
        stream.socket().non_blocking(true, ec);
        stream.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
        return ec == asio::error::would_block;
    }

    void countIdle()
    {
        const int now = static_cast<int>(m_idle.size());
        *m_total += now - std::exchange(m_counted, now);
    }

    int m_most;
    std::shared_ptr<int> m_total;
    int m_counted = 0; // In `m_total`.
    bool m_closed = false;
    std::vector<Idle> m_idle;
};

// The idle connections of one client, by endpoint.
class ConnectionPool
{
public:
    ConnectionPool(int maxIdlePerEndpoint, int maxInUse)
        : m_maxIdlePerEndpoint(maxIdlePerEndpoint), m_maxInUse(maxInUse)
    { }

    // Whether one more connection to the endpoint may be used. An endpoint that answers nothing
    // must not take all of them.
    bool mayUse(const IdleConnections &endpoint) const
    {
        return endpoint.inUse < m_maxInUse - m_inUse;
    }

    void countUse(IdleConnections &endpoint, int change)
    {
        endpoint.inUse += change;
        m_inUse += change;
    }

    void limitOpen(int most)
    {
        while (*m_idleTotal > 0 && m_inUse + *m_idleTotal > most)
            closeOldestIdle();
    }

    // A call returns its connection to the object that it got from here. If the endpoint was
    // forgotten meanwhile, the connection is closed: nobody would take it out again, and its
    // descriptor would leak.
    std::shared_ptr<IdleConnections> of(const Endpoint &endpoint)
    {
        std::shared_ptr<IdleConnections> &idle = m_idle[endpoint];
        if (!idle)
            idle = std::make_shared<IdleConnections>(m_maxIdlePerEndpoint, m_idleTotal);
        return idle;
    }

    void forget(const Endpoint &endpoint)
    {
        const auto found = m_idle.find(endpoint);
        if (found == m_idle.end())
            return;
        found->second->close();
        m_idle.erase(found);
    }

    std::int64_t made = 0; // Connections made so far.
    std::int64_t skipped = 0; // Responses to other requests so far.

private:
    void closeOldestIdle()
    {
        IdleConnections *oldest = nullptr;
        for (const auto &[endpoint, connections] : m_idle) {
            if (!connections->empty()
                && (oldest == nullptr || connections->oldestSince() < oldest->oldestSince()))
                oldest = connections.get();
        }
        oldest->closeOldest();
    }

    int m_maxIdlePerEndpoint;
    int m_maxInUse;
    int m_inUse = 0; // Connections that carry a request.
    std::shared_ptr<int> m_idleTotal = std::make_shared<int>(0); // Over all endpoints.
    std::map<Endpoint, std::shared_ptr<IdleConnections>> m_idle;
};

// Counts a connection as in use while a call has it.
class ConnectionUse
{
public:
    ConnectionUse(std::shared_ptr<ConnectionPool> pool, std::shared_ptr<IdleConnections> endpoint)
        : m_pool(std::move(pool)), m_endpoint(std::move(endpoint))
    {
        m_pool->countUse(*m_endpoint, 1);
    }
    ~ConnectionUse() { m_pool->countUse(*m_endpoint, -1); }
    ConnectionUse(const ConnectionUse &) = delete;
    ConnectionUse &operator=(const ConnectionUse &) = delete;

private:
    std::shared_ptr<ConnectionPool> m_pool;
    std::shared_ptr<IdleConnections> m_endpoint;
};

// State of a background write. The peer may respond before it has read the whole request, so the
// response is read while the request is still being written.
struct Transfer
{
    explicit Transfer(const HttpRequest &request) : body(request.body)
    {
        // As text, so that methods that Beast doesn't know are forwarded, too.
        message.method_string(request.method);
        message.target(request.target);
        message.body() = { body.text().data(), body.size() };
    }

    HttpBody body; // That `message` refers to.
    http::request<SharedBody> message;
    Stream stream; // Null until connected.
    bool written = false;
    bool failed = false; // The connection can't be written to any more: the peer has reset it.
};

// Errors of a read when the peer has closed or reset the connection.
bool isEndOfConnection(const ErrorCode &ec)
{
    return ec == http::error::end_of_stream || ec == http::error::partial_message
        || ec == asio::error::eof || ec == asio::error::connection_reset
        || ec == asio::error::connection_aborted || ec == asio::error::broken_pipe;
}

// Errors of an attempt to connect that got no response from the peer.
bool isUnreachable(const ErrorCode &ec)
{
    return ec == asio::error::timed_out || ec == asio::error::host_unreachable
        || ec == asio::error::network_unreachable;
}

// A request without a body has no length, unless receivers expect one for its method.
void setLength(http::request<SharedBody> &message)
{
    const http::verb method = message.method();
    const bool expectsLength =
        method == http::verb::post || method == http::verb::put || method == http::verb::options;
    if (expectsLength || !message.body().empty())
        message.content_length(message.body().size());
    else
        message.chunked(false);
}

class Call : public HttpCall
{
public:
    Call(IoContext &io, std::shared_ptr<ConnectionPool> pool, Endpoint endpoint,
         const HttpRequest &request, HttpCallOptions options)
        : m_io(io), m_pool(std::move(pool)), m_endpoint(std::move(endpoint)),
          m_options(std::move(options)), m_transfer(std::make_shared<Transfer>(request))
    {
        http::request<SharedBody> &message = m_transfer->message;
        for (const HttpHeader &field : request.headers.fields())
            message.insert(field.name, field.value);
        if (message.count(http::field::host) == 0)
            message.set(http::field::host, m_endpoint.address);
        setLength(message);
        m_buffer.reserve(pieceBytes); // Beast would start with 512 bytes.
        resetParser();
    }

    Status start(Yield yield) override;
    int status() const override { return m_parser->get().result_int(); }
    const HttpHeaders &headers() const override { return m_headers; }
    Result<std::size_t> read(std::string &into, Yield yield) override;
    void setReadTimeout(Duration timeout) override { m_options.readTimeout = timeout; }
    bool endsWithConnection() const override { return m_parser->need_eof(); }
    bool sent() const override { return m_sent; }
    bool usesKeptConnection() const override { return m_usesKeptConnection; }
    bool refused() const override { return m_refused; }
    bool unreachable() const override { return m_unreachable; }
    bool endedByPeer() const override { return m_endedByPeer; }
    bool exhausted() const override { return m_exhausted; }
    void cancel() override;

private:
    Status connect(Yield yield);
    void beginWrite();
    Status readHead(Yield yield);
    ErrorCode parseHead(Yield yield);
    Result<std::size_t> readPiece(std::string &into, MonotonicTime until, Yield yield);
    Status skipAnswer(MonotonicTime until, Yield yield);
    bool wasReset(Yield yield);
    void resetParser();
    // Pending operations of the call fail at that time; replaces the previous deadline. Beast's own
    // timeouts stop while the machine is suspended.
    void expireAt(MonotonicTime at, SocketDeadline::Waits waits = SocketDeadline::Waits::ForData);
    // Describes why an operation failed.
    std::string whyFailed(const ErrorCode &ec) const;
    void release();
    beast::tcp_stream &stream() { return *m_transfer->stream; }

    IoContext &m_io;
    SocketDeadline m_deadline { m_io };
    std::shared_ptr<ConnectionPool> m_pool;
    std::shared_ptr<IdleConnections> m_idle; // Of the endpoint; null until start().
    std::optional<ConnectionUse> m_use; // While the call has a connection.
    Endpoint m_endpoint;
    HttpCallOptions m_options;
    std::shared_ptr<Transfer> m_transfer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    beast::flat_buffer m_buffer { maxBuffered };
    std::size_t m_pieceBytes = pieceBytes; // That the next read of the body may return.
    HttpHeaders m_headers;
    bool m_sent = false;
    bool m_usesKeptConnection = false;
    bool m_refused = false;
    bool m_unreachable = false;
    bool m_endedByPeer = false;
    bool m_exhausted = false;
    bool m_ended = false; // The response was read to its end and the connection returned.
    bool m_cancelled = false;
};

void Call::resetParser()
{
    m_parser.emplace();
    m_parser->body_limit(unlimitedBody);
    m_parser->eager(true);
    // The response to HEAD has a length, but no body.
    m_parser->skip(m_transfer->message.method() == http::verb::head);
}

void Call::expireAt(MonotonicTime at, SocketDeadline::Waits waits)
{
    m_deadline.expireAfter(at - BootClock::now(), waits, stream().socket());
}

std::string Call::whyFailed(const ErrorCode &ec) const
{
    return m_deadline.expired() ? "closed due to a timeout" : ec.message();
}

Status Call::connect(Yield yield)
{
    if (m_cancelled)
        return Error(ErrorKind::Unavailable, "cancelled before it was sent");
    m_idle = m_pool->of(m_endpoint);
    m_exhausted = !m_pool->mayUse(*m_idle);
    if (m_exhausted)
        return Error(ErrorKind::Unavailable, "no connection is left for " + toString(m_endpoint));
    m_use.emplace(m_pool, m_idle);
    if (!m_options.freshConnection)
        m_transfer->stream = m_idle->take(m_options.maxIdle);
    m_usesKeptConnection = m_transfer->stream != nullptr;
    if (m_usesKeptConnection)
        return Done {};
    m_transfer->stream = std::make_unique<beast::tcp_stream>(m_io);
    ErrorCode ec;
    const Tcp::endpoint address(asio::ip::make_address(m_endpoint.address, ec), m_endpoint.port);
    if (!ec) {
        ++m_pool->made;
        expireAt(BootClock::now() + m_options.connectTimeout, SocketDeadline::Waits::ForRoom);
        stream().async_connect(address, yield[ec]);
    }
    if (!ec)
        stream().socket().set_option(Tcp::no_delay(true), ec);
    m_refused = ec == asio::error::connection_refused;
    m_unreachable = ec && !m_cancelled && (m_deadline.expired() || isUnreachable(ec));
    if (ec || m_cancelled)
        return Error(ErrorKind::Unavailable,
                     "no connection to " + toString(m_endpoint) + ": "
                         + (m_cancelled ? "cancelled" : whyFailed(ec)));
    return Done {};
}

void Call::beginWrite()
{
    m_sent = true;
    http::async_write(stream(), m_transfer->message,
                      [transfer = m_transfer](const ErrorCode &ec, std::size_t sent) {
                          countSent(sent);
                          transfer->written = !ec;
                          transfer->failed = static_cast<bool>(ec);
                      });
}

// Reads until the parser has the whole head. Beast would join folded lines to one value.
ErrorCode Call::parseHead(Yield yield)
{
    m_parser->eager(false);
    while (true) {
        ErrorCode ec;
        const std::size_t used = m_parser->put(m_buffer.data(), ec);
        const std::string_view parsed(static_cast<const char *>(m_buffer.data().data()), used);
        if (hasFoldedLine(parsed))
            return http::error::bad_obs_fold;
        m_buffer.consume(used);
        if (m_parser->is_header_done() || (ec && ec != http::error::need_more))
            return m_parser->is_header_done() ? ErrorCode() : ec;
        const std::size_t room = beast::read_size(m_buffer, maxBuffered);
        if (room == 0)
            return http::error::buffer_overflow;
        const std::size_t got = stream().async_read_some(m_buffer.prepare(room), yield[ec]);
        m_buffer.commit(got);
        countReceived(got);
        if (ec)
            return ec;
    }
}

Status Call::readHead(Yield yield)
{
    if (const ErrorCode ec = parseHead(yield)) {
        m_endedByPeer = !m_cancelled && isEndOfConnection(ec);
        cancel();
        return Error(ErrorKind::Unknown,
                     "no answer from " + toString(m_endpoint) + ": " + whyFailed(ec)
                         + "; it may have run");
    }
    m_headers = {};
    for (const auto &field : m_parser->get())
        m_headers.add(std::string(field.name_string()), std::string(field.value()));
    if (const auto fault = headFault(status(), m_headers)) {
        cancel();
        return Error(ErrorKind::Unknown,
                     "invalid answer from " + toString(m_endpoint) + ": " + *fault
                         + "; it may have run");
    }
    return Done {};
}

Status Call::start(Yield yield)
{
    if (const Status connected = connect(yield); !connected.ok())
        return connected;
    if (m_options.sendBy && BootClock::now() >= *m_options.sendBy) {
        cancel();
        return Error(ErrorKind::Unavailable, "the right to send has ended; nothing was sent");
    }
    if (m_options.mayWrite && !m_options.mayWrite()) {
        cancel();
        return Error(ErrorKind::Unavailable, "withheld from " + toString(m_endpoint));
    }
    const MonotonicTime until = BootClock::now() + m_options.headTimeout;
    expireAt(until);
    beginWrite();
    // Another request's late response, or an interim one, may precede this request's own.
    for (int skipped = 0;; ++skipped) {
        if (const Status head = readHead(yield); !head.ok())
            return head;
        const bool interim = isInterim(status());
        if (!interim && (!m_options.belongs || m_options.belongs(m_headers)))
            return Done {};
        if (!interim) {
            if (const Status dropped = skipAnswer(until, yield); !dropped.ok())
                return dropped;
        }
        if (skipped == maxSkippedAnswers || (!interim && !m_parser->keep_alive())) {
            cancel();
            return Error(ErrorKind::Unknown,
                         toString(m_endpoint) + " sent answers to other requests; it may have run");
        }
        resetParser();
        expireAt(until);
    }
}

// Reads a response to another request to its end. The exchange continues, so the call keeps its
// connection: returning it at the end of a discarded chunked response led to a read through a null
// pointer.
Status Call::skipAnswer(MonotonicTime until, Yield yield)
{
    ++m_pool->skipped;
    std::string dropped;
    std::size_t total = 0;
    while (total <= maxSkippedBytes && BootClock::now() < until) {
        const Result<std::size_t> piece = readPiece(dropped, until, yield);
        if (!piece.ok())
            return piece.error();
        if (piece.value() == 0)
            return Done {};
        total += piece.value();
        dropped.clear();
    }
    cancel();
    return Error(ErrorKind::Unknown,
                 toString(m_endpoint)
                     + " sent an answer without an end to another request; it may have run");
}

Result<std::size_t> Call::read(std::string &into, Yield yield)
{
    if (m_ended)
        return std::size_t { 0 };
    if (m_cancelled)
        return Error(ErrorKind::Unknown, "the call was cancelled");
    const Result<std::size_t> piece =
        readPiece(into, BootClock::now() + m_options.readTimeout, yield);
    if (piece.ok() && piece.value() == 0)
        release();
    return piece;
}

// Appends the next piece of the body of the current response, whichever request it belongs to; 0 at
// its end. The call keeps its connection.
Result<std::size_t> Call::readPiece(std::string &into, MonotonicTime until, Yield yield)
{
    const std::size_t before = into.size();
    if (!m_parser->is_done())
        expireAt(until); // Once: bytes that are no part of the body don't extend the wait.
    while (!m_parser->is_done()) {
        // Directly into the caller's string, so that a waiting call holds no buffer.
        into.resize(before + m_pieceBytes);
        m_parser->get().body().data = into.data() + before;
        m_parser->get().body().size = m_pieceBytes;
        ErrorCode ec;
        countReceived(http::async_read_some(stream(), m_buffer, *m_parser, yield[ec]));
        const std::size_t got = m_pieceBytes - m_parser->get().body().size;
        into.resize(before + got);
        if (ec == http::error::need_buffer)
            ec = {};
        if (ec) {
            m_endedByPeer = !m_cancelled && isEndOfConnection(ec);
            cancel();
            return Error(ErrorKind::Unknown,
                         "the answer of " + toString(m_endpoint) + " broke off: " + whyFailed(ec));
        }
        if (got == m_pieceBytes && m_pieceBytes < maxPieceBytes) {
            m_pieceBytes *= 2;
            m_buffer.reserve(m_pieceBytes);
        }
        if (got > 0)
            return got;
    }
    if (m_parser->need_eof() && (wasReset(yield) || m_cancelled)) {
        m_endedByPeer = !m_cancelled;
        cancel();
        return Error(ErrorKind::Unknown,
                     "the answer of " + toString(m_endpoint)
                         + " broke off: the connection was reset during the upload");
    }
    return std::size_t { 0 };
}

// Whether the connection was reset while the request was still being written. The failed write
// takes the socket's error, so that reads see an orderly end.
bool Call::wasReset(Yield yield)
{
    if (!m_transfer->written && !m_transfer->failed)
        yieldToLoop(m_io, yield); // The write may have failed, with its handler still to run.
    return m_transfer->failed;
}

// Ends the exchange after its own response was read to its end. The call doesn't use the connection
// any more.
void Call::release()
{
    if (m_cancelled)
        return;
    m_ended = true;
    m_use.reset();
    m_deadline.clear();
    const bool reusable = m_parser->keep_alive() && m_buffer.size() == 0 && m_transfer->written;
    if (!reusable) {
        ErrorCode ignored;
        stream().socket().close(ignored);
        return;
    }
    const auto field = m_headers.find("Keep-Alive");
    m_idle->put(std::move(m_transfer->stream), field ? keepAliveTimeout(*field) : std::nullopt,
                m_options.maxIdleConnections);
}

void Call::cancel()
{
    m_cancelled = true;
    m_use.reset();
    m_deadline.clear();
    if (m_ended || !m_transfer->stream)
        return;
    ErrorCode ignored;
    stream().socket().close(ignored);
}

class PooledClient : public HttpClient
{
public:
    PooledClient(IoContext &io, int maxIdlePerEndpoint, int maxInUse)
        : m_io(io), m_pool(std::make_shared<ConnectionPool>(maxIdlePerEndpoint, maxInUse))
    { }

    std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                   HttpCallOptions options) override
    {
        return std::make_unique<Call>(m_io, m_pool, endpoint, request, std::move(options));
    }

    void forget(const Endpoint &endpoint) override { m_pool->forget(endpoint); }
    void limitOpen(int most) override { m_pool->limitOpen(most); }
    std::int64_t connectionsMade() const override { return m_pool->made; }
    std::int64_t answersSkipped() const override { return m_pool->skipped; }

private:
    IoContext &m_io;
    std::shared_ptr<ConnectionPool> m_pool;
};

} // namespace

std::unique_ptr<HttpClient> HttpClient::create(IoContext &io, int maxIdlePerEndpoint, int maxInUse)
{
    return std::make_unique<PooledClient>(io, maxIdlePerEndpoint, maxInUse);
}

Result<HttpResponse> HttpClient::exchange(const Endpoint &endpoint, const HttpRequest &request,
                                          HttpCallOptions options, Yield yield,
                                          std::size_t maxBytes)
{
    const std::unique_ptr<HttpCall> pending = call(endpoint, request, options);
    if (const Status begun = pending->start(yield); !begun.ok())
        return begun.error();
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
