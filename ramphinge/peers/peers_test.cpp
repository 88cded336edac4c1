// Tests of the peer codec: every message survives its wire form; hostile bytes are refused.

#include <limits>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "ramphinge/base/random.h"
#include "ramphinge/peers/message.h"
#include "ramphinge/peers/peer_network.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const MonotonicTime now(std::chrono::seconds(100));

std::vector<PeerMessage> oneOfEach()
{
    const SlotId slot { ZoneId("a"), SlotNumber(3) };
    const ClaimAttempt attempt { { AccountId("acme"), IdempotencyKey("k") }, 17, RequestId("r") };
    StatusMessage status;
    status.state.daemon = DaemonId("d1");
    status.state.heardAt = now;
    status.time = { 5, 6 };
    ObservationsMessage hosts;
    HostObservation seen;
    seen.host = HostId("h1");
    seen.answers = true;
    seen.running = 7;
    hosts.observations = { { seen, Milliseconds(20) }, { HostObservation(), Milliseconds(0) } };
    ClaimAnswer answer { ClaimVerdict::Ran, Milliseconds(5), KeptAnswer { 200, "t", "b" } };
    return {
        status,
        hosts,
        ServiceMessage { ModelId("m"), { { AccountId("acme"), Tokens(9) } } },
        ClaimRequestMessage { CorrelationId(4), slot, attempt },
        ClaimReplyMessage { CorrelationId(4), answer },
        SettleMessage { slot, attempt, ClaimOutcome::Ran, std::nullopt },
        HandoverMessage { slot,
                          2,
                          WallTime(Milliseconds(9)),
                          { { attempt, ClaimVerdict::Ran, WallTime(Milliseconds(4)) } } },
        HandoverAckMessage { slot, 2 },
        ConfirmMessage { ChangeId("c"), false, "why" },
        InForceMessage { 8 },
        ConfigQueryMessage {},
        ConfigMessage { "{}", "" },
        CopyGrantMessage { CorrelationId(5), slot, 2, attempt },
        CopyAckMessage { CorrelationId(5) },
        StoreUpdateRequestMessage { CorrelationId(6), Revision(9), Milliseconds(700), true },
        StoreUpdateMessage {
            CorrelationId(6),
            UpdateVerdict::Update,
            Revision(12),
            Milliseconds(-4),
            { { StoreKey("k"), StoredValue { std::string("\xff\0v", 3), Revision(11) } },
              { StoreKey("gone"), std::nullopt } },
            true },
        LoadReportMessage { true,
                            { { { HostId("h"), 3, 1400 }, { HostId("i"), 1, 0 } },
                              { { ModelId("chat"), { 250.5, 7 } } } } },
        LoadSumMessage { { { { HostId("h"), 9, 5600 } }, {} } },
        ServerUpdateMessage {
            { { { { HostId("h"), ZoneId("z") }, RequestRate(1.6), std::chrono::milliseconds(40) },
                { { HostId("i"), ZoneId("z") }, std::nullopt, {} } },
              { HostId("j") } } }
    };
}

} // namespace

class PeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeersTest);
    CPPUNIT_TEST(everyMessageSurvivesItsWireForm);
    CPPUNIT_TEST(agesBecomeLocalTimes);
    CPPUNIT_TEST(unknownTypesAreToldApartFromGarbage);
    CPPUNIT_TEST(deepNestingIsRefused);
    CPPUNIT_TEST(damagedBytesNeverCrash);
    CPPUNIT_TEST(linksProveTheKeyAndCarryMessages);
    CPPUNIT_TEST(wrongKeyGetsNoLink);
    CPPUNIT_TEST(nestedStringsAreRefused);
    CPPUNIT_TEST(badGreetingsAreRefused);
    CPPUNIT_TEST(timesOfMessagesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyMessageSurvivesItsWireForm()
    {
        const std::vector<PeerMessage> all = oneOfEach();
        CPPUNIT_ASSERT_EQUAL(std::variant_size_v<PeerMessage>, all.size());
        for (const PeerMessage &message : all) {
            const Result<PeerMessage> read = decode(encode(message), now);
            CPPUNIT_ASSERT(read.ok());
            CPPUNIT_ASSERT_EQUAL(message.index(), read.value().index());
            CPPUNIT_ASSERT_EQUAL(encode(message), encode(read.value()));
        }
    }

    void agesBecomeLocalTimes()
    {
        const Result<PeerMessage> read = decode(encode(oneOfEach()[1]), now);
        const auto &hosts = std::get<ObservationsMessage>(read.value());
        CPPUNIT_ASSERT(hosts.observations[0].observation.madeAt == now - Milliseconds(20));
    }

    void unknownTypesAreToldApartFromGarbage()
    {
        // {"t": "later"}
        const std::string later("\xa1\x61\x74\x65later", 9);
        CPPUNIT_ASSERT(decode(later, now).error().kind() == ErrorKind::NotFound);
        CPPUNIT_ASSERT(decode("garbage", now).error().kind() == ErrorKind::InvalidInput);
        CPPUNIT_ASSERT(decode("", now).error().kind() == ErrorKind::InvalidInput);
    }

    void deepNestingIsRefused()
    {
        const std::string bytes(1'000'000, '\x81');
        CPPUNIT_ASSERT(decode(bytes, now).error().kind() == ErrorKind::InvalidInput);
    }

    // What users would see: a daemon that ends by a segmentation fault.
    //
    // Order of events: a peer that has proved the key sends a frame that begins a text of
    // indefinite length, and in it another one, and so on.
    //
    // Cause: the library reads the parts of such a text by recursion, before it tells anything of
    // them, so a guard of the depth sees none of it: the frame's length is the depth of the stack.
    //
    // Evidence: without the mend this test ends by signal 11.
    void nestedStringsAreRefused()
    {
        for (const char begin : { '\x7f', '\x5f' }) {
            const std::string bytes(2'000'000, begin);
            CPPUNIT_ASSERT(decode(bytes, now).error().kind() == ErrorKind::InvalidInput);
            const std::string inside = "\xa1\x61\x74" + bytes; // {"t": ...
            CPPUNIT_ASSERT(decode(inside, now).error().kind() == ErrorKind::InvalidInput);
        }
    }

    // What users would see: a daemon that ends with status 2, and all requests on it with it.
    //
    // Order of events: somebody who reaches the port of the links, and needs no key for it, greets
    // with a field of another type than a text.
    //
    // Cause: the read of that field throws, in a handler of the event loop.
    //
    // Evidence: without the mend this test ends by that exception.
    void badGreetingsAreRefused()
    {
        for (const char *greeting :
             { R"({"d":1,"n":"0123456789abcdef"})", R"({"d":"c","n":["0123456789abcdef"]})",
               R"({"d":null,"n":{}})", R"([])", R"({})", "", "{", "\xff" }) {
            CPPUNIT_ASSERT(isRefused({ greeting }));
        }
        const std::string sound = R"({"d":"c","n":"0123456789abcdef"})";
        for (const char *proof : { R"({"proof":7})", R"({"proof":{"proof":""}})", R"({"d":1})" })
            CPPUNIT_ASSERT(isRefused({ sound, proof }));
    }

    // A count of milliseconds that is too large for a duration came out as any other, also as a
    // negative one: a proof of news could date from the future.
    void timesOfMessagesAreBounded()
    {
        const Duration most = std::chrono::hours(24);
        for (const std::int64_t count :
             { std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::min(),
               std::int64_t(1) << 60U, std::int64_t(9'300'000'000'000) }) {
            const nlohmann::json request { { "v", 1 }, { "t", "news?" }, { "n", 1 },
                                           { "a", 1 }, { "w", count },   { "l", false } };
            const nlohmann::json update { { "v", 1 },
                                          { "t", "news" },
                                          { "n", 1 },
                                          { "r", 0 },
                                          { "u", 1 },
                                          { "b", count },
                                          { "c", nlohmann::json::array() } };
            const Duration wait = std::get<StoreUpdateRequestMessage>(decoded(request)).wait;
            const Duration proven = std::get<StoreUpdateMessage>(decoded(update)).staleness;
            for (const Duration read : { wait, proven })
                CPPUNIT_ASSERT(count > 0 ? read > Duration::zero() && read <= most
                                         : read < Duration::zero() && read >= -most);
        }
    }

    void damagedBytesNeverCrash()
    {
        const bool held = rc::check("damaged messages are refused or read", [] {
            Random random(*rc::gen::arbitrary<std::uint32_t>());
            const std::vector<PeerMessage> all = oneOfEach();
            std::string bytes = encode(all[random.below(all.size())]);
            for (std::uint64_t i = 0; i <= random.below(4); ++i)
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            bytes.resize(bytes.size() - random.below(3));
            decode(bytes, now);
        });
        CPPUNIT_ASSERT(held);
    }

    void linksProveTheKeyAndCarryMessages()
    {
        Pair pair("0123456789abcdef", "0123456789abcdef");
        pair.run([&] { return pair.a.got == 1; });
        CPPUNIT_ASSERT_EQUAL(1, pair.a.got);
        CPPUNIT_ASSERT(pair.second->linked(DaemonId("a")));
    }

    void wrongKeyGetsNoLink()
    {
        Pair pair("0123456789abcdef", "another key, 16 bytes");
        pair.run([&] { return pair.first->traffic().refused > 0; });
        CPPUNIT_ASSERT(!pair.first->linked(DaemonId("b")));
        CPPUNIT_ASSERT(!pair.second->linked(DaemonId("a")));
        CPPUNIT_ASSERT_EQUAL(0, pair.a.got);
    }

private:
    static PeerMessage decoded(const nlohmann::json &json)
    {
        std::string bytes;
        nlohmann::json::to_cbor(json, bytes);
        const Result<PeerMessage> message = decode(bytes, now);
        CPPUNIT_ASSERT(message.ok());
        return message.value();
    }

    // Whether a network refuses whoever dials it and says that.
    static bool isRefused(const std::vector<std::string> &said)
    {
        IoContext io;
        Counter counter;
        PeerNetworkOptions options;
        options.self = DaemonId("a");
        options.listen = { "127.0.0.1", 19'473 };
        options.sharedKey = "0123456789abcdef";
        const auto network = PeerNetwork::listen(io, options, counter);
        CPPUNIT_ASSERT(network.ok());
        spawnCoroutine(io, [&io, &said](Yield yield) {
            namespace websocket = boost::beast::websocket;
            websocket::stream<boost::beast::tcp_stream> stream(io);
            stream.next_layer().async_connect(
                { boost::asio::ip::make_address("127.0.0.1"), 19'473 }, yield);
            stream.async_handshake("127.0.0.1:19473", "/peer", yield);
            stream.binary(true);
            for (const std::string &text : said)
                stream.async_write(boost::asio::buffer(text), yield);
            boost::beast::flat_buffer heard;
            boost::system::error_code ec;
            while (!ec)
                stream.async_read(heard, yield[ec]);
        });
        for (int i = 0; i < 5000 && network.value()->traffic().refused == 0; ++i)
            io.run_one_for(std::chrono::seconds(2));
        const bool refused = network.value()->traffic().refused == 1;
        network.value()->close();
        for (int i = 0; i < 5000 && io.poll_one() > 0; ++i) { }
        return refused && !network.value()->linked(DaemonId("c"));
    }

    struct Counter : public PeerHandler
    {
        void onMessage(const DaemonId &, const PeerMessage &) override { ++got; }
        void onLink(const DaemonId &peer, bool up) override
        {
            if (up && network != nullptr)
                network->send(peer, InForceMessage { 1 });
        }
        PeerNetwork *network = nullptr;
        int got = 0;
    };

    // Two networks on one loop; the second dials the first and greets it.
    struct Pair
    {
        Pair(const std::string &keyA, const std::string &keyB)
        {
            first = listen("a", keyA, 19'471, a);
            second = listen("b", keyB, 19'472, b);
            b.network = second.get();
            second->connectToSeed({ "127.0.0.1", 19'471 });
        }

        std::unique_ptr<PeerNetwork> listen(const std::string &name, const std::string &key,
                                            std::uint16_t port, Counter &counter)
        {
            PeerNetworkOptions options;
            options.self = DaemonId(name);
            options.listen = { "127.0.0.1", port };
            options.sharedKey = key;
            auto made = PeerNetwork::listen(io, options, counter);
            CPPUNIT_ASSERT(made.ok());
            return std::move(made.value());
        }

        // Runs the loop until `done`, at most some thousand events.
        void run(const std::function<bool()> &done)
        {
            for (int i = 0; i < 5000 && !done(); ++i)
                io.run_one_for(std::chrono::seconds(2));
        }

        IoContext io;
        Counter a;
        Counter b;
        std::unique_ptr<PeerNetwork> first;
        std::unique_ptr<PeerNetwork> second;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);
