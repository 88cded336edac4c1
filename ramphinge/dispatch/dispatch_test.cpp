// Tests of the request path: admission, event parsing, choice of a target, demand, stalls, and
// complete requests against scripted upstreams.

#include <stdexcept>

#include <rapidcheck.h>

#include "ramphinge/dispatch/event_stream.h"
#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

// Forwards calls to another client, and calls `beforeRead` before each read of an answer.
class ReadHookClient : public HttpClient
{
public:
    explicit ReadHookClient(HttpClient &inner) : m_inner(inner) { }

    std::unique_ptr<HttpCall> call(const Endpoint &endpoint, const HttpRequest &request,
                                   HttpCallOptions options) override
    {
        return std::make_unique<Call>(*this, m_inner.call(endpoint, request, std::move(options)));
    }
    void forget(const Endpoint &endpoint) override { m_inner.forget(endpoint); }
    std::int64_t connectionsMade() const override { return m_inner.connectionsMade(); }
    std::int64_t answersSkipped() const override { return m_inner.answersSkipped(); }

    std::function<void(Yield)> beforeRead;

private:
    class Call : public HttpCall
    {
    public:
        Call(ReadHookClient &client, std::unique_ptr<HttpCall> inner)
            : m_client(client), m_inner(std::move(inner))
        { }

        Status start(Yield yield) override { return m_inner->start(yield); }
        int status() const override { return m_inner->status(); }
        const HttpHeaders &headers() const override { return m_inner->headers(); }
        Result<std::size_t> read(std::string &into, Yield yield) override
        {
            m_client.beforeRead(yield);
            return m_inner->read(into, yield);
        }
        void setReadTimeout(Duration timeout) override { m_inner->setReadTimeout(timeout); }
        bool endsWithConnection() const override { return m_inner->endsWithConnection(); }
        bool sent() const override { return m_inner->sent(); }
        bool usesKeptConnection() const override { return m_inner->usesKeptConnection(); }
        bool refused() const override { return m_inner->refused(); }
        bool unreachable() const override { return m_inner->unreachable(); }
        bool endedByPeer() const override { return m_inner->endedByPeer(); }
        void cancel() override { m_inner->cancel(); }

    private:
        ReadHookClient &m_client;
        std::unique_ptr<HttpCall> m_inner;
    };

    HttpClient &m_inner;
};

// A caller that reads nothing for longer than any stall timeout, and then everything.
class CallerSlowToRead : public RecordedExchange
{
public:
    CallerSlowToRead(IoContext &io, ManualClock &clock)
        : RecordedExchange({ "POST", "/chat/x", {}, "body" }), m_io(io), m_clock(clock)
    { }

    Status write(std::string_view piece, Yield yield) override
    {
        // In small steps: a long one would count as a pause of the daemon's own process.
        for (int i = 0; i < 60; ++i) {
            m_clock.advance(std::chrono::milliseconds(50));
            runReadyHandlers(m_io, yield);
        }
        return RecordedExchange::write(piece, yield);
    }

private:
    IoContext &m_io;
    ManualClock &m_clock;
};

bool hasRetryAfter(const RecordedExchange &exchange)
{
    return exchange.response.headers.find("Retry-After").has_value();
}

} // namespace

class DispatchTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DispatchTest);
    CPPUNIT_TEST(answerIsForwardedUnchanged);
    CPPUNIT_TEST(unknownRoutesAndKeysAreRefused);
    CPPUNIT_TEST(nobodyIsAdmittedWithoutAccountsOrKeys);
    CPPUNIT_TEST(staleDaemonRefusesRequestsWithoutAccounts);
    CPPUNIT_TEST(servicesOfNoWeightGetNoRequests);
    CPPUNIT_TEST(daemonWithoutCatalogRefusesEveryRequest);
    CPPUNIT_TEST(staleDaemonRefusesRequestsThatNeedAKey);
    CPPUNIT_TEST(staleDaemonRefusesRequestsAfterTheAccountsWereLeftOut);
    CPPUNIT_TEST(staleDaemonServesRequestsThatNeverNeededAKey);
    CPPUNIT_TEST(unreadableRequestIsRefused);
    CPPUNIT_TEST(refusedRequestIsRetriedOnAnotherServer);
    CPPUNIT_TEST(idleConnectionsOfAllDaemonsFitTheServersLimit);
    CPPUNIT_TEST(requestRefusedByAllServersGetsRetryAfter);
    CPPUNIT_TEST(atMostOnceIsNotRetriedAfterItMayHaveRun);
    CPPUNIT_TEST(atMostOnceIsRetriedIfItWasNeverSent);
    CPPUNIT_TEST(aRequestIsNotRepeatedOnceItsRouteIsAtMostOnce);
    CPPUNIT_TEST(idempotentIsRetriedAfterAServerError);
    CPPUNIT_TEST(lastServerErrorIsForwarded);
    CPPUNIT_TEST(unauthenticAnswerIsNoSuccess);
    CPPUNIT_TEST(attemptsAreBounded);
    CPPUNIT_TEST(retriesStayWithinTheBudget);
    CPPUNIT_TEST(streamIsForwardedEventByEvent);
    CPPUNIT_TEST(brokenStreamIsResumedAfterItsLastCompleteEvent);
    CPPUNIT_TEST(streamThatCannotBeResumedIsAborted);
    CPPUNIT_TEST(streamEndingInsideAnEventIsIncomplete);
    CPPUNIT_TEST(missingEventIsFetchedFromAnotherUpstream);
    CPPUNIT_TEST(streamOfANonResumableRouteIsNotResumed);
    CPPUNIT_TEST(callerThatLeavesCancelsTheUpstreamCall);
    CPPUNIT_TEST(eventsAreParsedForAnyChunking);
    CPPUNIT_TEST(stalledTargetIsNotChosen);
    CPPUNIT_TEST(stallTimeoutFollowsUsualProgressIntervals);
    CPPUNIT_TEST(avoidedTargetIsChosenIfNoOtherIsLeft);
    CPPUNIT_TEST(replicaOutsideThePlanGetsNoRequests);
    CPPUNIT_TEST(demandFollowsTheRequestedWork);
    CPPUNIT_TEST(demandIncludesOtherDaemonsReports);
    CPPUNIT_TEST(busyServersFollowTheWork);
    CPPUNIT_TEST(stalledReplicaIsDistinguishedFromBusyOne);
    CPPUNIT_TEST(slowCallerIsNoStallOfTheUpstream);
    CPPUNIT_TEST(pauseOfTheDaemonIsNoStallOfTheUpstream);
    CPPUNIT_TEST(stallAfterAPauseOfTheDaemonIsDetected);
    CPPUNIT_TEST(requestsAreSpreadIfAllTargetsSeemStalled);
    CPPUNIT_TEST(newReplicaDoesNotInheritStatsOfItsHeadsOldReplica);
    CPPUNIT_TEST(accountsAreMeteredWhereStreamsAreAdmittedByModel);
    CPPUNIT_TEST(changedBudgetAppliesToServicesInUse);
    CPPUNIT_TEST(newBudgetCountsDaemonsWithLapsedRegistrations);
    CPPUNIT_TEST(connectionsAreClosedOnceLeavingServersAreGone);
    CPPUNIT_TEST(failuresAfterATargetLeftCreateNoStats);
    CPPUNIT_TEST(requestThatCannotBeSentIsAnswered);
    CPPUNIT_TEST(requestThatCannotBeDecodedIsAnswered);
    CPPUNIT_TEST(exceptionBeforeSendingIsAnsweredAsNotExecuted);
    CPPUNIT_TEST(exceptionWhileSendingLeavesNothingInFlight);
    CPPUNIT_TEST(exceptionAfterSendingIsAnsweredAsPossiblyExecuted);
    CPPUNIT_TEST_SUITE_END();

public:
    void answerIsForwardedUnchanged()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { "he", "llo" }));
        const auto exchange = harness.serve("/safe/x?q=1");
        CPPUNIT_ASSERT_EQUAL(200, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), exchange->response.body);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        const HttpRequest &sent = harness.client.sent()[0].request;
        CPPUNIT_ASSERT_EQUAL(std::string("/safe/x?q=1"), sent.target);
        CPPUNIT_ASSERT_EQUAL(std::string("body"), sent.body.text());
        CPPUNIT_ASSERT(sent.headers.find("expect") == "a1");
    }

    void unknownRoutesAndKeysAreRefused()
    {
        DispatchHarness harness;
        CPPUNIT_ASSERT_EQUAL(404, harness.serve("/nowhere")->response.status);
        CPPUNIT_ASSERT_EQUAL(401, harness.serve("/private/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(401,
                             harness.serve("/private/x", { { "key", "no" } })->response.status);
        harness.client.expect(firstServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200,
                             harness.serve("/private/x", { { "key", "secret" } })->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    // Guards against admitting every request once the last account or its last key was removed.
    void nobodyIsAdmittedWithoutAccountsOrKeys()
    {
        for (const std::vector<AccountEntry> &accounts :
             { std::vector<AccountEntry>(),
               std::vector<AccountEntry> { { AccountId("school"), std::nullopt, {} } } }) {
            DispatchHarness harness;
            harness.setAccounts(accounts);
            CPPUNIT_ASSERT_EQUAL(401, harness.serve("/private/x")->response.status);
            for (const char *key : { "secret", "" }) {
                const auto exchange = harness.serve("/private/x", { { "key", key } });
                CPPUNIT_ASSERT_EQUAL(401, exchange->response.status);
            }
            CPPUNIT_ASSERT(harness.client.sent().empty());
            harness.client.expect(firstServer, answer(200, { "ok" }));
            CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
        }
    }

    void staleDaemonRefusesRequestsWithoutAccounts()
    {
        DispatchHarness harness;
        harness.setAccounts(std::vector<AccountEntry>());
        harness.clock.advance(std::chrono::seconds(5));
        const auto exchange = harness.serve("/private/x", { { "key", "secret" } });
        CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
        CPPUNIT_ASSERT(harness.client.sent().empty());
    }

    // Guards against sending a route's requests to its last service when no service has a weight.
    void servicesOfNoWeightGetNoRequests()
    {
        for (const std::vector<WeightedTarget> &targets :
             { std::vector<WeightedTarget>(), { { chat, 0 }, { app, 0 } } }) {
            DispatchHarness harness;
            CatalogContent changed = content();
            changed.routes[0].targets = targets;
            harness.state.catalog = std::make_shared<const ServiceCatalog>(changed);
            CPPUNIT_ASSERT_EQUAL(503, harness.serve("/safe/x")->response.status);
            CPPUNIT_ASSERT(harness.client.sent().empty());
        }
    }

    void daemonWithoutCatalogRefusesEveryRequest()
    {
        DispatchHarness harness;
        harness.state.catalog = nullptr;
        const auto exchange = harness.serve("/safe/x");
        CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
        CPPUNIT_ASSERT(hasRetryAfter(*exchange));
    }

    void staleDaemonRefusesRequestsThatNeedAKey()
    {
        DispatchHarness harness;
        harness.clock.advance(std::chrono::seconds(5));
        // A known key may have been revoked, and an unknown one may be new.
        for (const char *key : { "secret", "unknown" }) {
            const auto exchange = harness.serve("/private/x", { { "key", key } });
            CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
            CPPUNIT_ASSERT(hasRetryAfter(*exchange));
        }
        CPPUNIT_ASSERT(harness.client.sent().empty());
        harness.client.expect(firstServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
    }

    // Guards against admitting every request for as long as a daemon is cut off from the store.
    void staleDaemonRefusesRequestsAfterTheAccountsWereLeftOut()
    {
        DispatchHarness harness;
        harness.setAccounts(std::nullopt);
        harness.client.expect(firstServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/private/x")->response.status);
        harness.clock.advance(std::chrono::seconds(5));
        for (const char *key : { "secret", "unknown" }) {
            const auto exchange = harness.serve("/private/x", { { "key", key } });
            CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
            CPPUNIT_ASSERT(hasRetryAfter(*exchange));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        harness.client.expect(firstServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
    }

    void staleDaemonServesRequestsThatNeverNeededAKey()
    {
        DispatchHarness harness;
        harness.state.hasRequiredKeys = false;
        harness.setAccounts(std::nullopt);
        harness.clock.advance(std::chrono::seconds(5));
        harness.client.expect(firstServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/private/x")->response.status);
    }

    void unreadableRequestIsRefused()
    {
        DispatchHarness harness;
        CPPUNIT_ASSERT_EQUAL(400, harness.serve("/safe/x", { { "bad", "1" } })->response.status);
    }

    void idleConnectionsOfAllDaemonsFitTheServersLimit()
    {
        DispatchHarness harness;
        CatalogContent limited = content();
        limited.services[0].connectionLimit = 600;
        harness.state.catalog = std::make_shared<const ServiceCatalog>(limited);
        harness.state.noteDaemons(300);
        harness.client.expect(firstServer, answer(200, { "x" }));
        harness.serve("/safe/1");
        CPPUNIT_ASSERT_EQUAL(2, harness.client.sent().at(0).options.maxIdleConnections);
    }

    void refusedRequestIsRetriedOnAnotherServer()
    {
        for (const char *path : { "/once/x", "/safe/x" }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, notExecutedAnswer());
            harness.client.expect(secondServer, answer(200, { "ok" }));
            CPPUNIT_ASSERT_EQUAL(200, harness.serve(path)->response.status);
        }
    }

    void requestRefusedByAllServersGetsRetryAfter()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, notExecutedAnswer());
        harness.client.expect(secondServer, notExecutedAnswer());
        const auto exchange = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(429, exchange->response.status);
        CPPUNIT_ASSERT(hasRetryAfter(*exchange));
    }

    void atMostOnceIsNotRetriedAfterItMayHaveRun()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
        const auto exchange = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(502, exchange->response.status);
        CPPUNIT_ASSERT(!hasRetryAfter(*exchange));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        harness.client.expect(firstServer, truncatedAnswer({ "hal" }));
        harness.state.targets.succeeded(HostId("a1"), harness.clock.now());
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/once/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void aRequestIsNotRepeatedOnceItsRouteIsAtMostOnce()
    {
        DispatchHarness harness;
        ScriptedAnswer lost = failedCall(ScriptedAnswer::Start::NoAnswer);
        lost.before = [&harness] {
            CatalogContent stricter = content();
            stricter.version = CatalogVersion(8);
            stricter.routes[0].kind = RequestKind::AtMostOnce;
            harness.state.catalog = std::make_shared<const ServiceCatalog>(stricter);
        };
        harness.client.expect(firstServer, lost);
        harness.client.expect(secondServer, answer(200, { "again" }));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void atMostOnceIsRetriedIfItWasNeverSent()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoConnection));
        harness.client.expect(secondServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/once/x")->response.status);
    }

    void idempotentIsRetriedAfterAServerError()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(500, { "oops" }));
        harness.client.expect(secondServer, answer(200, { "ok" }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/safe/x")->response.status);
        harness.client.expect(firstServer, answer(500, { "oops" }));
        harness.state.targets.succeeded(HostId("a1"), harness.clock.now());
        CPPUNIT_ASSERT_EQUAL(500, harness.serve("/once/x")->response.status);
    }

    void lastServerErrorIsForwarded()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(500, { "one" }));
        harness.client.expect(secondServer, answer(500, { "two" }));
        const auto exchange = harness.serve("/safe/x");
        CPPUNIT_ASSERT_EQUAL(500, exchange->response.status);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), exchange->response.body);
    }

    void unauthenticAnswerIsNoSuccess()
    {
        const HttpHeaders encoded { { "seal", "s" }, { "encoded", "gzip" } };
        for (const HttpHeaders &headers : { HttpHeaders(), encoded }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, answer(200, { "??" }, headers));
            harness.client.expect(secondServer, answer(200, { "ok" }));
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), harness.serve("/safe/x")->response.body);
            DispatchHarness onceHarness;
            onceHarness.client.expect(firstServer, answer(200, { "??" }, headers));
            CPPUNIT_ASSERT_EQUAL(502, onceHarness.serve("/once/x")->response.status);
        }
    }

    void attemptsAreBounded()
    {
        DispatchHarness harness;
        harness.fleet.put(server("a3", app, { "10.0.0.3", 80 }));
        harness.rebuild();
        for (const Endpoint &endpoint : { firstServer, secondServer, Endpoint { "10.0.0.3", 80 } })
            harness.client.expect(endpoint, failedCall(ScriptedAnswer::Start::NoAnswer));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    void retriesStayWithinTheBudget()
    {
        DispatchHarness harness;
        harness.state.budgetOptions.slack = 0;
        harness.client.expect(firstServer, failedCall(ScriptedAnswer::Start::NoAnswer));
        CPPUNIT_ASSERT_EQUAL(502, harness.serve("/safe/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void streamIsForwardedEventByEvent()
    {
        DispatchHarness harness;
        const std::string second = event(2);
        harness.client.expect(
            firstServer,
            answer(200, { event(1) + second.substr(0, 5), second.substr(5), event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
    }

    void brokenStreamIsResumedAfterItsLastCompleteEvent()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1), event(2).substr(0, 7) }));
        ScriptedAnswer resumed = answer(200, { event(2), event(3) }, { { "seal", "other" } });
        harness.client.expect(secondServer, resumed);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
        CPPUNIT_ASSERT(exchange->response.headers.find("seal") == "s");
        CPPUNIT_ASSERT(harness.client.sent()[1].request.headers.find("after") == "1");
    }

    void streamThatCannotBeResumedIsAborted()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, truncatedAnswer({ event(1) }));
        harness.client.expect(secondServer, truncatedAnswer({ event(2) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(!exchange->finished);
        CPPUNIT_ASSERT(exchange->aborted);
    }

    void streamEndingInsideAnEventIsIncomplete()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), "id: 2\nda" }));
        harness.client.expect(secondServer, answer(200, { event(2) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), exchange->response.body);
    }

    void missingEventIsFetchedFromAnotherUpstream()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), event(3) }));
        harness.client.expect(secondServer, answer(200, { event(1), event(2), event(3) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), exchange->response.body);
        CPPUNIT_ASSERT(exchange->finished);
    }

    void streamOfANonResumableRouteIsNotResumed()
    {
        DispatchHarness harness;
        CatalogContent changed = content();
        changed.routes[2].resumable = false;
        harness.state.catalog = std::make_shared<const ServiceCatalog>(changed);
        harness.client.expect(firstServer, truncatedAnswer({ event(1) }));
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT(exchange->aborted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
    }

    void callerThatLeavesCancelsTheUpstreamCall()
    {
        DispatchHarness harness;
        RecordedExchange exchange({ "POST", "/chat/x", {}, "" });
        exchange.onWrite = [&exchange] { exchange.leave(); };
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.serve(exchange);
        CPPUNIT_ASSERT_EQUAL(1, harness.client.cancelled());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT_EQUAL(0, harness.state.targets.inFlight(HostId("c1")));
    }

    void eventsAreParsedForAnyChunking()
    {
        const bool passed = rc::check("any cut of a stream gives the same events", [] {
            std::string stream;
            for (int id = 1; id <= 5; ++id)
                stream += event(id);
            const auto ending = *rc::gen::element<std::string>("\n", "\r\n");
            if (ending == "\r\n")
                stream = withCarriageReturns(stream);
            EventStreamReader reader;
            std::vector<std::string> ids;
            std::size_t at = 0;
            while (at < stream.size()) {
                const auto length = *rc::gen::inRange<std::size_t>(1, 12);
                reader.feed(std::string_view(stream).substr(at, length));
                at += length;
                while (const auto next = reader.next())
                    ids.push_back(next->id.text());
            }
            RC_ASSERT(ids == (std::vector<std::string> { "1", "2", "3", "4", "5" }));
            RC_ASSERT(reader.incompleteBytes() == 0U);
        });
        CPPUNIT_ASSERT(passed);
    }

    void stalledTargetIsNotChosen()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const HostId first("c1");
        targets.sent(first, Tokens(1));
        targets.began(first, Tokens(1), Milliseconds(50), Milliseconds(50), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == first);
        harness.clock.advance(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == HostId("c2"));
        targets.progressed(first, harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == first);
    }

    // Streams of a small model make progress every 40 ms, those of a large one that also prefills
    // prompts every 290 ms, so the small one's stall timeout must be shorter. Events of one engine
    // step arrive close together.
    void stallTimeoutFollowsUsualProgressIntervals()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const HostId small("c1");
        const HostId large("c2");
        CPPUNIT_ASSERT(targets.stallTimeoutOf(small) == Milliseconds(450)); // The default.
        for (const HostId &host : { small, large }) {
            targets.sent(host, Tokens(1));
            targets.began(host, Tokens(1), Milliseconds(50), Milliseconds(50), harness.clock.now());
        }
        for (int at = 1; at <= 2900; ++at) {
            harness.clock.advance(Milliseconds(1));
            if (at % 40 <= 2)
                targets.progressed(small, harness.clock.now());
            if (at % 290 <= 2)
                targets.progressed(large, harness.clock.now());
        }
        CPPUNIT_ASSERT(targets.stallTimeoutOf(small) == Milliseconds(200));
        CPPUNIT_ASSERT(targets.stallTimeoutOf(large) == Milliseconds(450));
        harness.clock.advance(Milliseconds(250));
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == large);
    }

    void avoidedTargetIsChosenIfNoOtherIsLeft()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        targets.avoid(HostId("a1"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ app, {}, {}, {} }, harness.clock.now())->host
                       == HostId("a2"));
        targets.avoid(HostId("a2"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ app, {}, {}, {} }, harness.clock.now()) != nullptr);
        CPPUNIT_ASSERT(
            targets.choose({ app, {}, {}, { HostId("a1"), HostId("a2") } }, harness.clock.now())
            == nullptr);
    }

    void replicaOutsideThePlanGetsNoRequests()
    {
        DispatchHarness harness;
        harness.plan.replicas[0].phase = ReplicaPhase::Broken;
        harness.plan.replicas[1].epoch = Epoch(9); // The head still belongs to an older epoch.
        harness.rebuild();
        CPPUNIT_ASSERT(harness.state.targets.choose({ chat, model, {}, {} }, harness.clock.now())
                       == nullptr);
        const auto exchange = harness.serve("/chat/x");
        CPPUNIT_ASSERT_EQUAL(503, exchange->response.status);
        CPPUNIT_ASSERT(hasRetryAfter(*exchange));
    }

    void demandFollowsTheRequestedWork()
    {
        ManualClock clock;
        EngineProfile engine;
        engine.models.push_back({ ModelId("a"), 4, 0.5, 1, {}, {} });
        engine.models.push_back({ ModelId("b"), 1, 0.5, 1, {}, {} });
        DemandMeter meter(std::chrono::seconds(6));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter.shareOf(engine, ModelId("a"), clock.now()), 1e-9);
        for (int i = 0; i < 2000; ++i)
            meter.add(engine, ModelId(i % 2 == 0 ? "a" : "b"), Tokens(100), Tokens(10),
                      clock.now());
        // Equal request counts, but each request to "a" takes the time of four servers.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.8, meter.shareOf(engine, ModelId("a"), clock.now()), 0.02);
        clock.advance(std::chrono::minutes(5));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter.shareOf(engine, ModelId("a"), clock.now()), 0.01);
    }

    // Guards against a planner that learns of a changed request mix too late: of 70 daemons, one
    // alone gets a request of the rarer kind every third second. From its own requests it had
    // hardly noticed the change after the time of one weight load.
    void demandIncludesOtherDaemonsReports()
    {
        ManualClock clock;
        EngineProfile engine;
        const ModelId large("large");
        const ModelId small("small");
        engine.models.push_back({ large, 16, 0.5, 1, {}, {} });
        engine.models.push_back({ small, 4, 0.5, 1, {}, {} });
        const auto addRequests = [&](int largePerSecond, int smallPerSecond, DemandMeter &meter) {
            for (int i = 0; i < largePerSecond + smallPerSecond; ++i)
                meter.add(engine, i < largePerSecond ? large : small, Tokens(1000), Tokens(200),
                          clock.now());
        };
        DemandMeter planner(std::chrono::seconds(6));
        DemandMeter othersMeter(std::chrono::seconds(6)); // Sum over the other daemons.
        const auto shareAfter = [&](int seconds, int largePerSecond, int smallPerSecond) {
            for (int i = 0; i < seconds; ++i) {
                clock.advance(std::chrono::seconds(1));
                addRequests(largePerSecond, smallPerSecond, othersMeter);
                planner.setOthersWork(othersMeter.own(clock.now()), clock.now());
            }
            return planner.shareOf(engine, large, clock.now());
        };
        // Shares of all server time: 40 requests to 16 servers each against 420 to 4 each.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.276, shareAfter(20, 40, 420), 0.02);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.656, shareAfter(16, 100, 210), 0.09);
        planner.setOthersWork({}, clock.now()); // The other daemons' reports have expired.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, planner.shareOf(engine, large, clock.now()), 1e-9);
    }

    void busyServersFollowTheWork()
    {
        ManualClock clock;
        EngineProfile engine;
        const ModelId model("m");
        engine.models.push_back({ model, 4, 1, 1, {}, {} });
        engine.slots = 16;
        engine.stepMilliseconds = 8;
        engine.perSequenceMilliseconds = 0.1;
        engine.prefillTokensPerSecond = 50'000;
        constexpr int servers = 30;
        const auto busyAfter = [&](DemandMeter &meter, int perSecond, int daemons) {
            for (int second = 0; second < 60; ++second) {
                clock.advance(std::chrono::seconds(1));
                for (int i = 0; i < perSecond; ++i)
                    meter.add(engine, model, Tokens(100), Tokens(10), clock.now());
            }
            return meter.busyServers(engine, servers, daemons, clock.now());
        };
        DemandMeter idle(std::chrono::seconds(6));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(servers, idle.busyServers(engine, servers, 9, clock.now()),
                                     1e-9);
        DemandMeter light(std::chrono::seconds(6));
        const double serversBusyAt200 = busyAfter(light, 200, 1);
        DemandMeter heavier(std::chrono::seconds(6));
        const double serversBusyAt400 = busyAfter(heavier, 400, 1);
        CPPUNIT_ASSERT(serversBusyAt200 < serversBusyAt400 && serversBusyAt400 < servers);
        // One of two daemons: it doubles its own work until the other one's work is known.
        DemandMeter meterOfOneDaemon(std::chrono::seconds(6));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(serversBusyAt400, busyAfter(meterOfOneDaemon, 200, 2),
                                     0.1 * serversBusyAt400);
        meterOfOneDaemon.setOthersWork(meterOfOneDaemon.own(clock.now()), clock.now());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(serversBusyAt400,
                                     meterOfOneDaemon.busyServers(engine, servers, 2, clock.now()),
                                     0.1 * serversBusyAt400);
        // 200 requests per second keep `serversBusyAt200` servers busy; a replica has four servers.
        const double rate = light.rateOfReplica(engine, model, clock.now())->perSecond();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200 * 4 / serversBusyAt200, rate, 0.15 * rate);
        CPPUNIT_ASSERT(!idle.rateOfReplica(engine, model, clock.now()));
        DemandMeter flooded(std::chrono::seconds(6));
        CPPUNIT_ASSERT(busyAfter(flooded, 5000, 1) <= servers);
    }

    void stalledReplicaIsDistinguishedFromBusyOne()
    {
        const StallOptions options;
        StreamObservation stream;
        stream.expected = std::chrono::milliseconds(100);
        stream.objective = std::chrono::milliseconds(300);
        stream.eventGapObjective = std::chrono::milliseconds(200);
        stream.targetStallTimeout = std::chrono::milliseconds(450);
        // Not begun: other streams of the replica show whether it makes progress.
        stream.hasOtherStreams = true;
        stream.waited = std::chrono::seconds(3);
        stream.targetSilence = std::chrono::milliseconds(80);
        CPPUNIT_ASSERT(!isStalled(stream, options));
        stream.targetSilence = std::chrono::milliseconds(500);
        CPPUNIT_ASSERT(isStalled(stream, options));
        // No other streams: the prediction and the objective decide.
        stream.hasOtherStreams = false;
        stream.waited = std::chrono::milliseconds(299);
        CPPUNIT_ASSERT(!isStalled(stream, options));
        stream.waited = std::chrono::milliseconds(301);
        CPPUNIT_ASSERT(isStalled(stream, options));
        stream.expected = std::chrono::milliseconds(400);
        CPPUNIT_ASSERT(!isStalled(stream, options));
        // Begun: its own event gap decides; a longer one is allowed if other streams make progress.
        stream.begun = true;
        // A short gap is no stall: the stream might find no other target.
        stream.waited = std::chrono::milliseconds(599);
        CPPUNIT_ASSERT(!isStalled(stream, options));
        stream.waited = std::chrono::milliseconds(601);
        CPPUNIT_ASSERT(isStalled(stream, options));
        stream.hasOtherStreams = true;
        stream.targetSilence = std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(!isStalled(stream, options));
        stream.waited = std::chrono::milliseconds(1700);
        CPPUNIT_ASSERT(isStalled(stream, options));
    }

    // Data from the upstream waits while the caller doesn't read; that must not count as a stall of
    // the upstream.
    void slowCallerIsNoStallOfTheUpstream()
    {
        DispatchHarness harness;
        ScriptedAnswer first = answer(200, { event(1), event(2) });
        first.holdAfter = 1; // Stall checks run after the caller's read, before the next event.
        first.goesOnWhen = [iterations = 0]() mutable { return ++iterations > 100; };
        harness.client.expect(firstServer, first);
        harness.client.expect(secondServer, answer(200, { event(2) }));
        std::shared_ptr<CallerSlowToRead> caller;
        harness.serve(
            [&](IoContext &io) {
                return caller = std::make_shared<CallerSlowToRead>(io, harness.clock);
            },
            harness.client);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), caller->response.body);
        CPPUNIT_ASSERT(caller->finished);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
        CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
    }

    // After a pause of the whole process its timers may fire before the bytes that arrived during
    // the pause are read; that must not count as a stall of the upstream.
    void pauseOfTheDaemonIsNoStallOfTheUpstream()
    {
        for (const int pausedRead : { 1, 2 }) {
            DispatchHarness harness;
            harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
            harness.client.expect(secondServer, answer(200, { event(2) }));
            const auto caller =
                serveWithReadHook(harness, [&](IoContext &io, int read, Yield yield) {
                    runReadyHandlers(io, yield);
                    if (read == pausedRead)
                        harness.clock.advance(std::chrono::seconds(3));
                    runReadyHandlers(io, yield);
                });
            CPPUNIT_ASSERT_EQUAL(event(1) + event(2), caller->response.body);
            CPPUNIT_ASSERT(caller->finished);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), harness.client.sent().size());
            CPPUNIT_ASSERT(harness.state.suspicions.take().empty());
        }
    }

    // Time that passes while the daemon runs counts as the upstream's silence.
    void stallAfterAPauseOfTheDaemonIsDetected()
    {
        DispatchHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1), event(2) }));
        harness.client.expect(secondServer, answer(200, { event(2) }));
        const auto caller = serveWithReadHook(harness, [&](IoContext &io, int read, Yield yield) {
            runReadyHandlers(io, yield);
            if (read != 2)
                return;
            harness.clock.advance(std::chrono::seconds(3));
            runReadyHandlers(io, yield);
            for (int i = 0; i < 40; ++i) {
                harness.clock.advance(std::chrono::milliseconds(50));
                runReadyHandlers(io, yield);
            }
        });
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2), caller->response.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), harness.client.sent().size());
    }

    // After a pause of the daemon's process all targets seem stalled until their bytes are read.
    // The requests that arrived during the pause must not all go to one target.
    void requestsAreSpreadIfAllTargetsSeemStalled()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const Tokens prompt(1);
        for (const char *host : { "c1", "c2" }) {
            targets.succeeded(HostId(host), harness.clock.now());
            targets.sent(HostId(host), prompt);
            targets.began(HostId(host), prompt, Milliseconds(50), Milliseconds(50),
                          harness.clock.now());
        }
        harness.clock.advance(std::chrono::seconds(3));
        std::map<HostId, int> chosen;
        for (int i = 0; i < 40; ++i) {
            const HostId host =
                targets.choose({ chat, model, prompt, {} }, harness.clock.now())->host;
            targets.sent(host, prompt);
            ++chosen[host];
        }
        CPPUNIT_ASSERT(chosen[HostId("c1")] >= 10);
        CPPUNIT_ASSERT(chosen[HostId("c2")] >= 10);
        // A target that was unreachable is chosen after one that only seems stalled.
        targets.avoid(HostId("c1"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, prompt, {} }, harness.clock.now())->host
                       == HostId("c2"));
    }

    // Guards against a memory leak: the last request to a server may fail after the server has left
    // the fleet. Recording that failure created statistics anew that were never removed, some
    // hundred bytes for each such server.
    void failuresAfterATargetLeftCreateNoStats()
    {
        DispatchHarness harness;
        const HostId host("a1");
        TargetTable &targets = harness.state.targets;
        targets.sent(host, Tokens(0));
        harness.fleet.remove(incarnationOf(host).name, harness.clock.now());
        harness.rebuild();
        targets.ended(host, Tokens(0), false);
        targets.failed(host, harness.clock.now());
        targets.avoid(host, harness.clock.now());
        targets.succeeded(host, harness.clock.now());
        targets.progressed(host, harness.clock.now());
        CPPUNIT_ASSERT(!targets.hasStats(host));
    }

    // Servers accept no requests for a while before they leave the fleet: they announce that they
    // are leaving, or their replica breaks. Another server may get their address next, so their
    // connections must be closed when they are gone.
    void connectionsAreClosedOnceLeavingServersAreGone()
    {
        DispatchHarness harness;
        const HostId plain("a3");
        const HostId head("c3");
        const Endpoint plainServer { "10.0.0.3", 80 };
        const Endpoint headServer { "10.0.0.4", 80 };
        harness.fleet.put(server(plain.text(), app, plainServer));
        harness.addReplica(head.text(), headServer, 3);
        harness.rebuild();
        UpstreamServer leaving = server(plain.text(), app, plainServer);
        leaving.draining = true;
        harness.fleet.put(leaving);
        harness.plan.replicas.back().phase = ReplicaPhase::Broken;
        harness.rebuild();
        // Servers that are leaving may still serve requests.
        CPPUNIT_ASSERT(harness.state.targets.takeRemovedEndpoints().empty());
        for (const HostId &host : { plain, head })
            harness.fleet.remove(incarnationOf(host).name, harness.clock.now());
        harness.rebuild();
        const std::vector<Endpoint> dropped = harness.state.targets.takeRemovedEndpoints();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), dropped.size());
        CPPUNIT_ASSERT(std::count(dropped.begin(), dropped.end(), plainServer) == 1);
        CPPUNIT_ASSERT(std::count(dropped.begin(), dropped.end(), headServer) == 1);
        harness.rebuild();
        CPPUNIT_ASSERT(harness.state.targets.takeRemovedEndpoints().empty());
    }

    // Registrations lapse while the store is unavailable, though the daemons still run. The retry
    // budget of a service that gets its first request then must count those daemons too.
    void newBudgetCountsDaemonsWithLapsedRegistrations()
    {
        DispatchHarness harness;
        harness.state.noteDaemons(9);
        harness.state.noteDaemons(1);
        SharedRetryBudget &budget = harness.state.budgetOf(chat);
        int retries = 0;
        while (retries < 20 && budget.take(harness.clock.now()))
            ++retries;
        // Half of one daemon's even share of the slack of 20 retries.
        CPPUNIT_ASSERT_EQUAL(1, retries);
    }

    // Guards against load reports that grow, and work that is done, where no service needs shares
    // of client accounts: only requests for a model that admits by model are metered.
    void accountsAreMeteredWhereStreamsAreAdmittedByModel()
    {
        for (const bool isSensitive : { false, true }) {
            DispatchHarness harness;
            CatalogContent changed = contentWithRankedStreams();
            changed.routes[2].objective = std::chrono::milliseconds(200);
            harness.state.catalog = std::make_shared<const ServiceCatalog>(std::move(changed));
            harness.state.shortObjective = std::chrono::milliseconds(isSensitive ? 250 : 100);
            harness.client.expect(firstServer, answer(200, { event(1) }));
            harness.serve("/chat/x");
            harness.client.expect(firstServer, answer(200, { "x" }));
            harness.serve("/safe/x");
            CPPUNIT_ASSERT_EQUAL(std::size_t(isSensitive ? 1 : 0),
                                 harness.state.accountShares.own(harness.clock.now()).size());
        }
    }

    // Operators may change the budget's settings while the daemon runs.
    void changedBudgetAppliesToServicesInUse()
    {
        DispatchHarness harness;
        CPPUNIT_ASSERT(harness.state.budgetOf(chat).take(harness.clock.now()));
        harness.state.budgetOptions = { 0, 0, std::chrono::seconds(10) };
        CPPUNIT_ASSERT(!harness.state.budgetOf(chat).allows(harness.clock.now()));
        // Retries before the change count against the new limit.
        harness.state.budgetOptions = { 0, 4, std::chrono::seconds(10) };
        CPPUNIT_ASSERT(harness.state.budgetOf(chat).take(harness.clock.now()));
        CPPUNIT_ASSERT(!harness.state.budgetOf(chat).allows(harness.clock.now()));
    }

    // After a partition from the store a daemon may see a server as the head of another replica
    // without having seen it leave the first one. Statistics of the old replica must not apply.
    void newReplicaDoesNotInheritStatsOfItsHeadsOldReplica()
    {
        DispatchHarness harness;
        TargetTable &targets = harness.state.targets;
        const HostId head("c1");
        targets.sent(head, Tokens(1));
        targets.began(head, Tokens(1), Milliseconds(50), Milliseconds(50), harness.clock.now());
        for (int i = 0; i < 50; ++i) {
            harness.clock.advance(Milliseconds(40));
            targets.progressed(head, harness.clock.now());
        }
        CPPUNIT_ASSERT(targets.stallTimeoutOf(head) == Milliseconds(200));
        targets.ended(head, Tokens(1), true);
        for (int i = 0; i < 5; ++i) {
            targets.sent(head, Tokens(1));
            targets.began(head, Tokens(1), Milliseconds(900), Milliseconds(50),
                          harness.clock.now());
            targets.ended(head, Tokens(1), true);
            targets.failed(head, harness.clock.now());
        }
        const auto expected = [&](const HostId &host) {
            return targets.expectedTime(host, Tokens(1), harness.clock.now());
        };
        CPPUNIT_ASSERT(expected(head) > 2 * expected(HostId("c2")));
        targets.avoid(head, harness.clock.now());
        UpstreamServer server = *harness.fleet.find(head);
        server.membership->replica = ReplicaId("next");
        server.membership->epoch = Epoch(9);
        harness.fleet.put(server);
        harness.plan.replicas[0].replica = ReplicaId("next");
        harness.plan.replicas[0].epoch = Epoch(9);
        harness.rebuild();
        CPPUNIT_ASSERT(targets.stallTimeoutOf(head) == Milliseconds(450));
        CPPUNIT_ASSERT(expected(head) == expected(HostId("c2")));
        CPPUNIT_ASSERT(
            targets.choose({ chat, model, Tokens(1), { HostId("c2") } }, harness.clock.now())->host
            == head);
        targets.failed(HostId("c2"), harness.clock.now());
        targets.failed(HostId("c2"), harness.clock.now());
        CPPUNIT_ASSERT(targets.choose({ chat, model, Tokens(1), {} }, harness.clock.now())->host
                       == head);
    }

    // Guards against connections that close without an answer: an exception on the request path
    // ended the connection's coroutine, with a log line "ended_by_exception". One way there is a
    // header field that is too long for the HTTP library.
    void requestThatCannotBeSentIsAnswered()
    {
        DispatchHarness harness;
        constexpr std::size_t tooLong = 70'000;
        RecordedExchange caller(
            { "GET", "/safe/x", { { "Long", std::string(tooLong, 'x') } }, {} });
        IoContext io(1);
        runCoroutine(io, [&](Yield yield) {
            const auto client = HttpClient::create(io);
            UpstreamClient upstreams = harness.upstreamsOver(*client);
            Dispatcher dispatcher(io, harness.clock, {}, harness.codec, upstreams, harness.probe,
                                  harness.trials, harness.state, harness.log, harness.metrics);
            dispatcher.handle(caller, yield);
        });
        CPPUNIT_ASSERT_EQUAL(503, caller.response.status);
        assertNothingInFlight(harness);
    }

    void requestThatCannotBeDecodedIsAnswered()
    {
        DispatchHarness harness;
        harness.codec.onDecode = fail;
        const auto caller = harness.serve("/once/x");
        CPPUNIT_ASSERT_EQUAL(503, caller->response.status);
        CPPUNIT_ASSERT(caller->response.headers.find("Retry-After"));
    }

    void exceptionBeforeSendingIsAnsweredAsNotExecuted()
    {
        for (const char *path : { "/safe/x", "/once/x", "/chat/x" }) {
            DispatchHarness harness;
            harness.codec.onEncode = fail;
            const auto caller = harness.serve(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 503, caller->response.status);
            CPPUNIT_ASSERT_MESSAGE(path, caller->response.headers.find("Retry-After"));
            assertNothingInFlight(harness);
        }
    }

    // The call itself throws, before and after its first byte is sent.
    void exceptionWhileSendingLeavesNothingInFlight()
    {
        for (const char *path : { "/safe/x", "/once/x", "/chat/x" }) {
            for (const bool isSent : { false, true }) {
                DispatchHarness harness;
                ScriptedAnswer script = answer(200, { event(1) });
                if (isSent)
                    script.startsWhen = throwFailure;
                else
                    script.before = fail;
                harness.client.expect(firstServer, script);
                const auto caller = harness.serve(path);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(path, isSent ? 502 : 503, caller->response.status);
                assertNothingInFlight(harness);
            }
        }
    }

    void exceptionAfterSendingIsAnsweredAsPossiblyExecuted()
    {
        for (const char *path : { "/safe/x", "/once/x", "/chat/x" }) {
            DispatchHarness harness;
            harness.codec.onDecodeAnswer = fail;
            harness.client.expect(firstServer, answer(200, { event(1) }));
            const auto caller = harness.serve(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 502, caller->response.status);
            CPPUNIT_ASSERT_MESSAGE(path, !caller->response.headers.find("Retry-After"));
            assertNothingInFlight(harness);
        }
    }

private:
    static void fail() { throw std::length_error("a test's failure"); }
    static bool throwFailure()
    {
        fail();
        return false;
    }

    static void assertNothingInFlight(const DispatchHarness &harness)
    {
        for (const char *host : { "a1", "a2", "c1", "c2" })
            CPPUNIT_ASSERT_EQUAL(0, harness.state.targets.inFlight(HostId(host)));
    }

    // Serves a stream; `beforeRead` gets the number of the read that follows, counted from 1.
    static std::shared_ptr<RecordedExchange>
    serveWithReadHook(DispatchHarness &harness,
                      const std::function<void(IoContext &, int, Yield)> &beforeRead)
    {
        ReadHookClient client(harness.client);
        int reads = 0;
        auto caller =
            std::make_shared<RecordedExchange>(HttpRequest { "POST", "/chat/x", {}, "body" });
        harness.serve(
            [&](IoContext &io) {
                client.beforeRead = [&](Yield yield) { beforeRead(io, ++reads, yield); };
                return caller;
            },
            client);
        return caller;
    }

    static std::string withCarriageReturns(const std::string &text)
    {
        std::string converted;
        for (const char c : text)
            converted += c == '\n' ? std::string("\r\n") : std::string(1, c);
        return converted;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);
