// Stand-in for a plain service: answers each call with what it executed, and logs each run. It
// doesn't check that calls that must not be repeated run once.
//
//   fake-service --listen 127.0.0.1:7201 --host s1 --log runs.jsonl
//
// POST /faults {"drop_answers": N, "delay_ms": D}: the next N runs take effect, and their answers
// are lost.

#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/http_server.h"
#include "testing/execution_log.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

class Service : public HttpHandler
{
public:
    Service(IoContext &io, std::string host, Duration delay, ExecutionLog &log)
        : m_io(io), m_host(std::move(host)), m_delay(delay), m_log(log)
    { }

    void handle(HttpExchange &exchange, Yield yield) override
    {
        const HttpRequest &request = exchange.request();
        const std::string path(request.path());
        if (path == "/health" || path == "/load") {
            exchange.respond(jsonResponse(200, "{}"), yield);
            return;
        }
        if (path == "/faults") {
            const Json body = Json::parse(request.body.text(), nullptr, false);
            m_dropAnswers = body.value("drop_answers", 0);
            m_delay = std::chrono::milliseconds(body.value("delay_ms", 0));
            exchange.respond(jsonResponse(200, "{}"), yield);
            return;
        }
        run(exchange, yield);
    }

private:
    void run(HttpExchange &exchange, Yield yield)
    {
        const HttpRequest &request = exchange.request();
        const auto header = [&](const char *name) {
            return std::string(request.headers.find(name).value_or(""));
        };
        m_log.write({ { "event", "start" },
                      { "host", m_host },
                      { "request", header("x-request-id") },
                      { "attempt", header("x-attempt") },
                      { "key", header("idempotency-key") } });
        if (m_delay > Duration::zero())
            sleepFor(m_io, m_delay, yield);
        if (m_dropAnswers > 0) {
            --m_dropAnswers;
            exchange.abort();
            return;
        }
        HttpResponse response = jsonResponse(
            200,
            Json { { "ran", std::string(request.path()) }, { "body", request.body.text() } }
                .dump());
        response.headers.add("x-request-id", header("x-request-id"));
        response.headers.add("x-attempt", header("x-attempt"));
        exchange.respond(response, yield);
    }

    IoContext &m_io;
    std::string m_host;
    Duration m_delay;
    ExecutionLog &m_log;
    int m_dropAnswers = 0;
};

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fake-service", "Stand-in of a plain service");
    options.add_options()("listen", "address:port", cxxopts::value<std::string>())(
        "host", "host id", cxxopts::value<std::string>())(
        "delay-ms", "time of a call", cxxopts::value<int>()->default_value("0"))(
        "log", "execution log", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = options.parse(argc, argv);
    const Result<Endpoint> endpoint = parseEndpoint(arguments["listen"].as<std::string>());
    if (!endpoint.ok()) {
        std::cerr << endpoint.error().message() << '\n';
        return 2;
    }
    IoContext io(1);
    ExecutionLog log(arguments["log"].as<std::string>());
    Service service(io, arguments["host"].as<std::string>(),
                    std::chrono::milliseconds(arguments["delay-ms"].as<int>()), log);
    const auto server = HttpServer::listen(io, endpoint.value(), {}, service);
    if (!server.ok()) {
        std::cerr << server.error().message() << '\n';
        return 1;
    }
    io.run();
    return 0;
}
