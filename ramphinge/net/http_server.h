// An HTTP/1.1 server on one event loop, with limits on bodies, heads, connections and times.
//
//   class Hello : public HttpHandler {
//       void handle(HttpExchange &exchange, Yield yield) override {
//           exchange.respond(jsonResponse(200, "{}"), yield);
//       }
//   };
//   auto server = HttpServer::listen(io, { "127.0.0.1", 8080 }, {}, hello);

#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "ramphinge/base/result.h"
#include "ramphinge/limits/connection_memory.h"
#include "ramphinge/net/http_types.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

// Why a request was rejected before it reached a handler.
enum class HttpFault {
    Malformed,
    BodyTooLarge,
    HeadTooLarge,
    SlowSender,
    TooManyConnections,
    Overloaded, // There is no memory for it now.
};

// Decides whether a server reads what a new connection brings.
class ConnectionPolicy
{
public:
    virtual ~ConnectionPolicy() = default;

    // `inProgress` is that of HttpServer::inProgress(). A connection that isn't admitted is closed
    // unread, so that its caller can be sure that the request was not executed. While none is
    // admitted, responses on kept connections tell their callers to close.
    virtual bool admits(int inProgress) const = 0;
};

struct HttpServerOptions
{
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::uint32_t maxHeadBytes = 16 * 1024;
    int maxConnections = 20'000;
    Duration idleTimeout = std::chrono::seconds(60); // Between requests on a persistent connection.
    Duration headTimeout = std::chrono::seconds(60); // From the first byte of a head to its last.
    Duration bodyTimeout = std::chrono::seconds(20);
    Duration writeTimeout = std::chrono::seconds(30); // Without progress the connection is closed.
    const ConnectionPolicy *connectionPolicy =
        nullptr; // Null: all are admitted. Outlives the server.
    // What the connections may hold, together with those of other servers that share it. Null: this
    // server has one of its own. Outlives the event loop; not changed by setOptions().
    ConnectionMemory *memory = nullptr;
};

// One request and its response. Used by one coroutine on the server's loop.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;

    // Sends a complete response. Call it once, or use the stream functions instead.
    virtual Status respond(const HttpResponse &response, Yield yield) = 0;

    // Starts a chunked response; the head is sent with the first piece.
    virtual void beginStream(int status, HttpHeaders headers) = 0;
    virtual Status write(std::string_view piece, Yield yield) = 0;
    virtual Status finish(Yield yield) = 0;

    // Closes the connection immediately, so that the caller doesn't take the response for complete.
    virtual void abort() = 0;

    // Calls `onGone` once if the caller disconnects before the response has ended. Replaces the
    // previous callback; an empty function removes it.
    virtual void watchCaller(std::function<void()> onGone) = 0;
    virtual bool callerGone() const = 0;
};

class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    // Handles one request. Must respond or finish a stream before it returns. If it throws, the
    // caller gets status 500, or an aborted response if a part of it was already written.
    virtual void handle(HttpExchange &exchange, Yield yield) = 0;

    // The response to a request that is rejected by its head, while its body is still to come;
    // nothing if the body is to be read. Not called for a request that arrives at once.
    virtual std::optional<HttpResponse> rejectByHead(const HttpRequest &head);

    // The response to a request that was rejected. Never called for one that was passed to
    // handle(). `head` has no body, and is empty if the head could not be read.
    virtual HttpResponse refuse(HttpFault fault, const HttpRequest &head);
};

class HttpServer
{
public:
    // Binds the address and starts to accept. `handler` must outlive the event loop. Errors:
    // Unavailable if the address can't be bound.
    static Result<std::shared_ptr<HttpServer>> listen(IoContext &io, const Endpoint &endpoint,
                                                      HttpServerOptions options,
                                                      HttpHandler &handler);
    virtual ~HttpServer() = default;

    // The bound port, which the system chooses if 0 was requested.
    virtual std::uint16_t port() const = 0;

    // Stops accepting and closes idle connections. Exchanges whose request has arrived or begun to
    // arrive continue; their connections are closed afterwards.
    virtual void stopAccepting() = 0;

    // From now on each response tells its caller to close the connection. Continues to accept.
    virtual void announceClose() = 0;

    // Takes effect on each connection with its next request; `maxConnections` immediately.
    virtual void setOptions(const HttpServerOptions &options) = 0;

    // How late the event loop ran a periodic timer: large requests are read less often the later
    // it is.
    virtual void noteLoopDelay(Duration delay) = 0;

    // Number of requests that are being read or handled.
    virtual int openExchanges() const = 0;
    virtual int openConnections() const = 0;

    // openExchanges(), and new connections whose first request has not begun to arrive.
    virtual int inProgress() const = 0;

    // Connections that the policy has not admitted so far.
    virtual std::int64_t connectionsNotAdmitted() const = 0;

    // Connections that were closed so far while data of their caller was unread, without those that
    // were not admitted and those whose last request was rejected.
    virtual std::int64_t connectionsClosedWithUnreadData() const = 0;

    // Number of requests so far in whose progress their callers sent more: the next request, or
    // bytes that belong to none.
    virtual std::int64_t requestsSentAhead() const = 0;
};

} // namespace ramphinge
