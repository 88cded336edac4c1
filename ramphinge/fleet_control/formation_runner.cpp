// The planner's main loop: see formation_runner.h.

#include "ramphinge/fleet_control/formation_runner.h"

#include <algorithm>
#include <exception>
#include <functional>

#include "ramphinge/fleet_control/suspicion_reporter.h"

namespace ramphinge {

namespace {

constexpr std::size_t maxIdleLogged = 16; // Limits the length of a log line.

// Servers that can form replicas of the service.
int countServers(const FormationInput &input)
{
    return static_cast<int>(
        std::count_if(input.servers.begin(), input.servers.end(), [&input](const auto &entry) {
            return entry.second.service == input.service && !entry.second.domain.empty();
        }));
}

} // namespace

FormationRunner::FormationRunner(IoContext &io, const Clock &clock, FormationRunnerOptions options,
                                 KeyValueStore &store, FleetState &fleet, DispatchState &dispatch,
                                 const KeyHolder &role, OrderChannel &channel, DecisionLog &log,
                                 Metrics &metrics, std::function<void()> onChange)
    : m_io(io), m_clock(clock), m_options(options), m_store(store), m_fleet(fleet),
      m_dispatch(dispatch), m_plannerRole(role), m_channel(channel), m_log(log), m_metrics(metrics),
      m_onChange(std::move(onChange)), m_orderTracker(options.orders), m_presence(options.presence),
      m_lossRate(options.lossRate), m_failureDetector(options.failureDetector)
{ }

void FormationRunner::run(Yield yield)
{
    while (!m_stopping) {
        round(yield);
        sleepFor(m_io, m_options.pollInterval, yield);
    }
}

// Starts a term as planner. State from an earlier term is out of date.
void FormationRunner::beginTerm()
{
    m_roleLease = m_plannerRole.lease();
    m_orderTracker = OrderTracker(m_options.orders);
    m_hasPredecessor = !m_fleet.plan.replicas.empty();
    m_pendingOrdersRevision = absentRevision;
    m_writtenLedger = {};
    m_uncertainLedger.clear();
    // The predecessor's ledger lacks the replicas that it was forming.
    adopt({});
}

bool FormationRunner::isStillPlanner(MonotonicTime now) const
{
    return m_plannerRole.holds(now) && m_plannerRole.lease() == m_roleLease;
}

void FormationRunner::adopt(const PendingOrders &pendingOrders)
{
    for (const ServiceEntry &service : m_dispatch.catalog->services()) {
        if (service.engine)
            m_orderTracker.adopt(pendingOrders, m_fleet.plan, *service.engine, m_clock.now());
    }
}

// Adopts the orders that another planner recorded in the store, even one that wrote them after this
// daemon's term began.
void FormationRunner::adoptStoredOrders()
{
    const auto found = m_fleet.daemonKeys.find(FleetKeys::orders());
    if (found == m_fleet.daemonKeys.end() || found->second.revision == m_pendingOrdersRevision)
        return;
    m_pendingOrdersRevision = found->second.revision;
    if (found->second.value == m_uncertainLedger)
        return; // This planner's own write, whose orders were not sent.
    const Result<PendingOrders> pendingOrders = parsePendingOrders(found->second.value);
    if (!pendingOrders.ok()) {
        ++m_fleet.unreadableEntries;
        m_log.write("orders_unreadable", LogWeight::Belief,
                    { { "revision", m_pendingOrdersRevision.count() },
                      { "why", pendingOrders.error().message() } });
        return;
    }
    adopt(pendingOrders.value());
    m_log.write("orders_adopted", LogWeight::Belief,
                { { "revision", m_pendingOrdersRevision.count() },
                  { "loads", pendingOrders.value().loads.size() },
                  { "unanswered_joins", pendingOrders.value().unansweredJoins.size() } });
}

// Records the unanswered joins in the store before the replicas that are ready in `next` are
// opened. Returns false if that failed.
bool FormationRunner::persistUnansweredJoins(const ReplicaPlan &next, Yield yield)
{
    const PendingOrders pendingOrders = m_orderTracker.pendingOrders(next, m_clock.now());
    const auto isWritten = [this](const auto &join) {
        const auto found = m_writtenLedger.unansweredJoins.find(join.first);
        return found != m_writtenLedger.unansweredJoins.end() && found->second == join.second;
    };
    const auto &joins = pendingOrders.unansweredJoins;
    return std::all_of(joins.begin(), joins.end(), isWritten)
        || writePendingOrders(pendingOrders, yield);
}

// Records the loads in `due` in the store before they are ordered. Returns false if that failed.
bool FormationRunner::persistLoads(const std::vector<ServerOrder> &due, Yield yield)
{
    PendingOrders pendingOrders = m_orderTracker.pendingOrders(m_fleet.plan, m_clock.now());
    for (const ServerOrder &order : due)
        pendingOrders.loads[order.host] = order.model;
    return writePendingOrders(pendingOrders, yield);
}

bool FormationRunner::writePendingOrders(const PendingOrders &pendingOrders, Yield yield)
{
    const std::string text = serialize(pendingOrders);
    const Result<Revision> written =
        m_store.commit({ { FleetKeys::orders(), text, m_pendingOrdersRevision } }, yield);
    if (!written.ok()) {
        // A conflict proves that this ledger was not written; it may have conflicted with an
        // earlier uncertain one.
        if (written.error().kind() != ErrorKind::Conflict)
            m_uncertainLedger = text;
        m_log.write("orders_not_written", LogWeight::Belief,
                    { { "expected", m_pendingOrdersRevision.count() },
                      { "why", written.error().message() } });
        return false;
    }
    m_writtenLedger = pendingOrders;
    m_pendingOrdersRevision = written.value();
    m_fleet.recordWrite(FleetKeys::orders(), { text, written.value() });
    return true;
}

// Probes the replicas that this daemon suspects, and those that others report through the store.
void FormationRunner::readSuspicions(MonotonicTime now)
{
    for (const ReplicaId &replica : m_dispatch.suspicions.take())
        checkReplica(replica, now);
    std::map<StoreKey, Revision> read; // Without removed keys.
    const std::string prefix = FleetKeys::suspicionPrefix().text();
    for (const auto &[key, stored] : m_fleet.daemonKeys) {
        if (key.text().compare(0, prefix.size(), prefix) != 0)
            continue;
        read[key] = stored.revision;
        const auto before = m_suspicionRevisions.find(key);
        if (before != m_suspicionRevisions.end() && before->second == stored.revision)
            continue;
        const Result<std::vector<ReplicaId>> replicas = parseSuspicions(stored.value);
        if (!replicas.ok()) {
            ++m_fleet.unreadableEntries;
            m_log.write("suspicions_unreadable", LogWeight::Belief,
                        { { "key", key.text() }, { "why", replicas.error().message() } });
            continue;
        }
        for (const ReplicaId &replica : replicas.value())
            checkReplica(replica, now);
    }
    m_suspicionRevisions = std::move(read);
}

void FormationRunner::checkReplica(const ReplicaId &replica, MonotonicTime now)
{
    const PlannedReplica *planned = m_fleet.plan.find(replica);
    if (planned == nullptr || planned->phase != ReplicaPhase::Ready)
        return;
    for (const HostId &host :
         m_failureDetector.beginCheck(*planned, m_fleet.servers.servers(), now)) {
        const UpstreamServer *server = m_fleet.servers.find(host);
        spawnCoroutine(m_io, [this, target = *server](Yield yield) { probeServer(target, yield); });
    }
}

void FormationRunner::probeServer(const UpstreamServer &server, Yield yield)
{
    for (int i = 0; i < m_options.failureDetector.unansweredProbes; ++i) {
        const bool answers = m_channel.answers(server, m_options.probeTimeout, yield);
        m_metrics.count(MetricName("liveness_checks_total").with("answer", answers ? "yes" : "no"));
        if (answers) {
            m_failureDetector.recordAnswer(server.host, m_clock.now());
            return;
        }
        m_failureDetector.recordNoAnswer(server.host, m_clock.now());
    }
}

// Drops what this daemon has concluded from its own probes, which may have failed for want of a
// path to any server.
void FormationRunner::forgetVerdicts()
{
    m_failureDetector = FailureDetector(m_options.failureDetector);
    m_presumedDead.clear();
    m_presumedAlive.clear();
    static_cast<void>(m_dispatch.suspicions.take());
}

// Updates the servers to plan with: all but those that are presumed dead.
void FormationRunner::updatePresumedDead(MonotonicTime now)
{
    const ServerMap &servers = m_fleet.servers.servers();
    std::set<HostId> dead = m_failureDetector.dead(servers, now);
    for (const HostId &host : dead) {
        if (m_presumedDead.count(host) == 0)
            m_log.write("server_silent", LogWeight::Belief, { { "host", host.text() } });
    }
    m_presumedDead = std::move(dead);
    m_presumedAlive = m_presumedDead.empty() ? ServerMap() : servers;
    for (const HostId &host : m_presumedDead)
        m_presumedAlive.erase(host);
}

// An exception may have been thrown after a write of the plan.
void FormationRunner::round(Yield yield)
{
    try {
        plan(yield);
    } catch (const std::exception &) {
        m_planWriteUncertain = true;
        throw;
    }
}

void FormationRunner::plan(Yield yield)
{
    // Also while another daemon is the planner: a successor must know how long servers have been
    // present, and how many were lost.
    m_presence.observe(m_fleet.servers, m_clock.now());
    if (m_dispatch.hasLatencySensitiveService())
        m_lossRate.observe(m_fleet.servers.servers(), m_clock.now());
    if (!m_plannerRole.holds(m_clock.now()) || !m_dispatch.catalog) {
        m_roleLease = noLease;
        return;
    }
    if (m_roleLease != m_plannerRole.lease())
        beginTerm();
    const MonotonicTime now = m_clock.now();
    if (m_dispatch.hasLostAnyEngine())
        forgetVerdicts();
    readSuspicions(now);
    updatePresumedDead(now);
    if (m_fleet.plan.replicas.empty() && m_presence.isAwaitingRegistrations(now))
        return;
    if (m_planWriteUncertain) {
        rereadPlan(yield);
        return;
    }
    if (m_fleet.planUnreadable)
        passEpochsOfServers();
    m_orderTracker.setTrafficSeen(m_dispatch.sawRequest || m_hasPredecessor);
    m_orderTracker.observe(m_fleet.servers.servers(), m_fleet.plan, now);
    const CatalogPointer catalog = m_dispatch.catalog; // Kept alive while this waits for the store.
    adoptStoredOrders();
    for (const ServiceEntry &service : catalog->services()) {
        const bool hasModels = service.engine && !service.engine->models.empty();
        if (hasModels && !m_planWriteUncertain && !m_dispatch.contacts.isLost(service.service))
            planService(service, yield);
    }
}

// For a planner that started with an unreadable plan: servers refuse orders of earlier epochs than
// their own.
void FormationRunner::passEpochsOfServers()
{
    for (const auto &[host, server] : m_fleet.servers.servers()) {
        if (server.membership)
            m_fleet.plan.epoch = std::max(m_fleet.plan.epoch, server.membership->epoch);
    }
}

// Servers that must not be assigned to another replica now, including those that have asked for a
// pause in requests: no orders are sent to them.
std::set<HostId> FormationRunner::unusable(MonotonicTime now) const
{
    std::set<HostId> hosts = m_orderTracker.unusable(m_fleet.servers.servers(), now);
    const ServerBackoffs &backoffs = m_dispatch.gate.backoffs();
    for (const auto &[host, server] : m_fleet.servers.servers()) {
        if (backoffs.isBackingOff(host, now))
            hosts.insert(host);
    }
    return hosts;
}

FormationInput FormationRunner::inputFor(const ServiceEntry &service, MonotonicTime now)
{
    FormationInput input { service.service,
                           *service.engine,
                           m_presumedDead.empty() ? m_fleet.servers.servers() : m_presumedAlive,
                           {},
                           unusable(now),
                           m_orderTracker.failed(m_fleet.plan, *service.engine, now),
                           m_presence.settled(now),
                           m_presence.presumedLost(m_fleet.plan, now),
                           m_orderTracker.joinsMayLoad(),
                           m_orderTracker.loading() };
    if (m_dispatch.isLatencySensitive(service.service))
        input.losses =
            LossForecast { m_lossRate.perServerSecond(service.service, input.servers, now) };
    const double busy = m_dispatch.demand.busyServers(*service.engine, countServers(input),
                                                      m_fleet.daemonCount(), now);
    for (const ModelProfile &model : service.engine->models) {
        const double share = m_dispatch.demand.shareOf(*service.engine, model.model, now);
        input.demand.push_back(
            { model.model,
              serversNeeded(model, share * busy) + withheldCapacity(*service.engine, model, now) });
    }
    return input;
}

double FormationRunner::withheldCapacity(const EngineProfile &engine, const ModelProfile &model,
                                         MonotonicTime now) const
{
    const auto replicaRate = m_dispatch.demand.rateOfReplica(engine, model.model, now);
    if (!replicaRate)
        return 0;
    return serversLostToRateLimits(
        m_fleet.plan, model, *replicaRate,
        [this, now](const HostId &head) { return m_dispatch.gate.limits().rateOf(head, now); });
}

void FormationRunner::planService(const ServiceEntry &service, Yield yield)
{
    const ReplicaPlan next = nextFormation(m_fleet.plan, inputFor(service, m_clock.now()));
    const bool isStored = samePlan(m_fleet.plan, next) && !m_fleet.planUnreadable;
    if (!isStored && !(persistUnansweredJoins(next, yield) && writePlan(next, yield)))
        return;
    const MonotonicTime now = m_clock.now();
    if (!isStillPlanner(now))
        return;
    const FormationInput input = inputFor(service, now);
    logSummary(service, input);
    std::vector<ServerOrder> due =
        m_orderTracker.due(ordersFor(m_fleet.plan, input), *service.engine, now);
    const auto loads = [](const ServerOrder &order) { return order.needsLoad; };
    const auto firstLoad = std::stable_partition(due.begin(), due.end(), std::not_fn(loads));
    for (auto order = due.begin(); order != firstLoad; ++order)
        send(*order, *service.engine);
    due.erase(due.begin(), firstLoad);
    if (due.empty() || !(m_orderTracker.joinsMayLoad() || persistLoads(due, yield)))
        return;
    if (!isStillPlanner(m_clock.now()))
        return;
    for (const ServerOrder &order : due)
        send(order, *service.engine);
}

bool FormationRunner::writePlan(const ReplicaPlan &next, Yield yield)
{
    if (const Status valid = checkPlan(next); !valid.ok()) {
        m_log.write("plan_unsound", LogWeight::Belief, { { "why", valid.error().message() } });
        return false;
    }
    const std::string text = serialize(next);
    const ReplicaPlan before = m_fleet.plan; // A watch may deliver the new one before the answer.
    const Result<Revision> written =
        m_store.commit({ { FleetKeys::plan(), text, m_fleet.planRevision } }, yield);
    if (!written.ok()) {
        m_planWriteUncertain = true;
        m_log.write(
            "plan_not_written", LogWeight::Belief,
            { { "expected", m_fleet.planRevision.count() }, { "why", written.error().message() } });
        return false;
    }
    logChanges(before, next);
    if (m_fleet.planRevision < written.value()) {
        m_fleet.plan = next;
        m_fleet.planRevision = written.value();
        m_fleet.planUnreadable = false;
    }
    m_onChange();
    return true;
}

void FormationRunner::rereadPlan(Yield yield)
{
    const Result<StoreSnapshot> read = m_store.list(FleetKeys::plan(), yield);
    if (!read.ok())
        return;
    for (const StoredEntry &entry : read.value().entries) {
        if (entry.key != FleetKeys::plan())
            continue;
        if (const Status applied = m_fleet.applyPlan(entry.stored); !applied.ok())
            m_log.write("plan_unreadable", LogWeight::Belief,
                        { { "why", applied.error().message() } });
    }
    m_planWriteUncertain = false;
    m_onChange();
}

// Logs the planner's input: the servers by state, and why some are idle.
void FormationRunner::logSummary(const ServiceEntry &service, const FormationInput &input)
{
    const MonotonicTime now = m_clock.now();
    if (now - m_lastSummaryAt < m_options.summaryInterval)
        return;
    m_lastSummaryAt = now;
    std::map<std::string, int> servers; // By the phase and model of their replica, or by state.
    std::map<std::string, double> shares;
    nlohmann::json idle = nlohmann::json::array();
    for (const auto &[host, server] : input.servers) {
        if (server.service != input.service)
            continue;
        const PlannedReplica *replica = m_fleet.plan.replicaOf(host);
        const bool cold = server.model.empty() && server.stagedModels.empty();
        const std::string state = server.draining ? "leaving"
            : replica != nullptr                  ? toString(replica->phase)
            : input.unusable.count(host) > 0      ? "unusable"
            : cold                                ? "free_empty"
                                                  : "free";
        ++servers[replica == nullptr ? state : state + " " + replica->model.text()];
        if (replica == nullptr && !server.draining && idle.size() < maxIdleLogged)
            idle.push_back(
                { { "host", host.text() },
                  { "domain", server.domain.text() },
                  { "holds", server.model.text() },
                  { "staged",
                    server.stagedModels.empty() ? std::string()
                                                : server.stagedModels.front().text() },
                  { "in", server.membership ? server.membership->replica.text() : "" } });
    }
    for (const ModelDemand &demand : input.demand)
        shares[demand.model.text()] = demand.share;
    nlohmann::json state { { "servers", servers },
                           { "idle", idle },
                           { "shares", shares },
                           { "loads_allowed", m_orderTracker.loadsAllowed(*service.engine, now) },
                           { "plan_epoch", m_fleet.plan.epoch.count() },
                           { "plan_revision", m_fleet.planRevision.count() } };
    if (input.losses)
        reportPreparations(input, state);
    m_log.write("formation_state", LogWeight::Belief, state);
}

// Adds to the summary, and sets as metrics, what the planner expects to lose and the spares that it
// has for that.
void FormationRunner::reportPreparations(const FormationInput &input, nlohmann::json &state)
{
    const double lossesPerMinute = input.losses->perServerSecond * countServers(input) * 60;
    const std::string service = input.service.text();
    m_metrics.set(MetricName("expected_losses_per_minute").with("service", service),
                  lossesPerMinute);
    nlohmann::json spares = nlohmann::json::object(); // By model and domain.
    const SparesByModel spareServersByModel = spareServers(m_fleet.plan, input);
    for (const ModelProfile &model : input.engine.models) {
        int total = 0;
        const auto found = spareServersByModel.find(model.model);
        if (found != spareServersByModel.end()) {
            for (const auto &[domain, count] : found->second) {
                spares[model.model.text()][domain.text()] = count;
                total += count;
            }
        }
        m_metrics.set(
            MetricName("spare_servers").with("service", service).with("model", model.model.text()),
            total);
    }
    state["expected_losses_per_minute"] = lossesPerMinute;
    state["spares"] = spares;
}

void FormationRunner::logChanges(const ReplicaPlan &before, const ReplicaPlan &after)
{
    for (const PlannedReplica &replica : after.replicas) {
        const PlannedReplica *old = before.find(replica.replica);
        if (old != nullptr && old->phase == replica.phase)
            continue;
        m_metrics.count(MetricName("replica_phases_total").with("phase", toString(replica.phase)));
        m_log.write("replica_phase", LogWeight::Belief,
                    { { "replica", replica.replica.text() },
                      { "model", replica.model.text() },
                      { "phase", toString(replica.phase) },
                      { "epoch", replica.epoch.count() },
                      { "head", replica.hosts.front().text() } });
    }
    for (const PlannedReplica &replica : before.replicas) {
        if (after.find(replica.replica) == nullptr)
            m_log.write(
                "replica_over", LogWeight::Belief,
                { { "replica", replica.replica.text() }, { "was", toString(replica.phase) } });
    }
}

void FormationRunner::send(const ServerOrder &order, const EngineProfile &engine)
{
    const UpstreamServer *server = m_fleet.servers.find(order.host);
    if (server == nullptr)
        return;
    m_orderTracker.sent(order, engine, m_clock.now());
    spawnCoroutine(m_io,
                   [this, target = *server, order](Yield yield) { deliver(target, order, yield); });
}

void FormationRunner::deliver(const UpstreamServer &server, const ServerOrder &order, Yield yield)
{
    const MonotonicTime startedAt = m_clock.now();
    const OrderAnswer answer =
        m_channel.send(server, order, m_fleet.plan.epoch, m_options.orderTimeout, yield);
    const MonotonicTime now = m_clock.now();
    m_orderTracker.answered(order, answer, now);
    m_metrics.count(MetricName("orders_total")
                        .with("kind", toString(order.kind))
                        .with("answer", toString(answer)));
    m_log.write("order", LogWeight::Belief,
                { { "kind", toString(order.kind) },
                  { "host", order.host.text() },
                  { "replica", order.replica.text() },
                  { "epoch", order.epoch.count() },
                  { "answer", toString(answer) },
                  { "took_ms", toMilliseconds(now - startedAt) } });
}

} // namespace ramphinge
