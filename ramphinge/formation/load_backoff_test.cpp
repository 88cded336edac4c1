// Loads that end the servers which take them: held back, and let go.

#include "ramphinge/formation/load_backoff.h"
#include "ramphinge/formation/order_book.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const ModelId harmful("harmful");
const ModelId sound("sound");

EngineProfile twoModels()
{
    EngineProfile engine;
    engine.loadsAtOnce = 4;
    engine.loadsPerSecond = 4;
    for (const ModelId &model : { harmful, sound })
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
    CPPUNIT_TEST(loadsWaitAfterThreeEnds);
    CPPUNIT_TEST(successLetsThemGo);
    CPPUNIT_TEST(serversThatEndWithOthersCountForNothing);
    CPPUNIT_TEST(modelThatEndsWhatLoadsItDoesNotGoThroughTheFleet);
    CPPUNIT_TEST(modelWhoseLoadsSucceedIsLoadedWhileServersFail);
    CPPUNIT_TEST_SUITE_END();

public:
    void loadsWaitAfterThreeEnds()
    {
        LoadBackoff guard { LoadBackoffOptions() };
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(guard.mayLoad(harmful, m_now));
            guard.ended(harmful, m_now);
        }
        CPPUNIT_ASSERT(!guard.mayLoad(harmful, m_now));
        CPPUNIT_ASSERT(guard.mayLoad(sound, m_now));
        m_now += std::chrono::seconds(15);
        CPPUNIT_ASSERT(guard.mayLoad(harmful, m_now)); // Tried again ...
        guard.ended(harmful, m_now);
        m_now += std::chrono::seconds(29); // ... after twice the time.
        CPPUNIT_ASSERT(!guard.mayLoad(harmful, m_now));
        m_now += std::chrono::seconds(1);
        CPPUNIT_ASSERT(guard.mayLoad(harmful, m_now));
    }

    void successLetsThemGo()
    {
        LoadBackoff guard { LoadBackoffOptions() };
        for (int i = 0; i < 3; ++i)
            guard.ended(harmful, m_now);
        guard.succeeded(harmful);
        CPPUNIT_ASSERT(guard.mayLoad(harmful, m_now));
        CPPUNIT_ASSERT_EQUAL(0, guard.ends(harmful));
    }

    void serversThatEndWithOthersCountForNothing()
    {
        LoadBackoff guard { LoadBackoffOptions() };
        for (int i = 0; i < 10; ++i) {
            guard.otherEnded(m_now);
            guard.ended(harmful, m_now + std::chrono::seconds(1));
        }
        CPPUNIT_ASSERT(guard.mayLoad(harmful, m_now));
    }

    // A fleet of 40 servers, each of which ends two seconds after it began to load the model.
    void modelThatEndsWhatLoadsItDoesNotGoThroughTheFleet()
    {
        CPPUNIT_ASSERT(endedInAMinute(harmful) <= 8);
    }

    // Every second one that loads it ends of other causes.
    void modelWhoseLoadsSucceedIsLoadedWhileServersFail()
    {
        CPPUNIT_ASSERT(endedInAMinute(sound) >= 12);
    }

private:
    // Servers that end in the middle of a load of the model in a minute, of 40 that are all wanted
    // to load it. Of `sound`, every second load ends well.
    int endedInAMinute(const ModelId &model)
    {
        const EngineProfile engine = twoModels();
        OrderBook book { OrderBookOptions() };
        ServerMap servers;
        std::vector<ServerOrder> wanted;
        for (int i = 0; i < 40; ++i) {
            const std::string name = "s" + std::to_string(i);
            servers[HostId(name)] = server(name);
            wanted.push_back(stage(name, model));
        }
        std::map<HostId, MonotonicTime> endsAt;
        int ended = 0;
        int begun = 0;
        for (int second = 0; second < 60; ++second) {
            m_now += std::chrono::seconds(1);
            for (auto at = endsAt.begin(); at != endsAt.end();) {
                if (at->second > m_now) {
                    ++at;
                    continue;
                }
                servers.erase(at->first);
                ++ended;
                at = endsAt.erase(at);
            }
            book.observe(servers, {}, m_now);
            std::vector<ServerOrder> orders;
            for (const ServerOrder &order : wanted) {
                const auto found = servers.find(order.host);
                if (found != servers.end() && !found->second.hasStaged(model))
                    orders.push_back(order);
            }
            for (const ServerOrder &order : book.due(orders, engine, m_now)) {
                book.sent(order, engine, m_now);
                book.answered(order, OrderAnswer::Begun, m_now);
                if (model == sound && ++begun % 2 == 0)
                    servers[order.host].stagedModels = { model };
                else
                    endsAt[order.host] = m_now + std::chrono::seconds(2);
            }
        }
        return ended;
    }

    MonotonicTime m_now { std::chrono::seconds(100) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadBackoffTest);

} // namespace
