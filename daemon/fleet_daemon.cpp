// The daemon on a platform: see fleet_daemon.h.

#include "daemon/fleet_daemon.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <set>

#include <malloc.h>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "daemon/server_report.h"
#include "daemon/status_handler.h"
#include "platform/documents.h"
#include "platform/kv_client.h"
#include "platform/order_client.h"
#include "platform/request_codec.h"
#include "platform/statement_decoder.h"
#include "ramphinge/base/process_status.h"
#include "ramphinge/dispatch/dispatcher.h"
#include "ramphinge/fleet_control/contact_reporter.h"
#include "ramphinge/fleet_control/drain_schedule.h"
#include "ramphinge/fleet_control/formation_runner.h"
#include "ramphinge/fleet_control/quarantine_sync.h"
#include "ramphinge/fleet_control/relay_slot.h"
#include "ramphinge/fleet_control/store_sync.h"
#include "ramphinge/fleet_control/suspicion_reporter.h"
#include "ramphinge/fleet_control/write_once_key.h"
#include "ramphinge/limits/concurrency_limit.h"
#include "ramphinge/net/loop_keeper.h"
#include "ramphinge/observe/log.h"
#include "ramphinge/observe/processor_use.h"
#include "ramphinge/observe/start_steps.h"
#include "ramphinge/relay/relay_node.h"
#include "ramphinge/settings/resource_plan.h"
#include "ramphinge/settings/settings.h"

namespace ramphinge {

namespace {

// Part of the key revocation bound that is reserved for a request's way to the upstream: a removed
// key must stop working there within the bound, too.
constexpr Duration revocationMargin = std::chrono::milliseconds(500);
constexpr Duration drainPollInterval = std::chrono::milliseconds(20);
constexpr Duration housekeepingInterval = std::chrono::seconds(1);
// How long news of what can be reached waits for further news.
constexpr Duration reachabilityInterval = std::chrono::milliseconds(25);
// A connection between zones takes 3 ms. Ends before the next daemon of the zone would probe.
constexpr Duration reachabilityProbeTimeout = std::chrono::milliseconds(200);
// How often contact with the servers is checked: while it is sound, and otherwise.
constexpr Duration contactInterval = std::chrono::milliseconds(100);
constexpr Duration unsoundContactInterval = std::chrono::milliseconds(25);
// A server responds within milliseconds.
constexpr Duration contactProbeTimeout = std::chrono::milliseconds(200);
// A probe that fails later than this after its timeout was delayed by this process.
constexpr Duration maxContactProbeDelay = std::chrono::milliseconds(50);
// How often the delay of the event loop is measured.
constexpr Duration loopDelayInterval = std::chrono::milliseconds(20);
constexpr Duration minLoggedLoopDelay = std::chrono::milliseconds(200);
constexpr Duration callsLogInterval = std::chrono::seconds(10);
constexpr Duration memoryLogInterval = std::chrono::seconds(10);
// Lifetime of the planner's lease, renewed at a third of it, so that it survives two failed
// renewals. After a planner's crash nobody plans until it expires.
constexpr Duration plannerLeaseLifetime = std::chrono::seconds(2);
// A daemon with a smaller share of a processor becomes the planner only if no other daemon wants
// the role: the planner reads all store changes and replans at each one, beside serving its own
// requests. Each failed attempt to acquire the role also costs three store calls: when 68 daemons
// (six with half a processor, the others with an eighth) started at once, they made 140 such
// attempts in 75 s.
constexpr double minPlannerProcessorShare = 0.25;
// Delay before a daemon below that share tries to acquire the role: by then a daemon above it holds
// the role and the others know.
constexpr Duration smallDaemonAcquireDelay = std::chrono::milliseconds(1800);
constexpr Duration registrationLeaseLifetime = std::chrono::seconds(9);
constexpr int connectionsPerUpstream = 24;
// The balancer's questions and scrapes have no body.
constexpr std::size_t maxStatusBodyBytes = 1024;
// For files, the store and links.
constexpr double reservedShareOfDescriptors = 0.08;
// What a request may hold beside its body: buffers, copies of its head, its handling.
constexpr std::size_t maxRequestOverheadBytes = 256 * 1024;
constexpr std::uint32_t forwardHeadBytes = 1024; // What forwarding adds to a head.
constexpr Duration forwardIdleTimeout = std::chrono::seconds(10);

// Closes new connections unread while the event loop is overloaded: their callers find another
// daemon, and forwarding a request would cost as much as serving it.
class OverloadPolicy : public ConnectionPolicy
{
public:
    explicit OverloadPolicy(const Clock &clock) : limit({}, clock.now()), m_clock(clock) { }

    bool admits(int inProgress) const override { return limit.admits(inProgress, m_clock.now()); }

    ConcurrencyLimit limit;

private:
    const Clock &m_clock;
};

class FleetDaemon
{
public:
    FleetDaemon(const FleetSettings &settings, std::string settingsPath)
        : m_settings(settings), m_settingsPath(std::move(settingsPath)), m_log(m_clock, {}),
          m_startSteps(m_clock, m_log),
          m_client(HttpClient::create(m_io, connectionsPerUpstream, m_plan.upstreams)),
          m_store(m_io, storeOptions(settings)),
          m_dispatch(CatalogFreshness(settings.keyRevocation, revocationMargin),
                     TargetTable(tableOptions(settings), entropySeed()),
                     { settings.retryRatio, settings.retrySlack, settings.retryWindow },
                     ServerGate({ settings.coldOvershoot, settings.coldTolerance })),
          m_upstreams(*m_client, m_statements, m_dispatch.gate, m_dispatch.reachability,
                      m_dispatch.contacts, m_clock, m_log, m_metrics),
          m_orders(m_upstreams), m_dispatcher(m_io, m_clock, {}, m_codec, m_upstreams, m_orders,
                                              m_quarantine, m_dispatch, m_log, m_metrics),
          m_status(
              [this] { return isReady(); },
              [this] { return serversAsJson(m_dispatch.gate, m_fleet.servers, m_clock.now()); },
              m_metrics),
          m_sync(
              m_io, m_clock, syncOptions(settings), m_store, m_documents, m_fleet, m_dispatch,
              m_log, [this] { return m_role.holds(m_clock.now()); }, [this] { onFleetChange(); }),
          m_relays(m_io, m_clock, relayOptions(settings, m_plan), m_log, m_metrics),
          m_relaySlot(m_io, m_clock, relaySlotOptions(settings), m_store, m_fleet, m_log,
                      [this](const LinkDirectory &directory) { applyLinkDirectory(directory); }),
          m_registration(m_io, m_clock, registrationOptions(settings), m_store, m_fleet, m_log),
          m_role(m_io, m_clock, roleOptions(settings), m_store, m_fleet, m_log),
          m_linkKey(m_io, m_clock, linkKeyOptions(), m_store, m_fleet, m_role, m_log),
          m_keyRequirement(m_io, m_clock, keyRequirementOptions(m_dispatch), m_store, m_fleet,
                           m_role, m_log),
          m_formation(m_io, m_clock, formationOptions(settings), m_store, m_fleet, m_dispatch,
                      m_role, m_orders, m_log, m_metrics, [this] { onFleetChange(); }),
          m_suspicions(m_io, { settings.daemon, settings.zone }, m_store, m_fleet, m_dispatch,
                       m_registration, m_role, m_clock, m_log),
          m_contactReports(m_io, { settings.daemon }, m_store, m_fleet, m_dispatch.contacts,
                           m_registration, m_clock, m_log),
          m_quarantine(m_io, quarantineOptions(settings), m_store, m_fleet, m_dispatch.quarantine,
                       m_role, m_clock, m_log),
          m_stopSignals(m_io, SIGTERM, SIGINT), m_reloadSignal(m_io, SIGHUP)
    {
        m_dispatch.startedAt = m_clock.now();
        m_dispatch.self = settings.daemon;
        m_dispatch.maxForwardedRequests = m_plan.forwardedRequests;
        m_dispatch.answerMemory.setCapacity(m_plan.answerMemoryBytes);
        m_dispatch.contacts.onProbeRequested([this] { m_contactSignal.notify(); });
        // A planner that reaches no server can neither judge nor order any.
        m_role.holdOnlyWhile([this] { return !m_dispatch.hasLostAnyEngine(); });
        m_dispatch.shortObjective = settings.shortObjective;
        m_dispatch.accountPolicy = &m_dispatch.accountShares;
        m_dispatch.gate.setServingCheck([this](const HostId &host) {
            const UpstreamServer *server = m_fleet.servers.find(host);
            return server != nullptr && !server->draining;
        });
        m_relays.shareLoads([this] { return ownLoad(); },
                            [this](const SharedLoad &others) { applyOthersLoad(others); });
        m_relays.shareServerUpdates(
            [this] { return m_dispatch.gate.takeUpdate(m_clock.now()); },
            [this](const ServerUpdate &update) { applyServerUpdate(update); });
        m_relays.shareReachability(
            [this](bool forwards) {
                return m_dispatch.reachability.takeUpdates(forwards, m_clock.now());
            },
            [this](const std::vector<ReachabilityUpdate> &updates) {
                applyReachabilityUpdates(updates);
            });
        // Posted, since the callback runs while a request chooses its server.
        m_upstreams.onLeaving([this] { boost::asio::post(m_io, [this] { onFleetChange(); }); });
        m_sync.useRelays(m_relays, m_relays, [this] { return m_relays.isRelay(); });
        if (usesRelays())
            m_sync.limitBulkReads(m_relaySlot);
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
        if (usesRelays())
            m_loops.keep("relay_slot", [this](Yield yield) { m_relaySlot.run(yield); });
        m_loops.keep("registration", [this](Yield yield) { m_registration.run(yield); });
        m_loops.keep("role", [this](Yield yield) { m_role.run(yield); });
        m_loops.keep("link_key", [this](Yield yield) { m_linkKey.run(yield); });
        m_loops.keep("key_requirement", [this](Yield yield) { m_keyRequirement.run(yield); });
        m_loops.keep("formation", [this](Yield yield) { m_formation.run(yield); });
        m_loops.keep("contact_reports", [this](Yield yield) { m_contactReports.run(yield); });
        m_loops.keep("suspicions", [this](Yield yield) { m_suspicions.run(yield); });
        m_loops.keep("quarantine", [this](Yield yield) { m_quarantine.run(yield); });
        m_loops.keep("reachability", [this](Yield yield) { runReachability(yield); });
        m_loops.keep("contact", [this](Yield yield) { runContact(yield); });
        m_loops.keep("loop_delay", [this](Yield yield) { runLoopDelay(yield); });
        m_loops.keep("housekeeping", [this](Yield yield) { runHousekeeping(yield); });
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

    // A call that began while the store was unreachable times out halfway through the connectivity
    // grace, which leaves time for another call before the daemon's view has to be up to date.
    static platform::KvClientOptions storeOptions(const FleetSettings &settings)
    {
        platform::KvClientOptions options;
        options.address = settings.store;
        options.timeout = std::min(options.timeout, settings.connectivityGrace / 2);
        return options;
    }

    static StoreSyncOptions syncOptions(const FleetSettings &settings)
    {
        StalenessBounds bounds;
        bounds.changeInForce = std::min(settings.changeInForce, settings.leaveInForce);
        if (settings.evacuationInForce)
            bounds.changeInForce = std::min(bounds.changeInForce, *settings.evacuationInForce);
        bounds.connectivityGrace = settings.connectivityGrace;
        bounds.serverHeartbeat = settings.serverHeartbeat;
        if (settings.keyRevocation)
            bounds.proofLifetime = *settings.keyRevocation - revocationMargin;
        return storeSyncOptions(bounds);
    }

    static DaemonRegistration registrationOf(const FleetSettings &settings)
    {
        return { settings.daemon, settings.zone, settings.links.value_or(Endpoint()),
                 settings.processorShare, settings.forwards.value_or(Endpoint()) };
    }

    static RelayNodeOptions relayOptions(const FleetSettings &settings, const ResourcePlan &plan)
    {
        RelayNodeOptions options;
        options.self = registrationOf(settings);
        options.choice.minDaemons = settings.relaysFrom;
        options.maxUnprovedLinks = plan.unprovedLinks;
        return options;
    }

    static RelaySlotOptions relaySlotOptions(const FleetSettings &settings)
    {
        RelaySlotOptions options;
        options.self = registrationOf(settings);
        options.choice.minDaemons = settings.relaysFrom;
        return options;
    }

    // Otherwise each daemon reads the store itself.
    bool usesRelays() const
    {
        return m_settings.links && syncOptions(m_settings).maxRelayedAge > Duration::zero();
    }

    static KeyHolderOptions registrationOptions(const FleetSettings &settings)
    {
        KeyHolderOptions options;
        options.key = FleetKeys::daemon(settings.daemon);
        options.value = serializeRegistration(registrationOf(settings));
        options.lifetime = registrationLeaseLifetime;
        options.renewalInterval = registrationLeaseLifetime / 3;
        options.replaceExisting = true;
        return options;
    }

    static KeyHolderOptions roleOptions(const FleetSettings &settings)
    {
        KeyHolderOptions options;
        options.key = FleetKeys::planner();
        options.value = settings.daemon.text();
        options.lifetime = plannerLeaseLifetime;
        options.renewalInterval = plannerLeaseLifetime / 3;
        if (settings.processorShare < minPlannerProcessorShare)
            options.acquireDelay = smallDaemonAcquireDelay;
        return options;
    }

    static FormationRunnerOptions formationOptions(const FleetSettings &settings)
    {
        FormationRunnerOptions options;
        options.orders.loadWindow = settings.loadWindow;
        return options;
    }

    static QuarantineSyncOptions quarantineOptions(const FleetSettings &settings)
    {
        QuarantineSyncOptions options;
        options.daemon = settings.daemon;
        return options;
    }

    HttpServerOptions portOptions()
    {
        HttpServerOptions options;
        options.memory = &m_connectionMemory;
        return options;
    }

    // Options of the callers' port until a catalog is known.
    HttpServerOptions callerOptions()
    {
        HttpServerOptions options = portOptions();
        options.maxConnections = m_plan.callers;
        options.connectionPolicy = &m_overload;
        return options;
    }

    HttpServerOptions statusOptions()
    {
        HttpServerOptions options = portOptions();
        options.maxConnections = m_plan.status;
        options.maxBodyBytes = maxStatusBodyBytes;
        return options;
    }

    HttpServerOptions forwardOptions()
    {
        HttpServerOptions options = portOptions();
        options.maxConnections = m_plan.forwards;
        options.idleTimeout = forwardIdleTimeout;
        return options;
    }

    Status listen()
    {
        auto callers = HttpServer::listen(m_io, m_settings.callers, callerOptions(), m_dispatcher);
        if (!callers.ok())
            return callers.error();
        m_callerServer = callers.value();
        auto readiness = HttpServer::listen(m_io, m_settings.readiness, statusOptions(), m_status);
        if (!readiness.ok())
            return readiness.error();
        m_readinessServer = readiness.value();
        if (m_settings.forwards) {
            auto forwards = HttpServer::listen(m_io, *m_settings.forwards, forwardOptions(),
                                               m_dispatcher.forwardHandler());
            if (!forwards.ok())
                return forwards.error();
            m_forwardServer = forwards.value();
        }
        if (!m_settings.metrics)
            return Done {};
        auto metrics = HttpServer::listen(m_io, *m_settings.metrics, statusOptions(), m_status);
        if (!metrics.ok())
            return metrics.error();
        m_metricsServer = metrics.value();
        return Done {};
    }

    // Whether the load balancer should send callers to this daemon.
    bool isReady() const
    {
        return !m_dispatch.draining && m_dispatch.catalog != nullptr
            && (!m_dispatch.needsFreshCatalog()
                || m_dispatch.freshness.isWithinBound(m_clock.now()));
    }

    SharedLoad ownLoad() const
    {
        const MonotonicTime now = m_clock.now();
        return { m_dispatch.targets.ownLoad(), m_dispatch.demand.own(now),
                 m_dispatch.accountShares.own(now) };
    }

    void applyOthersLoad(const SharedLoad &others)
    {
        const MonotonicTime now = m_clock.now();
        m_dispatch.targets.setOthersLoad(others.targetLoads, now);
        m_dispatch.demand.setOthersWork(others.work, now);
        m_dispatch.accountShares.setOthers(others.accounts, now);
        updateStartRates();
    }

    void updateStartRates()
    {
        std::map<ModelId, RequestRate> rates;
        if (m_dispatch.catalog) {
            for (const ServiceEntry &service : m_dispatch.catalog->services()) {
                if (!service.engine || !m_dispatch.admitsByModel(service.service))
                    continue;
                for (const ModelProfile &model : service.engine->models) {
                    if (const auto rate = startRateOf(service, model.model))
                        rates.emplace(model.model, *rate);
                }
            }
        }
        m_dispatch.accountShares.setStartRates(std::move(rates));
    }

    // The rate at which the model's replicas can start requests; nothing before any was observed.
    std::optional<RequestRate> startRateOf(const ServiceEntry &service, const ModelId &model) const
    {
        const MonotonicTime now = m_clock.now();
        const auto replicaRate = m_dispatch.demand.rateOfReplica(*service.engine, model, now);
        if (!replicaRate)
            return std::nullopt;
        const std::vector<HostId> heads =
            m_dispatch.targets.candidates({ service.service, model, {}, {}, nullptr }, now);
        const auto usable = std::count_if(heads.begin(), heads.end(), [this](const HostId &head) {
            return m_dispatch.gate.takesRequests(head);
        });
        return RequestRate(replicaRate->perSecond() * static_cast<double>(usable));
    }

    // Logs which accounts have begun or ceased to exceed their share, and counts them by model.
    void reportAccountShares()
    {
        const MonotonicTime now = m_clock.now();
        AccountShares &shares = m_dispatch.accountShares;
        shares.forgetOld(now);
        for (const AccountShareChange &change : shares.takeChanges(now)) {
            nlohmann::json fields { { "model", change.model.text() },
                                    { "account", change.share.account.text() },
                                    { "over", change.share.isOver },
                                    { "per_second", change.share.load.recent.perSecond() },
                                    { "usual_per_second", change.share.load.usual.perSecond() },
                                    { "share_per_second", change.share.share.perSecond() },
                                    { "start_rate", change.startRate.perSecond() } };
            if (change.othersAge)
                fields["others_age_ms"] = toMilliseconds(*change.othersAge);
            m_log.write("account_over_share", LogWeight::Routine, std::move(fields));
        }
        for (const auto &[model, over] : shares.overByModel())
            m_metrics.set(MetricName("account_share_over").with("model", model.text()), over);
    }

    // How this daemon finds relays before it has a view of the store.
    void applyLinkDirectory(const LinkDirectory &directory)
    {
        if (m_fleet.synced)
            return;
        const std::size_t relays = entriesOfZone(directory.relays, m_settings.zone).size();
        const bool hasKey = !directory.linkKey.empty();
        m_startSteps.reached("directory", { { "relays", relays }, { "link_key", hasKey } });
        if (relays > 0 && hasKey)
            m_startSteps.reached("relays_known", { { "relays", relays } });
        if (hasKey)
            m_relays.setKey(directory.linkKey);
        m_relays.setDaemons({}, directory.relays);
    }

    void applyServerUpdate(const ServerUpdate &update)
    {
        applyServerLimitUpdates(update.limits);
        bool changed = false;
        for (const HostId &host : update.leaving) {
            if (!m_dispatch.gate.noteLeaving(host))
                continue;
            changed = true;
            m_log.write("server_leaving", LogWeight::Belief,
                        { { "host", host.text() }, { "change", "stated" }, { "told", true } });
        }
        if (changed)
            onFleetChange();
    }

    void applyServerLimitUpdates(const std::vector<ServerLimitUpdate> &updates)
    {
        for (const ServerLimitUpdate &limit : updates) {
            const bool isInFleet = m_fleet.servers.find(limit.server.host) != nullptr;
            const LimitChange change =
                m_dispatch.gate.limits().applyUpdate(limit, m_clock.now(), isInFleet);
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

    // A server's own announcement that it leaves overrides its store entry, which may be older.
    void markLeaving()
    {
        for (const HostId &host : m_dispatch.gate.departures().servers()) {
            if (m_fleet.servers.markDraining(host))
                m_client->forget(m_fleet.servers.find(host)->endpoint);
        }
    }

    // Updates what the gate knows from the servers' entries: which servers are in an evacuated
    // zone, and which targets are cold. Members of replicas other than heads get no requests.
    void updateGate()
    {
        const MonotonicTime now = m_clock.now();
        std::set<HostId> evacuated;
        std::vector<ColdServer> cold;
        for (const auto &[host, server] : m_fleet.servers.servers()) {
            if (m_fleet.evacuatedZones.count(server.zone) > 0)
                evacuated.insert(host);
            if (server.coldUntil <= now || !m_dispatch.catalog)
                continue;
            const ServiceEntry *service = m_dispatch.catalog->findService(server.service);
            const bool isHead = server.membership && server.membership->rank == 0;
            if (service != nullptr && service->coldRate.perSecond() > 0
                && (isHead || !service->engine))
                cold.push_back({ { host, server.zone }, service->coldRate, server.coldUntil });
        }
        m_dispatch.gate.setEvacuated(std::move(evacuated));
        m_dispatch.gate.setColdServers(cold, now);
    }

    void logStartSteps()
    {
        if (m_fleet.synced)
            m_startSteps.reached("view", { { "servers", m_fleet.servers.servers().size() } });
        if (m_dispatch.catalog)
            m_startSteps.reached("catalog",
                                 { { "version", m_dispatch.catalog->version().count() } });
        if (m_dispatch.targets.size() > 0)
            m_startSteps.reached("targets", { { "targets", m_dispatch.targets.size() } });
        if (isReady())
            m_startSteps.reached("ready");
    }

    void onFleetChange()
    {
        updateFromView();
        logStartSteps();
    }

    void updateFromView()
    {
        markLeaving();
        updateGate();
        const auto linkKey = m_fleet.daemonKeys.find(FleetKeys::linkKey());
        if (linkKey != m_fleet.daemonKeys.end()) {
            m_relays.setKey(linkKey->second.value);
            m_dispatch.fingerprintKey = linkKey->second.value;
        }
        m_dispatcher.serversChanged(m_fleet.servers);
        m_quarantine.applyStoredReports();
        const std::vector<DaemonRegistration> daemons = m_fleet.daemons();
        const RelayDirectory directory = parseRelayDirectory(m_fleet.daemonKeys);
        m_relays.setDaemons(daemons, directory);
        m_relaySlot.setDaemons(daemons, directory);
        updateLimitSharers(daemons);
        if (!m_dispatch.catalog)
            return;
        updateReachability(daemons);
        updateForwards(daemons);
        m_dispatch.targets.rebuild(m_fleet.servers, m_fleet.plan, *m_dispatch.catalog);
        m_dispatch.targets.setSharers(countInZone(daemons, m_settings.zone));
        m_dispatch.noteDaemons(static_cast<int>(daemons.size()));
        for (const Endpoint &endpoint : m_dispatch.targets.takeRemovedEndpoints())
            m_client->forget(endpoint);
        applyCallerLimits(m_dispatch.catalog->limits());
    }

    void updateLimitSharers(const std::vector<DaemonRegistration> &daemons)
    {
        std::vector<RegisteredDaemon> sharers;
        for (const DaemonRegistration &daemon : daemons)
            sharers.push_back({ daemon.daemon, daemon.zone });
        m_dispatch.gate.setDaemons({ m_settings.daemon, m_settings.zone }, sharers, m_clock.now());
    }

    // Beliefs are held of all hosts where any service is latency-sensitive: a path that fails does
    // so for the plain services beside it, too. Elsewhere there is time for a connection that times
    // out.
    void updateReachability(const std::vector<DaemonRegistration> &daemons)
    {
        std::map<HostId, ZoneId> hosts;
        if (m_dispatch.hasLatencySensitiveService()) {
            for (const auto &[host, server] : m_fleet.servers.servers())
                hosts.emplace(host, server.zone);
        }
        std::vector<DaemonId> daemonsOfZone;
        for (const DaemonRegistration &daemon : daemons) {
            if (daemon.zone == m_settings.zone)
                daemonsOfZone.push_back(daemon.daemon);
        }
        m_dispatch.reachability.setDaemons(m_settings.daemon, m_settings.zone, daemonsOfZone);
        m_dispatch.reachability.setHosts(hosts);
    }

    void updateContactHosts()
    {
        if (m_contactGeneration == m_fleet.servers.generation())
            return;
        m_contactGeneration = m_fleet.servers.generation();
        std::map<ServiceId, std::vector<HostId>> hosts;
        for (const auto &[host, server] : m_fleet.servers.servers()) {
            if (!server.draining)
                hosts[server.service].push_back(host);
        }
        m_dispatch.contacts.setHosts(hosts);
    }

    void updateForwards(const std::vector<DaemonRegistration> &daemons)
    {
        std::vector<ForwardPeer> peers;
        for (const DaemonRegistration &daemon : daemons) {
            if (daemon.daemon != m_settings.daemon && daemon.forwards.port != 0)
                peers.push_back({ daemon.daemon, daemon.zone, daemon.forwards,
                                  m_fleet.lostServices(daemon.daemon) });
        }
        m_dispatch.forwards.setPeers(std::move(peers), m_settings.zone);
    }

    void applyReachabilityUpdates(const std::vector<ReachabilityUpdate> &updates)
    {
        for (const ReachabilityUpdate &update : updates) {
            const ReachabilityVerdict verdict =
                m_dispatch.reachability.apply(update, m_clock.now());
            m_metrics.count(
                MetricName("reachability_updates_total").with("verdict", toString(verdict)));
        }
    }

    void runReachability(Yield yield)
    {
        Reachability &reachability = m_dispatch.reachability;
        while (!m_dispatch.draining) {
            sleepFor(m_io, reachability.empty() ? housekeepingInterval : reachabilityInterval,
                     yield);
            if (reachability.empty())
                continue;
            for (const HostId &host : reachability.takeProbes(m_clock.now()))
                probeReachability(host);
            if (!m_dispatch.contacts.isSound())
                reachability.discardOwnUpdates(); // They are about this daemon, not about hosts.
            m_relays.sendReachability();
            for (const ReachabilityEvent &event : reachability.takeEvents(m_clock.now()))
                logReachability(event);
        }
    }

    void probeReachability(const HostId &host)
    {
        const UpstreamServer *const server = m_fleet.servers.find(host);
        if (server == nullptr)
            return;
        const ServerAddress address { server->host, server->endpoint, server->zone,
                                      server->service };
        spawnCoroutine(m_io, [this, address](Yield yield) {
            const bool isReachable = m_upstreams.probe(address, reachabilityProbeTimeout, yield);
            m_metrics.count(MetricName("reachability_probes_total")
                                .with("result", isReachable ? "reachable" : "unreachable"));
        });
    }

    // Also while the daemon drains, since it goes on to serve.
    void runContact(Yield yield)
    {
        ServerContacts &contacts = m_dispatch.contacts;
        while (true) {
            m_contactSignal.wait(contacts.isSound() ? contactInterval : unsoundContactInterval,
                                 yield);
            updateContactHosts();
            for (const ServerContacts::Probe &probe : contacts.takeProbes(m_clock.now()))
                probeContact(probe);
            logContacts();
        }
    }

    void probeContact(const ServerContacts::Probe &probe)
    {
        const UpstreamServer *const server = m_fleet.servers.find(probe.host);
        if (server == nullptr) {
            noteContactProbe(probe, ContactProbeResult::Inconclusive);
            return;
        }
        spawnCoroutine(m_io, [this, probe, address = server->address()](Yield yield) {
            const MonotonicTime startedAt = m_clock.now();
            if (m_orders.responds(address, contactProbeTimeout, yield)) {
                noteContactProbe(probe, ContactProbeResult::Answered);
                return;
            }
            const Duration took = m_clock.now() - startedAt;
            noteContactProbe(probe,
                             took > contactProbeTimeout + maxContactProbeDelay
                                 ? ContactProbeResult::Inconclusive
                                 : ContactProbeResult::Failed);
        });
    }

    void noteContactProbe(const ServerContacts::Probe &probe, ContactProbeResult result)
    {
        m_dispatch.contacts.of(probe.service).noteProbe(probe.host, result, m_clock.now());
        m_metrics.count(MetricName("contact_probes_total")
                            .with("service", probe.service.text())
                            .with("result", toString(result)));
        logContacts();
    }

    // Logs changes of the contact with the servers.
    void logContacts()
    {
        if (!m_dispatch.catalog)
            return;
        for (const ServiceEntry &service : m_dispatch.catalog->services()) {
            const ContactState state = m_dispatch.contacts.stateOf(service.service);
            ContactState &logged = m_loggedContacts[service.service];
            if (state == logged)
                continue;
            const ContactState before = std::exchange(logged, state);
            m_metrics.count(MetricName("server_contact_changes_total")
                                .with("service", service.service.text())
                                .with("state", toString(state)));
            m_log.write("server_contact", LogWeight::Belief,
                        { { "service", service.service.text() },
                          { "state", toString(state) },
                          { "before", toString(before) },
                          { "is_planner", m_role.holds(m_clock.now()) } });
        }
    }

    void logReachability(const ReachabilityEvent &event)
    {
        m_metrics.count(MetricName("reachability_changes_total")
                            .with("scope", toString(event.scope))
                            .with("change", toString(event.change))
                            .with("source", toString(event.source)));
        m_log.write("reachability", LogWeight::Belief,
                    { { "scope", toString(event.scope) },
                      { "host", event.host.text() },
                      { "zone", event.zone.text() },
                      { "change", toString(event.change) },
                      { "evidence", toString(event.source) },
                      { "age_ms", toMilliseconds(event.age) } });
    }

    // The configuration's limit, unless the process has no memory for one such body.
    std::size_t acceptedBodyBytes(std::size_t configured)
    {
        const std::size_t most = m_connectionMemory.largestRequestBytes() - maxRequestOverheadBytes;
        const std::size_t accepted = std::min(configured, most);
        m_metrics.set(MetricName("body_limit_bytes"), static_cast<double>(accepted));
        if (accepted < configured && std::exchange(m_loggedBodyLimit, configured) != configured)
            logWarning("daemon", "body_limit_exceeds_memory",
                       { { "configured_bytes", configured }, { "accepted_bytes", accepted } });
        return accepted;
    }

    void applyCallerLimits(const CallerLimits &limits)
    {
        HttpServerOptions options = callerOptions();
        options.maxBodyBytes = acceptedBodyBytes(limits.bodyBytes);
        options.maxHeadBytes = static_cast<std::uint32_t>(
            std::min<std::size_t>(limits.headerBytes, std::numeric_limits<std::uint32_t>::max()));
        options.headTimeout = limits.headerTimeout;
        options.idleTimeout = limits.idleTimeout;
        m_callerServer->setOptions(options);
        if (m_forwardServer == nullptr)
            return;
        HttpServerOptions forwards = forwardOptions();
        forwards.maxBodyBytes = options.maxBodyBytes;
        forwards.maxHeadBytes = options.maxHeadBytes + forwardHeadBytes;
        m_forwardServer->setOptions(forwards);
    }

    int openExchanges() const
    {
        return m_callerServer->openExchanges()
            + (m_forwardServer == nullptr ? 0 : m_forwardServer->openExchanges());
    }

    // Measures how late the event loop runs what is due, and limits the requests in progress by it.
    void runLoopDelay(Yield yield)
    {
        while (true) {
            const MonotonicTime due = m_clock.now() + loopDelayInterval;
            sleepFor(m_io, loopDelayInterval, yield);
            const Duration delay = m_clock.now() - due;
            m_maxLoopDelay = std::max(m_maxLoopDelay, delay);
            m_longestLoopDelay = std::max(m_longestLoopDelay, delay);
            if (delay >= minLoggedLoopDelay)
                m_log.write("loop_late", LogWeight::Belief, { { "by_ms", toMilliseconds(delay) } });
            for (const auto &server : { m_callerServer, m_forwardServer })
                if (server != nullptr)
                    server->noteLoopDelay(delay);
            m_client->limitOpen(descriptorsForUpstreams());
            const ConcurrencyLimitChange change =
                m_overload.limit.noteDelay(delay, m_callerServer->inProgress(), m_clock.now());
            if (change != ConcurrencyLimitChange::None)
                logOverload(change, delay);
        }
    }

    // What the other ports leave of the descriptors.
    int descriptorsForUpstreams() const
    {
        int others = m_relays.openLinks();
        for (const auto &server :
             { m_callerServer, m_forwardServer, m_readinessServer, m_metricsServer })
            others += server == nullptr ? 0 : server->openConnections();
        const int reserved =
            static_cast<int>(m_settings.fileDescriptors * reservedShareOfDescriptors);
        return m_settings.fileDescriptors - reserved - others;
    }

    void logOverload(ConcurrencyLimitChange change, Duration delay)
    {
        m_log.write("concurrency_limit", LogWeight::Belief,
                    { { "change", toString(change) },
                      { "limit", m_overload.limit.limit().value_or(0) },
                      { "in_progress", m_callerServer->inProgress() },
                      { "loop_delay_ms", toMilliseconds(delay) },
                      { "closed_unread", m_callerServer->connectionsNotAdmitted() } });
    }

    void runHousekeeping(Yield yield)
    {
        while (!m_dispatch.draining) {
            sleepFor(m_io, housekeepingInterval, yield);
            m_log.reportLeftOut();
            updateSampledMetrics();
            updateStartRates();
            reportAccountShares();
            m_dispatch.gate.forgetOld(
                [this](const HostId &host) { return m_fleet.servers.find(host) != nullptr; },
                m_clock.now());
            if (m_dispatch.catalog)
                measureServers(m_dispatch.gate, m_fleet.servers, *m_dispatch.catalog, m_metrics,
                               m_clock.now());
            logStoreCalls();
            logConnectionMemory();
            if (settingsFileChanged())
                reload("file");
        }
    }

    // Logs the number of store calls so far, by kind: calls are billed, and their rate is limited
    // across all daemons.
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

    // One line an interval while connections end for want of memory or of places.
    void logConnectionMemory()
    {
        std::int64_t ended = m_connectionMemory.refusals();
        nlohmann::json evicted = nlohmann::json::object();
        for (const ConnectionPhase phase : connectionPhases) {
            ended += m_connectionMemory.evictions(phase);
            evicted[toString(phase)] = m_connectionMemory.evictions(phase);
        }
        if (ended == m_loggedEndedForMemory || m_clock.now() - m_memoryLoggedAt < memoryLogInterval)
            return;
        m_loggedEndedForMemory = ended;
        m_memoryLoggedAt = m_clock.now();
        logWarning("daemon", "connections_ended_for_memory",
                   { { "used_bytes", m_connectionMemory.usedBytes() },
                     { "limit_bytes", m_connectionMemory.capacity() },
                     { "evicted", evicted },
                     { "refused", m_connectionMemory.refusals() } });
    }

    // Sets the metrics that are sampled rather than counted.
    void updateSampledMetrics()
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
        set("unreachable_hosts", m_dispatch.reachability.unreachableHosts(now));
        set("unreachable_zones", m_dispatch.reachability.unreachableZones(now));
        set("server_contact_lost", static_cast<double>(m_dispatch.contacts.lost().size()));
        set("forwarded_requests", m_dispatch.forwardedRequests);
        set("servers_cold", static_cast<double>(m_dispatch.gate.coldServers().servers(now).size()));
        set("zones_evacuated", static_cast<double>(m_fleet.evacuatedZones.size()));
        set("planned_replicas", static_cast<double>(m_fleet.plan.replicas.size()));
        set("is_relay", m_relays.isRelay() ? 1 : 0);
        set("holds_relay_slot", m_relaySlot.holds(now) ? 1 : 0);
        set("view_synced", m_fleet.synced ? 1 : 0);
        set("view_age_ms", toMilliseconds(m_sync.viewAge()));
        for (const auto &[kind, calls] : m_store.callsMade())
            m_metrics.set(MetricName("store_calls_total").with("kind", kind),
                          static_cast<double>(calls));
        set("is_planner", m_role.holds(now) ? 1 : 0);
        const SuspectCounts suspects = m_dispatch.quarantine.suspectCounts();
        set("requests_suspected", static_cast<double>(suspects.requests));
        set("requests_quarantined", static_cast<double>(suspects.quarantinedRequests));
        set("prompt_parts_suspected", static_cast<double>(suspects.parts));
        set("prompt_parts_quarantined", static_cast<double>(suspects.quarantinedParts));
        set("loop_failures_total", static_cast<double>(m_loops.failures()));
        set("open_requests", m_callerServer->openExchanges());
        set("caller_connections", m_callerServer->openConnections());
        set("caller_connections_limit", callerOptions().maxConnections);
        set("concurrency_limit", m_overload.limit.limit().value_or(0));
        set("connections_closed_unread_total",
            static_cast<double>(m_callerServer->connectionsNotAdmitted()));
        set("connections_closed_with_unread_data_total",
            static_cast<double>(m_callerServer->connectionsClosedWithUnreadData()));
        set("requests_sent_ahead_total", static_cast<double>(m_callerServer->requestsSentAhead()));
        set("loop_delay_max_ms", toMilliseconds(std::exchange(m_maxLoopDelay, Duration())));
        set("loop_delay_longest_ms", toMilliseconds(m_longestLoopDelay));
        set("processor_use", m_processorUse.coresSinceLast(now) / m_settings.processorShare);
        set("http_bytes_received_total", static_cast<double>(processStatus().bytesReceived));
        set("http_bytes_sent_total", static_cast<double>(processStatus().bytesSent));
        for (auto &[service, budget] : m_dispatch.retryBudgets()) {
            m_metrics.set(MetricName("retry_budget_left").with("service", service.text()),
                          budget.available(now));
        }
        set("connections_made", static_cast<double>(m_client->connectionsMade()));
        set("answers_skipped_total", static_cast<double>(m_client->answersSkipped()));
        set("answer_memory_bytes", static_cast<double>(m_dispatch.answerMemory.usedBytes()));
        set("answers_evicted_total", static_cast<double>(m_dispatch.answerMemory.evictions()));
        set("connection_memory_bytes", static_cast<double>(m_connectionMemory.usedBytes()));
        set("connection_memory_limit_bytes", static_cast<double>(m_connectionMemory.capacity()));
        set("connections_refused_for_memory_total",
            static_cast<double>(m_connectionMemory.refusals()));
        for (const ConnectionPhase phase : connectionPhases)
            m_metrics.set(MetricName("connections_evicted_total").with("phase", toString(phase)),
                          static_cast<double>(m_connectionMemory.evictions(phase)));
        set("log_lines_dropped", static_cast<double>(droppedLogLines()));
    }

    // Whether the settings file has changed, which may happen without a signal. The first call
    // returns true, since the file may have changed after it was read at startup.
    bool settingsFileChanged()
    {
        std::error_code ec;
        const auto modifiedAt = std::filesystem::last_write_time(m_settingsPath, ec);
        if (ec || modifiedAt == m_settingsModifiedAt)
            return false;
        m_settingsModifiedAt = modifiedAt;
        return true;
    }

    void awaitReload()
    {
        m_reloadSignal.async_wait([this](const auto &ec, int) {
            if (ec)
                return;
            awaitReload(); // Before the reload, which may throw.
            reload("signal");
        });
    }

    // Applies the settings that can change while the daemon runs: the retry budget's.
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

    // At least one interval: connections that were idle look for a request that has arrived unread.
    void awaitRequests(MonotonicTime until, Yield yield)
    {
        do {
            sleepFor(m_io, drainPollInterval, yield);
        } while (openExchanges() > 0 && m_clock.now() < until);
    }

    void stop(Yield yield)
    {
        const DrainSchedule schedule(m_clock.now(), m_settings.stopGrace);
        m_dispatch.draining = true;
        m_dispatch.answersUntil = schedule.answersUntil();
        m_callerServer->announceClose();
        if (m_forwardServer != nullptr)
            m_forwardServer->announceClose();
        logInfo("daemon", "stopping", { { "open_requests", m_callerServer->openExchanges() } });
        m_role.stop();
        m_linkKey.stop();
        m_keyRequirement.stop();
        m_formation.stop();
        m_suspicions.stop();
        m_contactReports.stop();
        m_registration.stop();
        m_relaySlot.stop();
        spawnCoroutine(m_io, [this](Yield inner) {
            m_relaySlot.release(inner);
            m_role.release(inner);
            m_registration.release(inner);
        });
        sleepFor(m_io, schedule.acceptsUntil() - m_clock.now(), yield);
        m_callerServer->stopAccepting();
        if (m_forwardServer != nullptr)
            m_forwardServer->stopAccepting();
        awaitRequests(schedule.answersUntil(), yield);
        if (openExchanges() > 0) {
            logWarning("daemon", "grace period ended with requests still in progress",
                       { { "requests", openExchanges() } });
            m_dispatcher.endRequests();
            awaitRequests(schedule.exitsAt(), yield);
        }
        m_quarantine.stop();
        m_sync.stop();
        m_relays.stop();
        m_io.stop();
    }

    FleetSettings m_settings;
    ResourcePlan m_plan { planResources(m_settings, DispatchOptions().maxBufferedResponseBytes) };
    std::string m_settingsPath;
    MonotonicTime m_callsLoggedAt;
    MonotonicTime m_memoryLoggedAt;
    Duration m_maxLoopDelay {}; // Since the metrics were last updated.
    Duration m_longestLoopDelay {}; // Since the start.
    ProcessorUse m_processorUse;
    std::filesystem::file_time_type m_settingsModifiedAt; // Modification time at the last check.
    std::size_t m_loggedBodyLimit = 0; // The configured one that was last logged as too large.
    std::int64_t m_loggedEndedForMemory = 0; // Connections by the last log line.
    SystemClock m_clock;
    OverloadPolicy m_overload { m_clock };
    ConnectionMemory m_connectionMemory { { m_plan.connectionMemoryBytes } };
    IoContext m_io { 1 };
    LoopKeeper m_loops { m_io, m_clock };
    Metrics m_metrics;
    DecisionLog m_log;
    StartSteps m_startSteps;
    std::unique_ptr<HttpClient> m_client;
    platform::KvClient m_store;
    platform::WireRequestCodec m_codec;
    platform::WireStatementDecoder m_statements;
    platform::StoreDocuments m_documents;
    FleetState m_fleet;
    Signal m_contactSignal { m_io }; // A probe of the contact with servers is requested.
    std::uint64_t m_contactGeneration = 0; // Of the view that the probed servers are from.
    std::map<ServiceId, ContactState> m_loggedContacts; // The last that were logged.
    DispatchState m_dispatch;
    UpstreamClient m_upstreams;
    platform::OrderClient m_orders;
    Dispatcher m_dispatcher;
    StatusHandler m_status;
    StoreSync m_sync;
    RelayNode m_relays;
    RelaySlot m_relaySlot;
    KeyHolder m_registration;
    KeyHolder m_role;
    WriteOnceKey m_linkKey;
    WriteOnceKey m_keyRequirement;
    FormationRunner m_formation;
    SuspicionReporter m_suspicions;
    ContactReporter m_contactReports;
    QuarantineSync m_quarantine;
    boost::asio::signal_set m_stopSignals;
    boost::asio::signal_set m_reloadSignal;
    std::shared_ptr<HttpServer> m_callerServer;
    std::shared_ptr<HttpServer> m_readinessServer;
    std::shared_ptr<HttpServer> m_forwardServer; // Null if no address is set.
    std::shared_ptr<HttpServer> m_metricsServer; // Null if no address is set.
};

} // namespace

namespace {

// Memory of large blocks goes back to the system when it is freed. By default the allocator keeps
// blocks up to the size of the largest one that was ever freed, in pieces that large answers and
// bodies don't fit into.
void returnFreedMemory()
{
    constexpr int largeBlockBytes = 128 * 1024;
    constexpr int maxKeptBytes = 4 * 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    mallopt(M_TRIM_THRESHOLD, maxKeptBytes);
}

} // namespace

Status runFleetDaemon(const FleetSettings &settings, const std::string &settingsPath)
{
    returnFreedMemory();
    // Never destroyed: suspended coroutines refer to its members, and the process ends next.
    return (new FleetDaemon(settings, settingsPath))->run();
}

} // namespace ramphinge
