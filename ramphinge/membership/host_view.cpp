// The view of upstream hosts: see host_view.h.

#include "ramphinge/membership/host_view.h"

#include <algorithm>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

bool hasSameState(const HostObservation &a, const HostObservation &b)
{
    return a.answers == b.answers && a.replica == b.replica && a.epoch == b.epoch
        && a.rank == b.rank && a.loaded == b.loaded && a.whole == b.whole
        && a.incarnation == b.incarnation;
}

} // namespace

void HostView::setMembers(const MemberList &list)
{
    if (list.revision < m_members.revision)
        return;
    m_members = list;
}

bool HostView::observe(const HostObservation &observation)
{
    const auto found = m_latest.find(observation.host);
    if (found == m_latest.end()) {
        m_latest[observation.host] = observation;
        return true;
    }
    if (observation.madeAt <= found->second.madeAt)
        return false;
    const bool isChanged = !hasSameState(found->second, observation);
    found->second = observation;
    return isChanged;
}

const Member *HostView::member(const HostId &host) const
{
    for (const Member &member : m_members.members) {
        if (member.host == host)
            return &member;
    }
    return nullptr;
}

const HostObservation *HostView::latest(const HostId &host, MonotonicTime now) const
{
    const auto found = m_latest.find(host);
    if (found == m_latest.end() || now - found->second.madeAt > m_options.maxObservationAge)
        return nullptr;
    return &found->second;
}

bool HostView::usable(const HostId &host, MonotonicTime now) const
{
    const Member *listed = member(host);
    if (listed == nullptr || listed->leaving)
        return false;
    const HostObservation *newest = latest(host, now);
    return newest == nullptr ? listed->live : newest->answers;
}

std::set<HostId> HostView::unusableHosts(MonotonicTime now) const
{
    std::set<HostId> unusable;
    for (const Member &member : m_members.members) {
        if (!usable(member.host, now))
            unusable.insert(member.host);
    }
    return unusable;
}

bool isObserver(const DaemonId &self, const HostId &host, const std::vector<DaemonId> &alive,
                int observers)
{
    const std::uint64_t key = stableHash(host.text());
    const std::uint64_t own = rendezvousScore(key, self.text());
    const auto higherScores = std::count_if(alive.begin(), alive.end(), [&](const DaemonId &other) {
        return other != self && rendezvousScore(key, other.text()) > own;
    });
    return higherScores < observers;
}

} // namespace ramphinge
