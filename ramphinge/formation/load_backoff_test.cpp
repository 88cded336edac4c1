// Tests of the backoff of model loads that crash servers.

#include "ramphinge/formation/load_backoff.h"
#include "ramphinge/formation/order_tracker.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const ModelId harmful("harmful");
const ModelId healthy("sound");

EngineProfile twoModels()
{
    EngineProfile engine;
    engine.concurrentLoadLimit = 4;
    engine.loadStartsPerSecond = 4;
    for (const ModelId &model : { harmful, healthy })
        engine.models.push_back(
            { model, 1, 1, 1, std::chrono::seconds(10), std::chrono::milliseconds(500) });
    return engine;
}

UpstreamServer server(const std::string &name)
{
    UpstreamServer entry;
    entry.host = HostId(name);
    return entry;
}

ServerOrder stage(const std::string &host, const ModelId &model)
{
    ServerOrder order;
    order.kind = OrderKind::Stage;
    order.host = HostId(host);
    order.replica = ReplicaId(model.text());
    order.model = model;
    order.needsLoad = true;
    return order;
}

class LoadBackoffTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadBackoffTest);
    CPPUNIT_TEST(loadsBackOffAfterThreeCrashes);
    CPPUNIT_TEST(successEndsTheBackoff);
    CPPUNIT_TEST(correlatedCrashesAreNotCounted);
    CPPUNIT_TEST(harmfulModelDoesNotCrashTheWholeFleet);
    CPPUNIT_TEST(healthyModelIsLoadedDespiteOtherCrashes);
    CPPUNIT_TEST_SUITE_END();

public:
    void loadsBackOffAfterThreeCrashes()
    {
        LoadBackoff backoff { LoadBackoffOptions() };
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(backoff.mayLoad(harmful, m_now));
            backoff.recordCrash(harmful, m_now);
        }
        CPPUNIT_ASSERT(!backoff.mayLoad(harmful, m_now));
        CPPUNIT_ASSERT(backoff.mayLoad(healthy, m_now));
        m_now += std::chrono::seconds(15);
        CPPUNIT_ASSERT(backoff.mayLoad(harmful, m_now)); // Retried ...
        backoff.recordCrash(harmful, m_now);
        m_now += std::chrono::seconds(29); // ... with twice the backoff.
        CPPUNIT_ASSERT(!backoff.mayLoad(harmful, m_now));
        m_now += std::chrono::seconds(1);
        CPPUNIT_ASSERT(backoff.mayLoad(harmful, m_now));
    }

    void successEndsTheBackoff()
    {
        LoadBackoff backoff { LoadBackoffOptions() };
        for (int i = 0; i < 3; ++i)
            backoff.recordCrash(harmful, m_now);
        backoff.recordSuccess(harmful);
        CPPUNIT_ASSERT(backoff.mayLoad(harmful, m_now));
        CPPUNIT_ASSERT_EQUAL(0, backoff.crashes(harmful));
    }

    void correlatedCrashesAreNotCounted()
    {
        LoadBackoff backoff { LoadBackoffOptions() };
        for (int i = 0; i < 10; ++i) {
            backoff.recordOtherCrash(m_now);
            backoff.recordCrash(harmful, m_now + std::chrono::seconds(1));
        }
        CPPUNIT_ASSERT(backoff.mayLoad(harmful, m_now));
    }

    // Guards against one model crashing server after server: each of 40 servers crashes two seconds
    // after it starts to load it.
    void harmfulModelDoesNotCrashTheWholeFleet() { CPPUNIT_ASSERT(crashesInAMinute(harmful) <= 8); }

    // Guards against a backoff of a healthy model: every second server that loads it crashes for
    // another cause.
    void healthyModelIsLoadedDespiteOtherCrashes()
    {
        CPPUNIT_ASSERT(crashesInAMinute(healthy) >= 12);
    }

private:
    // Servers, of 40 that are all to load the model, that crash within a minute during a load of
    // it. Of `healthy`, every second load succeeds.
    int crashesInAMinute(const ModelId &model)
    {
        const EngineProfile engine = twoModels();
        OrderTracker tracker { OrderTrackerOptions() };
        ServerMap servers;
        std::vector<ServerOrder> wanted;
        for (int i = 0; i < 40; ++i) {
            const std::string name = "s" + std::to_string(i);
            servers[HostId(name)] = server(name);
            wanted.push_back(stage(name, model));
        }
        std::map<HostId, MonotonicTime> crashAt;
        int recordCrash = 0;
        int begun = 0;
        for (int second = 0; second < 60; ++second) {
            m_now += std::chrono::seconds(1);
            for (auto at = crashAt.begin(); at != crashAt.end();) {
                if (at->second > m_now) {
                    ++at;
                    continue;
                }
                servers.erase(at->first);
                ++recordCrash;
                at = crashAt.erase(at);
            }
            tracker.observe(servers, {}, m_now);
            std::vector<ServerOrder> orders;
            for (const ServerOrder &order : wanted) {
                const auto found = servers.find(order.host);
                if (found != servers.end() && !found->second.hasStaged(model))
                    orders.push_back(order);
            }
            for (const ServerOrder &order : tracker.due(orders, engine, m_now)) {
                tracker.sent(order, engine, m_now);
                tracker.answered(order, OrderAnswer::Begun, m_now);
                if (model == healthy && ++begun % 2 == 0)
                    servers[order.host].stagedModels = { model };
                else
                    crashAt[order.host] = m_now + std::chrono::seconds(2);
            }
        }
        return recordCrash;
    }

    MonotonicTime m_now { std::chrono::seconds(100) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBackoffTest);

} // namespace
