// The daemon's view of the fleet: see fleet_state.h.

#include "ramphinge/fleet_control/fleet_state.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace ramphinge {

namespace {

bool isDaemonKey(const StoreKey &key)
{
    const std::string prefix = FleetKeys::daemonPrefix().text();
    return key.text().compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::string serializeLostServices(const std::set<ServiceId> &services)
{
    nlohmann::json document = nlohmann::json::array();
    for (const ServiceId &service : services)
        document.push_back(service.text());
    return document.dump();
}

std::set<ServiceId> parseLostServices(const std::string &text)
{
    const nlohmann::json document = nlohmann::json::parse(text, nullptr, false);
    std::set<ServiceId> services;
    if (!document.is_array())
        return services;
    for (const nlohmann::json &service : document) {
        if (service.is_string())
            services.emplace(service.get<std::string>());
    }
    return services;
}

void FleetState::recordWrite(const StoreKey &key, StoredValue written)
{
    const auto present = daemonKeys.find(key);
    if (present == daemonKeys.end() || present->second.revision < written.revision)
        daemonKeys[key] = std::move(written);
}

Status FleetState::applyPlan(const StoredValue &stored)
{
    if (stored.revision < planRevision)
        return Done {};
    Result<ReplicaPlan> parsed = parsePlan(stored.value);
    if (!parsed.ok())
        return parsed.error();
    plan = std::move(parsed.value());
    planRevision = stored.revision;
    return Done {};
}

std::vector<DaemonRegistration> FleetState::daemons() const
{
    const std::size_t prefix = FleetKeys::daemonPrefix().text().size();
    std::vector<DaemonRegistration> daemons;
    for (auto entry = daemonKeys.lower_bound(FleetKeys::daemonPrefix());
         entry != daemonKeys.end() && isDaemonKey(entry->first); ++entry)
        daemons.push_back(
            parseRegistration(DaemonId(entry->first.text().substr(prefix)), entry->second.value));
    return daemons;
}

std::set<ServiceId> FleetState::lostServices(const DaemonId &daemon) const
{
    const auto found = daemonKeys.find(FleetKeys::contact(daemon));
    return found == daemonKeys.end() ? std::set<ServiceId>()
                                     : parseLostServices(found->second.value);
}

int FleetState::daemonCount() const
{
    return static_cast<int>(
        std::count_if(daemonKeys.begin(), daemonKeys.end(),
                      [](const auto &entry) { return isDaemonKey(entry.first); }));
}

int FleetState::daemonsInZone(const ZoneId &zone) const
{
    return countInZone(daemons(), zone);
}

} // namespace ramphinge
