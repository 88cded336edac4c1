// Tests of requests that need admission: streams of services whose objective is too short to wait
// in an upstream's queue.

#include "ramphinge/dispatch/internal/dispatch_fixture.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace ramphinge::dispatch_fixture;

namespace {

constexpr Duration step = std::chrono::milliseconds(20);

// A daemon whose service is latency-sensitive and ranks its streams, with two replicas of 8 slots.
class AdmittingHarness : public DispatchHarness
{
public:
    AdmittingHarness()
    {
        state.shortObjective = std::chrono::milliseconds(500);
        state.catalog = std::make_shared<const ServiceCatalog>(contentWithRankedStreams());
    }

    // Reports that other daemons have filled all slots and more, and uses up this daemon's tokens.
    void fillTargets()
    {
        state.targets.setOthersLoad({ { HostId("c1"), 30, 0 }, { HostId("c2"), 30, 0 } },
                                    clock.now());
        ModelRoom room;
        room.slots = 16;
        room.inFlight = 60;
        room.othersKnown = true;
        room.reportedAt = clock.now();
        admission().setRoom(room, clock.now());
        AdmissionRequest filler;
        filler.startBy = filler.leavesAt = filler.deadline = MonotonicTime::max();
        do {
            filler.ticket = state.nextAdmissionTicket();
        } while (admission().offer(filler, clock.now()).outcome == AdmissionOutcome::Admitted);
        admission().remove(filler.ticket);
        state.noteDaemons(2);
    }

    ModelAdmission &admission() { return state.admissionOf(chat, model); }

    double counted(const char *outcome) const
    {
        return metrics.value(
            MetricName("admission_total").with("model", "m").with("outcome", outcome));
    }

    // Serves a request while the clock runs. `onStep` is called after each step.
    void serveWhileTimePasses(RecordedExchange &exchange, const std::function<void()> &onStep = {})
    {
        IoContext io(1);
        bool ended = false;
        spawnCoroutine(io, [&](Yield yield) {
            for (int i = 0; i < 1000 && !ended; ++i) {
                clock.advance(step);
                if (onStep)
                    onStep();
                sleepFor(io, std::chrono::milliseconds(1), yield);
            }
        });
        runCoroutine(io, [&](Yield yield) {
            Dispatcher dispatcher(io, clock, dispatchOptions, codec, upstreams, probe, trials,
                                  state, log, metrics);
            dispatcher.handle(exchange, yield);
            ended = true;
        });
    }
};

RecordedExchange chatRequest()
{
    return RecordedExchange({ "POST", "/chat/x", {}, "body" });
}

} // namespace

class AdmittedRequestTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmittedRequestTest);
    CPPUNIT_TEST(requestPassesWhileSlotsAreFree);
    CPPUNIT_TEST(requestIsRefusedWhileOthersFillAllSlots);
    CPPUNIT_TEST(callerThatLeavesEndsItsWait);
    CPPUNIT_TEST(otherServicesNeedNoAdmission);
    CPPUNIT_TEST_SUITE_END();

public:
    void requestPassesWhileSlotsAreFree()
    {
        AdmittingHarness harness;
        harness.client.expect(firstServer, answer(200, { event(1) }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/chat/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(1.0, harness.counted("admitted"));
        CPPUNIT_ASSERT_EQUAL(0.0, harness.counted("waited"));
    }

    // Sent anyway, it would wait in a replica's queue and delay those behind it.
    void requestIsRefusedWhileOthersFillAllSlots()
    {
        AdmittingHarness harness;
        harness.fillTargets();
        RecordedExchange exchange = chatRequest();
        harness.serveWhileTimePasses(exchange);
        const int overloaded =
            refusalResponse(RefusalReason::Overloaded, ExecutionRecord().guarantee(), {}).status;
        CPPUNIT_ASSERT_EQUAL(overloaded, exchange.response.status);
        CPPUNIT_ASSERT(exchange.response.headers.find("retry-after"));
        CPPUNIT_ASSERT_EQUAL(1.0, harness.counted("refused"));
        CPPUNIT_ASSERT_EQUAL(0, harness.admission().waiting());
    }

    // A place that is kept for a caller that has left would be given a token that nobody uses.
    void callerThatLeavesEndsItsWait()
    {
        AdmittingHarness harness;
        harness.fillTargets();
        RecordedExchange exchange = chatRequest();
        bool hasWaited = false;
        harness.serveWhileTimePasses(exchange, [&] {
            hasWaited = hasWaited || harness.admission().waiting() == 1;
            if (hasWaited)
                exchange.leave();
        });
        CPPUNIT_ASSERT(hasWaited);
        CPPUNIT_ASSERT_EQUAL(0, harness.admission().waiting());
        CPPUNIT_ASSERT_EQUAL(0.0, harness.counted("refused"));
    }

    void otherServicesNeedNoAdmission()
    {
        AdmittingHarness withoutShortObjective;
        withoutShortObjective.state.shortObjective = {};
        expectNoAdmission(withoutShortObjective);
        AdmittingHarness withoutRanks;
        withoutRanks.state.catalog = std::make_shared<const ServiceCatalog>(content());
        expectNoAdmission(withoutRanks);
    }

private:
    static void expectNoAdmission(AdmittingHarness &harness)
    {
        harness.fillTargets();
        harness.client.expect(firstServer, answer(200, { event(1) }));
        CPPUNIT_ASSERT_EQUAL(200, harness.serve("/chat/x")->response.status);
        CPPUNIT_ASSERT_EQUAL(0.0, harness.counted("admitted"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmittedRequestTest);
