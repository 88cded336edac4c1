// Measures the processor time that one version of a large configuration costs the event loop, from
// the store's answer to the catalog in force, and the longest stretch without other handlers.

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <thread>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "platform/documents.h"
#include "platform/kv_client.h"
#include "ramphinge/net/http_server.h"

using namespace ramphinge;

namespace {

using Json = nlohmann::json;

// Of the calling thread.
double processorMilliseconds()
{
    timespec used {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

std::string base64Of(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    text.resize(static_cast<std::size_t>(EVP_EncodeBlock(
        reinterpret_cast<unsigned char *>(text.data()),
        reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()))));
    return text;
}

std::string configuration(int version, int routes)
{
    Json json { { "version", version }, { "routes", Json::array() } };
    for (int i = 0; i < routes; ++i)
        json["routes"].push_back({ { "name", "route-" + std::to_string(i) },
                                   { "host", "h" + std::to_string(i % 20) + ".example" },
                                   { "path_prefix", "/p" + std::to_string(i) + "/" },
                                   { "kind", "streaming" },
                                   { "service", "s" + std::to_string(i % 4) },
                                   { "timeout_ms", 1000 + version },
                                   { "objective_ms", 150 },
                                   { "priority", 2 },
                                   { "attempts", 3 },
                                   { "public", true } });
    for (int i = 0; i < 4; ++i)
        json["services"].push_back({ { "name", "s" + std::to_string(i) } });
    return json.dump();
}

// Answers each watch with the next versions of the configuration.
class Store : public HttpHandler
{
public:
    Store(int routes, int versionsPerAnswer) : m_routes(routes), m_versions(versionsPerAnswer) { }

    void handle(HttpExchange &exchange, Yield yield) override
    {
        const bool isWatch = exchange.request().target.find("kv-watch") != std::string::npos;
        Json events = Json::array();
        for (int i = 0; isWatch && i < m_versions; ++i) {
            ++m_version;
            events.push_back({ { "key", "op/config" },
                               { "revision", m_version },
                               { "value", base64Of(configuration(m_version, m_routes)) } });
        }
        const Json body { { "store_revision", m_version },
                          { isWatch ? "events" : "items", events } };
        static_cast<void>(exchange.respond(jsonResponse(200, body.dump()), yield));
    }

private:
    int m_routes;
    int m_versions;
    int m_version = 0;
};

void measure(int routes, int versionsPerAnswer)
{
    constexpr int answers = 20;
    IoContext storeLoop(1);
    Store store(routes, versionsPerAnswer);
    const auto server = HttpServer::listen(storeLoop, { "127.0.0.1", 0 }, {}, store);
    if (!server.ok())
        return;
    std::thread storeThread([&] { storeLoop.run(); });

    IoContext io(1);
    const SystemClock clock;
    const platform::StoreDocuments documents;
    platform::KvClientOptions options;
    options.address = { "127.0.0.1", server.value()->port() };
    options.timeout = std::chrono::seconds(10);
    platform::KvClient client(io, options);
    FleetState fleet;
    DispatchState dispatch(
        CatalogFreshness(std::chrono::seconds(5), std::chrono::milliseconds(500)),
        TargetTable({}, 1), { 0.2, 20, std::chrono::seconds(10) });
    DecisionLog log(clock, {});
    StoreSync sync(
        io, clock, {}, client, documents, fleet, dispatch, log, [] { return false; }, [] {});
    bool done = false;
    spawnCoroutine(io, [&](Yield yield) {
        for (int i = 0; i <= answers; ++i) // The first lists the store.
            sync.round(yield);
        done = true;
    });
    double longest = 0;
    const double startedAt = processorMilliseconds();
    while (!done) {
        const double before = processorMilliseconds();
        io.run_one();
        longest = std::max(longest, processorMilliseconds() - before);
    }
    std::printf("%5d routes, %4zu KB, %2d versions an answer: %6.2f ms an answer, longest stretch "
                "%6.2f ms, version %lld\n",
                routes, configuration(1, routes).size() / 1024, versionsPerAnswer,
                (processorMilliseconds() - startedAt) / answers, longest,
                dispatch.catalog ? static_cast<long long>(dispatch.catalog->version().count()) : 0);
    storeLoop.stop();
    storeThread.join();
}

} // namespace

int main()
{
    for (const int routes : { 200, 1400, 2800, 5600 })
        measure(routes, 1);
    measure(200, 25);
    measure(1400, 4);
}
