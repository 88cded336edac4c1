// The replica table: see replica_table.h.

#include "ramphinge/routing/replica_table.h"

#include <algorithm>
#include <cmath>

namespace ramphinge {

ReplicaTable::ReplicaTable(ReplicaTableOptions options)
    : m_options(std::move(options)), m_outliers(m_options.outliers)
{ }

void ReplicaTable::setReplicas(const std::vector<ReplicaEntry> &entries, MonotonicTime now)
{
    for (auto &[id, state] : m_states)
        state.ready = false;
    const bool first = m_states.empty();
    for (const ReplicaEntry &entry : entries) {
        const auto found = m_states.find(entry.replica);
        if (found == m_states.end()) {
            m_states[entry.replica].entry = entry;
            if (!first)
                m_outliers.restart(entry.replica, now);
            continue;
        }
        if (found->second.entry.epoch != entry.epoch)
            m_outliers.restart(entry.replica, now);
        found->second.entry = entry;
        found->second.ready = true;
    }
    std::set<ReplicaId> known;
    for (auto it = m_states.begin(); it != m_states.end();) {
        if (!it->second.ready && it->second.inFlight == 0) {
            it = m_states.erase(it);
        } else {
            known.insert(it->first);
            ++it;
        }
    }
    m_outliers.retain(known);
}

void ReplicaTable::setUnusableHosts(std::set<HostId> hosts)
{
    m_unusable = std::move(hosts);
}

void ReplicaTable::report(const ReplicaId &replica, const LoadReport &report)
{
    const auto found = m_states.find(replica);
    if (found == m_states.end())
        return;
    found->second.load = report;
    found->second.sentSinceReport = 0;
    found->second.endedSinceReport = 0;
    adjustBorrowing(found->second);
}

double ReplicaTable::engineSlots(const State &state) const
{
    return m_options.queueDepth * state.load.maxBatch;
}

namespace {
// Share of an engine's slots up to which borrowing grows: a request that waits at a full engine
// waits for as long as a complete answer takes.
constexpr double maxBorrowingOccupancy = 0.9;
constexpr double newestReportWeight = 0.2;
} // namespace

// Reports are too late to count free slots: several daemons would take the same ones. Borrowing
// therefore grows with each report without requests waiting at the engine, and is halved by a
// report with some: additive increase, multiplicative decrease. An engine that is less than half
// full is filled exponentially.
void ReplicaTable::adjustBorrowing(State &state) const
{
    const double allSlots = engineSlots(state);
    // One report may have caught the moment after many answers ended together.
    state.smoothedRunning += newestReportWeight * (state.load.running - state.smoothedRunning);
    const double running = std::max(state.smoothedRunning, static_cast<double>(state.load.running));
    if (state.load.waiting > 0)
        state.borrowed /= 2;
    else if (running < allSlots / 2)
        state.borrowed = std::max(state.borrowed * 2, allSlots / 4);
    else if (running < allSlots * maxBorrowingOccupancy)
        state.borrowed += std::max(1.0, allSlots / 16);
    state.borrowed = std::min(state.borrowed, allSlots - allSlots / m_sharers);
}

bool ReplicaTable::usable(const State &state) const
{
    return state.ready
        && std::none_of(state.entry.hosts.begin(), state.entry.hosts.end(),
                        [this](const HostId &host) { return m_unusable.count(host) > 0; });
}

Duration ReplicaTable::latencyTo(const ZoneId &zone) const
{
    if (zone == m_options.ownZone)
        return Duration::zero();
    for (const ZoneDistance &known : m_options.zones) {
        if (known.zone == zone)
            return known.latency;
    }
    return m_options.defaultZoneLatency;
}

double ReplicaTable::estimatedRequests(const State &state) const
{
    const double reported =
        state.load.running + state.load.waiting + state.sentSinceReport - state.endedSinceReport;
    return std::max(reported, static_cast<double>(state.inFlight));
}

int ReplicaTable::slots(const State &state, double admission) const
{
    const double own = engineSlots(state) / m_sharers;
    const int limit = static_cast<int>(std::floor((own + state.borrowed) * admission));
    return std::max(admission > 0 ? 1 : 0, limit);
}

std::vector<Candidate> ReplicaTable::candidates(const ModelId &model, MonotonicTime now)
{
    std::vector<const State *> states;
    std::vector<ReplicaId> alike;
    for (const auto &[id, state] : m_states) {
        if (state.entry.model != model || !usable(state))
            continue;
        states.push_back(&state);
        alike.push_back(id);
    }
    std::vector<Candidate> found;
    for (const State *state : states) {
        const double admission = m_outliers.admission(state->entry.replica, alike, now);
        if (admission <= 0)
            continue;
        Candidate candidate;
        candidate.replica = state->entry.replica;
        candidate.zone = state->entry.zone;
        candidate.localZone = state->entry.zone == m_options.ownZone;
        candidate.zoneLatency = latencyTo(state->entry.zone);
        candidate.load = estimatedRequests(*state) / std::max(1, state->load.maxBatch);
        candidate.inFlight = state->inFlight;
        candidate.slots = slots(*state, admission);
        found.push_back(std::move(candidate));
    }
    return found;
}

SlotCount ReplicaTable::slotCount(const ModelId &model, MonotonicTime now)
{
    SlotCount count;
    for (const Candidate &candidate : candidates(model, now)) {
        count.all += candidate.slots;
        count.free += std::max(0, candidate.slots - candidate.inFlight);
    }
    return count;
}

std::optional<ReplicaEntry> ReplicaTable::find(const ReplicaId &replica) const
{
    const auto found = m_states.find(replica);
    if (found == m_states.end() || !usable(found->second))
        return std::nullopt;
    return found->second.entry;
}

std::vector<ReplicaEntry> ReplicaTable::entries() const
{
    std::vector<ReplicaEntry> all;
    for (const auto &[id, state] : m_states) {
        if (state.ready)
            all.push_back(state.entry);
    }
    return all;
}

void ReplicaTable::began(const ReplicaId &replica)
{
    State &state = m_states[replica];
    ++state.inFlight;
    ++state.sentSinceReport;
}

void ReplicaTable::ended(const ReplicaId &replica)
{
    const auto found = m_states.find(replica);
    if (found == m_states.end())
        return;
    --found->second.inFlight;
    ++found->second.endedSinceReport;
}

int ReplicaTable::inFlight(const ReplicaId &replica) const
{
    const auto found = m_states.find(replica);
    return found == m_states.end() ? 0 : found->second.inFlight;
}

} // namespace ramphinge
