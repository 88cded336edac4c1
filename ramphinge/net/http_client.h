// An HTTP/1.1 client on one event loop with persistent connections. Its errors tell whether the
// peer may have received the request: Unavailable means that it has not, Unknown that it may have.
//
//   auto call = client.call(endpoint, request, options);
//   if (Status sent = call->start(yield); !sent.ok())
//       return sent.error();
//   while (call->read(piece, yield).value() > 0) ...

#pragma once

#include <atomic>
#include <functional>
#include <limits>
#include <memory>

#include "ramphinge/base/result.h"
#include "ramphinge/net/http_types.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

struct HttpCallOptions
{
    Duration connectTimeout = std::chrono::milliseconds(500);
    Duration headTimeout = std::chrono::seconds(60); // From sending to the response head.
    Duration readTimeout = std::chrono::seconds(10); // Between two pieces of the body.
    bool freshConnection = false; // Never reuses one, which may turn out closed after the send.
    // Checked after connecting, before the first byte is written; Unavailable if it has passed.
    std::optional<MonotonicTime> sendBy;
    // Called at the same point; Unavailable if it returns false. Empty: always allowed.
    std::function<bool()> mayWrite;
    // Connections that have been idle for longer are not reused: the peer may be closing them, and
    // a request that crosses the close may or may not have run.
    Duration maxIdle = std::chrono::hours(1);
    // The connection is closed afterwards if its endpoint already has this many idle ones. The
    // client's own limit applies as well.
    int maxIdleConnections = std::numeric_limits<int>::max();
    // Returns whether a response with these headers belongs to this request. One that doesn't is
    // read to its end and discarded, and the next is read. Empty: all do.
    std::function<bool(const HttpHeaders &)> belongs;
};

// One request in progress on one connection. A connection carries one exchange at a time and is
// reused only if the response was read to its end, so the response can't be another request's.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    // Sends the request and reads the response head. Errors: Unavailable; Unknown, also for
    // timeouts.
    virtual Status start(Yield yield) = 0;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;

    // Appends the next piece of the body and returns its size; 0 at the end. Errors: Unknown if the
    // body is incomplete.
    virtual Result<std::size_t> read(std::string &into, Yield yield) = 0;

    // Takes effect with the next read.
    virtual void setReadTimeout(Duration timeout) = 0;

    // Whether the response has no length, so that it ends with its connection.
    virtual bool endsWithConnection() const = 0;

    // Whether the peer may have received the first byte of the request.
    virtual bool sent() const = 0;

    // Whether its connection carried other requests before.
    virtual bool usesKeptConnection() const = 0;

    // Whether the peer closed the connection before its response was complete. False for timeouts
    // and for responses that can't be parsed.
    virtual bool endedByPeer() const = 0;

    // Whether the connection was refused.
    virtual bool refused() const = 0;

    // Whether no connection could be made since the attempt timed out or there is no route.
    virtual bool unreachable() const = 0;

    // Whether it was not sent because the client had no connection left for it, which says nothing
    // about the peer.
    virtual bool exhausted() const { return false; }

    // Closes the connection, which tells the peer to cancel the work. Functions of this call that
    // are waiting return Unknown.
    virtual void cancel() = 0;
};

class HttpClient
{
public:
    // Keeps at most `maxIdlePerEndpoint` idle connections to each endpoint, and uses at most
    // `maxInUse` at once; to one endpoint no more than are free for all others.
    static std::unique_ptr<HttpClient> create(IoContext &io, int maxIdlePerEndpoint = 64,
                                              int maxInUse = std::numeric_limits<int>::max());
    virtual ~HttpClient() = default;

    virtual std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                           HttpCallOptions options) = 0;

    // Closes the idle connections to an endpoint that is no longer used.
    virtual void forget(const Endpoint &endpoint) = 0;

    // Closes idle connections, those first that have been idle for longest, until at most that
    // many connections are open.
    virtual void limitOpen(int /*most*/) { }

    // Number of connections made so far.
    virtual std::int64_t connectionsMade() const = 0;

    // Number of responses so far that belonged to other requests and were discarded.
    virtual std::int64_t answersSkipped() const = 0;

    // Sends the request and reads the complete response, of at most `maxBytes`.
    Result<HttpResponse> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                  HttpCallOptions options, Yield yield,
                                  std::size_t maxBytes = 16 * 1024 * 1024);
};

// A blocking client with persistent connections, for threads without an event loop. Not
// thread-safe.
class BlockingHttpClient
{
public:
    BlockingHttpClient();
    ~BlockingHttpClient();

    Result<HttpResponse> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                  Duration timeout);

    // Fails the exchange in progress and all later ones, for the shutdown of the process. The only
    // function that another thread may call.
    void interrupt();

private:
    std::atomic<bool> m_interrupted { false };
    std::unique_ptr<IoContext> m_io;
    std::unique_ptr<HttpClient> m_client;
};

// Parses "address:port" with a numeric address.
Result<Endpoint> parseEndpoint(std::string_view text);
std::string toString(const Endpoint &endpoint);

} // namespace ramphinge
