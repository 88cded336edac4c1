// Tests of relays over real links on the loopback interface: news, loads, relays that vanish, keys
// that differ, reserves.

#include "ramphinge/relay/relay_node.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/run_coroutine.h"

using namespace ramphinge;

namespace {

StoreChange put(const char *key, const std::string &value, int revision)
{
    return { StoreKey(key), StoredValue { value, Revision(revision) } };
}

// Two daemons' nodes on the loopback interface.
class LinkedPair
{
public:
    explicit LinkedPair(IoContext &io, int fewestDaemons = 2)
        : log(clock, {}), relay(io, clock, optionsOf("relay", 1, fewestDaemons), log, metrics),
          leaf(io, clock, optionsOf("leaf", 0.1, fewestDaemons), log, metrics)
    { }

    static RelayNodeOptions optionsOf(const std::string &name, double processor,
                                      int fewestDaemons = 2)
    {
        RelayNodeOptions options;
        options.self = { DaemonId(name),
                         ZoneId("z"),
                         { "127.0.0.1",
                           static_cast<std::uint16_t>(name == "relay" ? port : port + 1) },
                         processor };
        options.choice = { 1, 0, fewestDaemons };
        return options;
    }

    void introduce()
    {
        for (RelayNode *node : { &relay, &leaf })
            node->setDaemons({ optionsOf("relay", 1).self, optionsOf("leaf", 0.1).self });
    }

    // Until the link stands.
    Result<RelayedNews> askUntilLinked(IoContext &io, Revision after, Yield yield)
    {
        Result<RelayedNews> update = leaf.next(after, Duration::zero(), false, yield);
        for (int i = 0; i < 400 && !update.ok() && isNoLink(update.error()); ++i) {
            sleepFor(io, std::chrono::milliseconds(5), yield); // For the loop to make it.
            update = leaf.next(after, Duration::zero(), false, yield);
        }
        return update;
    }

    // The leaf follows the relay from now on.
    void follow(IoContext &io, Yield yield)
    {
        introduce();
        for (RelayNode *node : { &relay, &leaf })
            node->setKey("secret");
        spawnCoroutine(io, [this](Yield inner) { relay.run(inner); });
        relay.pictureListed(Revision(4), clock.now());
        CPPUNIT_ASSERT(askUntilLinked(io, Revision(4), yield).ok());
    }

    static bool isNoLink(const Error &error)
    {
        return error.message().find("no link") != std::string::npos;
    }

    static constexpr std::uint16_t port = 17391;
    ManualClock clock;
    DecisionLog log;
    Metrics metrics;
    RelayNode relay;
    RelayNode leaf;
};

} // namespace

class RelayNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayNodeTest);
    CPPUNIT_TEST(newsComeOverALink);
    CPPUNIT_TEST(relayThatVanishesIsPassedOver);
    CPPUNIT_TEST(wrongKeyGetsNoNews);
    CPPUNIT_TEST(loadsComeOverALink);
    CPPUNIT_TEST(serverNewsComesOverALink);
    CPPUNIT_TEST(serverNewsComesToZonesWithoutRelays);
    CPPUNIT_TEST(serverNewsComesToDaemonsThatDoNotFollowTheirRelay);
    CPPUNIT_TEST(reserveIsARelayWhileItIsAsked);
    CPPUNIT_TEST_SUITE_END();

public:
    void newsComeOverALink()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            LinkedPair pair(io);
            pair.introduce();
            CPPUNIT_ASSERT(!pair.leaf.canAsk(false)); // The key of the links isn't known yet.
            for (RelayNode *node : { &pair.relay, &pair.leaf })
                node->setKey("secret");
            CPPUNIT_ASSERT(pair.relay.isRelay() && !pair.leaf.isRelay());
            CPPUNIT_ASSERT(pair.leaf.canAsk(false) && !pair.relay.canAsk(false));
            spawnCoroutine(io, [&pair](Yield inner) { pair.relay.run(inner); });
            pair.relay.pictureListed(Revision(4), pair.clock.now());
            pair.relay.pictureAdvanced({ Revision(5), true, { put("k", "v", 5) } },
                                       pair.clock.now());
            const Result<RelayedNews> update = pair.askUntilLinked(io, Revision(4), yield);
            CPPUNIT_ASSERT(update.ok());
            CPPUNIT_ASSERT_EQUAL(Revision(5), update.value().batch.upTo);
            CPPUNIT_ASSERT_EQUAL(std::string("v"),
                                 update.value().batch.changes.at(0).stored->value);
            CPPUNIT_ASSERT(update.value().provenAt <= pair.clock.now());
            const Result<RelayedNews> old = pair.askUntilLinked(io, Revision(3), yield);
            CPPUNIT_ASSERT(old.error().kind() == ErrorKind::NotFound);
            pair.relay.pictureStopped();
            const Result<RelayedNews> lost = pair.askUntilLinked(io, Revision(5), yield);
            CPPUNIT_ASSERT(lost.error().kind() == ErrorKind::Unavailable);
            CPPUNIT_ASSERT(!pair.leaf.canAsk(false)); // Passed over for a while.
            CPPUNIT_ASSERT(pair.leaf.canAsk(true)); // But not by one that has lost it too.
            pair.clock.advance(RelayNodeOptions().avoidance);
            CPPUNIT_ASSERT(pair.leaf.canAsk(false));
        });
    }

    void relayThatVanishesIsPassedOver()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            auto pair = std::make_unique<LinkedPair>(io);
            pair->introduce();
            for (RelayNode *node : { &pair->relay, &pair->leaf })
                node->setKey("secret");
            pair->relay.pictureListed(Revision(4), pair->clock.now());
            // Nobody gives the relay's answers: it stands still, and then its links end.
            spawnCoroutine(io, [&](Yield inner) {
                while (pair->metrics.value(MetricName("relay_links")) < 1)
                    sleepFor(io, std::chrono::milliseconds(5), inner);
                sleepFor(io, std::chrono::milliseconds(50), inner);
                pair->relay.close();
            });
            const Result<RelayedNews> update = pair->askUntilLinked(io, Revision(4), yield);
            CPPUNIT_ASSERT(update.error().kind() == ErrorKind::Unknown);
            CPPUNIT_ASSERT(!pair->leaf.canAsk(false));
        });
    }

    void wrongKeyGetsNoNews()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            LinkedPair pair(io);
            pair.introduce();
            pair.relay.setKey("secret");
            pair.leaf.setKey("another");
            pair.relay.pictureListed(Revision(4), pair.clock.now());
            for (int i = 0; i < 20; ++i) {
                const Result<RelayedNews> update =
                    pair.leaf.next(Revision(4), Duration::zero(), false, yield);
                CPPUNIT_ASSERT(!update.ok());
                sleepFor(io, std::chrono::milliseconds(2), yield); // For the loop to try a link.
            }
            pair.clock.advance(std::chrono::seconds(1));
            CPPUNIT_ASSERT(!pair.leaf.next(Revision(4), Duration::zero(), false, yield).ok());
            CPPUNIT_ASSERT(!pair.leaf.canAsk(false)); // No link in time: passed over.
        });
    }

    void loadsComeOverALink()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            LinkedPair pair(io);
            pair.follow(io, yield);
            const HostId host("h");
            SharedLoad heardByLeaf;
            SharedLoad heardByRelay;
            pair.relay.shareLoads(
                [&] {
                    return SharedLoad { { { host, 2, 20 } }, { { ModelId("chat"), { 8, 1 } } } };
                },
                [&](const SharedLoad &others) { heardByRelay = others; });
            pair.leaf.shareLoads(
                [&] {
                    return SharedLoad { { { host, 3, 30 } }, {} };
                },
                [&](const SharedLoad &others) { heardByLeaf = others; });
            for (int i = 0; i < 400 && heardByLeaf.places.empty(); ++i) {
                pair.leaf.exchangeLoads();
                pair.relay.exchangeLoads();
                sleepFor(io, std::chrono::milliseconds(5), yield); // For the loop to carry them.
            }
            CPPUNIT_ASSERT_EQUAL(2, heardByLeaf.places.at(0).running);
            CPPUNIT_ASSERT_EQUAL(8.0, heardByLeaf.work.at(ModelId("chat")).serverMilliseconds);
            CPPUNIT_ASSERT_EQUAL(3, heardByRelay.places.at(0).running);
        });
    }

    void serverNewsComesOverALink()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            LinkedPair pair(io);
            pair.follow(io, yield);
            for (RelayNode *node : { &pair.relay, &pair.leaf })
                node->shareLoads([] { return SharedLoad(); }, [](const SharedLoad &) {});
            expectServerNewsExchanged(io, pair, yield);
        });
    }

    void serverNewsComesToZonesWithoutRelays()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            LinkedPair pair(io, 3); // From three daemons on there are relays.
            pair.introduce();
            for (RelayNode *node : { &pair.relay, &pair.leaf })
                node->setKey("secret");
            expectServerNewsExchanged(io, pair, yield);
        });
    }

    void serverNewsComesToDaemonsThatDoNotFollowTheirRelay()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            LinkedPair pair(io);
            pair.introduce();
            for (RelayNode *node : { &pair.relay, &pair.leaf })
                node->setKey("secret");
            expectServerNewsExchanged(io, pair, yield);
        });
    }

    void reserveIsARelayWhileItIsAsked()
    {
        IoContext io(1);
        runCoroutine(io, [&io](Yield yield) {
            LinkedPair pair(io);
            // A third daemon is the relay, and nobody is there; the stronger of the pair is
            // reserve.
            const RelayCandidate away { DaemonId("away"), ZoneId("z"), { "127.0.0.1", 1 }, 9 };
            RelayNodeOptions options = LinkedPair::optionsOf("relay", 1);
            options.choice = { 1, 1, 2 };
            options.self.links.port = LinkedPair::port + 2;
            RelayNode reserve(io, pair.clock, options, pair.log, pair.metrics);
            RelayNodeOptions follows = LinkedPair::optionsOf("leaf", 0.1);
            follows.choice = options.choice;
            follows.self.links.port = LinkedPair::port + 3;
            RelayNode follower(io, pair.clock, follows, pair.log, pair.metrics);
            for (RelayNode *node : { &reserve, &follower }) {
                node->setDaemons({ away, options.self, follows.self });
                node->setKey("secret");
            }
            CPPUNIT_ASSERT(!reserve.isRelay());
            reserve.pictureListed(Revision(4), pair.clock.now());
            spawnCoroutine(io, [&reserve](Yield inner) { reserve.run(inner); });
            CPPUNIT_ASSERT(!follower.next(Revision(4), Duration::zero(), false, yield).ok());
            pair.clock.advance(std::chrono::seconds(1));
            CPPUNIT_ASSERT(!follower.next(Revision(4), Duration::zero(), false, yield).ok());
            Result<RelayedNews> update = Error(ErrorKind::Unknown, "not asked");
            for (int i = 0; i < 400 && !reserve.isRelay(); ++i) {
                update = follower.next(Revision(4), Duration::zero(), false, yield);
                sleepFor(io, std::chrono::milliseconds(5), yield); // For the loop to make the link.
            }
            CPPUNIT_ASSERT(reserve.isRelay()); // It was asked.
            reserve.pictureAdvanced({ Revision(5), true, {} }, pair.clock.now());
            pair.clock.advance(RelayNodeOptions().shortAvoidance);
            update = follower.next(Revision(5), Duration::zero(), false, yield);
            CPPUNIT_ASSERT(update.ok());
            pair.clock.advance(RelayNodeOptions().reserveServes);
            CPPUNIT_ASSERT(!reserve.isRelay());
        });
    }

private:
    static void expectServerNewsExchanged(IoContext &io, LinkedPair &pair, Yield yield)
    {
        const auto updateOf = [](const char *host) {
            return ServerNews { { { { HostId(host), ZoneId("z") },
                                    RequestRate(2),
                                    std::chrono::milliseconds(30) } },
                                { HostId(host) } };
        };
        ServerNews heardByLeaf;
        ServerNews heardByRelay;
        pair.relay.shareServerNews([&] { return updateOf("of relay"); },
                                   [&](const auto &update) { heardByRelay = update; });
        pair.leaf.shareServerNews([&] { return updateOf("of leaf"); },
                                  [&](const auto &update) { heardByLeaf = update; });
        for (int i = 0; i < 400 && (heardByLeaf.empty() || heardByRelay.empty()); ++i) {
            pair.leaf.exchangeLoads();
            pair.relay.exchangeLoads();
            sleepFor(io, std::chrono::milliseconds(5), yield); // For the loop to carry them.
        }
        CPPUNIT_ASSERT_EQUAL(HostId("of relay"), heardByLeaf.limits.at(0).server.host);
        CPPUNIT_ASSERT(heardByLeaf.limits.at(0).rate == RequestRate(2));
        CPPUNIT_ASSERT_EQUAL(HostId("of relay"), heardByLeaf.leaving.at(0));
        CPPUNIT_ASSERT_EQUAL(HostId("of leaf"), heardByRelay.limits.at(0).server.host);
        CPPUNIT_ASSERT_EQUAL(HostId("of leaf"), heardByRelay.leaving.at(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayNodeTest);
