// Planning a zone: see zone_planner.h.

#include "ramphinge/control/zone_planner.h"

#include <algorithm>

#include "ramphinge/control/majority.h"

namespace ramphinge {

namespace {

Endpoint endpointOf(const std::vector<Member> &members, const HostId &host)
{
    for (const Member &member : members) {
        if (member.host == host)
            return member.endpoint;
    }
    return {};
}

} // namespace

PlannerReport ZonePlanner::step(const StoreView &view, const RegistrationState &registration,
                                const PlannerSight &sight)
{
    PlannerReport report;
    if (!holdRole(view, registration, report) || !view.config().accepted)
        return report;
    if (!m_planRead && !readPlan())
        return report;
    const PlannerInput input = inputFrom(view.config().accepted->configuration, sight);
    const ReplicaPlan next = nextPlan(m_plan, input, m_options.planner);
    const bool changed = next.epoch != m_plan.epoch;
    if (changed && !writePlan(next, report))
        return report;
    report.epoch = m_plan.epoch;
    report.quality = qualityOf(m_plan, input);
    sendOrders(input, sight, registration, report);
    pruneRoster(view, registration);
    return report;
}

bool ZonePlanner::holdRole(const StoreView &view, const RegistrationState &registration,
                           PlannerReport &report)
{
    const bool mayAct = registration.registration == Registration::Registered
        && registration.term.mayFinish(m_clock.now(), m_options.orderTimeout);
    const bool held = m_roleLease != noLease && m_roleLease == registration.lease;
    if (m_roleLease != noLease && !held) {
        m_roleLease = noLease;
        report.lostRole = true;
    }
    if (!mayAct)
        return false;
    if (!held) {
        if (!winRole(view, registration))
            return false;
        report.wonRole = true;
        m_planRead = false;
    }
    report.holdsRole = true;
    return true;
}

bool ZonePlanner::winRole(const StoreView &view, const RegistrationState &registration)
{
    if (view.planner(m_options.zone) != nullptr)
        return false;
    const std::vector<DaemonRecord> alive = view.daemonsIn(m_options.zone);
    std::vector<DaemonId> ids;
    for (const DaemonRecord &record : alive)
        ids.push_back(record.daemon);
    const SlotId role { ZoneId("planner/" + m_options.zone.text()), SlotNumber(0) };
    if (ids.empty() || preferredHolder(role, ids) != m_options.daemon)
        return false;
    const RoleRecord record { m_options.daemon, m_options.incarnation };
    const Result<Revision> won = m_store.compareAndSwap(
        plannerKey(m_options.zone), serialize(record), absentRevision, registration.lease);
    if (!won.ok() && won.error().kind() == ErrorKind::Unknown) {
        const Result<std::optional<StoredValue>> now = m_store.read(plannerKey(m_options.zone));
        if (!now.ok() || !now.value() || now.value()->value != serialize(record))
            return false;
    } else if (!won.ok()) {
        return false;
    }
    m_roleLease = registration.lease;
    return true;
}

bool ZonePlanner::readPlan()
{
    const Result<std::optional<StoredValue>> stored = m_store.read(planKey(m_options.zone));
    if (!stored.ok())
        return false;
    m_plan = ReplicaPlan();
    m_planRevision = absentRevision;
    if (stored.value()) {
        const Result<ReplicaPlan> plan = parsePlan(stored.value()->value);
        if (!plan.ok())
            return false;
        m_plan = plan.value();
        m_planRevision = stored.value()->revision;
    }
    m_planRead = true;
    return true;
}

// Engines that ignore fencing tokens may still execute an older planner's order that is in flight.
// Their state counts only after such orders have timed out.
bool ZonePlanner::trusted(const HostObservation &seen) const
{
    if (m_options.enginesHonourFencing)
        return true;
    const PlannedReplica *planned = m_plan.find(seen.replica);
    if (planned == nullptr || planned->phase != ReplicaPhase::Forming)
        return true;
    const auto begun = m_begunAt.find(planned->epoch);
    return begun != m_begunAt.end() && seen.madeAt >= begun->second + m_options.orderTimeout;
}

// Records when each forming replica was first seen, and drops those that are no longer planned.
void ZonePlanner::noteFormings()
{
    std::map<Epoch, MonotonicTime> planned;
    for (const PlannedReplica &replica : m_plan.replicas) {
        const auto known = m_begunAt.find(replica.epoch);
        planned[replica.epoch] = known == m_begunAt.end() ? m_clock.now() : known->second;
    }
    m_begunAt = std::move(planned);
}

PlannerInput ZonePlanner::inputFrom(const Configuration &configuration, const PlannerSight &sight)
{
    PlannerInput input;
    input.zone = m_options.zone;
    for (const ModelSpec &spec : configuration.models()) {
        for (const ZoneReplicas &zone : spec.replicas) {
            if (zone.zone == m_options.zone)
                input.needs.push_back(
                    { spec.model, zone.count, spec.hostsPerReplica, spec.importance });
        }
    }
    noteFormings();
    for (const HostObservation &seen : sight.observations) {
        const auto member =
            std::find_if(sight.members.begin(), sight.members.end(),
                         [&seen](const Member &known) { return known.host == seen.host; });
        const bool ours = member != sight.members.end() && member->zone == m_options.zone
            && member->kind == UpstreamKind::Engine;
        if (!ours || !seen.answers)
            continue;
        HostState state;
        state.host = seen.host;
        state.domain = member->domain;
        state.leaving = member->leaving;
        state.idle = seen.running == 0 && seen.waiting == 0;
        state.replica = seen.replica;
        state.epoch = seen.epoch;
        state.rank = seen.rank;
        state.loaded = seen.loaded && trusted(seen);
        state.model = seen.model;
        input.hosts.push_back(std::move(state));
    }
    return input;
}

bool ZonePlanner::writePlan(const ReplicaPlan &next, PlannerReport &report)
{
    if (!checkPlan(next).ok())
        return false;
    const Result<Revision> written =
        m_store.compareAndSwap(planKey(m_options.zone), serialize(next), m_planRevision, noLease);
    // Conflict: another planner has written. Unknown: the write may have taken effect. In both
    // cases the plan in the store is authoritative, and is read before anything else.
    m_planRead = written.ok();
    if (!written.ok())
        return false;
    m_plan = next;
    m_planRevision = written.value();
    m_begunAt.emplace(next.epoch, m_clock.now());
    report.wrotePlan = true;
    return true;
}

void ZonePlanner::sendOrders(const PlannerInput &input, const PlannerSight &sight,
                             const RegistrationState &registration, PlannerReport &report)
{
    for (const HostOrder &order : ordersFor(m_plan, input)) {
        const MonotonicTime now = m_clock.now();
        const auto last = m_lastOrder.find(order.host);
        if (last != m_lastOrder.end() && now - last->second < m_options.repeatOrderAfter)
            continue;
        // The order must have arrived or failed before another planner can act.
        if (!registration.term.mayFinish(now, m_options.orderTimeout))
            return;
        m_lastOrder[order.host] = now;
        std::vector<Endpoint> peers;
        for (const HostId &peer : order.peers)
            peers.push_back(endpointOf(sight.members, peer));
        Member member;
        member.host = order.host;
        member.endpoint = endpointOf(sight.members, order.host);
        const Status sent = m_orders.send(member, order, peers, m_options.orderTimeout);
        report.ordersSent.push_back(order);
        if (!sent.ok() && sent.error().kind() == ErrorKind::Fenced) {
            m_planRead = false; // A newer planner has sent this host an order: read the plan again.
            return;
        }
    }
}

void ZonePlanner::pruneRoster(const StoreView &view, const RegistrationState &registration)
{
    const MonotonicTime now = m_clock.now();
    const ZoneRoster known = view.roster(m_options.zone);
    std::vector<DaemonId> overdue;
    for (const DaemonId &daemon : known.daemons) {
        if (view.daemon(daemon) != nullptr) {
            m_absentSince.erase(daemon);
            continue;
        }
        const MonotonicTime since = m_absentSince.emplace(daemon, now).first->second;
        if (now - since >= m_options.rosterGrace)
            overdue.push_back(daemon);
    }
    if (overdue.empty() || !registration.term.mayAct(now))
        return;
    for (const DaemonId &daemon : overdue)
        m_absentSince[daemon] = now; // Delays the next attempt, whatever the result.
    const Result<ZonePresence> presence = readPresence(m_store, m_options.zone);
    const Result<std::optional<StoredValue>> stored = m_store.read(rosterKey(m_options.zone));
    // Only a majority may remove daemons: unregistered ones may still be serving.
    if (!presence.ok() || !presence.value().hasMajority() || !stored.ok() || !stored.value())
        return;
    Result<ZoneRoster> roster = parseRoster(stored.value()->value);
    if (!roster.ok())
        return;
    const std::vector<DaemonId> registered = presence.value().registeredIds();
    auto &daemons = roster.value().daemons;
    daemons.erase(std::remove_if(daemons.begin(), daemons.end(),
                                 [&](const DaemonId &daemon) {
                                     const bool isOverdue =
                                         std::find(overdue.begin(), overdue.end(), daemon)
                                         != overdue.end();
                                     const bool isBack =
                                         std::find(registered.begin(), registered.end(), daemon)
                                         != registered.end();
                                     return isOverdue && !isBack;
                                 }),
                  daemons.end());
    m_store.compareAndSwap(rosterKey(m_options.zone), serialize(roster.value()),
                           stored.value()->revision, noLease);
}

} // namespace ramphinge
