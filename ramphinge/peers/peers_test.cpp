// Tests of the peer protocol: messages round-trip, hostile bytes are rejected, links require the
// shared key.

#include <cmath>
#include <limits>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "ramphinge/base/random.h"
#include "ramphinge/net/internal/endless_upstream.h"
#include "ramphinge/peers/message.h"
#include "ramphinge/peers/peer_network.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const MonotonicTime now(std::chrono::seconds(100));

std::vector<PeerMessage> oneMessageOfEachType()
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
        StoreUpdateRequestMessage { CorrelationId(6), Revision(9), Milliseconds(700), true,
                                    StoreKey("k"), DeltaBase { StoreKey("d"), Revision(7) } },
        StoreUpdateMessage {
            CorrelationId(6),
            UpdateVerdict::Update,
            Revision(12),
            Milliseconds(-4),
            { { StoreKey("k"), StoredValue { std::string("\xff\0v", 3), Revision(11) } },
              { StoreKey("gone"), std::nullopt } },
            true,
            false,
            StoreDelta { StoreKey("d"),
                         Revision(10),
                         { { { 0, 4, "" }, { 0, 0, std::string("\xff\0w", 3) } }, ~0ULL } } },
        LoadReportMessage { true,
                            { { { HostId("h"), 3, 1400 }, { HostId("i"), 1, 0 } },
                              { { ModelId("chat"), { 250.5, 7 } } },
                              { { { ModelId("chat"), AccountId("school") },
                                  { RequestRate(2.5), RequestRate(0.75) } } } } },
        TotalLoadMessage { { { { HostId("h"), 9, 5600 } }, {} } },
        ServerUpdateMessage {
            { { { { HostId("h"), ZoneId("z") }, RequestRate(1.6), std::chrono::milliseconds(40) },
                { { HostId("i"), ZoneId("z") }, std::nullopt, {} } },
              { HostId("j") } },
            { { ZoneId("z"), HostId("h"), ReachabilityScope::Zone, false, Milliseconds(30), 1 },
              { ZoneId("y"), HostId("i"), ReachabilityScope::Host, true, Milliseconds(0), 0 } } }
    };
}

// A total load in its wire form, with additional fields.
std::string totalLoad(nlohmann::json fields)
{
    nlohmann::json message { { "v", 1 }, { "t", "loads" }, { "p", nlohmann::json::array() } };
    message.update(fields);
    std::string bytes;
    nlohmann::json::to_cbor(message, bytes);
    return bytes;
}

} // namespace

class PeersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PeersTest);
    CPPUNIT_TEST(everyMessageRoundTrips);
    CPPUNIT_TEST(agesBecomeLocalTimes);
    CPPUNIT_TEST(unknownTypesAreDistinguishedFromInvalidBytes);
    CPPUNIT_TEST(deepNestingIsRejected);
    CPPUNIT_TEST(corruptedBytesNeverCrash);
    CPPUNIT_TEST(linksAuthenticateAndDeliverMessages);
    CPPUNIT_TEST(linkWithWrongKeyIsRejected);
    CPPUNIT_TEST(nestedIndefiniteStringsAreRejected);
    CPPUNIT_TEST(malformedHandshakesAreRejected);
    CPPUNIT_TEST(endlessAnswerToAHandshakeIsNotReadOn);
    CPPUNIT_TEST(silentLinksDontKeepPeersOut);
    CPPUNIT_TEST(timesInMessagesAreBounded);
    CPPUNIT_TEST(reportsCarryTheLargestAccounts);
    CPPUNIT_TEST(impossibleAccountLoadsAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void everyMessageRoundTrips()
    {
        const std::vector<PeerMessage> all = oneMessageOfEachType();
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
        const Result<PeerMessage> read = decode(encode(oneMessageOfEachType()[1]), now);
        const auto &hosts = std::get<ObservationsMessage>(read.value());
        CPPUNIT_ASSERT(hosts.observations[0].observation.madeAt == now - Milliseconds(20));
    }

    void unknownTypesAreDistinguishedFromInvalidBytes()
    {
        // {"t": "later"}
        const std::string unknownType("\xa1\x61\x74\x65later", 9);
        CPPUNIT_ASSERT(decode(unknownType, now).error().kind() == ErrorKind::NotFound);
        CPPUNIT_ASSERT(decode("garbage", now).error().kind() == ErrorKind::InvalidInput);
        CPPUNIT_ASSERT(decode("", now).error().kind() == ErrorKind::InvalidInput);
    }

    void deepNestingIsRejected()
    {
        const std::string bytes(1'000'000, '\x81');
        CPPUNIT_ASSERT(decode(bytes, now).error().kind() == ErrorKind::InvalidInput);
    }

    // Guards against a daemon that crashes with signal 11. An authenticated peer sends a frame of
    // nested strings of indefinite length. The library parses their chunks recursively before it
    // calls back, so a depth limit in a callback doesn't help: the stack grows with the frame's
    // length.
    void nestedIndefiniteStringsAreRejected()
    {
        for (const char stringHead : { '\x7f', '\x5f' }) {
            const std::string bytes(2'000'000, stringHead);
            CPPUNIT_ASSERT(decode(bytes, now).error().kind() == ErrorKind::InvalidInput);
            const std::string nested = "\xa1\x61\x74" + bytes; // {"t": ...
            CPPUNIT_ASSERT(decode(nested, now).error().kind() == ErrorKind::InvalidInput);
        }
    }

    // Guards against a daemon that ends with status 2, and all of its requests with it. An
    // unauthenticated client sends a handshake with a field that is not a string. Reading the field
    // throws, in a handler of the event loop.
    void malformedHandshakesAreRejected()
    {
        for (const char *handshake :
             { R"({"d":1,"n":"0123456789abcdef"})", R"({"d":"c","n":["0123456789abcdef"]})",
               R"({"d":null,"n":{}})", R"([])", R"({})", "", "{", "\xff" }) {
            CPPUNIT_ASSERT(isRejected({ handshake }));
        }
        const std::string validHandshake = R"({"d":"c","n":"0123456789abcdef"})";
        for (const char *proof : { R"({"proof":7})", R"({"proof":{"proof":""}})", R"({"d":1})" })
            CPPUNIT_ASSERT(isRejected({ validHandshake, proof }));
    }

    // An address may have been taken over by a server in trouble.
    void endlessAnswerToAHandshakeIsNotReadOn()
    {
        const std::string chunk(64 * 1024, 'x');
        const std::vector<std::pair<std::string, std::string>> answers {
            { "HTTP/1.1 101 Switching Protocols\r\n", "Field: value\r\n" },
            { "HTTP/1.1 101 Switching Protocols\r\nField: ", chunk },
            { "", chunk },
            { "HTTP/1.1 200 OK\r\n\r\n", chunk },
            { "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", chunk }
        };
        for (const auto &[head, piece] : answers) {
            IoContext io(1);
            EndlessUpstream upstream(io, head, piece);
            CountingHandler handler;
            const PeerNetworkOptions options = optionsOfNetworkUnderTest();
            const auto network = PeerNetwork::listen(io, options, handler);
            CPPUNIT_ASSERT(network.ok());
            network.value()->connectToSeed(upstream.endpoint());
            const MonotonicTime until = BootClock::now() + 2 * options.handshakeTimeout;
            while (!upstream.isClosed && BootClock::now() < until)
                io.run_one_for(std::chrono::milliseconds(10));
            CPPUNIT_ASSERT(upstream.isClosed);
            // Beyond what is read, the kernel buffers a few megabytes.
            CPPUNIT_ASSERT(upstream.sentBytes < 16 * 1024 * 1024);
            network.value()->close();
            for (int i = 0; i < 5000 && io.poll_one() > 0; ++i) { }
        }
    }

    // Guards against messages that grow with the number of accounts, and against older messages,
    // which have no accounts, being rejected.
    void reportsCarryTheLargestAccounts()
    {
        TotalLoadMessage sent;
        for (int i = 0; i < 100; ++i)
            sent.load.accounts[{ ModelId("m"), AccountId(std::to_string(i)) }] = { RequestRate(i),
                                                                                   RequestRate(0) };
        const auto received = decode(encode(sent), BootClock::now());
        const AccountLoads &accounts = std::get<TotalLoadMessage>(received.value()).load.accounts;
        CPPUNIT_ASSERT_EQUAL(maxAccountLoads, accounts.size());
        for (const auto &[key, load] : accounts)
            CPPUNIT_ASSERT(load.recent.perSecond() >= 100.0 - maxAccountLoads);
        CPPUNIT_ASSERT(decode(totalLoad(nlohmann::json::object()), BootClock::now()).ok());
    }

    // Guards against damaged reports that would make an account's share wrong in every daemon: the
    // message is rejected, and its receiver keeps the report before it until that expires.
    void impossibleAccountLoadsAreRejected()
    {
        using Json = nlohmann::json;
        const Json good = Json::array({ "m", "a", 1.0, 2.0 });
        std::vector<Json> bad { Json::array({ good, good }), Json::array({ 1 }), Json("text"),
                                Json::array() };
        for (std::size_t i = 0; i <= maxAccountLoads; ++i)
            bad.back().push_back(Json::array({ "m", std::to_string(i), 1.0, 2.0 }));
        for (const double rate : { -0.1, 1e300, std::nan(""), HUGE_VAL }) {
            bad.push_back(Json::array({ Json::array({ "m", "a", rate, 2.0 }) }));
            bad.push_back(Json::array({ Json::array({ "m", "a", 1.0, rate }) }));
        }
        CPPUNIT_ASSERT(
            decode(totalLoad({ { "a", Json::array({ good }) } }), BootClock::now()).ok());
        for (const Json &accounts : bad) {
            const auto received = decode(totalLoad({ { "a", accounts } }), BootClock::now());
            CPPUNIT_ASSERT(!received.ok());
            CPPUNIT_ASSERT(received.error().kind() == ErrorKind::InvalidInput);
        }
    }

    // Guards against a store update that counts as fresh up to a time in the future. A count of
    // milliseconds that is too large for a Duration overflows to an arbitrary, possibly negative
    // one.
    void timesInMessagesAreBounded()
    {
        const Duration limit = std::chrono::hours(24);
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
            const Duration staleness = std::get<StoreUpdateMessage>(decoded(update)).staleness;
            for (const Duration read : { wait, staleness })
                CPPUNIT_ASSERT(count > 0 ? read > Duration::zero() && read <= limit
                                         : read < Duration::zero() && read >= -limit);
        }
    }

    void corruptedBytesNeverCrash()
    {
        const bool holds = rc::check("corrupted messages are rejected or decoded", [] {
            Random random(*rc::gen::arbitrary<std::uint32_t>());
            const std::vector<PeerMessage> all = oneMessageOfEachType();
            std::string bytes = encode(all[random.below(all.size())]);
            for (std::uint64_t i = 0; i <= random.below(4); ++i)
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            bytes.resize(bytes.size() - random.below(3));
            decode(bytes, now);
        });
        CPPUNIT_ASSERT(holds);
    }

    void linksAuthenticateAndDeliverMessages()
    {
        NetworkPair pair("0123456789abcdef", "0123456789abcdef");
        pair.run([&] { return pair.a.receivedMessages == 1; });
        CPPUNIT_ASSERT_EQUAL(1, pair.a.receivedMessages);
        CPPUNIT_ASSERT(pair.second->linked(DaemonId("a")));
    }

    void silentLinksDontKeepPeersOut()
    {
        NetworkPair pair("0123456789abcdef", "0123456789abcdef");
        std::vector<boost::asio::ip::tcp::socket> silent;
        const int most = PeerNetworkOptions().maxUnprovedLinks;
        for (int i = 0; i < most + 20; ++i) {
            silent.emplace_back(pair.io);
            silent.back().connect({ boost::asio::ip::make_address("127.0.0.1"), 19'471 });
        }
        pair.run([&] { return pair.a.receivedMessages == 1; });
        CPPUNIT_ASSERT_EQUAL(1, pair.a.receivedMessages);
        pair.run([&] { return pair.first->traffic().unprovedClosed >= 20; });
        CPPUNIT_ASSERT(pair.first->openLinks() <= most + 1);
    }

    void linkWithWrongKeyIsRejected()
    {
        NetworkPair pair("0123456789abcdef", "another key, 16 bytes");
        pair.run([&] { return pair.first->traffic().refused > 0; });
        CPPUNIT_ASSERT(!pair.first->linked(DaemonId("b")));
        CPPUNIT_ASSERT(!pair.second->linked(DaemonId("a")));
        CPPUNIT_ASSERT_EQUAL(0, pair.a.receivedMessages);
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

    static PeerNetworkOptions optionsOfNetworkUnderTest()
    {
        PeerNetworkOptions options;
        options.self = DaemonId("a");
        options.listen = { "127.0.0.1", 19'473 };
        options.sharedKey = "0123456789abcdef";
        return options;
    }

    // Whether a network rejects a client that connects and sends `payloads`.
    static bool isRejected(const std::vector<std::string> &payloads)
    {
        IoContext io;
        CountingHandler handler;
        const auto network = PeerNetwork::listen(io, optionsOfNetworkUnderTest(), handler);
        CPPUNIT_ASSERT(network.ok());
        spawnCoroutine(io, [&io, &payloads](Yield yield) {
            namespace websocket = boost::beast::websocket;
            websocket::stream<boost::beast::tcp_stream> stream(io);
            stream.next_layer().async_connect(
                { boost::asio::ip::make_address("127.0.0.1"), 19'473 }, yield);
            stream.async_handshake("127.0.0.1:19473", "/peer", yield);
            stream.binary(true);
            for (const std::string &text : payloads)
                stream.async_write(boost::asio::buffer(text), yield);
            boost::beast::flat_buffer readBuffer;
            boost::system::error_code ec;
            while (!ec)
                stream.async_read(readBuffer, yield[ec]);
        });
        for (int i = 0; i < 5000 && network.value()->traffic().refused == 0; ++i)
            io.run_one_for(std::chrono::seconds(2));
        const bool refused = network.value()->traffic().refused == 1;
        network.value()->close();
        for (int i = 0; i < 5000 && io.poll_one() > 0; ++i) { }
        return refused && !network.value()->linked(DaemonId("c"));
    }

    struct CountingHandler : public PeerHandler
    {
        void onMessage(const DaemonId &, const PeerMessage &) override { ++receivedMessages; }
        void onLink(const DaemonId &peer, bool up) override
        {
            if (up && network != nullptr)
                network->send(peer, InForceMessage { 1 });
        }
        PeerNetwork *network = nullptr;
        int receivedMessages = 0;
    };

    // Two networks on one event loop. The second connects to the first and sends it one message.
    struct NetworkPair
    {
        NetworkPair(const std::string &keyA, const std::string &keyB)
        {
            first = listen("a", keyA, 19'471, a);
            second = listen("b", keyB, 19'472, b);
            b.network = second.get();
            second->connectToSeed({ "127.0.0.1", 19'471 });
        }

        std::unique_ptr<PeerNetwork> listen(const std::string &name, const std::string &key,
                                            std::uint16_t port, CountingHandler &handler)
        {
            PeerNetworkOptions options;
            options.self = DaemonId(name);
            options.listen = { "127.0.0.1", port };
            options.sharedKey = key;
            auto made = PeerNetwork::listen(io, options, handler);
            CPPUNIT_ASSERT(made.ok());
            return std::move(made.value());
        }

        // Runs the loop until `done`, for 5000 events at most.
        void run(const std::function<bool()> &done)
        {
            for (int i = 0; i < 5000 && !done(); ++i)
                io.run_one_for(std::chrono::seconds(2));
        }

        IoContext io;
        CountingHandler a;
        CountingHandler b;
        std::unique_ptr<PeerNetwork> first;
        std::unique_ptr<PeerNetwork> second;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);
