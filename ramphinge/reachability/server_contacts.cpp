// Contact with the servers by service: see server_contacts.h.

#include "ramphinge/reachability/server_contacts.h"

#include <algorithm>

namespace ramphinge {

ServerContact &ServerContacts::of(const ServiceId &service)
{
    const auto found = m_contacts.find(service);
    if (found != m_contacts.end())
        return found->second;
    return m_contacts.emplace(service, ServerContact(m_options, m_random.next())).first->second;
}

void ServerContacts::setHosts(const std::map<ServiceId, std::vector<HostId>> &hosts)
{
    for (auto &[service, contact] : m_contacts) {
        if (hosts.count(service) == 0)
            contact.setHosts({});
    }
    for (const auto &[service, hostsOfService] : hosts)
        of(service).setHosts(hostsOfService);
}

ContactState ServerContacts::stateOf(const ServiceId &service) const
{
    const auto found = m_contacts.find(service);
    return found == m_contacts.end() ? ContactState::Sound : found->second.state();
}

bool ServerContacts::isSound() const
{
    return std::all_of(m_contacts.begin(), m_contacts.end(),
                       [](const auto &entry) { return entry.second.isSound(); });
}

std::set<ServiceId> ServerContacts::lost() const
{
    std::set<ServiceId> services;
    for (const auto &[service, contact] : m_contacts) {
        if (contact.isLost())
            services.insert(service);
    }
    return services;
}

void ServerContacts::requestProbe(const ServiceId &service)
{
    of(service).requestProbe();
    if (m_onProbeRequested)
        m_onProbeRequested();
}

std::vector<ServerContacts::Probe> ServerContacts::takeProbes(MonotonicTime now)
{
    std::vector<Probe> probes;
    for (auto &[service, contact] : m_contacts) {
        for (HostId &host : contact.takeProbes(now))
            probes.push_back({ service, std::move(host) });
    }
    return probes;
}

} // namespace ramphinge
