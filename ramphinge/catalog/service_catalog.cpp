// The catalog of routes, services and accounts: see service_catalog.h.

#include "ramphinge/catalog/service_catalog.h"

#include <algorithm>
#include <cctype>

namespace ramphinge {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

// Host names contain no spaces, so the pair is unambiguous.
std::string routeKey(const std::string &host, std::string_view prefix)
{
    return host + ' ' + std::string(prefix);
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

const ModelProfile *EngineProfile::find(const ModelId &model) const
{
    const auto found =
        std::find_if(models.begin(), models.end(),
                     [&model](const ModelProfile &profile) { return profile.model == model; });
    return found == models.end() ? nullptr : &*found;
}

ServiceCatalog::ServiceCatalog(CatalogContent content) : m_content(std::move(content))
{
    for (std::size_t i = 0; i < m_content.routes.size(); ++i) {
        const RouteEntry &route = m_content.routes[i];
        m_routes.emplace(routeKey(lowerCase(route.host), route.pathPrefix), i);
        if (route.kind != RequestKind::Stream)
            continue;
        for (const WeightedTarget &target : route.targets) {
            Duration &shortest =
                m_shortestStreamObjectives.emplace(target.service, route.objective).first->second;
            shortest = std::min(shortest, route.objective);
            m_streamPriorities[target.service].insert(route.priority);
        }
    }
    if (m_content.accounts) {
        for (std::size_t i = 0; i < m_content.accounts->size(); ++i) {
            for (const std::string &key : (*m_content.accounts)[i].keys)
                m_accounts.emplace(key, i);
        }
    }
    for (std::size_t i = 0; i < m_content.services.size(); ++i)
        m_services.emplace(m_content.services[i].service, i);
}

const RouteEntry *ServiceCatalog::findRoute(std::string_view host, std::string_view path) const
{
    const std::string name = lowerCase(withoutPort(host));
    // Tries the path's prefixes that end with a slash, the longest first.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = m_routes.find(routeKey(name, path.substr(0, end + 1)));
        if (found != m_routes.end())
            return &m_content.routes[found->second];
    }
    return nullptr;
}

const AccountEntry *ServiceCatalog::findAccount(std::string_view key) const
{
    const auto found = m_accounts.find(std::string(key));
    return found == m_accounts.end() ? nullptr : &(*m_content.accounts)[found->second];
}

const ServiceEntry *ServiceCatalog::findService(const ServiceId &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &m_content.services[found->second];
}

std::optional<Duration> ServiceCatalog::shortestStreamObjective(const ServiceId &service) const
{
    const auto found = m_shortestStreamObjectives.find(service);
    return found == m_shortestStreamObjectives.end() ? std::nullopt
                                                     : std::optional<Duration>(found->second);
}

bool ServiceCatalog::ranksStreams(const ServiceId &service) const
{
    const auto found = m_streamPriorities.find(service);
    return found != m_streamPriorities.end() && found->second.size() > 1;
}

} // namespace ramphinge
