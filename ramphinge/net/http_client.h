// An HTTP/1.1 client on one event loop with kept connections, whose errors tell whether the other
// side may have seen the request: Unavailable means it certainly has not, Unknown that it may have.
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
    Duration headTimeout = std::chrono::seconds(60); // From sending to the answer's head.
    Duration readTimeout = std::chrono::seconds(10); // Between two pieces of the body.
    bool freshConnection = false; // Never a kept one, which may prove dead after the send.
    // Checked after connecting, right before the first byte goes out; later is Unavailable.
    std::optional<MonotonicTime> sendBy;
    // Asked at the same place; false is Unavailable. Empty: it may.
    std::function<bool()> mayWrite;
    // A kept connection that has been idle for longer is not used: the other side may be closing
    // it, and a request that meets the close may or may not have run.
    Duration maxIdle = std::chrono::hours(1);
    // Its connection is not kept where so many idle ones are; the client's own bound holds besides.
    int maxIdleConnections = std::numeric_limits<int>::max();
    // Decides from an answer's head whether it belongs to this request. One that does not is
    // read to its end and dropped, and the next is read. Empty: every answer belongs.
    std::function<bool(const HttpHeaders &)> belongs;
};

// One request in progress on one connection. Its answer can't be another's: the connection carries
// one exchange at a time and is closed unless the answer was read to its end.
class HttpCall
{
public:
    virtual ~HttpCall() = default;

    // Sends the request and reads the answer's head. Errors: Unavailable, Unknown, Timeout as
    // Unknown.
    virtual Status start(Yield yield) = 0;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;

    // Appends the next piece of the body; 0 at its proper end. Errors: Unknown if it broke off.
    virtual Result<std::size_t> read(std::string &into, Yield yield) = 0;

    // From the next read on: how long one may wait.
    virtual void setReadTimeout(Duration timeout) = 0;

    // Whether the answer has no length of its own, so that only the close of its connection ends
    // it.
    virtual bool endsWithConnection() const = 0;

    // Whether the other side may have seen the first byte of the request.
    virtual bool sent() const = 0;

    // Whether the other side ended the connection before its answer was whole: not a time-out, nor
    // an answer that can't be read.
    virtual bool endedByPeer() const = 0;

    // Whether the address answered that nobody listens there.
    virtual bool refused() const = 0;

    // Closes the connection, which cancels the work at the other side. Any waiting function of
    // this call returns Unknown.
    virtual void cancel() = 0;
};

class HttpClient
{
public:
    // Keeps at most `maxIdlePerEndpoint` connections.
    static std::unique_ptr<HttpClient> create(IoContext &io, int maxIdlePerEndpoint = 64);
    virtual ~HttpClient() = default;

    virtual std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                           HttpCallOptions options) = 0;

    // Closes the kept connections to an endpoint that is of no more use.
    virtual void forget(const Endpoint &endpoint) = 0;

    // Connections made so far, kept ones counted once.
    virtual std::int64_t connectionsMade() const = 0;

    // Answers so far that belonged to other requests, and were read to their end and dropped.
    virtual std::int64_t answersSkipped() const = 0;

    // Sends and reads a whole answer of at most `maxBytes`.
    Result<HttpResponse> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                  HttpCallOptions options, Yield yield,
                                  std::size_t maxBytes = 16 * 1024 * 1024);
};

// The same for threads of their own: blocks, opens and keeps connections. Not thread-safe.
class BlockingHttpClient
{
public:
    BlockingHttpClient();
    ~BlockingHttpClient();

    Result<HttpResponse> exchange(const Endpoint &endpoint, const HttpRequest &request,
                                  Duration timeout);

    // Ends the exchange in progress, and all later ones at once. For the end of the process; the
    // only function that another thread may call.
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
