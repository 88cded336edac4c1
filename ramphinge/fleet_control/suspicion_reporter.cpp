// Reports of suspected replicas to the planner: see suspicion_reporter.h.

#include "ramphinge/fleet_control/suspicion_reporter.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "ramphinge/base/hash.h"
#include "ramphinge/base/json.h"

namespace ramphinge {

std::string serializeSuspicions(const std::vector<ReplicaId> &replicas)
{
    nlohmann::json document = nlohmann::json::array();
    for (const ReplicaId &replica : replicas)
        document.push_back(replica.text());
    return document.dump();
}

Result<std::vector<ReplicaId>> parseSuspicions(const std::string &text)
{
    const Result<nlohmann::json> document = parseJson(text);
    if (!document.ok() || !document.value().is_array())
        return Error(ErrorKind::InvalidInput, "the list of suspected replicas is not a JSON array");
    std::vector<ReplicaId> replicas;
    for (const nlohmann::json &replica : document.value()) {
        if (!replica.is_string())
            return Error(ErrorKind::InvalidInput, "a suspected replica's name is not a string");
        replicas.emplace_back(replica.get<std::string>());
    }
    return replicas;
}

SuspicionReporter::SuspicionReporter(IoContext &io, SuspicionReporterOptions options,
                                     KeyValueStore &store, FleetState &fleet,
                                     DispatchState &dispatch, const KeyHolder &registration,
                                     const KeyHolder &role, const Clock &clock, DecisionLog &log)
    : m_io(io), m_options(std::move(options)), m_store(store), m_fleet(fleet), m_dispatch(dispatch),
      m_registration(registration), m_plannerRole(role), m_clock(clock), m_log(log)
{ }

void SuspicionReporter::run(Yield yield)
{
    while (!m_stopping) {
        sleepFor(m_io, m_options.pollInterval, yield);
        round(yield);
    }
}

// A hash of both names selects the reporters, so they stay the same for the replica's lifetime
// while the number of daemons does.
bool SuspicionReporter::shouldReport(const PlannedReplica &replica) const
{
    const UpstreamServer *head = m_fleet.servers.find(replica.hosts.front());
    const bool isSameZone = head != nullptr && head->zone == m_options.zone;
    const int daemons = isSameZone ? m_fleet.daemonsInZone(m_options.zone) : m_fleet.daemonCount();
    const int reporters = isSameZone ? m_options.reportersInZone : m_options.reportersElsewhere;
    if (daemons <= reporters)
        return true;
    const std::uint64_t hash =
        stableHash(replica.replica.text(), stableHash(m_options.daemon.text()));
    return hash % static_cast<std::uint64_t>(daemons) < static_cast<std::uint64_t>(reporters);
}

// Otherwise the suspicion tells of this daemon's paths.
bool SuspicionReporter::hasContactTo(const PlannedReplica &replica) const
{
    const UpstreamServer *head = m_fleet.servers.find(replica.hosts.front());
    return head == nullptr || !m_dispatch.contacts.isLost(head->service);
}

void SuspicionReporter::round(Yield yield)
{
    const MonotonicTime now = m_clock.now();
    if (m_plannerRole.holds(now))
        return;
    std::vector<ReplicaId> replicas = m_dispatch.suspicions.take();
    const auto isExcluded = [this](const ReplicaId &replica) {
        const PlannedReplica *planned = m_fleet.plan.find(replica);
        return planned == nullptr || planned->phase != ReplicaPhase::Ready
            || !hasContactTo(*planned) || !shouldReport(*planned);
    };
    replicas.erase(std::remove_if(replicas.begin(), replicas.end(), isExcluded), replicas.end());
    if (replicas.empty() || !m_fleet.storeReachable || !m_registration.holds(now))
        return;
    const StoreKey key = FleetKeys::suspicions(m_options.daemon);
    const auto present = m_fleet.daemonKeys.find(key);
    const Revision expected =
        present == m_fleet.daemonKeys.end() ? absentRevision : present->second.revision;
    const std::string text = serializeSuspicions(replicas);
    const Result<Revision> written =
        m_store.commit({ { key, text, expected, m_registration.lease() } }, yield);
    m_log.write("replicas_suspected", LogWeight::Belief,
                { { "replicas", text },
                  { "plan_revision", m_fleet.planRevision.count() },
                  { "told", written.ok() },
                  { "why", written.ok() ? std::string() : written.error().message() } });
    if (written.ok())
        m_fleet.recordWrite(key, { text, written.value() });
}

} // namespace ramphinge
