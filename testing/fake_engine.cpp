// Stand-in for a model engine host: continuous batching at a configurable speed, a small prefix
// cache, priorities, streams that can be cancelled and resumed by token position, delayed load
// reports, and orders to join or leave a replica, with fencing tokens that it checks or ignores.
//
//   fake-engine --listen 127.0.0.1:7101 --host h1 --token-ms 5 --fencing honoured --log runs.jsonl
//
// A replica serves on the host of rank 0 only, and fails when another of its hosts stops.

#include <iostream>
#include <list>
#include <map>
#include <set>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "ramphinge/base/hash.h"
#include "ramphinge/base/random.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/net/http_server.h"
#include "testing/answers.h"
#include "testing/execution_log.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

constexpr Duration peerCheckInterval = std::chrono::milliseconds(50);
constexpr std::size_t prefixBytes = 256;
constexpr int charactersPerToken = 4;

struct EngineOptions
{
    std::string host;
    Duration tokenInterval {};
    Duration prefillPerToken {};
    int maxBatch = 32;
    int tokensPerEvent = 1;
    std::size_t prefixCacheEntries = 64;
    Duration loadDelay {};
    Duration reportLag {};
    bool honoursFencing = true;
};

// The state that the host was last ordered into.
struct Assignment
{
    std::string replica;
    std::int64_t epoch = 0;
    int rank = -1;
    std::string model;
    std::vector<Endpoint> peers;
    bool loaded = false;
};

// An LRU cache of prefixes.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity) : m_capacity(capacity) { }

    // Returns whether the prefix was cached, and caches it.
    bool touch(std::uint64_t prefix)
    {
        const auto found = m_index.find(prefix);
        const bool hit = found != m_index.end();
        if (hit)
            m_order.erase(found->second);
        m_order.push_front(prefix);
        m_index[prefix] = m_order.begin();
        if (m_order.size() > m_capacity) {
            m_index.erase(m_order.back());
            m_order.pop_back();
        }
        return hit;
    }

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_order;
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> m_index;
};

struct Prompt
{
    std::string text;
    std::int64_t tokens = 0;
    std::int64_t maxTokens = 16;
    std::int64_t resumeFrom = 0; // Tokens that the caller already has.
    bool stream = false;
    int priority = 0;
};

Prompt promptOf(const Json &body, const HttpRequest &request)
{
    Prompt prompt;
    for (const Json &message : body.value("messages", Json::array()))
        prompt.text += message.value("role", "") + ":" + message.value("content", "") + "\n";
    prompt.tokens = static_cast<std::int64_t>(prompt.text.size()) / charactersPerToken + 1;
    prompt.maxTokens = body.value("max_tokens", std::int64_t { 16 });
    prompt.resumeFrom = body.value("resume_from", std::int64_t { 0 });
    prompt.stream = body.value("stream", false);
    const auto priority = request.headers.find("x-priority");
    prompt.priority = priority ? std::atoi(std::string(*priority).c_str()) : 0;
    return prompt;
}

class Engine : public HttpHandler
{
public:
    Engine(IoContext &io, EngineOptions options, ExecutionLog &log)
        : m_io(io), m_options(std::move(options)), m_log(log),
          m_cache(m_options.prefixCacheEntries), m_slotFreed(io)
    {
        m_incarnation = Random(entropySeed()).token();
    }

    void preassign(const std::string &replica, const std::string &model)
    {
        m_assignment = Assignment { replica, 1, 0, model, {}, true };
    }

    // Fails the replica while one of its other hosts does not respond.
    void watchPeers(Yield yield)
    {
        const std::unique_ptr<HttpClient> client = HttpClient::create(m_io);
        while (true) {
            sleepFor(m_io, peerCheckInterval, yield);
            bool whole = true;
            const Assignment checked = m_assignment;
            for (const Endpoint &peer : checked.peers)
                whole = whole && peerInReplica(*client, peer, checked, yield);
            if (checked.replica == m_assignment.replica && checked.epoch == m_assignment.epoch)
                m_replicaWhole = whole;
        }
    }

    // Load reports are delayed.
    void refreshReports(Yield yield)
    {
        while (true) {
            m_report = currentLoad();
            sleepFor(m_io, std::max<Duration>(m_options.reportLag, std::chrono::milliseconds(5)),
                     yield);
        }
    }

    void handle(HttpExchange &exchange, Yield yield) override
    {
        const HttpRequest &request = exchange.request();
        const std::string path(request.path());
        if (path == "/health")
            respond(exchange, 200, Json::object(), yield);
        else if (path == "/load")
            respond(exchange, 200, m_report.is_null() ? currentLoad() : m_report, yield);
        else if (path == "/state")
            respond(exchange, 200, state(), yield);
        else
            handleBody(exchange, path, yield);
    }

private:
    void handleBody(HttpExchange &exchange, const std::string &path, Yield yield)
    {
        const Json body = Json::parse(exchange.request().body.text(), nullptr, false);
        if (!body.is_object())
            respond(exchange, 400, { { "error", "send a JSON object" } }, yield);
        else if (path == "/orders")
            order(exchange, body, yield);
        else if (path == "/faults")
            setFaults(exchange, body, yield);
        else if (path == "/v1/chat/completions")
            complete(exchange, body, yield);
        else
            respond(exchange, 404, { { "error", "no such call" } }, yield);
    }

    bool peerInReplica(HttpClient &client, const Endpoint &peer, const Assignment &assignment,
                       Yield yield)
    {
        HttpCallOptions options;
        options.connectTimeout = std::chrono::milliseconds(100);
        options.headTimeout = std::chrono::milliseconds(200);
        const Result<HttpResponse> answer =
            client.exchange(peer, HttpRequest { "GET", "/state", {}, {} }, options, yield);
        if (!answer.ok())
            return false;
        const Json state = Json::parse(answer.value().body, nullptr, false);
        return state.is_object() && state.value("replica", "") == assignment.replica
            && state.value("epoch", std::int64_t { 0 }) == assignment.epoch;
    }

    Json state() const
    {
        return { { "host", m_options.host },      { "replica", m_assignment.replica },
                 { "epoch", m_assignment.epoch }, { "rank", m_assignment.rank },
                 { "model", m_assignment.model }, { "loaded", m_assignment.loaded },
                 { "incarnation", m_incarnation } };
    }

    Json currentLoad() const
    {
        Json load = state();
        load["running"] = m_running;
        load["waiting"] = m_waiting.size();
        load["max_batch"] = m_options.maxBatch;
        load["whole"] = m_replicaWhole;
        load["prefix_hits"] = m_hits;
        load["prefix_misses"] = m_misses;
        return load;
    }

    void order(HttpExchange &exchange, const Json &body, Yield yield)
    {
        const std::int64_t epoch = body.value("epoch", std::int64_t { 0 });
        if (m_options.honoursFencing && epoch < m_assignment.epoch) {
            m_log.write({ { "event", "order_refused" },
                          { "host", m_options.host },
                          { "epoch", epoch },
                          { "current", m_assignment.epoch } });
            respond(exchange, 409, state(), yield);
            return;
        }
        Assignment next;
        next.epoch = epoch;
        next.replica = body.value("replica", "");
        next.rank = body.value("rank", -1);
        next.model = body.value("model", "");
        for (const Json &peer : body.value("peers", Json::array())) {
            const Result<Endpoint> endpoint = parseEndpoint(peer.get<std::string>());
            if (endpoint.ok())
                next.peers.push_back(endpoint.value());
        }
        const bool sameModel = m_assignment.loaded && m_assignment.model == next.model;
        next.loaded = next.replica.empty() || sameModel;
        m_assignment = next;
        m_log.write({ { "event", "order" },
                      { "host", m_options.host },
                      { "replica", next.replica },
                      { "epoch", epoch } });
        if (!next.loaded)
            loadLater();
        respond(exchange, 200, state(), yield);
    }

    void loadLater()
    {
        spawnCoroutine(m_io, [this, wanted = m_assignment](Yield yield) {
            sleepFor(m_io, m_options.loadDelay, yield);
            if (m_assignment.epoch == wanted.epoch && m_assignment.replica == wanted.replica)
                m_assignment.loaded = true;
        });
    }

    void setFaults(HttpExchange &exchange, const Json &body, Yield yield)
    {
        m_slowFactor = body.value("slow_factor", m_slowFactor);
        m_breakAfterTokens = body.value("break_after_tokens", m_breakAfterTokens);
        respond(exchange, 200, Json::object(), yield);
    }

    HttpHeaders identity(const HttpRequest &request) const
    {
        HttpHeaders headers { { "x-replica", m_assignment.replica },
                              { "x-replica-epoch", std::to_string(m_assignment.epoch) } };
        for (const char *name : { "x-request-id", "x-attempt" }) {
            if (const auto value = request.headers.find(name))
                headers.add(name, std::string(*value));
        }
        return headers;
    }

    void respond(HttpExchange &exchange, int status, const Json &body, Yield yield)
    {
        HttpResponse response { status, identity(exchange.request()), body.dump() };
        response.headers.add("content-type", "application/json");
        exchange.respond(response, yield);
    }

    bool refuses(const HttpRequest &request, const Json &body) const
    {
        const auto replica = request.headers.find("x-replica");
        const auto epoch = request.headers.find("x-replica-epoch");
        const bool addressedElsewhere = (replica && *replica != m_assignment.replica)
            || (epoch && *epoch != std::to_string(m_assignment.epoch));
        return !m_assignment.loaded || m_assignment.rank != 0 || !m_replicaWhole
            || addressedElsewhere || body.value("model", "") != m_assignment.model;
    }

    void complete(HttpExchange &exchange, const Json &body, Yield yield)
    {
        const HttpRequest &request = exchange.request();
        if (refuses(request, body)) {
            respond(exchange, 409, { { "error", "not_this_replica" } }, yield);
            return;
        }
        const Prompt prompt = promptOf(body, request);
        bool gone = false;
        exchange.watchCaller([&] {
            gone = true;
            m_slotFreed.notify();
        });
        if (!waitForSlot(prompt, gone, yield))
            return;
        ++m_running;
        run(exchange, prompt, gone, yield);
        --m_running;
        m_slotFreed.notify();
    }

    // Waits until a slot in the batch is free and no waiting request has a higher priority.
    bool waitForSlot(const Prompt &prompt, const bool &gone, Yield yield)
    {
        const auto ticket = m_waiting.emplace(-prompt.priority, m_nextTicket++).first;
        while (!gone && (m_running >= m_options.maxBatch || m_waiting.begin() != ticket))
            m_slotFreed.wait(std::chrono::seconds(1), yield);
        m_waiting.erase(ticket);
        m_slotFreed.notify();
        return !gone;
    }

    Json logLine(const HttpRequest &request, const char *event) const
    {
        return { { "event", event },
                 { "host", m_options.host },
                 { "replica", m_assignment.replica },
                 { "epoch", m_assignment.epoch },
                 { "request", std::string(request.headers.find("x-request-id").value_or("")) },
                 { "attempt", std::string(request.headers.find("x-attempt").value_or("")) },
                 { "key", std::string(request.headers.find("idempotency-key").value_or("")) } };
    }

    void run(HttpExchange &exchange, const Prompt &prompt, const bool &gone, Yield yield)
    {
        const HttpRequest request = exchange.request();
        m_log.write(logLine(request, "start"));
        prefill(prompt, yield);
        if (prompt.stream)
            stream(exchange, prompt, gone, yield);
        else
            whole(exchange, prompt, gone, yield);
        m_log.write(logLine(request, gone ? "cancelled" : "end"));
    }

    void prefill(const Prompt &prompt, Yield yield)
    {
        const bool hit = m_cache.touch(stableHash(prompt.text.substr(0, prefixBytes)));
        ++(hit ? m_hits : m_misses);
        if (!hit && m_options.prefillPerToken > Duration::zero())
            sleepFor(m_io, m_options.prefillPerToken * prompt.tokens * m_slowFactor, yield);
    }

    // Waits for the next token; returns false if the replica failed or the caller disconnected.
    bool nextToken(std::int64_t generated, const bool &gone, Yield yield)
    {
        if (m_options.tokenInterval > Duration::zero())
            sleepFor(m_io, m_options.tokenInterval * m_slowFactor, yield);
        const bool breaks = m_breakAfterTokens > 0 && generated >= m_breakAfterTokens;
        return !gone && m_replicaWhole && !breaks;
    }

    void whole(HttpExchange &exchange, const Prompt &prompt, const bool &gone, Yield yield)
    {
        for (std::int64_t i = prompt.resumeFrom; i < prompt.maxTokens; ++i) {
            if (!nextToken(i - prompt.resumeFrom, gone, yield))
                return exchange.abort();
        }
        const std::string text = answerText(prompt.text, prompt.resumeFrom + 1, prompt.maxTokens);
        const Json message { { "role", "assistant" }, { "content", text } };
        const Json choice { { "index", 0 }, { "message", message }, { "finish_reason", "stop" } };
        const Json usage { { "prompt_tokens", prompt.tokens },
                           { "completion_tokens", prompt.maxTokens } };
        respond(exchange, 200, { { "choices", Json::array({ choice }) }, { "usage", usage } },
                yield);
    }

    void stream(HttpExchange &exchange, const Prompt &prompt, const bool &gone, Yield yield)
    {
        HttpHeaders headers = identity(exchange.request());
        headers.add("content-type", "text/event-stream");
        exchange.beginStream(200, headers);
        std::int64_t position = prompt.resumeFrom;
        while (position < prompt.maxTokens) {
            if (!nextToken(position - prompt.resumeFrom, gone, yield))
                return exchange.abort();
            std::string events;
            for (int i = 0; i < m_options.tokensPerEvent && position < prompt.maxTokens; ++i)
                events += tokenEvent(prompt.text, ++position);
            if (!exchange.write(events, yield).ok())
                return;
        }
        const Json usage { { "usage",
                             { { "prompt_tokens", prompt.tokens },
                               { "completion_tokens", prompt.maxTokens } } } };
        exchange.write("data: " + usage.dump() + "\n\ndata: [DONE]\n\n", yield);
        exchange.finish(yield);
    }

    static std::string tokenEvent(std::string_view prompt, std::int64_t position)
    {
        return "id: " + std::to_string(position) + "\ndata: {\"choices\":[{\"index\":0,\"delta\":{"
            + "\"content\":\"" + answerToken(prompt, position) + "\"}}]}\n\n";
    }

    IoContext &m_io;
    EngineOptions m_options;
    ExecutionLog &m_log;
    Assignment m_assignment;
    std::string m_incarnation;
    PrefixCache m_cache;
    Signal m_slotFreed;
    std::set<std::pair<int, std::int64_t>> m_waiting;
    std::int64_t m_nextTicket = 0;
    int m_running = 0;
    std::int64_t m_hits = 0;
    std::int64_t m_misses = 0;
    bool m_replicaWhole = true;
    int m_slowFactor = 1;
    std::int64_t m_breakAfterTokens = 0;
    Json m_report;
};

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fake-engine", "Stand-in of a model engine host");
    options.add_options()("listen", "address:port", cxxopts::value<std::string>())(
        "host", "host id", cxxopts::value<std::string>())(
        "token-us", "time of a token", cxxopts::value<int>()->default_value("5000"))(
        "prefill-us", "time of a prompt token", cxxopts::value<int>()->default_value("100"))(
        "batch", "streams at once", cxxopts::value<int>()->default_value("32"))(
        "tokens-per-event", "tokens a write", cxxopts::value<int>()->default_value("1"))(
        "prefixes", "prefix cache entries", cxxopts::value<int>()->default_value("64"))(
        "load-ms", "time to load a model", cxxopts::value<int>()->default_value("200"))(
        "report-lag-ms", "lag of load reports", cxxopts::value<int>()->default_value("200"))(
        "fencing", "honoured or ignored", cxxopts::value<std::string>()->default_value("honoured"))(
        "replica", "start as this replica", cxxopts::value<std::string>()->default_value(""))(
        "model", "with this model", cxxopts::value<std::string>()->default_value(""))(
        "log", "execution log", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = options.parse(argc, argv);
    const Result<Endpoint> endpoint = parseEndpoint(arguments["listen"].as<std::string>());
    if (!endpoint.ok()) {
        std::cerr << endpoint.error().message() << '\n';
        return 2;
    }
    EngineOptions engineOptions;
    engineOptions.host = arguments["host"].as<std::string>();
    engineOptions.tokenInterval = std::chrono::microseconds(arguments["token-us"].as<int>());
    engineOptions.prefillPerToken = std::chrono::microseconds(arguments["prefill-us"].as<int>());
    engineOptions.maxBatch = arguments["batch"].as<int>();
    engineOptions.tokensPerEvent = arguments["tokens-per-event"].as<int>();
    engineOptions.prefixCacheEntries = static_cast<std::size_t>(arguments["prefixes"].as<int>());
    engineOptions.loadDelay = std::chrono::milliseconds(arguments["load-ms"].as<int>());
    engineOptions.reportLag = std::chrono::milliseconds(arguments["report-lag-ms"].as<int>());
    engineOptions.honoursFencing = arguments["fencing"].as<std::string>() == "honoured";
    IoContext io(1);
    ExecutionLog log(arguments["log"].as<std::string>());
    Engine engine(io, engineOptions, log);
    if (!arguments["replica"].as<std::string>().empty())
        engine.preassign(arguments["replica"].as<std::string>(),
                         arguments["model"].as<std::string>());
    const auto server = HttpServer::listen(io, endpoint.value(), {}, engine);
    if (!server.ok()) {
        std::cerr << server.error().message() << '\n';
        return 1;
    }
    spawnCoroutine(io, [&](Yield yield) { engine.watchPeers(yield); });
    spawnCoroutine(io, [&](Yield yield) { engine.refreshReports(yield); });
    io.run();
    return 0;
}
