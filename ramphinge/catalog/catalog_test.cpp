// Tests of the catalog: route lookup, key lookup, and how long a catalog counts as fresh.

#include "ramphinge/catalog/catalog_freshness.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

RouteEntry route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RouteEntry entry;
    entry.route = RouteId(name);
    entry.host = host;
    entry.pathPrefix = prefix;
    return entry;
}

std::string routeOf(const ServiceCatalog &catalog, const char *host, const char *path)
{
    const RouteEntry *found = catalog.findRoute(host, path);
    return found == nullptr ? "" : found->route.text();
}

} // namespace

class CatalogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CatalogTest);
    CPPUNIT_TEST(longestPrefixOfTheHostWins);
    CPPUNIT_TEST(prefixEndsAtASlash);
    CPPUNIT_TEST(keysMapToTheirAccount);
    CPPUNIT_TEST(anEmptyListOfAccountsRequiresKeys);
    CPPUNIT_TEST(catalogBuiltInStepsIsTheSame);
    CPPUNIT_TEST(requestKindsDecideWhatMayBeRetried);
    CPPUNIT_TEST(shortestObjectiveCountsStreamsOnly);
    CPPUNIT_TEST(freshnessIsMeasuredFromTheStartOfTheConfirmingRead);
    CPPUNIT_TEST(withoutABoundOneConfirmationIsEnough);
    CPPUNIT_TEST_SUITE_END();

public:
    void longestPrefixOfTheHostWins()
    {
        CatalogContent content;
        content.routes = { route("root", "a.example", "/"), route("chat", "a.example", "/chat/"),
                           route("deep", "a.example", "/chat/deep/"),
                           route("other", "b.example", "/chat/") };
        const ServiceCatalog catalog(content);
        CPPUNIT_ASSERT_EQUAL(std::string("deep"), routeOf(catalog, "a.example", "/chat/deep/x"));
        CPPUNIT_ASSERT_EQUAL(std::string("chat"), routeOf(catalog, "a.example", "/chat/x/y"));
        CPPUNIT_ASSERT_EQUAL(std::string("chat"), routeOf(catalog, "A.Example:80", "/chat/"));
        CPPUNIT_ASSERT_EQUAL(std::string("root"), routeOf(catalog, "a.example", "/other"));
        CPPUNIT_ASSERT_EQUAL(std::string("other"), routeOf(catalog, "b.example", "/chat/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(), routeOf(catalog, "b.example", "/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(), routeOf(catalog, "c.example", "/chat/x"));
    }

    void prefixEndsAtASlash()
    {
        CatalogContent content;
        content.routes = { route("chat", "a.example", "/chat/") };
        const ServiceCatalog catalog(content);
        CPPUNIT_ASSERT_EQUAL(std::string(), routeOf(catalog, "a.example", "/chat"));
        CPPUNIT_ASSERT_EQUAL(std::string(), routeOf(catalog, "a.example", "/chatter/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(), routeOf(catalog, "a.example", ""));
    }

    void keysMapToTheirAccount()
    {
        CatalogContent content;
        content.accounts = { { AccountId("school"), 1, { "k1", "k2" } },
                             { AccountId("app"), std::nullopt, { "k3" } } };
        const ServiceCatalog catalog(content);
        CPPUNIT_ASSERT(catalog.requiresKeys());
        CPPUNIT_ASSERT(catalog.findAccount("k2")->account == AccountId("school"));
        CPPUNIT_ASSERT(catalog.findAccount("k3")->account == AccountId("app"));
        CPPUNIT_ASSERT(catalog.findAccount("k4") == nullptr);
        CPPUNIT_ASSERT(!ServiceCatalog({}).requiresKeys());
    }

    // Guards against admitting every request once the last account was removed.
    void anEmptyListOfAccountsRequiresKeys()
    {
        CatalogContent content;
        content.accounts = std::vector<AccountEntry>();
        CPPUNIT_ASSERT(ServiceCatalog(content).requiresKeys());
        CPPUNIT_ASSERT(ServiceCatalog(content).findAccount("") == nullptr);
    }

    // No step adds all of a large catalog.
    void catalogBuiltInStepsIsTheSame()
    {
        constexpr int entries = 1000;
        CatalogContent content;
        std::vector<AccountEntry> accounts;
        for (int i = 0; i < entries; ++i) {
            const std::string number = std::to_string(i);
            content.routes.push_back(route("r" + number, "A.example", "/" + number + "/"));
            content.routes.back().kind = RequestKind::Stream;
            content.routes.back().targets = { { ServiceId("s" + std::to_string(i % 3)), 1 } };
            content.routes.back().objective = Milliseconds(100 + i);
            content.routes.push_back(route("duplicate", "a.example", "/" + number + "/"));
            accounts.push_back({ AccountId("a" + number), std::nullopt, { "k" + number } });
        }
        content.accounts = accounts;
        content.services.push_back({ ServiceId("s0"), "", 0, std::nullopt });
        const ServiceCatalog whole(content);
        CatalogBuilder builder(content);
        int steps = 1;
        while (!builder.step())
            ++steps;
        CPPUNIT_ASSERT(steps >= 5);
        const CatalogPointer built = builder.take();
        for (int i = 0; i < entries; ++i) {
            const std::string path = "/" + std::to_string(i) + "/x";
            CPPUNIT_ASSERT_EQUAL(routeOf(whole, "a.example", path.c_str()),
                                 routeOf(*built, "a.example", path.c_str()));
            CPPUNIT_ASSERT(built->findAccount("k" + std::to_string(i))->account
                           == AccountId("a" + std::to_string(i)));
        }
        for (const char *service : { "s0", "s1", "s2", "s3" })
            CPPUNIT_ASSERT(whole.shortestStreamObjective(ServiceId(service))
                           == built->shortestStreamObjective(ServiceId(service)));
        CPPUNIT_ASSERT(built->findService(ServiceId("s0")) != nullptr);
    }

    void requestKindsDecideWhatMayBeRetried()
    {
        RouteEntry entry;
        entry.kind = RequestKind::AtMostOnce;
        entry.resumable = true;
        CPPUNIT_ASSERT(!entry.mayRetry());
        entry.kind = RequestKind::Stream;
        CPPUNIT_ASSERT(entry.mayRetry());
        entry.resumable = false;
        CPPUNIT_ASSERT(!entry.mayRetry());
        entry.kind = RequestKind::Idempotent;
        CPPUNIT_ASSERT(entry.mayRetry());
    }

    // A plain route's objective must not switch on what is meant for streams.
    void shortestObjectiveCountsStreamsOnly()
    {
        const ServiceId model("model");
        RouteEntry slow = route("slow", "a.example", "/slow/");
        slow.kind = RequestKind::Stream;
        slow.objective = Milliseconds(400);
        slow.targets = { { model, 1 } };
        RouteEntry fast = slow;
        fast.objective = Milliseconds(200);
        fast.targets = { { model, 1 }, { ServiceId("other"), 1 } };
        RouteEntry plain = fast;
        plain.kind = RequestKind::Idempotent;
        plain.objective = Milliseconds(100);
        plain.targets = { { model, 1 }, { ServiceId("plain"), 1 } };
        CatalogContent content;
        content.routes = { slow, fast, plain };
        const ServiceCatalog catalog(content);
        CPPUNIT_ASSERT(catalog.shortestStreamObjective(model) == Milliseconds(200));
        CPPUNIT_ASSERT(catalog.shortestStreamObjective(ServiceId("other")) == Milliseconds(200));
        CPPUNIT_ASSERT(!catalog.shortestStreamObjective(ServiceId("plain")));
        CPPUNIT_ASSERT(!catalog.ranksStreams(model));
        content.routes[1].priority = 0;
        CPPUNIT_ASSERT(ServiceCatalog(content).ranksStreams(model));
        content.routes[1] = slow;
        content.routes[2].priority = 0; // Not a stream.
        CPPUNIT_ASSERT(!ServiceCatalog(content).ranksStreams(model));
    }

    void freshnessIsMeasuredFromTheStartOfTheConfirmingRead()
    {
        ManualClock clock;
        CatalogFreshness freshness(std::chrono::seconds(5), std::chrono::seconds(1));
        CPPUNIT_ASSERT(!freshness.isWithinBound(clock.now()));
        const MonotonicTime started = clock.now();
        clock.advance(std::chrono::seconds(2)); // The watch took 2 s.
        freshness.confirm(started);
        clock.advance(std::chrono::milliseconds(1999));
        CPPUNIT_ASSERT(freshness.isWithinBound(clock.now()));
        clock.advance(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(!freshness.isWithinBound(clock.now()));
        // An older confirmation that arrives late changes nothing.
        freshness.confirm(started - std::chrono::seconds(1));
        CPPUNIT_ASSERT(*freshness.age(clock.now()) == std::chrono::seconds(4));
    }

    void withoutABoundOneConfirmationIsEnough()
    {
        ManualClock clock;
        CatalogFreshness freshness(std::nullopt, std::chrono::seconds(1));
        CPPUNIT_ASSERT(!freshness.isWithinBound(clock.now()));
        freshness.confirm(clock.now());
        clock.advance(std::chrono::hours(1));
        CPPUNIT_ASSERT(freshness.isWithinBound(clock.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatalogTest);
