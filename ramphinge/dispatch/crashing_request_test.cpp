// Tests of requests that crash every server that runs them and that their callers send again.
//
// Guards against one request crashing server after server: a server crashes within 60 to 100 ms of
// starting the request, and all other requests on it are cut off. The daemon excludes the server
// and retries on the next one, which crashes too. The caller gets 502 and sends the same request
// again, through any daemon, and none of them knows of the earlier crashes. It came about because
// crashes were recorded against servers only, so that nothing linked the attempts of one request:
// two requests crashed 88 servers of a fleet of 60 whose servers restarted, and for a quarter of a
// minute at a time most answers were late or failed. One retry was sent 0.2 ms after the first
// server had crashed, and the next server crashed 56 ms after starting it. Without the quarantine,
// the tests that count crashes see 8 of 8 servers crash.

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

constexpr int serverCount = 8;
// The service's guarantee allows one request to crash this many servers.
constexpr int maxCrashes = 3;

Endpoint serverAt(int number)
{
    return { "10.0.1." + std::to_string(number), 80 };
}

class CrashingRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingRequestTest);
    CPPUNIT_TEST(plainRequestCrashesAtMostThreeServers);
    CPPUNIT_TEST(streamCrashesAtMostThreeServers);
    CPPUNIT_TEST(streamThatCrashesServersMidwayCrashesAtMostThree);
    CPPUNIT_TEST(atMostOnceRequestCrashesAtMostThreeServers);
    CPPUNIT_TEST(quarantinedRequestIsRefusedAsNotExecuted);
    CPPUNIT_TEST(otherRequestsAreServed);
    CPPUNIT_TEST(connectionResetByALiveServerIsNoCrash);
    CPPUNIT_TEST(requestSentAfterTheCrashIsNoSuspect);
    CPPUNIT_TEST(serverThatCannotBeProbedHasCrashedIfItLeavesSoon);
    CPPUNIT_TEST(completeAnswerElsewhereReleasesTheRequest);
    CPPUNIT_TEST(crashReportOfAnotherDaemonStopsARetry);
    CPPUNIT_TEST(crashReportOfAnotherDaemonCancelsAWaitingRequest);
    CPPUNIT_TEST(trialGoesToOneServer);
    CPPUNIT_TEST_SUITE_END();

public:
    void plainRequestCrashesAtMostThreeServers()
    {
        CPPUNIT_ASSERT(crashesUnder("/safe/1", truncatedAnswer({})) <= maxCrashes);
    }

    void streamCrashesAtMostThreeServers()
    {
        CPPUNIT_ASSERT(crashesUnder("/chat/1", truncatedAnswer({})) <= maxCrashes);
    }

    void streamThatCrashesServersMidwayCrashesAtMostThree()
    {
        CPPUNIT_ASSERT(crashesUnder("/chat/1", truncatedAnswer({ event(1) })) <= maxCrashes);
    }

    void atMostOnceRequestCrashesAtMostThreeServers()
    {
        CPPUNIT_ASSERT(crashesUnder("/once/1", truncatedAnswer({})) <= maxCrashes);
    }

    void quarantinedRequestIsRefusedAsNotExecuted()
    {
        DispatchHarness harness;
        quarantineRequest(harness, "/safe/1");
        const auto caller = harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(429, caller->response.status);
        CPPUNIT_ASSERT(caller->response.body.find("quarantined") != std::string::npos);
        CPPUNIT_ASSERT(caller->response.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT(harness.client.sent().empty());
    }

    void otherRequestsAreServed()
    {
        DispatchHarness harness;
        quarantineRequest(harness, "/safe/1");
        harness.client.expect(firstServer, answer(200, { "x" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/2")->response.status);
    }

    void connectionResetByALiveServerIsNoCrash()
    {
        DispatchHarness harness;
        for (const Endpoint &endpoint : { firstServer, secondServer }) {
            for (int call = 0; call < 8; ++call)
                harness.client.expect(endpoint, truncatedAnswer({})); // It still runs afterwards.
        }
        for (int attempt = 0; attempt < 5; ++attempt)
            harness.serve("/safe/1");
        CPPUNIT_ASSERT(harness.state.quarantine.empty());
    }

    // A proxy in front of a crashed server may still accept connections and close them.
    void requestSentAfterTheCrashIsNoSuspect()
    {
        DispatchHarness harness;
        IoContext io(1);
        Quarantine quarantine { QuarantineOptions() };
        CrashDetector detector(io, harness.clock, {}, harness.probe, harness.state.contacts,
                               quarantine, harness.log, harness.metrics);
        Target target;
        target.host = HostId("a1");
        target.endpoint = firstServer;
        const MonotonicTime sentAt = harness.clock.now();
        harness.clock.advance(std::chrono::seconds(1));
        runCoroutine(io, [&](Yield yield) {
            const Duration timeout = std::chrono::milliseconds(100);
            detector.connectionEnded(request("was there"), target, sentAt, timeout, yield);
            harness.clock.advance(std::chrono::seconds(1));
            detector.connectionEnded(request("was there too"), target, sentAt, timeout, yield);
            detector.connectionEnded(request("came later"), target, harness.clock.now(), timeout,
                                     yield);
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, quarantine.suspectCount());
        CPPUNIT_ASSERT(quarantine.own().count(Fingerprint("came later")) == 0);
    }

    // A full server also resets new connections, that of the probe included. A server that can't be
    // probed counts as crashed only if it leaves the fleet soon after.
    void serverThatCannotBeProbedHasCrashedIfItLeavesSoon()
    {
        DispatchHarness harness;
        harness.probe.canProbe = false;
        IoContext io(1);
        Quarantine quarantine { QuarantineOptions() };
        CrashDetector detector(io, harness.clock, {}, harness.probe, harness.state.contacts,
                               quarantine, harness.log, harness.metrics);
        const auto endConnectionTo = [&](const char *host, Yield yield) {
            Target target;
            target.host = HostId(host);
            detector.connectionEnded(request(host), target, harness.clock.now(),
                                     std::chrono::milliseconds(100), yield);
        };
        runCoroutine(io, [&](Yield yield) {
            for (const char *host : { "goes", "stays", "goes late" })
                endConnectionTo(host, yield);
        });
        CPPUNIT_ASSERT(quarantine.empty());
        detector.serversChanged([](const HostId &host) { return host != HostId("goes"); });
        CPPUNIT_ASSERT(quarantine.own().count(Fingerprint("goes")) == 1);
        harness.clock.advance(std::chrono::seconds(8));
        detector.serversChanged([](const HostId &) { return true; });
        detector.serversChanged([](const HostId &) { return false; });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, quarantine.suspectCount());
    }

    void completeAnswerElsewhereReleasesTheRequest()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1) }));
        harness.client.expect(secondServer, answer(200, { event(1), event(2) }));
        const auto caller = harness.serve("/chat/1");
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT(harness.state.quarantine.empty());
    }

    void crashReportOfAnotherDaemonStopsARetry()
    {
        DispatchHarness harness;
        ScriptedAnswer first = truncatedAnswer({});
        first.before = [&] { applyCrashReport(harness, "/safe/1", { "elsewhere" }); };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, answer(200, { "x" }));
        const auto caller = harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status); // The request may have run.
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
    }

    // The request waits at a full server, for example, and can be cancelled before it runs there.
    void crashReportOfAnotherDaemonCancelsAWaitingRequest()
    {
        DispatchHarness harness;
        ScriptedAnswer waits = answer(200, { event(1) });
        waits.startsWhen = [] { return false; };
        waits.before = [&] { quarantineRequest(harness, "/chat/1"); };
        harness.client.expect(firstServer, waits);
        const auto caller =
            std::make_shared<RecordedExchange>(HttpRequest { "POST", "/chat/1", {}, "body" });
        harness.serve([&](IoContext &) { return caller; }, harness.client);
        CPPUNIT_ASSERT_EQUAL(502, caller->response.status);
        CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
    }

    void trialGoesToOneServer()
    {
        DispatchHarness harness;
        quarantineRequest(harness, "/safe/1");
        harness.trials.remaining = 1;
        harness.client.expect(firstServer, truncatedAnswer({}));
        harness.client.expect(secondServer, answer(200, { "x" }));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/safe/1")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, harness.client.sent().size());
        CPPUNIT_ASSERT_EQUAL(429, harness.serve("/safe/1")->response.status);
        harness.trials.remaining = 1;
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/1")->response.status);
        CPPUNIT_ASSERT(harness.state.quarantine.empty());
    }

private:
    static SuspectRequest request(const std::string &fingerprint)
    {
        return { Fingerprint(fingerprint), {}, "route" };
    }

    static void applyCrashReport(DispatchHarness &harness, const std::string &path,
                                 const std::set<std::string> &servers)
    {
        CrashRecord record;
        for (const std::string &server : servers)
            record.ended.insert(HostId(server));
        const Fingerprint fingerprint = fingerprintOf("", { "POST", "h", path, "body", {} });
        harness.state.quarantine.applyReport(CrashReportSource("another daemon"),
                                             { { fingerprint, record } }, harness.clock.now(),
                                             harness.clock.wallNow());
    }

    // Applies a report of another daemon with enough crashes to quarantine the request.
    static void quarantineRequest(DispatchHarness &harness, const std::string &path)
    {
        applyCrashReport(harness, path, { "x", "y" });
    }

    // Returns how many of the servers crash when a caller keeps retrying one request. Nothing
    // answers at the address of a crashed server.
    static int crashesUnder(const std::string &path, const ScriptedAnswer &crash)
    {
        DispatchHarness harness;
        for (int number = 3; number <= serverCount; ++number) {
            const std::string name = std::to_string(number);
            harness.fleet.put(server("a" + name, app, serverAt(number)));
            harness.addReplica("c" + name, serverAt(number), number);
        }
        harness.rebuild();
        int crashed = 0;
        ScriptedAnswer counted = crash;
        counted.before = [&crashed] { ++crashed; };
        harness.client.expect(firstServer, counted);
        harness.client.expect(secondServer, counted);
        for (int number = 3; number <= serverCount; ++number)
            harness.client.expect(serverAt(number), counted);
        constexpr int requestCount = 3 * serverCount;
        for (int attempt = 0; attempt < requestCount; ++attempt) {
            harness.serve(path);
            harness.clock.advance(std::chrono::seconds(1));
        }
        return crashed;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingRequestTest);

} // namespace
