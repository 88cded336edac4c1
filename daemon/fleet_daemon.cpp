// The daemon on a platform: see fleet_daemon.h.

#include "daemon/fleet_daemon.h"

#include <algorithm>
#include <filesystem>
#include <limits>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "daemon/server_report.h"
#include "daemon/status_handler.h"
#include "platform/documents.h"
#include "platform/kv_client.h"
#include "platform/order_client.h"
#include "platform/request_codec.h"
#include "platform/statement_decoder.h"
#include "ramphinge/dispatch/dispatcher.h"
#include "ramphinge/fleet_control/drain_schedule.h"
#include "ramphinge/fleet_control/formation_runner.h"
#include "ramphinge/fleet_control/link_key.h"
#include "ramphinge/fleet_control/quarantine_keeper.h"
#include "ramphinge/fleet_control/store_sync.h"
#include "ramphinge/fleet_control/suspicion_reporter.h"
#include "ramphinge/net/loop_keeper.h"
#include "ramphinge/observe/log.h"
#include "ramphinge/relay/relay_node.h"
#include "ramphinge/settings/settings.h"

namespace ramphinge {

namespace {

// A removed key must stop working within the bound at the upstream too: the rest of the bound is
// for the way there.
constexpr Duration revocationMargin = std::chrono::milliseconds(500);
constexpr Duration drainPoll = std::chrono::milliseconds(20);
constexpr Duration housekeeping = std::chrono::seconds(1);
constexpr Duration callsLogInterval = std::chrono::seconds(10);
// The planner's lease: while it lapses nobody plans. Two failed renewals are survived.
constexpr Duration roleLease = std::chrono::seconds(2);
// A machine with less of a processor plans only if no other daemon wants to: the planner reads all
// news and computes at each change, beside its own requests. And where hundreds of daemons start at
// once, each that tries for the role in vain costs three calls of the store: 68 daemons made 140
// such tries in 75 s (six of them have half a processor, the others an eighth).
constexpr double plannersProcessor = 0.25;
// By then one that is stronger has the role, and the others know of it.
constexpr Duration strongerFirst = std::chrono::milliseconds(1800);
constexpr Duration registrationLease = std::chrono::seconds(9);
// Descriptors that are not for callers: upstreams, the store, files.
constexpr double callerShareOfDescriptors = 0.6;
constexpr int connectionsPerUpstream = 24;

class FleetDaemon
{
public:
    FleetDaemon(const FleetSettings &settings, std::string settingsPath)
        : m_settings(settings), m_settingsPath(std::move(settingsPath)), m_log(m_clock, {}),
          m_client(HttpClient::create(m_io, connectionsPerUpstream)),
          m_store(m_io, storeOptions(settings)),
          m_dispatch(Freshness(settings.keyRevocation, revocationMargin),
                     TargetTable(tableOptions(settings), entropySeed()),
                     { settings.retryRatio, settings.retrySlack, settings.retryWindow }),
          m_upstreams(*m_client, m_statements, m_dispatch.gate, m_clock, m_log, m_metrics),
          m_orders(m_upstreams), m_dispatcher(m_io, m_clock, {}, m_codec, m_upstreams, m_orders,
                                              m_quarantine, m_dispatch, m_log, m_metrics),
          m_status(
              [this] { return isReady(); },
              [this] { return serversAsJson(m_dispatch.gate, m_fleet.servers, m_clock.now()); },
              m_metrics),
          m_sync(
              m_io, m_clock, syncOptions(settings), m_store, m_documents, m_fleet, m_dispatch,
              m_log, [this] { return m_role.holds(m_clock.now()); }, [this] { onFleetChange(); }),
          m_relays(m_io, m_clock, relayOptions(settings), m_log, m_metrics),
          m_registration(m_io, m_clock, registrationOptions(settings), m_store, m_fleet, m_log),
          m_role(m_io, m_clock, roleOptions(settings), m_store, m_fleet, m_log),
          m_linkKey(m_io, m_clock, m_store, m_fleet, m_role, m_log),
          m_formation(m_io, m_clock, formationOptions(settings), m_store, m_fleet, m_dispatch,
                      m_role, m_orders, m_log, m_metrics, [this] { onFleetChange(); }),
          m_suspicions(m_io, { settings.daemon, settings.zone }, m_store, m_fleet, m_dispatch,
                       m_registration, m_role, m_clock, m_log),
          m_quarantine(m_io, quarantineOptions(settings), m_store, m_fleet, m_dispatch.quarantine,
                       m_role, m_clock, m_log),
          m_stopSignals(m_io, SIGTERM, SIGINT), m_reloadSignal(m_io, SIGHUP)
    {
        m_dispatch.startedAt = m_clock.now();
        m_relays.shareLoads([this] { return ownLoad(); },
                            [this](const SharedLoad &others) { takeOthersLoad(others); });
        m_relays.shareServerNews([this] { return m_dispatch.gate.takeNews(m_clock.now()); },
                                 [this](const ServerNews &news) { hear(news); });
        // Not at once: it is called from where requests choose their servers.
        m_upstreams.onLeaving([this] { boost::asio::post(m_io, [this] { onFleetChange(); }); });
        m_sync.useRelays(m_relays, m_relays, [this] { return m_relays.isRelay(); });
    }

    Status run()
    {
        if (const Status listening = listen(); !listening.ok())
            return listening;
        m_stopSignals.async_wait([this](const auto &, int) {
            m_loops.keep("stop", [this](Yield yield) { stop(yield); });
        });
        awaitReload();
        m_loops.keep("store", [this](Yield yield) { m_sync.run(yield); });
        m_loops.keep("expiry", [this](Yield yield) { m_sync.runExpiry(yield); });
        m_loops.keep("relays", [this](Yield yield) { m_relays.run(yield); });
        m_loops.keep("loads", [this](Yield yield) { m_relays.runLoads(yield); });
        m_loops.keep("registration", [this](Yield yield) { m_registration.run(yield); });
        m_loops.keep("role", [this](Yield yield) { m_role.run(yield); });
        m_loops.keep("link_key", [this](Yield yield) { m_linkKey.run(yield); });
        m_loops.keep("formation", [this](Yield yield) { m_formation.run(yield); });
        m_loops.keep("suspicions", [this](Yield yield) { m_suspicions.run(yield); });
        m_loops.keep("quarantine", [this](Yield yield) { m_quarantine.run(yield); });
        m_loops.keep("housekeeping", [this](Yield yield) { keepHouse(yield); });
        logInfo("daemon", "started", { { "zone", m_settings.zone.text() } });
        runLoop(m_io);
        logInfo("daemon", "stopped");
        return Done {};
    }

private:
    static TargetTableOptions tableOptions(const FleetSettings &settings)
    {
        TargetTableOptions options;
        options.ownZone = settings.zone;
        return options;
    }

    // A call that began while the store was away fails before the daemon's picture has to be in
    // time again, and leaves time for the next one.
    static platform::KvClientOptions storeOptions(const FleetSettings &settings)
    {
        platform::KvClientOptions options;
        options.address = settings.store;
        options.timeout = std::min(options.timeout, settings.connectivityGrace / 2);
        return options;
    }

    static StoreSyncOptions syncOptions(const FleetSettings &settings)
    {
        PictureBounds bounds;
        bounds.changeInForce = std::min(settings.changeInForce, settings.leaveInForce);
        bounds.connectivityGrace = settings.connectivityGrace;
        bounds.serverHeartbeat = settings.serverHeartbeat;
        if (settings.keyRevocation)
            bounds.proofLasts = *settings.keyRevocation - revocationMargin;
        return storeSyncOptions(bounds);
    }

    static RelayCandidate recordOf(const FleetSettings &settings)
    {
        return { settings.daemon, settings.zone, settings.links.value_or(Endpoint()),
                 settings.processorShare };
    }

    static RelayNodeOptions relayOptions(const FleetSettings &settings)
    {
        RelayNodeOptions options;
        options.self = recordOf(settings);
        options.choice.fewestDaemons = settings.relaysFrom;
        return options;
    }

    static KeyHolderOptions registrationOptions(const FleetSettings &settings)
    {
        KeyHolderOptions options;
        options.key = FleetKeys::daemon(settings.daemon);
        options.value = serializeCandidate(recordOf(settings));
        options.lifetime = registrationLease;
        options.renewal = registrationLease / 3;
        options.replaceExisting = true;
        return options;
    }

    static KeyHolderOptions roleOptions(const FleetSettings &settings)
    {
        KeyHolderOptions options;
        options.key = FleetKeys::planner();
        options.value = settings.daemon.text();
        options.lifetime = roleLease;
        options.renewal = roleLease / 3;
        if (settings.processorShare < plannersProcessor)
            options.precedence = strongerFirst;
        return options;
    }

    static FormationRunnerOptions formationOptions(const FleetSettings &settings)
    {
        FormationRunnerOptions options;
        options.orders.loadWindow = settings.loadWindow;
        return options;
    }

    static QuarantineKeeperOptions quarantineOptions(const FleetSettings &settings)
    {
        QuarantineKeeperOptions options;
        options.daemon = settings.daemon;
        return options;
    }

    // For callers, before any catalog is known.
    HttpServerOptions callerOptions() const
    {
        HttpServerOptions options;
        options.maxConnections =
            static_cast<int>(m_settings.fileDescriptors * callerShareOfDescriptors);
        return options;
    }

    Status listen()
    {
        auto callers = HttpServer::listen(m_io, m_settings.callers, callerOptions(), m_dispatcher);
        if (!callers.ok())
            return callers.error();
        m_callers = callers.value();
        auto readiness = HttpServer::listen(m_io, m_settings.readiness, {}, m_status);
        if (!readiness.ok())
            return readiness.error();
        m_readiness = readiness.value();
        if (!m_settings.metrics)
            return Done {};
        auto metrics = HttpServer::listen(m_io, *m_settings.metrics, {}, m_status);
        if (!metrics.ok())
            return metrics.error();
        m_metricsServer = metrics.value();
        return Done {};
    }

    // Whether the balancer should send callers here.
    bool isReady() const
    {
        return !m_dispatch.draining && m_dispatch.catalog != nullptr
            && (!m_dispatch.catalog->asksForKeys() || m_dispatch.freshness.holds(m_clock.now()));
    }

    SharedLoad ownLoad() const
    {
        return { m_dispatch.targets.ownLoad(), m_dispatch.demand.own(m_clock.now()) };
    }

    void takeOthersLoad(const SharedLoad &others)
    {
        const MonotonicTime now = m_clock.now();
        m_dispatch.targets.setOthersLoad(others.places, now);
        m_dispatch.demand.setOthers(others.work, now);
    }

    void hear(const ServerNews &news)
    {
        hearLimits(news.limits);
        bool changed = false;
        for (const HostId &host : news.leaving) {
            if (!m_dispatch.gate.hearLeaving(host))
                continue;
            changed = true;
            m_log.write("server_leaving", LogWeight::Belief,
                        { { "host", host.text() }, { "change", "stated" }, { "told", true } });
        }
        if (changed)
            onFleetChange();
    }

    void hearLimits(const std::vector<ServerLimitNews> &news)
    {
        for (const ServerLimitNews &limit : news) {
            const bool isInFleet = m_fleet.servers.find(limit.server.host) != nullptr;
            const LimitChange change =
                m_dispatch.gate.limits().hear(limit, m_clock.now(), isInFleet);
            if (change == LimitChange::None)
                continue;
            nlohmann::json fields { { "host", limit.server.host.text() },
                                    { "change", toString(change) },
                                    { "told", true },
                                    { "age_ms", toMilliseconds(limit.age) } };
            if (limit.rate)
                fields["per_second"] = limit.rate->perSecond();
            m_log.write("server_limit", LogWeight::Belief, std::move(fields));
        }
    }

    // What servers said of their leaving goes before their entries, which may be older.
    void markLeaving()
    {
        for (const HostId &host : m_dispatch.gate.departures().servers()) {
            if (m_fleet.servers.markDraining(host))
                m_client->forget(m_fleet.servers.find(host)->endpoint);
        }
    }

    void onFleetChange()
    {
        markLeaving();
        const auto linkKey = m_fleet.ownKeys.find(FleetKeys::linkKey());
        if (linkKey != m_fleet.ownKeys.end()) {
            m_relays.setKey(linkKey->second.value);
            m_dispatch.fingerprintKey = linkKey->second.value;
        }
        m_dispatcher.serversChanged(m_fleet.servers);
        m_quarantine.takeOver();
        const std::vector<RelayCandidate> daemons = m_fleet.daemons();
        m_relays.setDaemons(daemons);
        shareLimits(daemons);
        if (!m_dispatch.catalog)
            return;
        m_dispatch.targets.rebuild(m_fleet.servers, m_fleet.plan, *m_dispatch.catalog);
        m_dispatch.targets.setSharers(countInZone(daemons, m_settings.zone));
        m_dispatch.noteDaemons(static_cast<int>(daemons.size()));
        for (const Endpoint &endpoint : m_dispatch.targets.takeDropped())
            m_client->forget(endpoint);
        applyLimits(m_dispatch.catalog->limits());
    }

    void shareLimits(const std::vector<RelayCandidate> &daemons)
    {
        std::vector<LimitSharer> sharers;
        for (const RelayCandidate &daemon : daemons)
            sharers.push_back({ daemon.daemon, daemon.zone });
        m_dispatch.gate.setDaemons({ m_settings.daemon, m_settings.zone }, sharers, m_clock.now());
    }

    void applyLimits(const CallerLimits &limits)
    {
        HttpServerOptions options = callerOptions();
        options.maxBodyBytes = limits.bodyBytes;
        options.maxHeadBytes = static_cast<std::uint32_t>(
            std::min<std::size_t>(limits.headerBytes, std::numeric_limits<std::uint32_t>::max()));
        options.headTimeout = limits.headerTimeout;
        options.idleTimeout = limits.idleTimeout;
        m_callers->setOptions(options);
    }

    void keepHouse(Yield yield)
    {
        while (!m_dispatch.draining) {
            sleepFor(m_io, housekeeping, yield);
            m_log.reportLeftOut();
            measure();
            m_dispatch.gate.forgetOld(
                [this](const HostId &host) { return m_fleet.servers.find(host) != nullptr; },
                m_clock.now());
            if (m_dispatch.catalog)
                measureServers(m_dispatch.gate, m_fleet.servers, *m_dispatch.catalog, m_metrics,
                               m_clock.now());
            logStoreCalls();
            if (fileChanged())
                reload("file");
        }
    }

    // What this daemon asks of the store, so far and by kind: calls are paid for, and limited over
    // all daemons together.
    void logStoreCalls()
    {
        if (m_clock.now() - m_callsLoggedAt < callsLogInterval)
            return;
        m_callsLoggedAt = m_clock.now();
        logInfo("daemon", "store calls so far",
                { { "calls", m_store.callsMade() },
                  { "is_relay", m_relays.isRelay() },
                  { "is_planner", m_role.holds(m_clock.now()) } });
    }

    // What is read off rather than counted.
    void measure()
    {
        const MonotonicTime now = m_clock.now();
        const auto set = [this](const char *name, double value) {
            m_metrics.set(MetricName(name), value);
        };
        set("catalog_version",
            m_dispatch.catalog ? static_cast<double>(m_dispatch.catalog->version().count()) : 0);
        set("catalog_age_ms", toMilliseconds(m_dispatch.freshness.age(now).value_or(Duration {})));
        set("store_reachable", m_fleet.storeReachable ? 1 : 0);
        set("servers", static_cast<double>(m_fleet.servers.servers().size()));
        set("unreadable_entries_total", static_cast<double>(m_fleet.unreadableEntries));
        set("targets", static_cast<double>(m_dispatch.targets.size()));
        set("planned_replicas", static_cast<double>(m_fleet.plan.replicas.size()));
        set("is_relay", m_relays.isRelay() ? 1 : 0);
        for (const auto &[kind, calls] : m_store.callsMade())
            m_metrics.set(MetricName("store_calls_total").with("kind", kind),
                          static_cast<double>(calls));
        set("is_planner", m_role.holds(now) ? 1 : 0);
        set("requests_suspected", static_cast<double>(m_dispatch.quarantine.suspects()));
        set("requests_quarantined", static_cast<double>(m_dispatch.quarantine.held().size()));
        set("loop_failures_total", static_cast<double>(m_loops.failures()));
        set("open_requests", m_callers->openExchanges());
        set("connections_made", static_cast<double>(m_client->connectionsMade()));
        set("answers_skipped_total", static_cast<double>(m_client->answersSkipped()));
        set("log_lines_dropped", static_cast<double>(droppedLogLines()));
    }

    // The settings file may change without a signal. True for the first look: a change between the
    // reading at the start and that look would be taken for the file as it was read.
    bool fileChanged()
    {
        std::error_code ec;
        const auto written = std::filesystem::last_write_time(m_settingsPath, ec);
        if (ec || written == m_settingsWritten)
            return false;
        m_settingsWritten = written;
        return true;
    }

    void awaitReload()
    {
        m_reloadSignal.async_wait([this](const auto &ec, int) {
            if (ec)
                return;
            awaitReload(); // First: what the reload may throw must not end the waiting.
            reload("signal");
        });
    }

    // Takes over what can change while the daemon runs, and says so of the rest.
    void reload(const char *why)
    {
        const Result<std::string> text = readFile(m_settingsPath);
        const Result<FleetSettings> changed =
            text.ok() ? parseFleetSettings(text.value()) : Result<FleetSettings>(text.error());
        if (!changed.ok()) {
            logError("daemon", "settings not reloaded",
                     { { "why", why }, { "error", changed.error().message() } });
            return;
        }
        m_dispatch.budgetOptions = { changed.value().retryRatio, changed.value().retrySlack,
                                     changed.value().retryWindow };
        logInfo("daemon", "settings reloaded", { { "why", why } });
    }

    void stop(Yield yield)
    {
        const DrainSchedule schedule(m_clock.now(), m_settings.stopGrace);
        m_dispatch.draining = true;
        m_callers->announceClose();
        logInfo("daemon", "stopping", { { "open_requests", m_callers->openExchanges() } });
        m_role.stop();
        m_linkKey.stop();
        m_formation.stop();
        m_suspicions.stop();
        m_registration.stop();
        spawnCoroutine(m_io, [this](Yield inner) {
            m_role.release(inner);
            m_registration.release(inner);
        });
        sleepFor(m_io, schedule.takesUntil() - m_clock.now(), yield);
        m_callers->stopAccepting();
        while (m_callers->openExchanges() > 0 && m_clock.now() < schedule.endsAt())
            sleepFor(m_io, drainPoll, yield);
        if (m_callers->openExchanges() > 0)
            logWarning("daemon", "the grace ends with requests in progress",
                       { { "requests", m_callers->openExchanges() } });
        m_quarantine.stop();
        m_sync.stop();
        m_relays.stop();
        m_io.stop();
    }

    FleetSettings m_settings;
    std::string m_settingsPath;
    MonotonicTime m_callsLoggedAt;
    std::filesystem::file_time_type m_settingsWritten; // When the file was last seen to change.
    SystemClock m_clock;
    IoContext m_io { 1 };
    LoopKeeper m_loops { m_io, m_clock };
    Metrics m_metrics;
    DecisionLog m_log;
    std::unique_ptr<HttpClient> m_client;
    platform::KvClient m_store;
    platform::WireRequestCodec m_codec;
    platform::WireStatementDecoder m_statements;
    platform::StoreDocuments m_documents;
    FleetState m_fleet;
    DispatchState m_dispatch;
    UpstreamClient m_upstreams;
    platform::OrderClient m_orders;
    Dispatcher m_dispatcher;
    StatusHandler m_status;
    StoreSync m_sync;
    RelayNode m_relays;
    KeyHolder m_registration;
    KeyHolder m_role;
    LinkKeyWriter m_linkKey;
    FormationRunner m_formation;
    SuspicionReporter m_suspicions;
    QuarantineKeeper m_quarantine;
    boost::asio::signal_set m_stopSignals;
    boost::asio::signal_set m_reloadSignal;
    std::shared_ptr<HttpServer> m_callers;
    std::shared_ptr<HttpServer> m_readiness;
    std::shared_ptr<HttpServer> m_metricsServer; // Null if no address is set.
};

} // namespace

Status runFleetDaemon(const FleetSettings &settings, const std::string &settingsPath)
{
    // Never destroyed: suspended coroutines refer to its parts, and the process ends next.
    return (new FleetDaemon(settings, settingsPath))->run();
}

} // namespace ramphinge
