// The catalog of routes, services and accounts: see service_catalog.h.

#include "ramphinge/catalog/service_catalog.h"

#include <algorithm>
#include <cctype>

namespace ramphinge {

namespace {

constexpr std::size_t entriesPerStep = 400; // Of CatalogBuilder: far below a millisecond.

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

ServiceCatalog::ServiceCatalog(CatalogContent content)
    : ServiceCatalog(std::move(content), NotIndexed())
{
    for (std::size_t i = 0; i < m_content.routes.size(); ++i)
        addRoute(i);
    for (std::size_t i = 0; m_content.accounts && i < m_content.accounts->size(); ++i)
        addAccount(i);
}

// Without the indexes of routes and accounts, which may be many.
ServiceCatalog::ServiceCatalog(CatalogContent content, NotIndexed) : m_content(std::move(content))
{
    m_routes.reserve(m_content.routes.size());
    for (std::size_t i = 0; i < m_content.services.size(); ++i)
        m_services.emplace(m_content.services[i].service, i);
}

void ServiceCatalog::addRoute(std::size_t i)
{
    const RouteEntry &route = m_content.routes[i];
    m_routes.emplace(routeKey(lowerCase(route.host), route.pathPrefix), i);
    if (route.kind != RequestKind::Stream)
        return;
    for (const WeightedTarget &target : route.targets) {
        Duration &shortest =
            m_shortestStreamObjectives.emplace(target.service, route.objective).first->second;
        shortest = std::min(shortest, route.objective);
        m_streamPriorities[target.service].insert(route.priority);
    }
}

void ServiceCatalog::addAccount(std::size_t i)
{
    for (const std::string &key : (*m_content.accounts)[i].keys)
        m_accounts.emplace(key, i);
}

CatalogBuilder::CatalogBuilder(CatalogContent content)
    : m_catalog(new ServiceCatalog(std::move(content), ServiceCatalog::NotIndexed()))
{ }

bool CatalogBuilder::step()
{
    const CatalogContent &content = m_catalog->m_content;
    std::size_t added = 0;
    for (; m_routes < content.routes.size() && added < entriesPerStep; ++m_routes, ++added)
        m_catalog->addRoute(m_routes);
    // An account counts once for each of its keys.
    const std::size_t accounts = content.accounts ? content.accounts->size() : 0;
    for (; m_accounts < accounts && added < entriesPerStep; ++m_accounts) {
        m_catalog->addAccount(m_accounts);
        added += 1 + (*content.accounts)[m_accounts].keys.size();
    }
    return m_routes == content.routes.size() && m_accounts == accounts;
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
