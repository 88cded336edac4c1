// Stand-in for the platform, for tests and demos: an in-memory key-value service with leases and
// watches, and a delayed membership list.
//
//   fake-platform --listen 127.0.0.1:7000 --members members.json --member-lag-ms 2000
//
// POST /faults {"mode": "up|down|lose_answers|slow", "delay_ms": 0, "calls_per_second": 0} injects
// faults; GET /counters returns the numbers of calls.

#include <fstream>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "ramphinge/net/http_client.h"
#include "ramphinge/net/http_server.h"
#include "ramphinge/store/member_json.h"
#include "testing/memory_store.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

constexpr Duration watchPollInterval = std::chrono::milliseconds(5);
constexpr Duration silence = std::chrono::seconds(5);
constexpr Duration probeInterval = std::chrono::milliseconds(500);

Json storedJson(const StoreKey &key, const StoredValue &stored)
{
    return { { "key", key.text() },
             { "value", stored.value },
             { "revision", stored.revision.count() } };
}

class Platform : public HttpHandler
{
public:
    Platform(IoContext &io, Duration memberLag) : m_io(io), m_store(m_clock), m_memberLag(memberLag)
    { }

    void declareMembers(std::vector<Member> members)
    {
        m_declared = std::move(members);
        m_store.setMembers(m_declared);
    }

    // Probes each member periodically, and publishes the results with a delay.
    void watchMembers(Yield yield)
    {
        const std::unique_ptr<HttpClient> client = HttpClient::create(m_io);
        while (true) {
            sleepFor(m_io, probeInterval, yield);
            std::vector<Member> seen = m_declared;
            for (Member &member : seen)
                member.live = answers(*client, member, yield);
            publishLater(std::move(seen));
        }
    }

    void handle(HttpExchange &exchange, Yield yield) override
    {
        const HttpRequest &request = exchange.request();
        const Json body = Json::parse(request.body.text(), nullptr, false);
        const std::string path(request.path());
        if (path == "/counters") {
            exchange.respond(jsonResponse(200, Json { { "calls", m_store.calls() } }.dump()),
                             yield);
            return;
        }
        if (!body.is_object()) {
            exchange.respond(jsonResponse(400, R"({"error":"send a JSON object"})"), yield);
            return;
        }
        if (path == "/faults" || path == "/members") {
            exchange.respond(control(path, body), yield);
            return;
        }
        if (m_delay > Duration::zero())
            sleepFor(m_io, m_delay, yield);
        if (m_silent) {
            sleepFor(m_io, silence, yield);
            return;
        }
        exchange.respond(answer(path, body, yield), yield);
    }

private:
    bool answers(HttpClient &client, const Member &member, Yield yield)
    {
        HttpCallOptions options;
        options.connectTimeout = std::chrono::milliseconds(200);
        options.headTimeout = std::chrono::milliseconds(400);
        return client
            .exchange(member.endpoint, HttpRequest { "GET", "/health", {}, {} }, options, yield)
            .ok();
    }

    void publishLater(std::vector<Member> seen)
    {
        if (sameList(seen, m_lastSeen))
            return;
        m_lastSeen = seen;
        spawnCoroutine(m_io, [this, seen = std::move(seen)](Yield yield) {
            sleepFor(m_io, m_memberLag, yield);
            m_store.setMembers(seen);
        });
    }

    static bool sameList(const std::vector<Member> &a, const std::vector<Member> &b)
    {
        return a.size() == b.size()
            && std::equal(a.begin(), a.end(), b.begin(),
                          [](const Member &x, const Member &y) { return toJson(x) == toJson(y); });
    }

    HttpResponse control(const std::string &path, const Json &body)
    {
        if (path == "/faults") {
            const std::string mode = body.value("mode", "up");
            m_store.injectFault(mode == "down"               ? StoreFault::Down
                                    : mode == "lose_answers" ? StoreFault::LoseAnswer
                                                             : StoreFault::None);
            m_delay = std::chrono::milliseconds(body.value("delay_ms", 0));
            m_silent = mode == "silent";
            m_store.limitRate(body.value("calls_per_second", 0));
            return jsonResponse(200, "{}");
        }
        for (Member &member : m_declared) {
            if (member.host.text() == body.value("host", ""))
                member.leaving = body.value("leaving", member.leaving);
        }
        return jsonResponse(200, "{}");
    }

    HttpResponse answer(const std::string &path, const Json &body, Yield yield)
    {
        const StoreKey key(body.value("key", ""));
        if (path == "/kv/get")
            return get(key);
        if (path == "/kv/list")
            return list(StoreKey(body.value("prefix", "")));
        if (path == "/kv/cas") {
            const Result<Revision> won = m_store.compareAndSwap(
                key, body.value("value", ""), Revision(body.value("expect", std::int64_t { 0 })),
                LeaseId(body.value("lease", std::int64_t { 0 })));
            return won.ok() ? ok({ { "revision", won.value().count() } }) : failed(won.error());
        }
        if (path == "/kv/delete")
            return done(m_store.erase(key, Revision(body.value("expect", std::int64_t { 0 }))));
        if (path == "/kv/watch")
            return watch(body, yield);
        if (path == "/members/watch")
            return members(body, yield);
        if (path.rfind("/lease/", 0) == 0)
            return lease(path, body);
        return jsonResponse(404, R"({"error":"no such call"})");
    }

    HttpResponse get(const StoreKey &key)
    {
        const Result<std::optional<StoredValue>> found = m_store.read(key);
        if (!found.ok())
            return failed(found.error());
        if (!found.value())
            return jsonResponse(404, R"({"error":"no such key"})");
        return ok(storedJson(key, *found.value()));
    }

    HttpResponse list(const StoreKey &prefix)
    {
        const Result<std::vector<StoredEntry>> found = m_store.list(prefix);
        if (!found.ok())
            return failed(found.error());
        Json entries = Json::array();
        for (const StoredEntry &entry : found.value())
            entries.push_back(storedJson(entry.key, entry.stored));
        return ok({ { "entries", entries } });
    }

    HttpResponse lease(const std::string &path, const Json &body)
    {
        const LeaseId id(body.value("lease", std::int64_t { 0 }));
        if (path == "/lease/renew")
            return done(m_store.renewLease(id));
        if (path == "/lease/revoke")
            return done(m_store.revokeLease(id));
        const Result<LeaseId> won =
            m_store.grantLease(std::chrono::milliseconds(body.value("ttl_ms", 1000)));
        return won.ok() ? ok({ { "lease", won.value().count() } }) : failed(won.error());
    }

    HttpResponse watch(const Json &body, Yield yield)
    {
        const StoreKey prefix(body.value("prefix", ""));
        const Revision after(body.value("after", std::int64_t { 0 }));
        const MonotonicTime until =
            m_clock.now() + std::chrono::milliseconds(body.value("wait_ms", 0));
        const Result<WatchBatch> counted = m_store.watch(prefix, after, Duration::zero());
        if (!counted.ok())
            return failed(counted.error());
        WatchBatch batch = counted.value();
        while (batch.changes.empty() && batch.complete && m_clock.now() < until) {
            sleepFor(m_io, watchPollInterval, yield);
            batch = m_store.changesSince(prefix, after);
        }
        return ok(batchJson(batch));
    }

    static Json batchJson(const WatchBatch &batch)
    {
        Json changes = Json::array();
        for (const StoreChange &change : batch.changes)
            changes.push_back(change.stored ? storedJson(change.key, *change.stored)
                                            : Json { { "key", change.key.text() } });
        return { { "revision", batch.upTo.count() },
                 { "complete", batch.complete },
                 { "changes", changes } };
    }

    HttpResponse members(const Json &body, Yield yield)
    {
        const Revision after(body.value("after", std::int64_t { 0 }));
        const MonotonicTime until =
            m_clock.now() + std::chrono::milliseconds(body.value("wait_ms", 0));
        const Result<MemberList> counted = m_store.members(after, Duration::zero());
        if (!counted.ok())
            return failed(counted.error());
        MemberList list = counted.value();
        while (list.revision <= after && m_clock.now() < until) {
            sleepFor(m_io, watchPollInterval, yield);
            list = m_store.currentMembers();
        }
        Json entries = Json::array();
        for (const Member &member : list.members)
            entries.push_back(toJson(member));
        return ok({ { "revision", list.revision.count() }, { "members", entries } });
    }

    static HttpResponse ok(const Json &body) { return jsonResponse(200, body.dump()); }

    static HttpResponse done(const Status &status)
    {
        return status.ok() ? jsonResponse(200, "{}") : failed(status.error());
    }

    static HttpResponse failed(const Error &error)
    {
        const int status = error.kind() == ErrorKind::Conflict ? 409
            : error.kind() == ErrorKind::Fenced                ? 410
            : error.kind() == ErrorKind::Unavailable           ? 503
                                                               : 500;
        return jsonResponse(status, Json { { "error", error.message() } }.dump());
    }

    IoContext &m_io;
    SystemClock m_clock;
    MemoryStore m_store;
    Duration m_memberLag;
    Duration m_delay {};
    bool m_silent = false;
    std::vector<Member> m_declared;
    std::vector<Member> m_lastSeen;
};

Result<std::vector<Member>> readMembers(const std::string &path)
{
    std::vector<Member> members;
    if (path.empty())
        return members;
    std::ifstream file(path);
    const Json json = Json::parse(file, nullptr, false);
    if (!json.is_array())
        return Error(ErrorKind::InvalidInput, path + " is no JSON array of members");
    for (const Json &entry : json) {
        const Result<Member> member = memberFromJson(entry);
        if (!member.ok())
            return member.error();
        members.push_back(member.value());
    }
    return members;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("fake-platform", "Stand-in of the platform, for tests and demos");
    options.add_options()("listen", "address:port", cxxopts::value<std::string>())(
        "members", "JSON file with the declared members",
        cxxopts::value<std::string>()->default_value(""))(
        "member-lag-ms", "how late the membership list is",
        cxxopts::value<int>()->default_value("2000"));
    const auto arguments = options.parse(argc, argv);
    const Result<Endpoint> endpoint = parseEndpoint(arguments["listen"].as<std::string>());
    Result<std::vector<Member>> members = readMembers(arguments["members"].as<std::string>());
    if (!endpoint.ok() || !members.ok()) {
        std::cerr << (endpoint.ok() ? members.error() : endpoint.error()).message() << '\n';
        return 2;
    }
    IoContext io(1);
    Platform platform(io, std::chrono::milliseconds(arguments["member-lag-ms"].as<int>()));
    platform.declareMembers(std::move(members.value()));
    const auto server = HttpServer::listen(io, endpoint.value(), {}, platform);
    if (!server.ok()) {
        std::cerr << server.error().message() << '\n';
        return 1;
    }
    spawnCoroutine(io, [&](Yield yield) { platform.watchMembers(yield); });
    io.run();
    return 0;
}
