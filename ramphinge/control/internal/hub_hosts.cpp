// The hub's knowledge of upstream hosts, and which replicas may get requests.

#include "ramphinge/control/internal/hub_impl.h"

namespace ramphinge {

namespace {

constexpr int smallFleet = 16; // Up to here every daemon is linked with every other.
constexpr int observersPerHost = 2;
constexpr int crowdedZone = 8; // Beyond so many daemons in a zone one observer a host is enough.

} // namespace

void Hub::Impl::onSeen(const HostObservation &seen, bool own)
{
    const bool isNews = hosts.observe(seen);
    if (own && seen.answers && seen.rank == 0)
        unsaidLoads[seen.host] = seen;
    if (seen.answers && seen.rank == 0)
        gateway->reportLoad(seen.replica, { seen.running, seen.waiting, seen.maxBatch });
    if (!isNews)
        return;
    updateHosts();
    updateReplicas();
    // Own news goes to everybody linked; others' only onwards into our zone.
    const Member *member = hosts.member(seen.host);
    const bool foreign = member != nullptr && member->zone != settings.zone;
    if (own || (foreign && view->daemons().size() > smallFleet))
        spread(seen);
}

void Hub::Impl::spread(const HostObservation &seen)
{
    ObservationsMessage message;
    message.observations.push_back({ seen, clock.now() - seen.madeAt });
    message.urgent = true;
    for (const DaemonId &peer : network->linkedPeers())
        network->send(peer, message);
}

void Hub::Impl::updateTargets()
{
    std::vector<DaemonId> alive;
    for (const DaemonRecord &record : view->daemonsIn(settings.zone))
        alive.push_back(record.daemon);
    const int observers =
        alive.size() > static_cast<std::size_t>(crowdedZone) ? 1 : observersPerHost;
    std::vector<Member> targets;
    for (const Member &member : hosts.members()) {
        if (member.zone == settings.zone
            && isObserver(settings.daemon, member.host, alive, observers))
            targets.push_back(member);
    }
    prober.setTargets(targets);
}

void Hub::Impl::updateHosts()
{
    const MonotonicTime now = clock.now();
    const std::set<HostId> unusable = hosts.unusableHosts(now);
    std::set<HostId> down;
    for (const HostId &host : unusable) {
        const HostObservation *seen = hosts.latest(host, now);
        if (seen != nullptr && !seen->answers)
            down.insert(host);
    }
    std::set<HostId> newlyDown;
    for (const HostId &host : down) {
        if (downHosts.count(host) > 0)
            continue;
        newlyDown.insert(host);
        TimelineEvent entry;
        entry.kind = EventKind::HostDown;
        entry.host = host;
        timeline.record(std::move(entry));
    }
    for (const HostId &host : downHosts) {
        if (down.count(host) > 0)
            continue;
        TimelineEvent entry;
        entry.kind = EventKind::HostUp;
        entry.host = host;
        timeline.record(std::move(entry));
    }
    downHosts = down;
    gateway->setUnusableHosts(unusable, newlyDown);
}

// A host that says it is something else than the plan has it for: its replica must get nothing.
bool Hub::Impl::contradicted(const PlannedReplica &planned, MonotonicTime now) const
{
    for (const HostId &host : planned.hosts) {
        const HostObservation *seen = hosts.latest(host, now);
        const bool other = seen != nullptr && seen->answers
            && (seen->replica != planned.replica || seen->epoch != planned.epoch || !seen->loaded);
        if (other)
            return true;
    }
    const HostObservation *head = hosts.latest(planned.hosts.front(), now);
    return head != nullptr && head->answers && !head->whole;
}

void Hub::Impl::updateReplicas()
{
    const MonotonicTime now = clock.now();
    std::vector<ReplicaEntry> entries;
    std::set<ReplicaId> ready;
    for (const ZonePlan &zone : view->plans()) {
        for (const PlannedReplica &planned : zone.plan.replicas) {
            const Member *head = hosts.member(planned.hosts.front());
            if (planned.phase != ReplicaPhase::Ready || head == nullptr
                || contradicted(planned, now))
                continue;
            entries.push_back({ planned.replica, planned.epoch, planned.model, zone.zone,
                                head->endpoint, planned.hosts });
            ready.insert(planned.replica);
        }
    }
    const auto note = [this](EventKind kind, const ReplicaId &replica) {
        TimelineEvent entry;
        entry.kind = kind;
        entry.replica = replica;
        timeline.record(std::move(entry));
    };
    for (const ReplicaId &replica : ready) {
        if (readyReplicas.count(replica) == 0)
            note(EventKind::ReplicaReady, replica);
    }
    for (const ReplicaId &replica : readyReplicas) {
        if (ready.count(replica) == 0)
            note(EventKind::ReplicaNotReady, replica);
    }
    readyReplicas = ready;
    gateway->setReplicas(entries);
}

void Hub::Impl::sendSight()
{
    const RoleRecord *holder = view->planner(settings.zone);
    if (holder != nullptr && holder->daemon != settings.daemon)
        return;
    auto sight = std::make_shared<PlannerSight>();
    sight->members = hosts.members();
    const MonotonicTime now = clock.now();
    for (const Member &member : sight->members) {
        if (const HostObservation *seen = hosts.latest(member.host, now))
            sight->observations.push_back(*seen);
    }
    listener->onSight(std::move(sight));
}

} // namespace ramphinge
