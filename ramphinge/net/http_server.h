// An HTTP/1.1 server on one event loop: bounded bodies, heads, connections and times.
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

#include "ramphinge/base/result.h"
#include "ramphinge/net/http_types.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

// Why a request was refused before a handler saw it.
enum class HttpFault { Malformed, BodyTooLarge, HeadTooLarge, SlowSender, TooManyConnections };

struct HttpServerOptions
{
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::uint32_t maxHeadBytes = 16 * 1024;
    int maxConnections = 20'000;
    Duration idleTimeout = std::chrono::seconds(60); // Between two requests of a kept connection.
    Duration headTimeout = std::chrono::seconds(60); // From a head's first byte to its last.
    Duration bodyTimeout = std::chrono::seconds(20);
    Duration writeTimeout = std::chrono::seconds(30); // A receiver that takes nothing is cut off.
};

// One request and the way to answer it. Used by one coroutine, on the server's loop.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;

    // Sends a whole answer. Call once, or use the stream functions instead.
    virtual Status respond(const HttpResponse &response, Yield yield) = 0;

    // Starts a chunked answer; the head goes out with the first piece.
    virtual void beginStream(int status, HttpHeaders headers) = 0;
    virtual Status write(std::string_view piece, Yield yield) = 0;
    virtual Status finish(Yield yield) = 0;

    // Closes the connection at once: the caller sees a broken answer, never a short one.
    virtual void abort() = 0;

    // Calls `onGone` once if the caller closes before the answer has ended. One at a time;
    // pass an empty function to stop.
    virtual void watchCaller(std::function<void()> onGone) = 0;
    virtual bool callerGone() const = 0;
};

class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    // Answers one request. Must respond or finish a stream before it returns. If it throws, the
    // caller is answered by status 500, or sees its answer broken off where a part of it is
    // written.
    virtual void handle(HttpExchange &exchange, Yield yield) = 0;

    // The answer to a request that can't be read.
    virtual HttpResponse refuse(HttpFault fault);
};

class HttpServer
{
public:
    // Binds and starts to accept. `handler` must outlive the event loop's run. Errors: Unavailable
    // if the address can't be bound.
    static Result<std::shared_ptr<HttpServer>> listen(IoContext &io, const Endpoint &endpoint,
                                                      HttpServerOptions options,
                                                      HttpHandler &handler);
    virtual ~HttpServer() = default;

    // The bound port, for a listen on port 0.
    virtual std::uint16_t port() const = 0;

    // Accepts nothing more and closes idle connections; exchanges in progress go on, from a
    // request's first byte, and then their connections close.
    virtual void stopAccepting() = 0;

    // From now on every answer tells its caller to close the connection. Accepts go on.
    virtual void announceClose() = 0;

    // Takes effect for each connection with its next request; `maxConnections` at once.
    virtual void setOptions(const HttpServerOptions &options) = 0;

    // Requests that are being read or answered now.
    virtual int openExchanges() const = 0;
};

} // namespace ramphinge
