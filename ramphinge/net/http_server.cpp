// The HTTP server over Beast: see http_server.h.

#include "ramphinge/net/http_server.h"
#include "ramphinge/net/internal/read_turns.h"
#include "ramphinge/net/internal/request_rules.h"
#include "ramphinge/net/internal/socket_deadline.h"

#include <algorithm>
#include <cerrno>
#include <limits>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "ramphinge/base/process_status.h"
#include "ramphinge/net/boot_timer.h"
#include "ramphinge/observe/log.h"

namespace ramphinge {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t initialReadBytes = 2048;
constexpr int acceptBacklog = 1024;
// Connections that are accepted in one pass of the event loop: one a pass would let them queue up
// in the kernel while the loop is busy.
constexpr int maxAcceptsAtOnce = 64;
// Delay after a failed accept, such as without free descriptors: the caller stays in the kernel's
// queue, so the next accept would fail at once and keep the event loop busy.
constexpr Duration acceptPause = std::chrono::milliseconds(20);
constexpr int statusClientError = 400; // Of this and larger ones nothing was served.
constexpr int statusInternalError = 500;
constexpr const char *internalErrorBody = R"({"error":{"type":"internal_error"}})";
// After a rejection, data from the caller is read and discarded, up to this time and size: closing
// with unread data would reset the connection, and the caller would not get the response.
constexpr Duration lingerTime = std::chrono::milliseconds(500);
constexpr std::size_t lingerBytes = 1024 * 1024;
// Limit of a header's name or value with its separator in Beast's message.
constexpr std::size_t largestField = std::numeric_limits<std::uint16_t>::max() - 2;
// Read at once: of a head, and of a body.
constexpr std::size_t headPieceBytes = 4 * 1024;
constexpr std::size_t bodyPieceBytes = 16 * 1024;
// Receive buffer of a new connection, for which the kernel holds up to twice as much: heads and
// small bodies. The kernel would let it grow to megabytes that nobody has read.
constexpr int receiveBufferBytes = 4 * 1024;
// That of a connection that sends a larger body: the window of a caller that is far away.
constexpr std::size_t largeBodyBytes = 64 * 1024;
constexpr int largeReceiveBufferBytes = 32 * 1024;
// First allocation for a body, unless it is announced to be smaller.
constexpr std::size_t initialBodyBytes = 16 * 1024;
// What a connection holds beside its buffers: its coroutine's stack, its socket and what is unread
// there.
constexpr std::size_t connectionBytes = 16 * 1024;
// The same for a request that is being handled: what the stack grows by, and the call to its
// upstream with its buffers.
constexpr std::size_t handlingBytes = 24 * 1024;
// Of a head's fields: here, decoded, and as it is sent to an upstream.
constexpr std::size_t headCopies = 4;
// Share of the idle limit for which a connection is not evicted: callers reuse theirs until then.
constexpr double protectedIdleShare = 0.8;
// Share of a port's places from which on responses close their connections.
constexpr double crowdedShare = 0.875;
// A connection that has sent nothing for so long, though a request of it is due, is stalled.
constexpr Duration minStall = std::chrono::milliseconds(200);
constexpr Duration stallCountInterval = std::chrono::milliseconds(100);
// The read buffer of an idle connection is freed if it is larger.
constexpr std::size_t maxIdleBufferBytes = 4 * 1024;
// Added to the limit of a head for data that is read along with it. Also limits trailers and chunk
// extensions, which are buffered until they are complete.
constexpr std::size_t readAheadBytes = 16 * 1024;

// Rejects a field that Beast's message can't hold: its own parser would throw in a handler of the
// event loop, and end the loop with all requests on it.
class RequestParser : public http::request_parser<http::buffer_body>
{
private:
    void on_field_impl(http::field name, beast::string_view nameText, beast::string_view value,
                       ErrorCode &ec) override
    {
        if (nameText.size() > largestField || value.size() > largestField)
            ec = http::error::header_limit;
        else
            get().insert(name, nameText, value);
    }
};

HttpFault faultOf(const ErrorCode &ec)
{
    if (ec == asio::error::no_memory)
        return HttpFault::Overloaded;
    if (ec == http::error::body_limit)
        return HttpFault::BodyTooLarge;
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
        return HttpFault::HeadTooLarge;
    return HttpFault::Malformed;
}

bool deservesAnswer(const ErrorCode &ec)
{
    return ec == asio::error::no_memory
        || (ec.category() == make_error_code(http::error::bad_method).category()
            && ec != http::error::end_of_stream && ec != http::error::partial_message);
}

class Server;

// One connection: reads requests one after the other and passes them to the handler.
class Connection : public HttpExchange,
                   public ConnectionMemory::Owner,
                   public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Server> server, Tcp::socket socket);
    ~Connection() override;

    // Has sent nothing for a while, though its request is not complete.
    bool isStalled(MonotonicTime now) const
    {
        return (m_isNew || m_reading) && now - m_lastArrival >= minStall;
    }

    // False if there is no memory for it.
    bool reserve() { return m_memory.resize(heldBytes(), BootClock::now()); }
    void run(Yield yield);
    bool evict(ConnectionPhase phase) override;
    void closeIfIdle();

    const HttpRequest &request() const override { return m_request; }
    Status respond(const HttpResponse &response, Yield yield) override;
    void beginStream(int status, HttpHeaders headers) override;
    Status write(std::string_view piece, Yield yield) override;
    Status finish(Yield yield) override;
    void abort() override;
    void watchCaller(std::function<void()> onGone) override;
    bool callerGone() const override { return m_gone; }

private:
    bool awaitFirstByte(Yield yield);
    void enterIdle();
    void releaseRequest();
    bool commit();
    bool serveNext(Yield yield);
    bool readRequest(Yield yield);
    ErrorCode readHead(RequestParser &parser, Yield yield);
    bool takeHead(const http::request<http::buffer_body> &message);
    ErrorCode readBody(RequestParser &parser, Yield yield);
    ErrorCode readMore(std::size_t most, Yield yield);
    ErrorCode parseBody(RequestParser &parser);
    bool reserveBody(std::size_t more, std::size_t mostBytes);
    void growReceiveBuffer();
    std::size_t heldBytes() const;
    void answerFailure(const std::string &why, Yield yield);
    bool mayAnswer();
    void refuse(HttpFault fault, Yield yield);
    void refuse(const HttpResponse &response, Yield yield);
    void linger(Yield yield);
    void armWatch();
    bool readAhead();
    bool skipEmptyLines();
    bool hasEndedItsSide();
    void noteFirstByte();
    std::size_t unreadBytes();
    void noteUnreadData();
    template <typename Buffers> ErrorCode send(const Buffers &buffers, Yield yield);
    template <typename Chunk> Status sendPart(const Chunk &chunk, Yield yield);
    Status ended(const ErrorCode &ec);
    bool keepAlive() const;
    // Decides whether the connection is kept after this response.
    bool decideKeepAlive();
    // Not after HEAD: the caller would take the body for the next response.
    bool sendsBody() const { return m_request.method != "HEAD"; }

    std::shared_ptr<Server> m_server;
    Tcp::socket m_socket;
    SocketDeadline m_deadline; // Of the operations of m_socket.
    beast::flat_buffer m_buffer;
    ConnectionMemory::Reservation m_memory; // Of what heldBytes() tells.
    std::string m_body; // That was received of the request being read.
    std::size_t m_receiveBufferBytes = 0; // Beyond that of a new connection, until its end.
    std::size_t m_bodyBytes = 0; // Allocated for the body of the request, also after it was read.
    std::size_t m_headBytes = 0; // Of the request being read or handled.
    HttpRequest m_request;
    // Invariant: non-empty only between beginStream and the first write, of HEAD the finish.
    std::string m_pendingHead;
    std::function<void()> m_onGone;
    bool m_watchArmed = false;
    bool m_hasReadAhead = false; // Bytes beyond the request in progress were read into m_buffer.
    bool m_reading = false; // A request has begun to arrive and is incomplete.
    bool m_busy = false; // A request is being handled.
    bool m_answered = false; // The response, or a part of it, was written.
    bool m_gone = false;
    bool m_callerKeepsAlive = true;
    bool m_refused = false; // The last request was rejected; later data is discarded.
    bool m_isEvicted = false; // While a request was being received.
    bool m_isEnding = false; // Closed; its coroutine ends in the next pass of the event loop.
    bool m_isServed = false; // A request was answered with success.
    MonotonicTime m_lastArrival; // Of bytes from the caller, or the begin of the connection.
    bool m_closesAfterResponse = false; // Its head said so, for want of room.
    bool m_saidKeepAlive = true; // To the caller, by the last response.
    MonotonicTime m_idleSince; // Begin of the last wait for a request.
    bool m_isNew = true; // Its first request has not begun to arrive.
};

class Server : public HttpServer, public std::enable_shared_from_this<Server>
{
public:
    Server(IoContext &io, HttpServerOptions options, HttpHandler &handler)
        : io(io), options(options), handler(handler),
          memory(options.memory != nullptr ? *options.memory : m_ownMemory), m_acceptor(io),
          m_acceptPause(io)
    { }

    Status bind(const Endpoint &endpoint);
    void acceptNext();

    std::uint16_t port() const override { return m_port; }
    void stopAccepting() override;
    void announceClose() override { m_closeAnnounced = true; }
    void setOptions(const HttpServerOptions &changed) override { options = changed; }
    void noteLoopDelay(Duration delay) override { readTurns.noteLoopDelay(delay); }
    int openExchanges() const override { return exchanges; }
    int openConnections() const override { return static_cast<int>(connections.size()); }
    int inProgress() const override
    {
        return std::max(0, exchanges + newConnections - stalledConnections());
    }
    // The last places are for connections that don't stay.
    bool isCrowded() const { return places() >= options.maxConnections * crowdedShare; }
    std::int64_t connectionsNotAdmitted() const override { return m_notAdmitted; }
    std::int64_t connectionsClosedWithUnreadData() const override { return closedWithUnreadData; }
    std::int64_t requestsSentAhead() const override { return sentAhead; }
    // Whether one more connection beside `accepted` ones that are not served yet is admitted.
    bool admits(std::size_t accepted) const
    {
        return options.connectionPolicy == nullptr
            || options.connectionPolicy->admits(inProgress() + static_cast<int>(accepted));
    }
    bool stopping() const { return m_stopping; }
    bool closeAnnounced() const { return m_closeAnnounced; }

    IoContext &io;
    HttpServerOptions options;
    HttpHandler &handler;
    ConnectionMemory &memory;
    ReadTurns readTurns { io };
    std::set<Connection *> connections;
    int exchanges = 0;
    int newConnections = 0; // Whose first request has not begun to arrive.
    int endingConnections = 0; // Closed, but still in `connections`.
    std::int64_t closedWithUnreadData = 0;
    std::int64_t sentAhead = 0;

private:
    void acceptPending();
    std::optional<Tcp::socket> acceptOne(std::size_t accepted, ErrorCode &ec);
    void acceptLater();
    void serve(Tcp::socket socket);
    int places() const { return static_cast<int>(connections.size()) - endingConnections; }
    int stalledConnections() const;

    ConnectionMemory m_ownMemory { ConnectionMemoryOptions() }; // Unused if it shares another one.
    Tcp::acceptor m_acceptor;
    Tcp m_protocol = Tcp::v4(); // Of the bound address.
    BootTimer m_acceptPause;
    std::uint16_t m_port = 0;
    std::int64_t m_notAdmitted = 0;
    mutable int m_stalledConnections = 0; // At the last count.
    mutable MonotonicTime m_stalledCountedAt;
    bool m_stopping = false;
    bool m_closeAnnounced = false;
};

// Counts a request as open while it is read or handled, however that ends.
class OpenExchange
{
public:
    explicit OpenExchange(std::shared_ptr<Server> server) : m_server(std::move(server))
    {
        ++m_server->exchanges;
    }
    ~OpenExchange() { --m_server->exchanges; }
    OpenExchange(const OpenExchange &) = delete;
    OpenExchange &operator=(const OpenExchange &) = delete;

private:
    std::shared_ptr<Server> m_server;
};

std::string serializeHead(int status, const HttpHeaders &headers, bool keepAlive,
                          std::optional<std::size_t> length)
{
    http::response<http::empty_body> head(static_cast<http::status>(status), 11);
    for (const HttpHeader &field : headers.fields())
        head.insert(field.name, field.value);
    if (length)
        head.content_length(*length);
    else
        head.chunked(true);
    head.keep_alive(keepAlive);
    http::response_serializer<http::empty_body> serializer(head);
    serializer.split(true);
    std::string text;
    ErrorCode ec;
    serializer.next(ec, [&](ErrorCode &, const auto &buffers) {
        text = beast::buffers_to_string(buffers);
        serializer.consume(text.size());
    });
    return text;
}

Connection::Connection(std::shared_ptr<Server> server, Tcp::socket socket)
    : m_server(std::move(server)), m_socket(std::move(socket)), m_deadline(m_server->io),
      m_memory(m_server->memory, *this, m_server.get(), BootClock::now()),
      m_lastArrival(BootClock::now())
{
    m_server->connections.insert(this);
    ++m_server->newConnections;
}

Connection::~Connection()
{
    noteFirstByte();
    if (m_isEnding)
        --m_server->endingConnections;
    m_server->connections.erase(this);
}

void Connection::noteFirstByte()
{
    if (std::exchange(m_isNew, false))
        --m_server->newConnections;
}

void Connection::run(Yield yield)
{
    bool goesOn = true;
    while (goesOn && awaitFirstByte(yield))
        goesOn = serveNext(yield);
    noteUnreadData();
    ErrorCode ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    if (m_refused)
        linger(yield);
}

// Reads and handles one request; returns false if the connection ends with it. An exception ends
// only this exchange: the caller gets a response, and the count of open exchanges stays correct.
bool Connection::serveNext(Yield yield)
{
    const OpenExchange open(m_server);
    m_answered = false;
    m_hasReadAhead = false;
    m_saidKeepAlive = false;
    m_reading = true;
    bool whole = false;
    std::optional<std::string> failure;
    try {
        whole = readRequest(yield);
        m_reading = false;
        m_busy = whole;
        if (whole)
            m_server->handler.handle(*this, yield);
    } catch (const std::exception &e) {
        failure = e.what(); // Handled below: a coroutine must not suspend in a catch block.
    }
    m_onGone = nullptr;
    m_pendingHead.clear();
    if (failure)
        answerFailure(*failure, yield);
    m_reading = false;
    m_busy = false;
    m_request = {};
    m_bodyBytes = m_headBytes = 0;
    return whole && !failure && !m_gone && m_saidKeepAlive;
}

void Connection::answerFailure(const std::string &why, Yield yield)
{
    logError("net", "request_failed_inside", { { "why", why }, { "answered", m_answered } });
    m_callerKeepsAlive = false;
    if (m_answered)
        abort();
    else
        static_cast<void>(respond(jsonResponse(statusInternalError, internalErrorBody), yield));
}

void Connection::linger(Yield yield)
{
    std::array<char, initialReadBytes> dropped {};
    std::size_t total = 0;
    ErrorCode ec;
    m_deadline.expireAfter(lingerTime, SocketDeadline::Waits::ForData, m_socket);
    while (!ec && total < lingerBytes)
        total += m_socket.async_read_some(asio::buffer(dropped), yield[ec]);
}

void Connection::closeIfIdle()
{
    if (!m_busy && !m_reading)
        m_socket.cancel();
}

// Waits for the next request; false if the connection ends instead. The wait may be ended while a
// request is already there, which the event loop has not got to: that one is served.
bool Connection::awaitFirstByte(Yield yield)
{
    if (skipEmptyLines())
        return true;
    m_idleSince = BootClock::now();
    if (!m_isNew)
        enterIdle();
    m_deadline.expireAfter(m_server->options.idleTimeout, SocketDeadline::Waits::ForData, m_socket);
    ErrorCode ec;
    do {
        ec = asio::error::operation_aborted;
        if (!m_server->stopping())
            m_buffer.commit(
                m_socket.async_read_some(m_buffer.prepare(initialReadBytes), yield[ec]));
    } while (!ec && !skipEmptyLines());
    m_deadline.clear();
    noteFirstByte();
    return !ec || (ec == asio::error::operation_aborted && unreadBytes() > 0);
}

// Empty lines may precede a request (RFC 9112, 2.2). Returns whether a request has begun.
bool Connection::skipEmptyLines()
{
    constexpr std::string_view emptyLine = "\r\n";
    const auto buffered = [this] {
        return std::string_view(static_cast<const char *>(m_buffer.data().data()), m_buffer.size());
    };
    while (buffered().substr(0, emptyLine.size()) == emptyLine)
        m_buffer.consume(emptyLine.size());
    return !buffered().empty() && buffered() != emptyLine.substr(0, 1);
}

std::size_t Connection::unreadBytes()
{
    ErrorCode ec;
    const std::size_t bytes = m_socket.is_open() ? m_socket.available(ec) : 0;
    return ec ? 0 : bytes;
}

// Its caller can't tell what became of a request in that data.
void Connection::noteUnreadData()
{
    const bool isOver = m_refused || m_gone || (!skipEmptyLines() && unreadBytes() == 0);
    const std::size_t unread = isOver ? 0 : m_buffer.size() + unreadBytes();
    if (unread == 0)
        return;
    ++m_server->closedWithUnreadData;
    logWarning("net", "connection_closed_with_unread_data",
               { { "bytes", unread },
                 { "announced", !m_saidKeepAlive },
                 { "stopping", m_server->stopping() },
                 { "since_idle_ms", toMilliseconds(BootClock::now() - m_idleSince) },
                 { "idle_timeout_ms", toMilliseconds(m_server->options.idleTimeout) } });
}

// False if it could be understood in several ways.
bool Connection::takeHead(const http::request<http::buffer_body> &message)
{
    m_request.headers = {};
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    for (const auto &field : message)
        m_request.headers.add(std::string(field.name_string()), std::string(field.value()));
    const HttpVersion version = message.version() >= 11 ? HttpVersion::Http11 : HttpVersion::Http10;
    if (!isUnambiguous(m_request, version))
        return false;
    normalizeTarget(m_request);
    return true;
}

std::size_t Connection::heldBytes() const
{
    return connectionBytes + m_buffer.capacity() + m_bodyBytes + headCopies * m_headBytes
        + m_receiveBufferBytes + (m_busy ? handlingBytes : 0);
}

// An idle connection holds no more than it needs to wait.
void Connection::enterIdle()
{
    if (m_buffer.size() == 0 && m_buffer.capacity() > maxIdleBufferBytes)
        m_buffer.shrink_to_fit();
    const MonotonicTime now = BootClock::now();
    m_memory.enter(ConnectionPhase::Idle, now,
                   m_isServed ? scaled(m_server->options.idleTimeout, protectedIdleShare)
                              : Duration());
    static_cast<void>(m_memory.resize(heldBytes(), now));
}

void Connection::releaseRequest()
{
    std::string().swap(m_body); // An assignment would keep its memory.
    m_bodyBytes = m_headBytes = 0;
    static_cast<void>(m_memory.resize(heldBytes(), BootClock::now()));
}

// The request is complete: reserves what handling it takes.
bool Connection::commit()
{
    const MonotonicTime now = BootClock::now();
    return m_memory.resize(heldBytes() + handlingBytes, now) && m_memory.commit(now);
}

bool Connection::evict(ConnectionPhase phase)
{
    ErrorCode ignored;
    switch (phase) {
    case ConnectionPhase::Silent:
    case ConnectionPhase::Idle:
        if (m_buffer.size() > 0 || unreadBytes() > 0)
            return false;
        break;
    case ConnectionPhase::Receiving:
        m_isEvicted = true;
        m_memory.enter(ConnectionPhase::Closing, BootClock::now());
        releaseRequest();
        m_socket.cancel(ignored);
        return true;
    case ConnectionPhase::Handling:
        return false;
    case ConnectionPhase::Sending:
    case ConnectionPhase::Closing:
        m_gone = true;
        break;
    }
    m_socket.close(ignored);
    if (!std::exchange(m_isEnding, true))
        ++m_server->endingConnections;
    return m_memory.resize(0, BootClock::now());
}

// Reads what has arrived, at most that much.
ErrorCode Connection::readMore(std::size_t most, Yield yield)
{
    const std::size_t room = std::min(most, m_buffer.max_size() - m_buffer.size());
    if (room == 0)
        return http::error::buffer_overflow;
    if (m_isEvicted) // While it waited for its turn.
        return asio::error::no_memory;
    const auto space = m_buffer.prepare(room);
    if (!m_memory.resize(heldBytes(), BootClock::now()))
        return asio::error::no_memory;
    ErrorCode ec;
    const std::size_t size = m_socket.async_read_some(space, yield[ec]);
    m_buffer.commit(size);
    countReceived(size);
    m_lastArrival = BootClock::now();
    if (m_isEvicted)
        return asio::error::no_memory;
    if (m_deadline.expired())
        return asio::error::operation_aborted;
    return ec;
}

ErrorCode Connection::readHead(RequestParser &parser, Yield yield)
{
    while (true) {
        ErrorCode ec;
        if (m_buffer.size() > 0) {
            const std::size_t used = parser.put(m_buffer.data(), ec);
            m_buffer.consume(used);
            m_headBytes += used;
            if (parser.is_header_done() || (ec && ec != http::error::need_more))
                return parser.is_header_done() ? ErrorCode() : ec;
        }
        ec = readMore(headPieceBytes, yield);
        if (ec)
            return ec;
    }
}

ErrorCode Connection::readBody(RequestParser &parser, Yield yield)
{
    std::size_t parsed = 0; // Of the body as it was sent, with the framing.
    while (true) {
        parsed += m_buffer.size();
        if (const ErrorCode ec = parseBody(parser); ec || parser.is_done())
            return ec;
        if (m_body.size() >= largeBodyBytes && m_receiveBufferBytes == 0)
            growReceiveBuffer();
        if (parsed >= largeBodyBytes)
            m_server->readTurns.await(yield);
        if (const ErrorCode ec = readMore(bodyPieceBytes, yield))
            return ec;
    }
}

// Unless there is no memory for it: the body is then received more slowly.
void Connection::growReceiveBuffer()
{
    m_receiveBufferBytes = 2 * std::size_t(largeReceiveBufferBytes);
    ErrorCode ignored;
    if (m_memory.resize(heldBytes(), BootClock::now()))
        m_socket.set_option(Tcp::socket::receive_buffer_size(largeReceiveBufferBytes), ignored);
    else
        m_receiveBufferBytes = 0;
}

// Parses what is buffered. An error is final.
ErrorCode Connection::parseBody(RequestParser &parser)
{
    const std::size_t mostBytes = parser.content_length()
        ? static_cast<std::size_t>(*parser.content_length())
        : m_server->options.maxBodyBytes;
    std::size_t used = 1;
    while (used > 0 && m_buffer.size() > 0 && !parser.is_done()) {
        // What is parsed is at most as large as what is buffered.
        if (!reserveBody(m_buffer.size(), mostBytes))
            return asio::error::no_memory;
        const std::size_t before = m_body.size();
        m_body.resize(before + m_buffer.size());
        parser.get().body().data = m_body.data() + before;
        parser.get().body().size = m_buffer.size();
        ErrorCode ec;
        used = parser.put(m_buffer.data(), ec);
        m_body.resize(m_body.size() - parser.get().body().size);
        m_buffer.consume(used);
        if (ec && ec != http::error::need_more)
            return ec;
    }
    return {};
}

// Makes room for that much more of the body, and for some of what is still to come. The string
// would grow by doubling, also beyond the largest body.
bool Connection::reserveBody(std::size_t more, std::size_t mostBytes)
{
    const std::size_t needed = m_body.size() + more;
    if (needed <= m_bodyBytes)
        return true;
    const std::size_t wanted = std::max(2 * m_bodyBytes, initialBodyBytes);
    const std::size_t before = m_bodyBytes;
    m_bodyBytes = std::max(needed, std::min(wanted, mostBytes));
    if (!m_memory.resize(heldBytes(), BootClock::now())) {
        m_bodyBytes = before;
        return false;
    }
    std::string grown;
    grown.reserve(m_bodyBytes);
    grown.append(m_body);
    m_body.swap(grown);
    return true;
}

bool Connection::readRequest(Yield yield)
{
    m_request = {}; // So that a rejection doesn't refer to the previous request.
    RequestParser parser;
    const std::size_t mostBuffered = m_server->options.maxHeadBytes + readAheadBytes;
    m_buffer.max_size(std::max(mostBuffered, m_buffer.size()));
    parser.body_limit(m_server->options.maxBodyBytes);
    parser.header_limit(m_server->options.maxHeadBytes);
    m_lastArrival = BootClock::now();
    m_memory.enter(ConnectionPhase::Receiving, m_lastArrival);
    m_deadline.expireAfter(m_server->options.headTimeout, SocketDeadline::Waits::ForData, m_socket);
    ErrorCode ec = readHead(parser, yield);
    if (!ec && !takeHead(parser.get())) {
        refuse(HttpFault::Malformed, yield);
        return false;
    }
    if (!ec && !parser.is_done()) {
        parser.eager(true);
        ec = parseBody(parser); // What has arrived with the head.
    }
    if (!ec && !parser.is_done()) {
        if (const auto rejection = m_server->handler.rejectByHead(m_request)) {
            m_deadline.clear();
            refuse(*rejection, yield);
            return false;
        }
        const std::size_t announced = parser.content_length().value_or(0);
        if (!m_memory.admits(heldBytes() + announced, BootClock::now()))
            ec = asio::error::no_memory;
        if (!ec && beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            http::response<http::empty_body> go(http::status::continue_, 11);
            http::async_write(m_socket, go, yield[ec]);
        }
        m_deadline.expireAfter(m_server->options.bodyTimeout, SocketDeadline::Waits::ForData,
                               m_socket);
        if (!ec)
            ec = readBody(parser, yield);
    }
    m_deadline.clear();
    if (m_isEvicted || (!ec && !commit()))
        ec = asio::error::no_memory;
    if (ec) {
        const bool isSlow = ec == asio::error::operation_aborted && m_deadline.expired();
        if (isSlow && (m_buffer.size() > 0 || parser.got_some()))
            refuse(HttpFault::SlowSender, yield);
        else if (!isSlow && deservesAnswer(ec))
            refuse(faultOf(ec), yield);
        return false;
    }
    m_callerKeepsAlive = parser.get().keep_alive();
    if (parser.chunked() && !takeHead(parser.get())) { // Once more, with its trailers.
        refuse(HttpFault::Malformed, yield);
        return false;
    }
    m_request.body = std::exchange(m_body, {});
    return true;
}

void Connection::refuse(HttpFault fault, Yield yield)
{
    refuse(m_server->handler.refuse(fault, m_request), yield);
}

void Connection::refuse(const HttpResponse &response, Yield yield)
{
    m_callerKeepsAlive = false;
    m_refused = true;
    m_memory.enter(ConnectionPhase::Closing, BootClock::now());
    releaseRequest();
    respond(response, yield);
}

bool Connection::keepAlive() const
{
    return m_callerKeepsAlive && !m_closesAfterResponse && !m_server->stopping()
        && !m_server->closeAnnounced();
}

bool Connection::decideKeepAlive()
{
    m_closesAfterResponse = !m_server->admits(0) || m_server->isCrowded();
    m_saidKeepAlive = keepAlive();
    return m_saidKeepAlive;
}

Status Connection::ended(const ErrorCode &ec)
{
    m_deadline.clear();
    if (!ec)
        return Done {};
    m_gone = true;
    return Error(ErrorKind::Unavailable, "the caller went away: " + ec.message());
}

// The caller would take a second response for that of the next request.
bool Connection::mayAnswer()
{
    if (m_answered)
        abort();
    return !m_answered;
}

Status Connection::respond(const HttpResponse &response, Yield yield)
{
    m_isServed = m_isServed || response.status < statusClientError;
    const std::string head =
        serializeHead(response.status, response.headers, decideKeepAlive(), response.body.size());
    if (!mayAnswer())
        return Error(ErrorKind::Unavailable, "the request was answered before");
    m_answered = true;
    const std::string_view body = sendsBody() ? std::string_view(response.body) : "";
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(head), asio::buffer(body) };
    return ended(send(buffers, yield));
}

// Writes all of it. Meanwhile the connection holds what is written, and may be evicted if its
// caller doesn't read.
template <typename Buffers> ErrorCode Connection::send(const Buffers &buffers, Yield yield)
{
    beast::buffers_suffix<Buffers> rest(buffers);
    const bool isResponse = m_memory.phase() == ConnectionPhase::Handling;
    const MonotonicTime now = BootClock::now();
    if (isResponse) {
        m_memory.enter(ConnectionPhase::Sending, now);
        m_memory.forceResize(heldBytes() + beast::buffer_bytes(buffers), now);
    }
    m_deadline.expireAfter(m_server->options.writeTimeout, SocketDeadline::Waits::ForRoom,
                           m_socket);
    ErrorCode ec;
    while (!ec && beast::buffer_bytes(rest) > 0) {
        const std::size_t sent = m_socket.async_write_some(rest, yield[ec]);
        countSent(sent);
        rest.consume(sent);
        if (beast::buffer_bytes(rest) > 0)
            m_memory.noteProgress(BootClock::now());
    }
    if (isResponse && !m_isEnding) {
        m_memory.enter(ConnectionPhase::Handling, now);
        static_cast<void>(m_memory.resize(heldBytes(), now));
    }
    return ec;
}

void Connection::beginStream(int status, HttpHeaders headers)
{
    m_isServed = m_isServed || status < statusClientError;
    m_pendingHead = serializeHead(status, headers, decideKeepAlive(), std::nullopt);
}

Status Connection::write(std::string_view piece, Yield yield)
{
    if (m_gone)
        return Error(ErrorKind::Unavailable, "the caller went away");
    return sendPart(http::make_chunk(asio::buffer(piece.data(), piece.size())), yield);
}

Status Connection::finish(Yield yield)
{
    return sendPart(http::make_chunk_last(), yield);
}

// Sends a piece of a stream, with the head before the first one.
template <typename Chunk> Status Connection::sendPart(const Chunk &chunk, Yield yield)
{
    const std::string head = std::move(m_pendingHead);
    m_pendingHead.clear();
    m_answered = true;
    const asio::const_buffer headBytes(head.data(), head.size());
    return ended(sendsBody() ? send(beast::buffers_cat(headBytes, chunk), yield)
                             : send(std::array<asio::const_buffer, 1> { headBytes }, yield));
}

void Connection::abort()
{
    m_gone = true;
    ErrorCode ignored;
    m_socket.close(ignored);
}

void Connection::watchCaller(std::function<void()> onGone)
{
    m_onGone = std::move(onGone);
    if (m_onGone && m_gone)
        m_onGone();
    if (m_onGone && !m_watchArmed)
        armWatch();
}

void Connection::armWatch()
{
    m_watchArmed = true;
    m_socket.async_wait(Tcp::socket::wait_read, [self = weak_from_this()](const ErrorCode &ec) {
        const auto connection = self.lock();
        if (!connection)
            return;
        connection->m_watchArmed = false;
        if (ec || !connection->m_busy)
            return; // Closed by this side, or the next request.
        if (connection->unreadBytes() > 0) {
            if (connection->readAhead())
                connection->armWatch();
            return;
        }
        if (connection->m_hasReadAhead && connection->hasEndedItsSide())
            return;
        connection->m_gone = true;
        if (connection->m_onGone)
            connection->m_onGone();
    });
}

// Reads what has arrived beyond the request in progress: a socket that is closed with unread data,
// as at the end of a killed process, resets its connection, and the caller would take the request
// for one that was not read. Returns false once the buffer is full.
bool Connection::readAhead()
{
    if (!std::exchange(m_hasReadAhead, true))
        ++m_server->sentAhead;
    const std::size_t bytes = std::min(unreadBytes(), m_buffer.max_size() - m_buffer.size());
    if (!m_memory.resize(heldBytes() + bytes, BootClock::now()))
        return false;
    ErrorCode ec;
    if (bytes > 0)
        m_buffer.commit(m_socket.read_some(m_buffer.prepare(bytes), ec));
    static_cast<void>(m_memory.resize(heldBytes(), BootClock::now()));
    return bytes > 0 && !ec;
}

// Whether the caller has closed its side in an orderly way.
bool Connection::hasEndedItsSide()
{
    char byte = 0;
    return ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

Status Server::bind(const Endpoint &endpoint)
{
    ErrorCode ec;
    const Tcp::endpoint address(asio::ip::make_address(endpoint.address, ec), endpoint.port);
    if (!ec)
        m_acceptor.open(address.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec) // Inherited by the connections; a smaller one later would drop what is under way.
        m_acceptor.set_option(Tcp::acceptor::receive_buffer_size(receiveBufferBytes), ec);
    if (!ec)
        m_acceptor.bind(address, ec);
    if (!ec)
        m_acceptor.listen(acceptBacklog, ec);
    if (ec) {
        return Error(ErrorKind::Unavailable,
                     "can't listen on " + endpoint.address + ":" + std::to_string(endpoint.port)
                         + ": " + ec.message() + "; choose a free address in the settings");
    }
    m_acceptor.native_non_blocking(true, ec);
    m_port = m_acceptor.local_endpoint().port();
    m_protocol = address.protocol();
    return Done {};
}

void Server::acceptNext()
{
    m_acceptor.async_wait(Tcp::acceptor::wait_read,
                          [self = shared_from_this()](const ErrorCode &ec) {
                              if (self->m_stopping)
                                  return;
                              if (ec)
                                  self->acceptLater();
                              else
                                  self->acceptPending();
                          });
}

void Server::acceptPending()
{
    std::vector<Tcp::socket> accepted;
    ErrorCode ec;
    for (int number = 0; number < maxAcceptsAtOnce && !ec; ++number) {
        if (std::optional<Tcp::socket> socket = acceptOne(accepted.size(), ec))
            accepted.push_back(std::move(*socket));
    }
    if (!ec || ec == asio::error::would_block)
        acceptNext(); // Before they are served, which may throw.
    else
        acceptLater();
    for (Tcp::socket &socket : accepted)
        serve(std::move(socket));
}

// The next pending connection; nothing if there is none or it was closed unread. A connection that
// isn't admitted is never registered with the event loop, which costs more than the rest of it.
std::optional<Tcp::socket> Server::acceptOne(std::size_t accepted, ErrorCode &ec)
{
    const int descriptor =
        ::accept4(m_acceptor.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        if (errno != ECONNABORTED && errno != EINTR)
            ec = ErrorCode(errno, boost::system::system_category());
        return std::nullopt;
    }
    Tcp::socket socket(io);
    if (admits(accepted))
        socket.assign(m_protocol, descriptor, ec);
    else
        ++m_notAdmitted;
    if (socket.is_open())
        return socket;
    ::close(descriptor);
    return std::nullopt;
}

// Connections that are new or send a request, but have sent nothing for a while: they are no work.
// Counted at intervals, as it takes a look at each connection.
int Server::stalledConnections() const
{
    const MonotonicTime now = BootClock::now();
    if (now - m_stalledCountedAt >= stallCountInterval) {
        m_stalledCountedAt = now;
        m_stalledConnections = static_cast<int>(std::count_if(
            connections.begin(), connections.end(),
            [now](const Connection *connection) { return connection->isStalled(now); }));
    }
    return m_stalledConnections;
}

void Server::acceptLater()
{
    m_acceptPause.expires_after(acceptPause);
    m_acceptPause.async_wait([self = shared_from_this()](const ErrorCode &) {
        if (!self->m_stopping)
            self->acceptNext();
    });
}

void Server::serve(Tcp::socket socket)
{
    if (places() >= options.maxConnections && !memory.makePlace(this, BootClock::now())) {
        ++m_notAdmitted;
        return; // Closes it unread.
    }
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
    if (!connection->reserve()) {
        ++m_notAdmitted;
        return;
    }
    spawnCoroutine(io, [connection](Yield yield) { connection->run(yield); });
}

void Server::stopAccepting()
{
    m_stopping = true;
    ErrorCode ignored;
    m_acceptor.close(ignored);
    for (Connection *connection : connections)
        connection->closeIfIdle();
}

} // namespace

std::optional<HttpResponse> HttpHandler::rejectByHead(const HttpRequest & /*head*/)
{
    return std::nullopt;
}

HttpResponse HttpHandler::refuse(HttpFault fault, const HttpRequest & /*head*/)
{
    constexpr const char *body = R"({"error":{"type":"invalid_input"}})";
    switch (fault) {
    case HttpFault::Overloaded: {
        HttpResponse response = jsonResponse(503, R"({"error":{"type":"overloaded"}})");
        response.headers.add("Retry-After", "1");
        return response;
    }
    case HttpFault::BodyTooLarge:
        return jsonResponse(413, body);
    case HttpFault::SlowSender:
        return jsonResponse(408, body);
    case HttpFault::HeadTooLarge:
    case HttpFault::Malformed:
    case HttpFault::TooManyConnections:
        break;
    }
    return jsonResponse(400, body);
}

Result<std::shared_ptr<HttpServer>> HttpServer::listen(IoContext &io, const Endpoint &endpoint,
                                                       HttpServerOptions options,
                                                       HttpHandler &handler)
{
    auto server = std::make_shared<Server>(io, options, handler);
    const Status bound = server->bind(endpoint);
    if (!bound.ok())
        return bound.error();
    server->acceptNext();
    return std::shared_ptr<HttpServer>(server);
}

} // namespace ramphinge
