// Whether this daemon reaches the servers, by service: a path may be lost to those of one service
// only.

#pragma once

#include <functional>

#include "ramphinge/reachability/server_contact.h"

namespace ramphinge {

// Not thread-safe: lives on the event loop.
class ServerContacts
{
public:
    struct Probe
    {
        ServiceId service;
        HostId host;
    };

    explicit ServerContacts(std::uint64_t seed = 1, ServerContactOptions options = {})
        : m_options(options), m_random(seed)
    { }

    // Replaces the servers that can be probed, by service.
    void setHosts(const std::map<ServiceId, std::vector<HostId>> &hosts);

    // The reference stays valid.
    ServerContact &of(const ServiceId &service);

    // A service without servers counts as sound.
    ContactState stateOf(const ServiceId &service) const;
    bool isLost(const ServiceId &service) const { return stateOf(service) == ContactState::Lost; }
    bool isSound(const ServiceId &service) const { return stateOf(service) == ContactState::Sound; }
    // Whether contact is sound to all services.
    bool isSound() const;
    std::set<ServiceId> lost() const;

    // Probes the service with the next takeProbes(), whether its contact is in doubt or not.
    void requestProbe(const ServiceId &service);
    // Sets what is called when a probe is requested, so that takeProbes() follows at once.
    void onProbeRequested(std::function<void()> requested) { m_onProbeRequested = requested; }

    // The servers to probe now. Each is to be followed by noteProbe() of its service.
    std::vector<Probe> takeProbes(MonotonicTime now);

private:
    ServerContactOptions m_options;
    Random m_random;
    std::map<ServiceId, ServerContact> m_contacts;
    std::function<void()> m_onProbeRequested; // May be empty.
};

} // namespace ramphinge
