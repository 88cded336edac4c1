// Probes of hosts: see host_prober.h.

#include "ramphinge/control/host_prober.h"

#include <nlohmann/json.hpp>

namespace ramphinge {

namespace {
using Json = nlohmann::json;
// Approximate size of the heads of a request and its response, which the body sizes don't include.
constexpr std::int64_t headBytes = 200;
} // namespace

HostProber::HostProber(IoContext &io, const Clock &clock, HostProberOptions options,
                       std::function<void(const HostObservation &)> onSeen)
    : m_io(io), m_clock(clock), m_options(options), m_onSeen(std::move(onSeen)),
      m_client(HttpClient::create(io, 1))
{ }

void HostProber::setTargets(const std::vector<Member> &targets)
{
    std::set<HostId> wanted;
    for (const Member &member : targets) {
        wanted.insert(member.host);
        const auto known = m_targets.find(member.host);
        if (known != m_targets.end() && known->second.member.endpoint == member.endpoint) {
            known->second.member = member;
            continue;
        }
        const std::int64_t generation = m_nextGeneration++;
        m_targets[member.host] = { member, generation };
        spawnCoroutine(m_io, [this, host = member.host, generation](Yield yield) {
            watch(host, generation, yield);
        });
    }
    for (auto it = m_targets.begin(); it != m_targets.end();)
        it = wanted.count(it->first) > 0 ? std::next(it) : m_targets.erase(it);
}

void HostProber::stop()
{
    m_stopped = true;
    m_targets.clear();
}

void HostProber::watch(const HostId &host, std::int64_t generation, Yield yield)
{
    int misses = 0;
    while (!m_stopped) {
        const auto target = m_targets.find(host);
        if (target == m_targets.end() || target->second.generation != generation)
            return;
        const MonotonicTime begun = m_clock.now();
        const Member member = target->second.member;
        misses = look(member, yield) ? 0 : misses + 1;
        if (misses == 1)
            continue;
        if (misses >= m_options.missesUntilDown && !m_stopped) {
            HostObservation down;
            down.host = host;
            down.madeAt = begun;
            m_onSeen(down);
        }
        sleepFor(m_io, m_options.interval, yield);
    }
}

bool HostProber::look(const Member &member, Yield yield)
{
    HttpCallOptions options;
    options.connectTimeout = m_options.timeout;
    options.headTimeout = m_options.timeout;
    options.readTimeout = m_options.timeout;
    const MonotonicTime begun = m_clock.now();
    const Result<HttpResponse> answer =
        m_client->exchange(member.endpoint, HttpRequest { "GET", "/load", {}, {} }, options, yield);
    if (!answer.ok() || answer.value().status != 200 || m_stopped)
        return false;
    m_bytes += headBytes + static_cast<std::int64_t>(answer.value().body.size());
    const auto seen = parseLoad(member.host, answer.value().body, begun);
    if (seen)
        m_onSeen(*seen);
    return seen.has_value();
}

std::optional<HostObservation> parseLoad(const HostId &host, const std::string &body,
                                         MonotonicTime madeAt)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        HostObservation seen;
        seen.host = host;
        seen.madeAt = madeAt;
        seen.answers = true;
        seen.incarnation = json.value("incarnation", "");
        seen.replica = ReplicaId(json.value("replica", ""));
        seen.epoch = Epoch(json.value("epoch", std::int64_t { 0 }));
        seen.rank = json.value("rank", -1);
        seen.loaded = json.value("loaded", false);
        seen.whole = json.value("whole", true);
        seen.model = ModelId(json.value("model", ""));
        seen.running = json.value("running", 0);
        seen.waiting = json.value("waiting", 0);
        seen.maxBatch = json.value("max_batch", 32);
        return seen;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace ramphinge
