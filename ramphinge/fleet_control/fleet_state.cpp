// The daemon's view of the fleet: see fleet_state.h.

#include "ramphinge/fleet_control/fleet_state.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "ramphinge/base/json.h"
#include "ramphinge/relay/relay_directory.h"

namespace ramphinge {

namespace {

bool hasPrefix(const StoreKey &key, const StoreKey &prefix)
{
    return key.text().compare(0, prefix.text().size(), prefix.text()) == 0;
}

bool isDaemonKey(const StoreKey &key)
{
    return hasPrefix(key, FleetKeys::daemonPrefix());
}

DaemonRegistration registrationOf(const StoreKey &key, const StoredValue &stored)
{
    const DaemonId daemon(key.text().substr(FleetKeys::daemonPrefix().text().size()));
    return parseRegistration(daemon, stored.value);
}

} // namespace

std::string serializeLostServices(const std::set<ServiceId> &services)
{
    nlohmann::json document = nlohmann::json::array();
    for (const ServiceId &service : services)
        document.push_back(service.text());
    return document.dump();
}

Result<std::set<ServiceId>> parseLostServices(const std::string &text)
{
    const Result<nlohmann::json> document = parseJson(text);
    if (!document.ok() || !document.value().is_array())
        return Error(ErrorKind::InvalidInput, "the list of lost services is not a JSON array");
    std::set<ServiceId> services;
    for (const nlohmann::json &service : document.value()) {
        if (service.is_string())
            services.emplace(service.get<std::string>());
    }
    return services;
}

Status checkDaemonKey(const StoreKey &key, const StoredValue &stored)
{
    if (isDaemonKey(key) && !isUsable(registrationOf(key, stored)))
        return Error(ErrorKind::InvalidInput, "the registration names no zone");
    if (hasPrefix(key, FleetKeys::contactPrefix())) {
        if (const auto services = parseLostServices(stored.value); !services.ok())
            return services.error();
    }
    if (isRelayDirectoryKey(key) && !parseRelayEntry(key, stored))
        return Error(ErrorKind::InvalidInput, "the entry names no relay");
    return Done {};
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
    planRevision = stored.revision;
    Result<ReplicaPlan> parsed = parsePlan(stored.value);
    planUnreadable = !parsed.ok();
    if (!parsed.ok())
        return parsed.error();
    plan = std::move(parsed.value());
    return Done {};
}

std::vector<DaemonRegistration> FleetState::daemons() const
{
    std::vector<DaemonRegistration> daemons;
    for (auto entry = daemonKeys.lower_bound(FleetKeys::daemonPrefix());
         entry != daemonKeys.end() && isDaemonKey(entry->first); ++entry) {
        DaemonRegistration daemon = registrationOf(entry->first, entry->second);
        if (isUsable(daemon))
            daemons.push_back(std::move(daemon));
    }
    return daemons;
}

std::set<ServiceId> FleetState::lostServices(const DaemonId &daemon) const
{
    const auto found = daemonKeys.find(FleetKeys::contact(daemon));
    if (found == daemonKeys.end())
        return {};
    Result<std::set<ServiceId>> services = parseLostServices(found->second.value);
    return services.ok() ? std::move(services.value()) : std::set<ServiceId>();
}

int FleetState::daemonCount() const
{
    return static_cast<int>(daemons().size());
}

int FleetState::daemonsInZone(const ZoneId &zone) const
{
    return countInZone(daemons(), zone);
}

} // namespace ramphinge
