// Tests of requests that are forwarded between daemons while one of them reaches no server.

#include <cstdlib>

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/dispatch/internal/forwarding.h"
#include "ramphinge/dispatch/internal/retry_loan.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

const Endpoint firstDaemon { "10.0.1.1", 7355 };
const Endpoint secondDaemon { "10.0.1.2", 7355 };

ScriptedAnswer refusal(int status, const std::string &reason, int sends = 0)
{
    return answer(status, {},
                  { { "Ramphinge-Refusal", reason },
                    { "Ramphinge-Unexecuted", "r1" },
                    { "Ramphinge-Sends", std::to_string(sends) },
                    { "Retry-After", "1.250" } });
}

std::string headerOf(const HttpHeaders &headers, const char *name)
{
    return std::string(headers.find(name).value_or("none"));
}

// Serves a request as another daemon forwards it.
std::shared_ptr<RecordedExchange> serveForwarded(DispatchHarness &harness, const std::string &path,
                                                 int attemptsLeft, HttpHeaders headers = {})
{
    headers.add("Ramphinge-Forwarded-By", "d9");
    headers.add("Ramphinge-Attempts-Left", std::to_string(attemptsLeft));
    auto exchange = std::make_shared<RecordedExchange>(
        HttpRequest { "POST", path, std::move(headers), "body" });
    IoContext io(1);
    runCoroutine(io, [&](Yield yield) {
        Dispatcher dispatcher(io, harness.clock, harness.dispatchOptions, harness.codec,
                              harness.upstreams, harness.probe, harness.trials, harness.state,
                              harness.log, harness.metrics);
        dispatcher.forwardHandler().handle(*exchange, yield);
    });
    return exchange;
}

} // namespace

class ForwardedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForwardedRequestTest);
    CPPUNIT_TEST(aDaemonWithoutContactForwards);
    CPPUNIT_TEST(aDaemonWithContactDoesNot);
    CPPUNIT_TEST(onlyRequestsOfTheLostServiceAreForwarded);
    CPPUNIT_TEST(aStreamIsForwardedWithWhereToResume);
    CPPUNIT_TEST(aForwardedRequestIsNeitherMeteredNorForwardedAgain);
    CPPUNIT_TEST(withoutOtherDaemonsServersAreTried);
    CPPUNIT_TEST(aDaemonThatIsCutOffTooIsFollowedByAnother);
    CPPUNIT_TEST(aDaemonWithoutUpstreamIsFollowedByAnotherAndNotAvoided);
    CPPUNIT_TEST(aDaemonThatCantBeReachedIsFollowedByAnother);
    CPPUNIT_TEST(whenNoDaemonHasContactTheRequestIsRefusedAtOnce);
    CPPUNIT_TEST(theRefusalOfADaemonWithContactIsPassedOn);
    CPPUNIT_TEST(anAtMostOnceRequestIsNotForwardedTwiceAfterADaemonDied);
    CPPUNIT_TEST(aRepeatableRequestIsForwardedOnceMoreAfterADaemonDied);
    CPPUNIT_TEST(aDaemonsFailureWithoutAServersProofIsNoAnswer);
    CPPUNIT_TEST(aServersFailureIsPassedOn);
    CPPUNIT_TEST(aStreamThatBreaksOffResumesAtAnotherDaemon);
    CPPUNIT_TEST(forwardedRequestsBeyondTheLimitAreRefused);
    CPPUNIT_TEST(aDaemonServesForwardedRequestsWithTheAttemptsThatAreLeft);
    CPPUNIT_TEST(unreadableForwardHeadersGrantOneAttempt);
    CPPUNIT_TEST(unreadableRetryAfterOfADaemonIsNone);
    CPPUNIT_TEST(anEmptyNameStillMarksAForwardedRequest);
    CPPUNIT_TEST(withoutAccountsNothingIsForwardedOrServedForOthers);
    CPPUNIT_TEST(staleDaemonServesNothingForOthersAfterTheAccountsWereLeftOut);
    CPPUNIT_TEST(refusalsOfAnUnknownReasonAreFollowedByAnotherDaemon);
    CPPUNIT_TEST(aRefusalNamesTheForwardedRequestOnlyIfNoSendMayHaveBeenExecuted);
    CPPUNIT_TEST(aRequestThatTheForwardingDaemonHoldsForAtMostOnceIsNotRepeated);
    CPPUNIT_TEST(crashesAreNotReportedWithoutContact);
    CPPUNIT_TEST(theLessBusyDaemonIsPreferred);
    CPPUNIT_TEST(aRetryIsBorrowedOnceTheOwnPartIsUsed);
    CPPUNIT_TEST(aRetryThatNobodyLendsIsNotSent);
    CPPUNIT_TEST(aDaemonLendsWhatItsOwnPartHolds);
    CPPUNIT_TEST_SUITE_END();

public:
    void aRefusalNamesTheForwardedRequestOnlyIfNoSendMayHaveBeenExecuted()
    {
        constexpr const char *unexecuted = "Ramphinge-Unexecuted";
        DispatchHarness full;
        full.client.expect(firstServer, notExecutedAnswer());
        full.client.expect(secondServer, notExecutedAnswer());
        const auto refused = serveForwarded(full, "/once/x", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("r1"), headerOf(refused->response.headers, unexecuted));
        DispatchHarness silent;
        silent.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
        const auto unknown = serveForwarded(silent, "/once/x", 1);
        CPPUNIT_ASSERT_EQUAL(std::string("none"), headerOf(unknown->response.headers, unexecuted));
    }

    void aRequestThatTheForwardingDaemonHoldsForAtMostOnceIsNotRepeated()
    {
        DispatchHarness cut;
        loseContact(cut);
        setPeers(cut, { firstDaemon });
        cut.client.expect(firstDaemon, answer(200, { "done" }));
        cut.serve("/once/x");
        const HttpHeaders &sent = cut.client.sent().front().request.headers;
        HttpHeaders received;
        if (const auto field = sent.find("Ramphinge-At-Most-Once"))
            received.add("Ramphinge-At-Most-Once", std::string(*field));
        DispatchHarness harness;
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
        harness.client.expect(secondServer, answer(200, { "again" }));
        const auto exchange = serveForwarded(harness, "/safe/x", 2, received);
        CPPUNIT_ASSERT_EQUAL(502, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void aDaemonWithoutContactForwards()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon });
        harness.client.expect(firstDaemon, answer(200, { "hello" }));
        const auto exchange = harness.serve("/safe/x");
        CPPUNIT_ASSERT_EQUAL(200, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        const HttpRequest &sent = harness.client.sent().front().request;
        CPPUNIT_ASSERT_EQUAL(std::string("1"), headerOf(sent.headers, "Ramphinge-Attempts-Left"));
        CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.body.text());
    }

    void aDaemonWithContactDoesNot()
    {
        DispatchHarness harness;
        setPeers(harness, { firstDaemon });
        harness.client.expect(firstServer, answer(200, { "hello" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
    }

    // Guards against calm requests that are refused for want of a retry that other daemons have.
    void aRetryIsBorrowedOnceTheOwnPartIsUsed()
    {
        DispatchHarness harness;
        harness.state.budgetOptions = { 0, 0, std::chrono::seconds(10) };
        setPeers(harness, { firstDaemon, secondDaemon });
        harness.client.expect(firstServer, notExecutedAnswer());
        for (const Endpoint &daemon : { firstDaemon, secondDaemon })
            harness.client.expect(daemon, answer(200, {}, { { "Ramphinge-Granted", "1" } }));
        harness.client.expect(secondServer, answer(200, { event(1) }));
        CPPUNIT_ASSERT(harness.serve("/chat/x")->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), harness.client.sent().size());
    }

    void aRetryThatNobodyLendsIsNotSent()
    {
        DispatchHarness harness;
        harness.state.budgetOptions = { 0, 0, std::chrono::seconds(10) };
        setPeers(harness, { firstDaemon, secondDaemon });
        harness.client.expect(firstServer, notExecutedAnswer());
        harness.client.expect(firstDaemon, answer(200, {}, { { "Ramphinge-Granted", "0" } }));
        harness.client.expect(secondDaemon, answer(404, {}, {})); // Of an older version.
        CPPUNIT_ASSERT_EQUAL(429, harness.serve("/chat/x")->response.status);
        // For a moment nobody is asked again.
        harness.client.expect(secondServer, notExecutedAnswer());
        CPPUNIT_ASSERT_EQUAL(429, harness.serve("/chat/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), harness.client.sent().size());
    }

    void aDaemonLendsWhatItsOwnPartHolds()
    {
        DispatchHarness harness;
        harness.state.budgetOptions = { 0, 2, std::chrono::seconds(10) }; // Holds one retry.
        const auto ask = [&harness](const ServiceId &service) {
            const HttpRequest loan = retryLoanRequest(service);
            return serveForwarded(harness, loan.target, 1, loan.headers)->response;
        };
        const HttpResponse unknown = ask(ServiceId("unknown"));
        CPPUNIT_ASSERT(!grantsRetryLoan(unknown.status, unknown.headers));
        const HttpResponse first = ask(chat);
        CPPUNIT_ASSERT(grantsRetryLoan(first.status, first.headers));
        const HttpResponse second = ask(chat);
        CPPUNIT_ASSERT(!grantsRetryLoan(second.status, second.headers));
        CPPUNIT_ASSERT(!harness.state.budgetOf(chat).allows(harness.clock.now()));
    }

    void onlyRequestsOfTheLostServiceAreForwarded()
    {
        DispatchHarness harness;
        loseContact(harness);
        harness.state.contacts.of(chat).noteProbe(HostId("1"), ContactProbeResult::Answered,
                                                  harness.clock.now());
        setPeers(harness, { firstDaemon });
        harness.client.expect(firstDaemon, answer(200, { "hello" }));
        harness.client.expect(firstServer, answer(200, { event(1) }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT(harness.serve("/chat/x")->finished);
    }

    void aStreamIsForwardedWithWhereToResume()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon });
        harness.client.expect(firstDaemon, answer(200, { event(4), event(5) }));
        const auto exchange = harness.serve("/chat/x", { { "resume", "3" } });
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(event(4) + event(5), exchange->response.body);
        CPPUNIT_ASSERT_EQUAL(std::string("3"),
                             headerOf(harness.client.sent().front().request.headers, "after"));
    }

    void aForwardedRequestIsNeitherMeteredNorForwardedAgain()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon });
        const auto exchange = serveForwarded(harness, "/safe/x", 1);
        CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("partitioned"),
                             headerOf(exchange->response.headers, "Ramphinge-Refusal"));
        CPPUNIT_ASSERT(harness.client.sent().empty());
    }

    void withoutOtherDaemonsServersAreTried()
    {
        DispatchHarness harness;
        loseContact(harness);
        harness.client.expect(firstServer, answer(200, { "hello" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
    }

    void aDaemonThatIsCutOffTooIsFollowedByAnother()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon, secondDaemon });
        harness.client.expect(firstDaemon, refusal(503, "partitioned"));
        for (int i = 0; i < 20; ++i) {
            harness.client.expect(secondDaemon, answer(200, { "hello" }));
            CPPUNIT_ASSERT_EQUAL(200, harness.serve("/once/x")->response.status);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(21), harness.client.sent().size());
    }

    void aDaemonWithoutUpstreamIsFollowedByAnotherAndNotAvoided()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon, secondDaemon });
        harness.client.expect(firstDaemon, refusal(503, "no_upstream"));
        harness.client.expect(secondDaemon, refusal(503, "no_upstream"));
        CPPUNIT_ASSERT_EQUAL(503, harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
        harness.client.expect(firstDaemon, answer(200, { "hello" }));
        harness.client.expect(secondDaemon, answer(200, { "hello" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/once/x")->response.status);
    }

    void aDaemonThatCantBeReachedIsFollowedByAnother()
    {
        for (const auto start :
             { ScriptedAnswer::Start::NoConnection, ScriptedAnswer::Start::Unreachable }) {
            DispatchHarness harness;
            loseContact(harness);
            setPeers(harness, { firstDaemon, secondDaemon });
            harness.client.expect(firstDaemon, failedCall(start));
            harness.client.expect(secondDaemon, answer(200, { "hello" }));
            CPPUNIT_ASSERT_EQUAL(200, harness.serve("/once/x")->response.status);
        }
    }

    void whenNoDaemonHasContactTheRequestIsRefusedAtOnce()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon, secondDaemon });
        harness.client.expect(firstDaemon, refusal(503, "partitioned"));
        harness.client.expect(secondDaemon, refusal(503, "partitioned"));
        const auto exchange = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
        CPPUNIT_ASSERT(exchange->response.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT_EQUAL(503, harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void theRefusalOfADaemonWithContactIsPassedOn()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon, secondDaemon });
        harness.client.expect(firstDaemon, refusal(429, "overloaded", 2));
        harness.client.expect(secondDaemon, refusal(429, "overloaded", 2));
        const auto exchange = harness.serve("/safe/x");
        CPPUNIT_ASSERT_EQUAL(429, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("1.250"),
                             headerOf(exchange->response.headers, "Retry-After"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void anAtMostOnceRequestIsNotForwardedTwiceAfterADaemonDied()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon, secondDaemon });
        for (const Endpoint &daemon : { firstDaemon, secondDaemon })
            harness.client.expect(daemon, failedCall(ScriptedAnswer::Start::NoAnswer));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void aRepeatableRequestIsForwardedOnceMoreAfterADaemonDied()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon, secondDaemon });
        for (const Endpoint &daemon : { firstDaemon, secondDaemon })
            harness.client.expect(daemon, failedCall(ScriptedAnswer::Start::NoAnswer));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void aDaemonsFailureWithoutAServersProofIsNoAnswer()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon });
        harness.client.expect(firstDaemon, answer(200, { "not a server's" }, {}));
        const auto exchange = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(502, exchange->response.status);
        CPPUNIT_ASSERT(exchange->response.body.find("not a server's") == std::string::npos);
    }

    void aServersFailureIsPassedOn()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon });
        harness.client.expect(firstDaemon, answer(500, { "server's own" }));
        const auto exchange = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(500, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("server's own"), exchange->response.body);
    }

    void aStreamThatBreaksOffResumesAtAnotherDaemon()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon });
        harness.client.expect(firstDaemon, truncatedAnswer({ event(1), event(2) }));
        harness.client.expect(secondDaemon, answer(200, { event(3) }));
        auto exchange =
            std::make_shared<RecordedExchange>(HttpRequest { "POST", "/chat/x", {}, "body" });
        exchange->onWrite = [&harness] { setPeers(harness, { secondDaemon }); };
        harness.serve(*exchange);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
    }

    void forwardedRequestsBeyondTheLimitAreRefused()
    {
        DispatchHarness harness;
        harness.state.maxForwardedRequests = 0;
        const auto exchange = serveForwarded(harness, "/safe/x", 1);
        CPPUNIT_ASSERT_EQUAL(429, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("overloaded"),
                             headerOf(exchange->response.headers, "Ramphinge-Refusal"));
        CPPUNIT_ASSERT_EQUAL(0, harness.state.forwardedRequests.load());
    }

    void aDaemonServesForwardedRequestsWithTheAttemptsThatAreLeft()
    {
        for (const int attemptsLeft : { 1, 2, 5 }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
            harness.client.expect(secondServer, failedCall(ScriptedAnswer::Start::NoAnswer));
            const auto exchange = serveForwarded(harness, "/safe/x", attemptsLeft);
            CPPUNIT_ASSERT_EQUAL(502, exchange->response.status);
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(std::min(attemptsLeft, 2)),
                                 harness.client.sent().size());
            const HttpHeaders &sent = harness.client.sent().front().request.headers;
            CPPUNIT_ASSERT(!sent.find("Ramphinge-Forwarded-By"));
            CPPUNIT_ASSERT(!sent.find("Ramphinge-Attempts-Left"));
        }
    }

    // Guards against admitting every request once the last account was removed.
    void withoutAccountsNothingIsForwardedOrServedForOthers()
    {
        DispatchHarness harness;
        harness.setAccounts(std::vector<AccountEntry>());
        CPPUNIT_ASSERT_EQUAL(
            401,
            serveForwarded(harness, "/private/x", 2, { { "key", "secret" } })->response.status);
        loseContact(harness);
        setPeers(harness, { firstDaemon });
        CPPUNIT_ASSERT_EQUAL(401,
                             harness.serve("/private/x", { { "key", "secret" } })->response.status);
        CPPUNIT_ASSERT(harness.client.sent().empty());
    }

    void staleDaemonServesNothingForOthersAfterTheAccountsWereLeftOut()
    {
        DispatchHarness harness;
        harness.setAccounts(std::nullopt);
        harness.clock.advance(std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(503, serveForwarded(harness, "/private/x", 2)->response.status);
        CPPUNIT_ASSERT(harness.client.sent().empty());
    }

    void unreadableForwardHeadersGrantOneAttempt()
    {
        for (const char *attempts : { "", "x", "-4", "99999999999999999999" }) {
            IncomingRequest request;
            request.message.headers.add("Ramphinge-Attempts-Left", attempts);
            takeForwardHeaders(request);
            CPPUNIT_ASSERT_EQUAL(1, *request.attemptsLeft);
            CPPUNIT_ASSERT(!request.forwardedBy.empty());
        }
    }

    // Guards against passing an unreadable time on to the caller as 0 s.
    void unreadableRetryAfterOfADaemonIsNone()
    {
        for (const char *text : { "", "x", "-1", "nan", "inf", "1e3", "3, 5", "3 s" }) {
            const ForwardRefusal refusal = decodeForwardRefusal(503, { { "Retry-After", text } });
            CPPUNIT_ASSERT_MESSAGE(text, !refusal.retryAfter);
        }
        const ForwardRefusal refusal = decodeForwardRefusal(503, { { "Retry-After", "1.250" } });
        CPPUNIT_ASSERT(refusal.retryAfter == std::chrono::milliseconds(1250));
    }

    // Guards against taking a forwarded request for a caller's, which may be forwarded again.
    void anEmptyNameStillMarksAForwardedRequest()
    {
        IncomingRequest request;
        request.message.headers.add("Ramphinge-Forwarded-By", "");
        takeForwardHeaders(request);
        CPPUNIT_ASSERT(!request.forwardedBy.empty());
    }

    void refusalsOfAnUnknownReasonAreFollowedByAnotherDaemon()
    {
        DispatchHarness harness;
        loseContact(harness);
        setPeers(harness, { firstDaemon, secondDaemon });
        harness.client.expect(firstDaemon, refusal(503, "reason of a newer daemon"));
        harness.client.expect(secondDaemon, refusal(503, "reason of a newer daemon"));
        CPPUNIT_ASSERT_EQUAL(503, harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void crashesAreNotReportedWithoutContact()
    {
        DispatchHarness harness;
        loseContact(harness); // Without other daemons, servers are tried.
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
        harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), harness.state.quarantine.suspectCount());
    }

    void theLessBusyDaemonIsPreferred()
    {
        ForwardTargets targets({}, 1);
        targets.setPeers({ { DaemonId("a"), ZoneId("z"), firstDaemon, {} },
                           { DaemonId("b"), ZoneId("y"), secondDaemon, { chat } } },
                         ZoneId("z"));
        const MonotonicTime now(std::chrono::seconds(9));
        std::map<DaemonId, int> chosen;
        for (int i = 0; i < 1000; ++i) {
            const DaemonId daemon = targets.choose(app, {}, now)->daemon;
            targets.sent(daemon);
            ++chosen[daemon];
        }
        CPPUNIT_ASSERT(std::abs(chosen[DaemonId("a")] - chosen[DaemonId("b")]) < 20);
        CPPUNIT_ASSERT(targets.choose(app, { DaemonId("a") }, now)->daemon == DaemonId("b"));
        targets.avoid(DaemonId("b"), app, now);
        CPPUNIT_ASSERT(!targets.choose(app, { DaemonId("a") }, now));
        CPPUNIT_ASSERT(targets.hasAny(chat) && !targets.hasOther(chat, { DaemonId("a") }, now));
        CPPUNIT_ASSERT(targets.hasOther(app, { DaemonId("a") }, now + std::chrono::seconds(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForwardedRequestTest);
