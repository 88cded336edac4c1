// Tests of admission by servers' statements: backoffs, how daemons resume after them, and announced
// shutdowns.

#include "ramphinge/limits/server_gate.h"

#include <algorithm>

#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const HostId host("h");
constexpr Duration tick = std::chrono::milliseconds(4);

MonotonicTime at(double seconds)
{
    return MonotonicTime(scaled(std::chrono::seconds(1), 100 + seconds));
}

Duration span(double seconds)
{
    return scaled(std::chrono::seconds(1), seconds);
}

// Requests that a server gets after a backoff that it asked of many daemons at the same time, if
// each of them always has a request to send.
struct ResumeLoad
{
    int mostIn100Ms = 0; // Most requests in any 100 ms.
    Duration resumeTime {}; // From the end of the backoff until the last probe is answered.
};

ResumeLoad simulateResume(std::size_t daemons, Duration answerDelay)
{
    std::vector<ServerBackoffs> all(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
        all[i].setDaemons(DaemonId("d" + std::to_string(i)), daemons);
        all[i].noteRefusal(host, span(3), at(0));
    }
    ResumeLoad result;
    std::vector<MonotonicTime> arrivals;
    std::vector<std::optional<MonotonicTime>> probes(daemons);
    for (MonotonicTime now = at(0); now < at(8); now += tick) {
        for (std::size_t i = 0; i < daemons; ++i) {
            if (probes[i] && now - *probes[i] == answerDelay) {
                result.resumeTime = now - at(3);
                CPPUNIT_ASSERT(all[i].noteAnswer(host, *probes[i]) == BackoffChange::Ended);
            }
            const bool hasResumed = probes[i] && now - *probes[i] >= answerDelay;
            if (hasResumed || !all[i].admits(host, now))
                continue;
            CPPUNIT_ASSERT(now >= at(3));
            CPPUNIT_ASSERT(!probes[i]);
            all[i].recordSend(host, now);
            probes[i] = now;
            arrivals.push_back(now);
        }
    }
    CPPUNIT_ASSERT_EQUAL(daemons, arrivals.size());
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= span(0.1))
            ++first;
        result.mostIn100Ms = std::max(result.mostIn100Ms, static_cast<int>(last - first + 1));
    }
    return result;
}

class ServerGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerGateTest);
    CPPUNIT_TEST(nothingIsAdmittedUntilTheBackoffEnds);
    CPPUNIT_TEST(shorterBackoffDoesNotEndALongerOne);
    CPPUNIT_TEST(answerToAnEarlierRequestDoesNotEndTheBackoff);
    CPPUNIT_TEST(oneProbeIsSentAfterTheEnd);
    CPPUNIT_TEST(refusedProbeBeginsAnotherBackoff);
    CPPUNIT_TEST(unansweredProbeIsRepeated);
    CPPUNIT_TEST(backoffAppliesToOneIncarnation);
    CPPUNIT_TEST(backoffSurvivesALapsedRegistration);
    CPPUNIT_TEST(daemonsResumeAtSpreadTimes);
    CPPUNIT_TEST(gateReportsWhatAnAnswerChanged);
    CPPUNIT_TEST(unreadableBackoffDoesNotEndTheOneBefore);
    CPPUNIT_TEST(leavingServerGetsOrdersAndNoRequests);
    CPPUNIT_TEST(nothingIsWrittenToAServerThatLeftTheView);
    CPPUNIT_TEST(departureIsBroadcastThreeTimes);
    CPPUNIT_TEST(departureSurvivesALapsedRegistration);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsAdmittedUntilTheBackoffEnds()
    {
        ServerBackoffs backoffs;
        CPPUNIT_ASSERT(backoffs.admits(host, at(0)));
        CPPUNIT_ASSERT(backoffs.noteRefusal(host, span(3), at(0)) == BackoffChange::Asked);
        for (const double seconds : { 0.0, 0.5, 2.999 }) {
            CPPUNIT_ASSERT(!backoffs.admits(host, at(seconds)));
            CPPUNIT_ASSERT(backoffs.isBackingOff(host, at(seconds)));
        }
        CPPUNIT_ASSERT(!backoffs.isBackingOff(host, at(3)));
        CPPUNIT_ASSERT(backoffs.admits(host, at(3.1)));
        CPPUNIT_ASSERT(backoffs.resumesAt(host, at(1)).value() >= at(3));
    }

    void shorterBackoffDoesNotEndALongerOne()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        CPPUNIT_ASSERT(backoffs.noteRefusal(host, span(0.5), at(0.1)) == BackoffChange::None);
        CPPUNIT_ASSERT(!backoffs.admits(host, at(2.9)));
        CPPUNIT_ASSERT(backoffs.noteRefusal(host, span(5), at(0.2)) == BackoffChange::Extended);
        CPPUNIT_ASSERT(!backoffs.admits(host, at(5.1)));
    }

    void answerToAnEarlierRequestDoesNotEndTheBackoff()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        CPPUNIT_ASSERT(backoffs.noteAnswer(host, at(-1)) == BackoffChange::None);
        CPPUNIT_ASSERT(!backoffs.admits(host, at(1)));
        CPPUNIT_ASSERT(backoffs.noteAnswer(host, at(3.1)) == BackoffChange::Ended);
        CPPUNIT_ASSERT(backoffs.states(at(3.2)).empty());
    }

    void oneProbeIsSentAfterTheEnd()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        backoffs.recordSend(host, at(3.1));
        CPPUNIT_ASSERT(!backoffs.admits(host, at(3.2)));
        backoffs.noteAnswer(host, at(3.1));
        CPPUNIT_ASSERT(backoffs.admits(host, at(3.2)));
    }

    void refusedProbeBeginsAnotherBackoff()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        backoffs.recordSend(host, at(3.1));
        CPPUNIT_ASSERT(backoffs.noteRefusal(host, span(1), at(3.2)) == BackoffChange::Asked);
        CPPUNIT_ASSERT(!backoffs.admits(host, at(4.1)));
        CPPUNIT_ASSERT(backoffs.admits(host, at(4.3)));
    }

    void unansweredProbeIsRepeated()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        backoffs.recordSend(host, at(3.1));
        CPPUNIT_ASSERT(backoffs.admits(host, at(4.2)));
        backoffs.recordSend(host, at(4.2));
        CPPUNIT_ASSERT(!backoffs.admits(host, at(4.3)));
    }

    void backoffAppliesToOneIncarnation()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(HostId("h@1"), span(1e8), at(0));
        CPPUNIT_ASSERT(backoffs.admits(HostId("h@2"), at(1)));
        CPPUNIT_ASSERT(!backoffs.admits(HostId("h@1"), at(1e6)));
    }

    void backoffSurvivesALapsedRegistration()
    {
        ServerBackoffs backoffs;
        const auto isAbsent = [](const HostId &) { return false; };
        const auto isPresent = [](const HostId &) { return true; };
        backoffs.noteRefusal(host, span(1e8), at(0));
        backoffs.forgetOld(isAbsent, at(1));
        backoffs.forgetOld(isAbsent, at(100));
        backoffs.forgetOld(isPresent, at(500));
        backoffs.forgetOld(isAbsent, at(900));
        CPPUNIT_ASSERT(!backoffs.admits(host, at(901)));
        backoffs.forgetOld(isAbsent, at(1600));
        CPPUNIT_ASSERT(backoffs.admits(host, at(1600)));
        backoffs.noteRefusal(host, span(1), at(2000));
        backoffs.forgetOld(isPresent, at(2040));
        CPPUNIT_ASSERT(backoffs.states(at(2040)).empty());
    }

    // Guards against a burst of requests when many daemons resume after the same backoff. Delays
    // spread over 10 ms per daemon, so ten requests are due in 100 ms on average.
    void daemonsResumeAtSpreadTimes()
    {
        for (const std::size_t daemons : { 1, 6, 71, 200 }) {
            const ResumeLoad load = simulateResume(daemons, std::chrono::milliseconds(40));
            const std::string what = std::to_string(daemons)
                + " daemons, most in 0.1 s: " + std::to_string(load.mostIn100Ms);
            CPPUNIT_ASSERT_MESSAGE(what, load.mostIn100Ms <= 3 * 10);
            CPPUNIT_ASSERT(load.resumeTime <= std::chrono::milliseconds(10 * daemons + 50));
        }
        CPPUNIT_ASSERT(simulateResume(420, std::chrono::milliseconds(40)).mostIn100Ms <= 3 * 21);
    }

    void gateReportsWhatAnAnswerChanged()
    {
        ServerGate gate;
        ServerStatement refusal;
        refusal.isAuthentic = true;
        refusal.backoff = span(3);
        ServerStatement plain;
        plain.isAuthentic = true;
        const ServerLocation server { host, ZoneId("z") };
        const auto note = [&](const ServerStatement &statement, double sent, double now) {
            return gate.noteAnswer(server, statement, at(sent), at(now)).backoff;
        };
        CPPUNIT_ASSERT(note(refusal, 0, 0.1) == BackoffChange::Asked);
        CPPUNIT_ASSERT(note(refusal, 0, 0.1) == BackoffChange::None);
        CPPUNIT_ASSERT(note(plain, 0, 0.2) == BackoffChange::None);
        CPPUNIT_ASSERT(!gate.admits(host, at(1))
                       && !gate.mayWrite(host, SendPurpose::Control, at(1)));
        CPPUNIT_ASSERT(gate.mayWrite(host, SendPurpose::Request, at(3.2)));
        CPPUNIT_ASSERT(note(plain, 3.2, 3.3) == BackoffChange::Ended);
        refusal.backoff = Duration::zero();
        CPPUNIT_ASSERT(note(refusal, 4, 4.1) == BackoffChange::None);
        CPPUNIT_ASSERT(gate.admits(host, at(4.2)));
    }

    void unreadableBackoffDoesNotEndTheOneBefore()
    {
        ServerGate gate;
        ServerStatement refusal;
        refusal.isAuthentic = true;
        refusal.backoff = span(3);
        const ServerLocation server { host, ZoneId("z") };
        gate.noteAnswer(server, refusal, at(0), at(0.1));
        refusal.backoff.reset();
        refusal.unreadable.insert(StatementField::Backoff);
        // The answer to the probe.
        const StatementChanges changes = gate.noteAnswer(server, refusal, at(3.2), at(3.3));
        CPPUNIT_ASSERT(changes.backoff == BackoffChange::None);
        CPPUNIT_ASSERT(!gate.backoffs().states(at(3.3)).empty());
    }

    void leavingServerGetsOrdersAndNoRequests()
    {
        ServerGate gate;
        ServerStatement leaving;
        leaving.isLeaving = true;
        CPPUNIT_ASSERT(gate.noteAnswer({ host, ZoneId("z") }, leaving, at(0), at(0)).isLeaving);
        CPPUNIT_ASSERT(!gate.noteAnswer({ host, ZoneId("z") }, leaving, at(0), at(0)).isLeaving);
        CPPUNIT_ASSERT(!gate.noteAnswer({ host, ZoneId("z") }, {}, at(1), at(1)).isLeaving);
        CPPUNIT_ASSERT(!gate.admits(host, at(100)));
        CPPUNIT_ASSERT(!gate.mayWrite(host, SendPurpose::Request, at(100)));
        CPPUNIT_ASSERT(gate.mayWrite(host, SendPurpose::Control, at(100)));
        CPPUNIT_ASSERT(gate.admits(HostId("h@2"), at(100))); // Another incarnation.
    }

    // A server was chosen, and its entry said that it leaves before the connection was established:
    // the request reached it after the time by which it must get no more.
    void nothingIsWrittenToAServerThatLeftTheView()
    {
        ServerGate gate;
        bool isServing = true;
        gate.setServingCheck([&isServing](const HostId &) { return isServing; });
        CPPUNIT_ASSERT(gate.mayWrite(host, SendPurpose::Request, at(0)));
        isServing = false;
        CPPUNIT_ASSERT(!gate.mayWrite(host, SendPurpose::Request, at(0)));
        CPPUNIT_ASSERT(gate.mayWrite(host, SendPurpose::Control, at(0)));
    }

    void departureIsBroadcastThreeTimes()
    {
        ServerGate gate;
        CPPUNIT_ASSERT(gate.noteLeaving(host));
        CPPUNIT_ASSERT(!gate.noteLeaving(host));
        for (int broadcast = 0; broadcast < 3; ++broadcast)
            CPPUNIT_ASSERT(gate.takeUpdate(at(0)).leaving == std::vector<HostId> { host });
        CPPUNIT_ASSERT(gate.takeUpdate(at(0)).empty());
    }

    void departureSurvivesALapsedRegistration()
    {
        ServerDepartures departures;
        const auto isAbsent = [](const HostId &) { return false; };
        const auto isPresent = [](const HostId &) { return true; };
        departures.note(host);
        departures.forgetOld(isAbsent, at(0));
        departures.forgetOld(isPresent, at(500));
        departures.forgetOld(isAbsent, at(900));
        CPPUNIT_ASSERT(departures.isLeaving(host));
        departures.forgetOld(isAbsent, at(1600));
        CPPUNIT_ASSERT(!departures.isLeaving(host));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerGateTest);

} // namespace
