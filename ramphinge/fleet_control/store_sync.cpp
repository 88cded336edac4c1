// The picture of the store: see store_sync.h.

#include "ramphinge/fleet_control/store_sync.h"

#include <algorithm>

namespace ramphinge {

namespace {

constexpr const char *ownPrefix = "ramphinge/";
constexpr double retrySpread = 1.0;
// Each call is paid for, so changes are gathered for as long as can be: the rest of the time is for
// the call, and for a busy daemon.
constexpr double gatherShare = 0.5;
// Taken off the time that a proof lasts: answers on their way, and a busy daemon.
constexpr Duration proofSlack = std::chrono::milliseconds(500);
constexpr Duration shortestWatch = std::chrono::milliseconds(500);
constexpr Duration longestWatch = std::chrono::seconds(5);

bool isOwn(const StoreKey &key)
{
    return key.text().rfind(ownPrefix, 0) == 0;
}

} // namespace

StoreSyncOptions storeSyncOptions(Duration changeInForce, std::optional<Duration> proofLasts)
{
    StoreSyncOptions options;
    options.gather = scaled(changeInForce, gatherShare);
    if (proofLasts)
        options.gather = std::min(options.gather, *proofLasts / 3);
    // A watch proves, when it ends, what held when it began. So while one waits, the proof dates
    // from the beginning of the one before.
    options.watchWait = proofLasts
        ? std::clamp((*proofLasts - options.gather - proofSlack) / 2, shortestWatch, longestWatch)
        : longestWatch;
    return options;
}

StoreSync::StoreSync(IoContext &io, const Clock &clock, StoreSyncOptions options,
                     KeyValueStore &store, const DocumentDecoder &decoder, FleetState &fleet,
                     DispatchState &dispatch, DecisionLog &log, std::function<bool()> isPlanner,
                     std::function<void()> onChange)
    : m_io(io), m_clock(clock), m_options(options), m_store(store), m_decoder(decoder),
      m_fleet(fleet), m_dispatch(dispatch), m_log(log), m_isPlanner(std::move(isPlanner)),
      m_onChange(std::move(onChange)), m_random(entropySeed())
{ }

void StoreSync::run(Yield yield)
{
    while (!m_stopping) {
        round(yield);
        if (m_stopping)
            return;
        if (!m_fleet.storeReachable)
            sleepFor(m_io, m_random.jittered(m_options.retry, retrySpread), yield);
        else if (m_fleet.synced && m_hadNews)
            sleepFor(m_io, m_isPlanner() ? m_options.gatherAsPlanner : m_options.gather, yield);
    }
}

void StoreSync::round(Yield yield)
{
    const Status status = m_fleet.synced ? watchOnce(yield) : synchronize(yield);
    if (!m_fleet.servers.expire(m_clock.now()).empty())
        m_onChange();
    if (status.ok()) {
        noteReachable(true, "");
    } else if (status.error().kind() == ErrorKind::NotFound) {
        m_log.write("history_lost", LogWeight::Belief, { { "after", m_upTo.count() } });
        m_fleet.synced = false;
    } else {
        noteReachable(false, status.error().message());
    }
}

void StoreSync::noteReachable(bool reachable, const std::string &why)
{
    if (reachable == m_fleet.storeReachable)
        return;
    m_fleet.storeReachable = reachable;
    if (reachable)
        m_fleet.servers.storeReturned(m_clock.now());
    m_log.write(reachable ? "store_regained" : "store_lost", LogWeight::Belief,
                { { "up_to", m_upTo.count() }, { "why", why } });
}

Status StoreSync::synchronize(Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    const Result<StoreSnapshot> snapshot = m_store.list(StoreKey(), yield);
    if (!snapshot.ok())
        return snapshot.error();
    noteReachable(true, "");
    std::vector<UpstreamServer> servers;
    m_fleet.ownKeys.clear();
    for (const StoredEntry &entry : snapshot.value().entries) {
        const HostId host = m_decoder.serverOf(entry.key);
        if (host.empty()) {
            apply(entry.key, entry.stored);
            continue;
        }
        Result<UpstreamServer> server = m_decoder.decodeServer(host, entry.stored.value);
        if (server.ok())
            servers.push_back(std::move(server.value()));
        else
            m_log.write("entry_unreadable", LogWeight::Failure,
                        { { "host", host.text() }, { "why", server.error().message() } });
    }
    m_fleet.servers.replaceAll(std::move(servers), m_clock.now());
    m_upTo = snapshot.value().upTo;
    m_hadNews = true;
    m_fleet.synced = true;
    m_dispatch.freshness.prove(startedAt);
    m_log.write("store_listed", LogWeight::Belief,
                { { "up_to", m_upTo.count() }, { "servers", m_fleet.servers.servers().size() } });
    m_onChange();
    return Done {};
}

Status StoreSync::watchOnce(Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    const Result<WatchBatch> batch = m_store.watch(StoreKey(), m_upTo, m_options.watchWait, yield);
    if (!batch.ok())
        return batch.error();
    noteReachable(true, "");
    for (const StoreChange &change : batch.value().changes)
        apply(change.key, change.stored);
    m_upTo = batch.value().upTo;
    m_hadNews = !batch.value().changes.empty();
    m_dispatch.freshness.prove(startedAt);
    if (!batch.value().changes.empty())
        m_onChange();
    return Done {};
}

void StoreSync::apply(const StoreKey &key, const std::optional<StoredValue> &stored)
{
    if (const HostId host = m_decoder.serverOf(key); !host.empty())
        applyServer(host, stored);
    else if (m_decoder.isCatalog(key) && stored)
        applyCatalog(*stored);
    else if (isOwn(key))
        applyOwn(key, stored);
}

void StoreSync::applyCatalog(const StoredValue &stored)
{
    Result<CatalogContent> content = m_decoder.decodeCatalog(stored.value);
    if (!content.ok()) {
        m_log.write(
            "catalog_unreadable", LogWeight::Belief,
            { { "revision", stored.revision.count() }, { "why", content.error().message() } });
        return;
    }
    const CatalogVersion version = content.value().version;
    if (m_dispatch.catalog && version < m_dispatch.catalog->version())
        return;
    const bool isNew = !m_dispatch.catalog || m_dispatch.catalog->version() != version;
    m_dispatch.catalog = std::make_shared<const ServiceCatalog>(std::move(content.value()));
    if (isNew)
        m_log.write("catalog_in_force", LogWeight::Belief,
                    { { "version", version.count() }, { "revision", stored.revision.count() } });
}

void StoreSync::applyServer(const HostId &host, const std::optional<StoredValue> &stored)
{
    if (!stored) {
        const bool gone = m_fleet.servers.remove(host, m_clock.now());
        m_log.write("server_gone", LogWeight::Belief,
                    { { "host", host.text() }, { "kept_for_now", !gone } });
        return;
    }
    Result<UpstreamServer> server = m_decoder.decodeServer(host, stored->value);
    if (!server.ok()) {
        m_log.write("entry_unreadable", LogWeight::Failure,
                    { { "host", host.text() }, { "why", server.error().message() } });
        return;
    }
    const UpstreamServer *before = m_fleet.servers.find(host);
    const UpstreamServer &after = server.value();
    const bool news = before == nullptr || before->draining != after.draining;
    if (news)
        m_log.write("server_seen", LogWeight::Belief,
                    { { "host", host.text() },
                      { "service", after.service.text() },
                      { "draining", after.draining },
                      { "revision", stored->revision.count() } });
    m_fleet.servers.put(std::move(server.value()));
}

void StoreSync::applyOwn(const StoreKey &key, const std::optional<StoredValue> &stored)
{
    if (key == FleetKeys::plan()) {
        if (!stored)
            return;
        if (const Status taken = m_fleet.takePlan(*stored); !taken.ok())
            m_log.write(
                "plan_unreadable", LogWeight::Belief,
                { { "revision", stored->revision.count() }, { "why", taken.error().message() } });
        return;
    }
    if (stored)
        m_fleet.ownKeys[key] = *stored;
    else
        m_fleet.ownKeys.erase(key);
}

} // namespace ramphinge
