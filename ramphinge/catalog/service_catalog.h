// What the deployment serves, and to whom: routes, upstream services, limits on callers, and the
// client accounts' keys. Each version is one immutable value; the request path holds a shared
// pointer and never sees a partial change.
//
//   const RouteEntry *route = catalog->findRoute("api.example", "/chat/x");
//   if (route == nullptr)
//       return notFound();

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

using RouteId = Id<struct RouteIdTag>;
using CatalogVersion = Quantity<struct CatalogVersionTag>;

// Which requests of a route may be retried.
enum class RequestKind {
    Idempotent, // May run more than once.
    AtMostOnce,
    Stream, // Answered by an event stream; see RouteEntry::resumable.
};

struct WeightedTarget
{
    ServiceId service;
    double weight = 1; // Relative to the sum over the route's targets.
};

struct RouteEntry
{
    RouteId route;
    std::string host; // Compared in lower case.
    std::string pathPrefix; // Begins and ends with a slash.
    RequestKind kind = RequestKind::AtMostOnce;
    bool resumable = false; // Streams: another upstream may continue after the last event.
    bool isPublic = false; // Requests need no key.
    int priority = 5; // 0 is the most urgent.
    int maxAttempts = 1; // Attempts of one request that may have run.
    Duration timeout = std::chrono::seconds(10); // Longest deadline of a request, from its arrival.
    Duration objective =
        std::chrono::milliseconds(500); // Latency to the answer, or to a stream's first event.
    Duration eventGapObjective =
        std::chrono::milliseconds(300); // Gap between two events of a stream.
    std::vector<WeightedTarget> targets;

    // Whether a request of this route may run again after it may have run.
    bool mayRetry() const
    {
        return kind == RequestKind::Idempotent || (kind == RequestKind::Stream && resumable);
    }
};

// A model that a service's servers can hold.
struct ModelProfile
{
    ModelId model;
    int serversPerReplica = 1;
    double share = 1; // Of the service's servers, before demand is known.
    double timeFactor = 1; // Factor on all of the engine's step and prefill times.
    Duration loadTime {}; // From the weight store.
    Duration warmTime {}; // From the host's own storage or memory.
};

// Parameters of the engine's published performance model.
struct EngineProfile
{
    int slots = 1; // Requests that one replica runs at once.
    double kvCacheTokens = 0;
    double stepMilliseconds = 10; // A step yields one token for each running request.
    double perSequenceMilliseconds = 0; // Added per step for each running request.
    double contextMillisecondsPerThousand = 0; // Added per step for each 1,000 tokens of context.
    double prefillTokensPerSecond = 10'000;
    double pairMillisecondsPerMillion = 0; // Prefill attention: per million pairs of tokens.
    int stepsPerPass = 1;
    Duration formationTime {}; // From the order to open until the replica serves.
    double loadStartsPerSecond = 1; // Starts of loads from the weight store, over all servers.
    int concurrentLoadLimit = 1; // With more, each load takes proportionally longer.
    int maxStagedModels = 1; // Capacity of a server's own storage, in models.
    double typicalPromptTokens = 0;
    double typicalAnswerTokens = 0;
    std::vector<ModelProfile> models;

    const ModelProfile *find(const ModelId &model) const;
};

struct ServiceEntry
{
    ServiceId service;
    std::string healthPath;
    int connectionLimit = 0; // Of one server, over all callers; 0: no limit.
    std::optional<EngineProfile> engine; // Absent for plain services.
    RequestRate coldRate =
        RequestRate(); // That a cold server tolerates from all daemons; 0: no limit.
};

struct CallerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

struct AccountEntry
{
    AccountId account;
    std::optional<int> priority; // Overrides the route's.
    std::vector<std::string> keys;
};

// The parts of a catalog, as decoded.
struct CatalogContent
{
    CatalogVersion version;
    std::vector<RouteEntry> routes;
    std::vector<ServiceEntry> services;
    // Absent: requests need no keys. Empty: they need one, and none is valid.
    std::optional<std::vector<AccountEntry>> accounts;
    CallerLimits limits;
};

// Immutable once it is built; safe to share.
class ServiceCatalog
{
public:
    explicit ServiceCatalog(CatalogContent content);

    CatalogVersion version() const { return m_content.version; }
    const CallerLimits &limits() const { return m_content.limits; }
    const std::vector<ServiceEntry> &services() const { return m_content.services; }
    bool requiresKeys() const { return m_content.accounts.has_value(); }

    // The route of that host with the longest path prefix of `path`, or null.
    const RouteEntry *findRoute(std::string_view host, std::string_view path) const;

    // The account that holds the key, or null.
    const AccountEntry *findAccount(std::string_view key) const;
    const ServiceEntry *findService(const ServiceId &service) const;

    // The shortest objective among the streamed routes to the service; nothing if it has none.
    std::optional<Duration> shortestStreamObjective(const ServiceId &service) const;

    // Whether the streamed routes to the service differ in priority.
    bool ranksStreams(const ServiceId &service) const;

private:
    friend class CatalogBuilder;
    struct NotIndexed
    {
    };

    ServiceCatalog(CatalogContent content, NotIndexed);
    void addRoute(std::size_t i);
    void addAccount(std::size_t i);

    CatalogContent m_content;
    // Indexes into m_content; routes are keyed by "host prefix".
    std::unordered_map<std::string, std::size_t> m_routes;
    std::unordered_map<std::string, std::size_t> m_accounts;
    std::map<ServiceId, std::size_t> m_services;
    std::map<ServiceId, Duration> m_shortestStreamObjectives;
    std::map<ServiceId, std::set<int>> m_streamPriorities;
};

using CatalogPointer = std::shared_ptr<const ServiceCatalog>;

// Builds a catalog in steps, so that other work can be done between them.
class CatalogBuilder
{
public:
    explicit CatalogBuilder(CatalogContent content);

    // Adds some routes or accounts. Returns whether the catalog is complete; then call take().
    bool step();
    CatalogPointer take() { return std::move(m_catalog); }

private:
    std::shared_ptr<ServiceCatalog> m_catalog;
    std::size_t m_routes = 0; // Added so far.
    std::size_t m_accounts = 0; // Added so far.
};

} // namespace ramphinge
