// The daemons that requests can be forwarded to: see forward_targets.h.

#include "ramphinge/dispatch/forward_targets.h"

#include <algorithm>
#include <tuple>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

void ForwardTargets::setPeers(std::vector<ForwardPeer> peers, const ZoneId &ownZone)
{
    m_peers = std::move(peers);
    m_ownZone = ownZone;
}

bool ForwardTargets::isAvailable(const ForwardPeer &peer, const ServiceId &service,
                                 const std::set<DaemonId> &exclude, MonotonicTime now) const
{
    const auto avoided = m_avoidedUntil.find({ peer.daemon, service });
    return exclude.count(peer.daemon) == 0 && peer.lost.count(service) == 0
        && (avoided == m_avoidedUntil.end() || now >= avoided->second);
}

bool ForwardTargets::hasOther(const ServiceId &service, const std::set<DaemonId> &exclude,
                              MonotonicTime now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [&](const ForwardPeer &peer) {
        return isAvailable(peer, service, exclude, now);
    });
}

bool ForwardTargets::hasAny(const ServiceId &service) const
{
    return std::any_of(m_peers.begin(), m_peers.end(),
                       [&](const ForwardPeer &peer) { return peer.lost.count(service) == 0; });
}

int ForwardTargets::inFlight(const DaemonId &daemon) const
{
    const auto found = m_inFlight.find(daemon);
    return found == m_inFlight.end() ? 0 : found->second;
}

std::optional<ForwardPeer> ForwardTargets::choose(const ServiceId &service,
                                                  const std::set<DaemonId> &exclude,
                                                  MonotonicTime now)
{
    std::vector<const ForwardPeer *> available;
    for (const ForwardPeer &peer : m_peers) {
        if (isAvailable(peer, service, exclude, now))
            available.push_back(&peer);
    }
    if (available.empty())
        return std::nullopt;
    const ForwardPeer &first = *available[m_random.below(available.size())];
    const ForwardPeer &second = *available[m_random.below(available.size())];
    const auto rank = [this](const ForwardPeer &peer) {
        return std::make_tuple(inFlight(peer.daemon), peer.zone != m_ownZone);
    };
    return rank(second) < rank(first) ? second : first;
}

void ForwardTargets::ended(const DaemonId &daemon)
{
    const auto found = m_inFlight.find(daemon);
    if (found != m_inFlight.end() && --found->second == 0)
        m_inFlight.erase(found);
}

void ForwardTargets::avoid(const DaemonId &daemon, const ServiceId &service, MonotonicTime now)
{
    eraseIf(m_avoidedUntil, [now](const auto &entry) { return now >= entry.second; });
    m_avoidedUntil[{ daemon, service }] = now + m_options.avoidDuration;
}

} // namespace ramphinge
