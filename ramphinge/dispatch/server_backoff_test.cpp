// Servers that turn requests away and ask the daemon to back off, and servers that say in their
// answers that they leave.

#include <algorithm>
#include <map>
#include <vector>

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

// The promise: from `notice` after a refusal until the end of the time that it asks for, no more
// than `underWay` requests reach the server.
constexpr Duration notice = std::chrono::milliseconds(500);
constexpr std::size_t underWay = 2;
constexpr Duration asked = std::chrono::seconds(3);
constexpr Duration pause = std::chrono::milliseconds(20); // Between two requests.

// One daemon with requests for a service of two servers, which behave as told.
class PlayedService
{
public:
    explicit PlayedService(std::string path) : m_path(std::move(path)) { }

    // Serves requests for a while.
    void play(Duration length, const ScriptedAnswer &first, const ScriptedAnswer &second)
    {
        const MonotonicTime end = harness.clock.now() + length;
        while (harness.clock.now() < end) {
            harness.clock.advance(pause);
            expect(firstServer, first);
            expect(secondServer, second);
            served += harness.serve(m_path)->response.status == 200 ? 1 : 0;
        }
    }

    std::string body() const { return m_path.rfind("/chat/", 0) == 0 ? event(1) : "x"; }

    std::size_t arrivalsBetween(const Endpoint &server, MonotonicTime start, MonotonicTime end)
    {
        const std::vector<MonotonicTime> &times = arrivals[server];
        return std::count_if(times.begin(), times.end(),
                             [=](MonotonicTime at) { return at >= start && at < end; });
    }

    DispatchHarness harness;
    std::map<Endpoint, std::vector<MonotonicTime>> arrivals;
    int served = 0;

private:
    void expect(const Endpoint &server, ScriptedAnswer answered)
    {
        if (harness.client.expectsCall(server))
            return;
        answered.before = [this, server] { arrivals[server].push_back(harness.clock.now()); };
        harness.client.expect(server, std::move(answered));
    }

    std::string m_path;
};

ScriptedAnswer asksForBackoff()
{
    return answer(503, {}, { { "not-run", "1" }, { "backoff", "3" } });
}

class ServerBackoffTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerBackoffTest);
    CPPUNIT_TEST(serverThatAsksForBackoffGetsNothingUntilItsEnd);
    CPPUNIT_TEST(headThatAsksForBackoffGetsNothingUntilItsEnd);
    CPPUNIT_TEST(repeatDoesNotGoToAServerThatAskedForBackoff);
    CPPUNIT_TEST(callerIsRefusedAtOnceUntilAServerMayBeAskedAgain);
    CPPUNIT_TEST(callerThatWasTurnedAwayIsToldWhenToComeBack);
    CPPUNIT_TEST(requestThatWaitedForAConnectionIsWithheld);
    CPPUNIT_TEST(streamThatWaitedForAConnectionIsWithheld);
    CPPUNIT_TEST(backoffOfAnotherServerAtTheAddressCountsForNothing);
    CPPUNIT_TEST(serverThatSaysThatItLeavesGetsNothingMore);
    CPPUNIT_TEST(headThatSaysThatItLeavesGetsNothingMore);
    CPPUNIT_TEST(callerIsRefusedAtOnceWhenAllServersLeave);
    CPPUNIT_TEST_SUITE_END();

public:
    void serverThatAsksForBackoffGetsNothingUntilItsEnd() { expectBackoffKept("/safe/1"); }

    void headThatAsksForBackoffGetsNothingUntilItsEnd() { expectBackoffKept("/chat/1"); }

    void repeatDoesNotGoToAServerThatAskedForBackoff()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, asksForBackoff());
        harness.client.expect(secondServer, answer(200, { "x" }));
        harness.serve("/safe/1");
        harness.client.expect(firstServer, answer(200, { "x" }));
        harness.client.expect(secondServer, answer(500, { "its own" }));
        harness.clock.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(500, harness.serve("/safe/1")->response.status);
        CPPUNIT_ASSERT(harness.client.expectsCall(firstServer));
    }

    void callerIsRefusedAtOnceUntilAServerMayBeAskedAgain()
    {
        DispatchHarness harness;
        askForBackoff(harness, "a1", 3);
        askForBackoff(harness, "a2", 2);
        harness.clock.advance(std::chrono::seconds(1));
        const auto caller = harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT(caller->response.body.find("servers_backing_off") != std::string::npos);
        CPPUNIT_ASSERT(harness.client.sent().empty());
        expectReturnIn(*caller, 1, 1.3);
    }

    void callerThatWasTurnedAwayIsToldWhenToComeBack()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, asksForBackoff());
        harness.client.expect(secondServer, asksForBackoff());
        const auto caller = harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(429, caller->response.status);
        expectReturnIn(*caller, 3, 3.3);
    }

    void requestThatWaitedForAConnectionIsWithheld() { expectWithheld("/safe/1", "a1", "x"); }

    void streamThatWaitedForAConnectionIsWithheld() { expectWithheld("/chat/1", "c1", event(1)); }

    void backoffOfAnotherServerAtTheAddressCountsForNothing()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer,
                              answer(421, {}, { { "not-run", "1" }, { "backoff", "3" } }));
        harness.client.expect(secondServer, answer(200, { "x" }));
        harness.serve("/safe/1");
        CPPUNIT_ASSERT(harness.state.gate.backoffs().states(harness.clock.now()).empty());
    }

    void serverThatSaysThatItLeavesGetsNothingMore() { expectLeavingKept("/safe/1"); }

    void headThatSaysThatItLeavesGetsNothingMore() { expectLeavingKept("/chat/1"); }

    void callerIsRefusedAtOnceWhenAllServersLeave()
    {
        DispatchHarness harness;
        for (const char *host : { "a1", "a2" })
            harness.state.gate.hearLeaving(HostId(host));
        const auto caller = harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT(caller->response.body.find("no_upstream") != std::string::npos);
        CPPUNIT_ASSERT(harness.client.sent().empty());
    }

private:
    static void askForBackoff(DispatchHarness &harness, const char *host, double seconds)
    {
        ServerStatement refusal;
        refusal.backoff = scaled(std::chrono::seconds(1), seconds);
        harness.state.gate.noteAnswer({ HostId(host), ZoneId("z") }, refusal, harness.clock.now(),
                                      harness.clock.now());
    }

    static void expectReturnIn(const RecordedExchange &caller, double earliest, double latest)
    {
        const std::string after(caller.response.headers.find("Retry-After").value());
        CPPUNIT_ASSERT(std::stod(after) >= earliest && std::stod(after) <= latest);
    }

    // The server asks for backoff while the request's connection is being made.
    static void expectWithheld(const std::string &path, const char *host, const std::string &body)
    {
        DispatchHarness harness;
        ScriptedAnswer first = answer(200, { body });
        first.connectsWhen = [&] {
            askForBackoff(harness, host, 3);
            return true;
        };
        bool written = false;
        first.before = [&written] { written = true; };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, answer(200, { body }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve(path)->response.status);
        CPPUNIT_ASSERT(!written);
        CPPUNIT_ASSERT(harness.client.sent().size() == 2);
    }

    static void expectBackoffKept(const std::string &path)
    {
        PlayedService service(path);
        service.play(std::chrono::seconds(12), asksForBackoff(), asksForBackoff());
        for (const Endpoint &server : { firstServer, secondServer }) {
            CPPUNIT_ASSERT(service.arrivals[server].size() >= 2); // Asked again after the end.
            for (const MonotonicTime refusedAt : service.arrivals[server])
                CPPUNIT_ASSERT(
                    service.arrivalsBetween(server, refusedAt + notice, refusedAt + asked)
                    <= underWay);
        }
    }

    static void expectLeavingKept(const std::string &path)
    {
        PlayedService service(path);
        HttpHeaders leaving = authenticHeaders();
        leaving.add("leaving", "1");
        service.play(std::chrono::seconds(12), answer(200, { service.body() }, leaving),
                     answer(200, { service.body() }));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, service.arrivals[firstServer].size());
        CPPUNIT_ASSERT_EQUAL(600, service.served);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerBackoffTest);

} // namespace
