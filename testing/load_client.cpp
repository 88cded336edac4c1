// A bounded open-loop load generator: arrivals at a fixed rate from a seed, independent of
// responses. Checks each response against the stand-in's expected one, records a history, and
// prints a summary as JSON.
//
//   ramphinge-load --target 127.0.0.1:8001,127.0.0.1:8002 --key secret --rate 50 --seconds 5
//
// --mode stream, chat or service. --keyed gives each request an idempotency key and tries again
// under the same key, at another target, as callers do.

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iostream>

#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "ramphinge/base/random.h"
#include "ramphinge/net/http_client.h"
#include "testing/answers.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

struct LoadOptions
{
    std::vector<Endpoint> targets;
    std::string apiKey;
    std::string mode;
    std::string model;
    std::string path;
    double rate = 10;
    Duration length {};
    std::int64_t maxTokens = 16;
    int prefixes = 1; // Number of distinct prompt prefixes.
    int prefixBytes = 256;
    bool keyed = false;
    bool issuedKeys = false; // Created by the client in the daemons' format.
    std::string zone;
    int tries = 1;
    int deadlineMs = 0;
    int maxOpen = 4000;
    std::uint64_t seed = 1;
    std::string history;
};

enum class Verdict { Whole, Wrong, NotRun, Unknown, Ran, Lost };

const char *toString(Verdict verdict)
{
    static constexpr const char *names[] = {
        "whole", "wrong", "not_run", "unknown", "ran", "lost"
    };
    return names[static_cast<std::size_t>(verdict)];
}

struct TryResult
{
    Verdict verdict = Verdict::Lost;
    int status = 0;
    std::string type;
    std::string request; // The daemon's id of the request, if it responded.
    Duration retryAfter {};
    std::vector<double> gapsMs; // Between tokens.
    double firstTokenMs = -1;
};

double quantile(std::vector<double> samples, double q)
{
    if (samples.empty())
        return -1;
    std::sort(samples.begin(), samples.end());
    const auto index = static_cast<std::size_t>(q * static_cast<double>(samples.size() - 1));
    return samples[index];
}

class Load
{
public:
    Load(IoContext &io, LoadOptions options)
        : m_io(io), m_options(std::move(options)), m_client(HttpClient::create(io, 512)),
          m_random(m_options.seed)
    {
        if (!m_options.history.empty())
            m_history.open(m_options.history, std::ios::app);
    }

    void run(Yield yield)
    {
        const MonotonicTime begun = m_clock.now();
        MonotonicTime next = begun;
        const Duration gap(static_cast<std::int64_t>(1e9 / m_options.rate));
        std::int64_t number = 0;
        while (next - begun < m_options.length) {
            if (next > m_clock.now())
                sleepFor(m_io, next - m_clock.now(), yield);
            next += m_random.exponential(gap);
            if (m_open >= m_options.maxOpen) {
                ++m_skipped;
                continue;
            }
            ++m_open;
            const std::int64_t mine = ++number;
            const std::uint64_t seed = m_random.next();
            spawnCoroutine(m_io, [this, mine, seed](Yield requestYield) {
                request(mine, seed, requestYield);
                --m_open;
            });
        }
    }

    Json summary() const
    {
        Json verdicts = Json::object();
        for (const auto &[verdict, count] : m_verdicts)
            verdicts[toString(verdict)] = count;
        const double seconds = std::chrono::duration<double>(m_options.length).count();
        return { { "sent", m_sent },
                 { "skipped", m_skipped },
                 { "verdicts", verdicts },
                 { "types", m_types },
                 { "whole_per_second", static_cast<double>(m_whole) / seconds },
                 { "tokens_per_second", static_cast<double>(m_tokens) / seconds },
                 { "first_token_ms", quantiles(m_firstTokens) },
                 { "latency_ms", quantiles(m_latencies) },
                 { "token_gap_ms", quantiles(m_gaps) },
                 { "refusal_ms", quantiles(m_refusals) } };
    }

    bool sound() const { return m_verdicts.count(Verdict::Wrong) == 0; }

private:
    static Json quantiles(const std::vector<double> &samples)
    {
        return { { "p50", quantile(samples, 0.5) },
                 { "p95", quantile(samples, 0.95) },
                 { "p99", quantile(samples, 0.99) } };
    }

    std::string contentOf(std::int64_t number, Random &random) const
    {
        std::string prefix =
            "p" + std::to_string(random.below(static_cast<std::uint64_t>(m_options.prefixes)));
        prefix.resize(static_cast<std::size_t>(m_options.prefixBytes), '.');
        return prefix + " question " + std::to_string(m_options.seed) + "-"
            + std::to_string(number);
    }

    std::string keyFor(Random &random) const
    {
        if (!m_options.issuedKeys)
            return "k" + random.token();
        char birth[20];
        std::snprintf(birth, sizeof birth, "%llx",
                      static_cast<unsigned long long>(toUnixMilliseconds(m_clock.wallNow())));
        return "rk1-" + m_options.zone + "-" + birth + "-" + random.token();
    }

    void request(std::int64_t number, std::uint64_t seed, Yield yield)
    {
        Random random(seed);
        const std::string content = contentOf(number, random);
        const std::string key = m_options.keyed ? keyFor(random) : "";
        const MonotonicTime begun = m_clock.now();
        ++m_sent;
        TryResult result;
        int tries = 0;
        while (true) {
            const std::size_t target =
                (static_cast<std::size_t>(number) + static_cast<std::size_t>(tries))
                % m_options.targets.size();
            result = tryOnce(m_options.targets[target], content, key, yield);
            writeHistory(number, key, tries, result);
            ++tries;
            const bool final = result.verdict == Verdict::Whole || result.verdict == Verdict::Wrong
                || result.verdict == Verdict::Ran;
            if (final || tries >= m_options.tries)
                break;
            sleepFor(m_io, std::max<Duration>(result.retryAfter, std::chrono::milliseconds(50)),
                     yield);
        }
        note(result, toMilliseconds(m_clock.now() - begun));
    }

    void note(const TryResult &result, double latencyMs)
    {
        ++m_verdicts[result.verdict];
        if (!result.type.empty())
            m_types[result.type] = m_types.value(result.type, 0) + 1;
        if (result.verdict == Verdict::Whole) {
            ++m_whole;
            m_tokens += m_options.mode == "service" ? 0 : m_options.maxTokens;
            m_latencies.push_back(latencyMs);
            if (result.firstTokenMs >= 0)
                m_firstTokens.push_back(result.firstTokenMs);
            m_gaps.insert(m_gaps.end(), result.gapsMs.begin(), result.gapsMs.end());
        } else if (result.status >= 400) {
            m_refusals.push_back(latencyMs);
        }
    }

    HttpRequest makeRequest(const std::string &content, const std::string &key) const
    {
        HttpRequest request { "POST", "/v1/chat/completions", {}, {} };
        request.headers = { { "authorization", "Bearer " + m_options.apiKey },
                            { "content-type", "application/json" } };
        if (!key.empty())
            request.headers.add("idempotency-key", key);
        if (m_options.deadlineMs > 0)
            request.headers.add("x-deadline-ms", std::to_string(m_options.deadlineMs));
        if (m_options.mode == "service") {
            request.target = m_options.path;
            request.body = content;
            return request;
        }
        const Json message { { "role", "user" }, { "content", content } };
        request.body = Json {
            { "model", m_options.model },
            { "max_tokens", m_options.maxTokens },
            { "stream", m_options.mode == "stream" },
            { "messages", Json::array({ message }) }
        }.dump();
        return request;
    }

    TryResult tryOnce(const Endpoint &target, const std::string &content, const std::string &key,
                      Yield yield)
    {
        TryResult result;
        HttpCallOptions options;
        options.headTimeout = std::chrono::seconds(70);
        options.readTimeout = std::chrono::seconds(70);
        const MonotonicTime begun = m_clock.now();
        const auto call = m_client->call(target, makeRequest(content, key), options);
        const Status sent = call->start(yield);
        if (!sent.ok()) {
            // Without a connection the attempt did certainly not run; otherwise its result is lost.
            const bool neverSent = sent.error().kind() == ErrorKind::Unavailable;
            result.verdict = neverSent ? Verdict::NotRun : Verdict::Lost;
            result.type = neverSent ? "no_connection" : "connection_lost";
            return result;
        }
        result.status = call->status();
        result.request = std::string(call->headers().find("x-request-id").value_or(""));
        std::string body;
        MonotonicTime last = begun;
        while (true) {
            const Result<std::size_t> got = call->read(body, yield);
            if (!got.ok()) {
                result.type = "connection_lost";
                return result;
            }
            if (got.value() == 0)
                break;
            const MonotonicTime now = m_clock.now();
            if (result.firstTokenMs < 0)
                result.firstTokenMs = toMilliseconds(now - begun);
            else
                result.gapsMs.push_back(toMilliseconds(now - last));
            last = now;
        }
        judge(*call, content, body, result);
        return result;
    }

    void judge(const HttpCall &call, const std::string &content, const std::string &body,
               TryResult &result) const
    {
        if (result.status == 200) {
            judgeAnswer(content, body, result);
            return;
        }
        const Json json = Json::parse(body, nullptr, false);
        const Json error = json.is_object() ? json.value("error", Json::object()) : Json::object();
        takeError(error, result);
        const auto outcome = call.headers().find("x-ramphinge-outcome");
        if (!outcome)
            result.verdict = Verdict::Lost;
    }

    static void takeError(const Json &error, TryResult &result)
    {
        const std::string outcome = error.value("outcome", "");
        result.type = error.value("type", "");
        result.retryAfter = Milliseconds(error.value("retry_after_ms", 0));
        result.verdict = outcome == "not_run" ? Verdict::NotRun
            : outcome == "ran"                ? Verdict::Ran
                                              : Verdict::Unknown;
    }

    void judgeAnswer(const std::string &content, const std::string &body, TryResult &result) const
    {
        const std::string prompt = "user:" + content + "\n";
        if (m_options.mode == "stream") {
            judgeStream(prompt, body, result);
            return;
        }
        const Json json = Json::parse(body, nullptr, false);
        bool right = false;
        if (m_options.mode == "service")
            right = json.is_object() && json.value("body", "") == content;
        else if (json.is_object() && json.contains("choices"))
            right = json["choices"][0]["message"].value("content", "")
                == answerText(prompt, 1, m_options.maxTokens);
        result.verdict = right ? Verdict::Whole : Verdict::Wrong;
    }

    // Each token once, in order, and [DONE]; or an error event that says so.
    void judgeStream(const std::string &prompt, const std::string &body, TryResult &result) const
    {
        std::string text;
        bool done = false;
        std::size_t begin = 0;
        while (begin < body.size()) {
            std::size_t end = body.find("\n\n", begin);
            end = end == std::string::npos ? body.size() : end;
            const std::string event = body.substr(begin, end - begin);
            begin = end + 2;
            const std::size_t data = event.find("data: ");
            if (data == std::string::npos)
                continue;
            const std::string payload = event.substr(data + 6);
            if (payload == "[DONE]") {
                done = true;
                continue;
            }
            const Json json = Json::parse(payload, nullptr, false);
            if (json.is_object() && json.contains("error")) {
                takeError(json["error"], result);
                return;
            }
            if (json.is_object() && json.contains("choices"))
                text += json["choices"][0]["delta"].value("content", "");
        }
        const bool right = done && text == answerText(prompt, 1, m_options.maxTokens);
        result.verdict = right ? Verdict::Whole : Verdict::Wrong;
    }

    void writeHistory(std::int64_t number, const std::string &key, int tries,
                      const TryResult &result)
    {
        if (!m_history.is_open())
            return;
        const Json line { { "number", number },
                          { "seed", m_options.seed },
                          { "key", key },
                          { "try", tries + 1 },
                          { "status", result.status },
                          { "verdict", toString(result.verdict) },
                          { "type", result.type },
                          { "request", result.request },
                          { "at_ms", toUnixMilliseconds(m_clock.wallNow()) } };
        m_history << line.dump() << '\n' << std::flush;
    }

    IoContext &m_io;
    LoadOptions m_options;
    SystemClock m_clock;
    std::unique_ptr<HttpClient> m_client;
    Random m_random;
    std::ofstream m_history;
    int m_open = 0;
    std::int64_t m_sent = 0;
    std::int64_t m_skipped = 0;
    std::int64_t m_whole = 0;
    std::int64_t m_tokens = 0;
    std::map<Verdict, std::int64_t> m_verdicts;
    Json m_types = Json::object();
    std::vector<double> m_firstTokens;
    std::vector<double> m_latencies;
    std::vector<double> m_gaps;
    std::vector<double> m_refusals;
};

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("ramphinge-load", "Bounded open-loop load on loopback");
    options.add_options()("target", "address:port, comma-separated", cxxopts::value<std::string>())(
        "key", "API key", cxxopts::value<std::string>()->default_value(""))(
        "mode", "stream, chat or service", cxxopts::value<std::string>()->default_value("stream"))(
        "model", "model", cxxopts::value<std::string>()->default_value("chat"))(
        "path", "service path", cxxopts::value<std::string>()->default_value("/"))(
        "rate", "requests a second", cxxopts::value<double>()->default_value("10"))(
        "seconds", "length", cxxopts::value<double>()->default_value("5"))(
        "tokens", "tokens of an answer", cxxopts::value<int>()->default_value("16"))(
        "prefixes", "distinct shared beginnings", cxxopts::value<int>()->default_value("1"))(
        "prefix-bytes", "their length", cxxopts::value<int>()->default_value("256"))(
        "keyed", "send idempotency keys")("issued", "stamped keys of this zone",
                                          cxxopts::value<std::string>()->default_value(""))(
        "tries", "tries of a request", cxxopts::value<int>()->default_value("1"))(
        "deadline-ms", "deadline", cxxopts::value<int>()->default_value("0"))(
        "seed", "seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "history", "file for the history", cxxopts::value<std::string>()->default_value(""));
    const auto arguments = options.parse(argc, argv);
    LoadOptions load;
    std::string targets = arguments["target"].as<std::string>();
    for (std::size_t begin = 0; begin <= targets.size();) {
        const std::size_t end = std::min(targets.find(',', begin), targets.size());
        const Result<Endpoint> endpoint = parseEndpoint(targets.substr(begin, end - begin));
        if (!endpoint.ok()) {
            std::cerr << endpoint.error().message() << '\n';
            return 2;
        }
        if (endpoint.value().address.rfind("127.", 0) != 0) {
            std::cerr << "only loopback addresses may be loaded\n";
            return 2;
        }
        load.targets.push_back(endpoint.value());
        begin = end + 1;
    }
    load.apiKey = arguments["key"].as<std::string>();
    load.mode = arguments["mode"].as<std::string>();
    load.model = arguments["model"].as<std::string>();
    load.path = arguments["path"].as<std::string>();
    load.rate = arguments["rate"].as<double>();
    load.length = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(600.0, arguments["seconds"].as<double>())));
    load.maxTokens = arguments["tokens"].as<int>();
    load.prefixes = arguments["prefixes"].as<int>();
    load.prefixBytes = arguments["prefix-bytes"].as<int>();
    load.keyed = arguments.count("keyed") > 0;
    load.zone = arguments["issued"].as<std::string>();
    load.issuedKeys = !load.zone.empty();
    load.tries = arguments["tries"].as<int>();
    load.deadlineMs = arguments["deadline-ms"].as<int>();
    load.seed = arguments["seed"].as<std::uint64_t>();
    load.history = arguments["history"].as<std::string>();
    IoContext io(1);
    Load client(io, load);
    spawnCoroutine(io, [&](Yield yield) { client.run(yield); });
    io.run();
    std::cout << client.summary().dump(2) << '\n';
    return client.sound() ? 0 : 1;
}
