// Tests of what servers say of themselves: backoffs and the daemons' return from them, departures.

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

// What reaches a server at the end of a backoff that many daemons were asked for at one moment,
// while each of them has a request at all times.
struct Return
{
    int mostInTenth = 0; // Of a second.
    Duration complete {}; // Until all daemons take the server for any other.
};

Return playReturn(std::size_t daemons, Duration answerTakes)
{
    std::vector<ServerBackoffs> all(daemons);
    for (std::size_t i = 0; i < daemons; ++i) {
        all[i].setDaemons(DaemonId("d" + std::to_string(i)), daemons);
        all[i].noteRefusal(host, span(3), at(0));
    }
    Return result;
    std::vector<MonotonicTime> arrivals;
    std::vector<std::optional<MonotonicTime>> trials(daemons);
    for (MonotonicTime now = at(0); now < at(8); now += tick) {
        for (std::size_t i = 0; i < daemons; ++i) {
            if (trials[i] && now - *trials[i] == answerTakes) {
                result.complete = now - at(3);
                CPPUNIT_ASSERT(all[i].noteAnswer(host, *trials[i]) == BackoffChange::Ended);
            }
            const bool hasReturned = trials[i] && now - *trials[i] >= answerTakes;
            if (hasReturned || !all[i].admits(host, now))
                continue;
            CPPUNIT_ASSERT(now >= at(3));
            CPPUNIT_ASSERT(!trials[i]);
            all[i].take(host, now);
            trials[i] = now;
            arrivals.push_back(now);
        }
    }
    CPPUNIT_ASSERT_EQUAL(daemons, arrivals.size());
    for (std::size_t first = 0, last = 0; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= span(0.1))
            ++first;
        result.mostInTenth = std::max(result.mostInTenth, static_cast<int>(last - first + 1));
    }
    return result;
}

class ServerGateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerGateTest);
    CPPUNIT_TEST(nothingIsAdmittedUntilTheEnd);
    CPPUNIT_TEST(shorterBackoffDoesNotEndALongerOne);
    CPPUNIT_TEST(answerToAnEarlierRequestEndsNothing);
    CPPUNIT_TEST(oneTrialIsSentAfterTheEnd);
    CPPUNIT_TEST(trialThatIsTurnedAwayBeginsAnotherBackoff);
    CPPUNIT_TEST(trialWithoutAnAnswerIsRepeated);
    CPPUNIT_TEST(otherLifeOfTheServerAskedForNothing);
    CPPUNIT_TEST(backoffOutlivesALapsedEntry);
    CPPUNIT_TEST(daemonsReturnOneAfterTheOther);
    CPPUNIT_TEST(gateTellsWhatAnAnswerChanged);
    CPPUNIT_TEST(serverThatLeavesGetsOrdersAndNoRequests);
    CPPUNIT_TEST(departureIsToldAFewTimes);
    CPPUNIT_TEST(departureOutlivesALapsedEntry);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingIsAdmittedUntilTheEnd()
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
        CPPUNIT_ASSERT(backoffs.returnsAt(host, at(1)).value() >= at(3));
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

    void answerToAnEarlierRequestEndsNothing()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        CPPUNIT_ASSERT(backoffs.noteAnswer(host, at(-1)) == BackoffChange::None);
        CPPUNIT_ASSERT(!backoffs.admits(host, at(1)));
        CPPUNIT_ASSERT(backoffs.noteAnswer(host, at(3.1)) == BackoffChange::Ended);
        CPPUNIT_ASSERT(backoffs.states(at(3.2)).empty());
    }

    void oneTrialIsSentAfterTheEnd()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        backoffs.take(host, at(3.1));
        CPPUNIT_ASSERT(!backoffs.admits(host, at(3.2)));
        backoffs.noteAnswer(host, at(3.1));
        CPPUNIT_ASSERT(backoffs.admits(host, at(3.2)));
    }

    void trialThatIsTurnedAwayBeginsAnotherBackoff()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        backoffs.take(host, at(3.1));
        CPPUNIT_ASSERT(backoffs.noteRefusal(host, span(1), at(3.2)) == BackoffChange::Asked);
        CPPUNIT_ASSERT(!backoffs.admits(host, at(4.1)));
        CPPUNIT_ASSERT(backoffs.admits(host, at(4.3)));
    }

    void trialWithoutAnAnswerIsRepeated()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(host, span(3), at(0));
        backoffs.take(host, at(3.1));
        CPPUNIT_ASSERT(backoffs.admits(host, at(4.2)));
        backoffs.take(host, at(4.2));
        CPPUNIT_ASSERT(!backoffs.admits(host, at(4.3)));
    }

    void otherLifeOfTheServerAskedForNothing()
    {
        ServerBackoffs backoffs;
        backoffs.noteRefusal(HostId("h@1"), span(1e8), at(0));
        CPPUNIT_ASSERT(backoffs.admits(HostId("h@2"), at(1)));
        CPPUNIT_ASSERT(!backoffs.admits(HostId("h@1"), at(1e6)));
    }

    void backoffOutlivesALapsedEntry()
    {
        ServerBackoffs backoffs;
        const auto isGone = [](const HostId &) { return false; };
        const auto isThere = [](const HostId &) { return true; };
        backoffs.noteRefusal(host, span(1e8), at(0));
        backoffs.forgetOld(isGone, at(1));
        backoffs.forgetOld(isGone, at(100));
        backoffs.forgetOld(isThere, at(500));
        backoffs.forgetOld(isGone, at(900));
        CPPUNIT_ASSERT(!backoffs.admits(host, at(901)));
        backoffs.forgetOld(isGone, at(1600));
        CPPUNIT_ASSERT(backoffs.admits(host, at(1600)));
        backoffs.noteRefusal(host, span(1), at(2000));
        backoffs.forgetOld(isThere, at(2040));
        CPPUNIT_ASSERT(backoffs.states(at(2040)).empty());
    }

    // Each daemon has 10 ms of its own: in a tenth of a second ten are due on average.
    void daemonsReturnOneAfterTheOther()
    {
        for (const std::size_t daemons : { 1, 6, 71, 200 }) {
            const Return played = playReturn(daemons, std::chrono::milliseconds(40));
            const std::string what = std::to_string(daemons)
                + " daemons, most in 0.1 s: " + std::to_string(played.mostInTenth);
            CPPUNIT_ASSERT_MESSAGE(what, played.mostInTenth <= 3 * 10);
            CPPUNIT_ASSERT(played.complete <= std::chrono::milliseconds(10 * daemons + 50));
        }
        CPPUNIT_ASSERT(playReturn(420, std::chrono::milliseconds(40)).mostInTenth <= 3 * 21);
    }

    void gateTellsWhatAnAnswerChanged()
    {
        ServerGate gate;
        ServerStatement refusal;
        refusal.isAuthentic = true;
        refusal.backoff = span(3);
        ServerStatement plain;
        plain.isAuthentic = true;
        const LimitedServer server { host, ZoneId("z") };
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

    void serverThatLeavesGetsOrdersAndNoRequests()
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
        CPPUNIT_ASSERT(gate.admits(HostId("h@2"), at(100))); // Another life.
    }

    void departureIsToldAFewTimes()
    {
        ServerGate gate;
        CPPUNIT_ASSERT(gate.hearLeaving(host));
        CPPUNIT_ASSERT(!gate.hearLeaving(host));
        for (int telling = 0; telling < 3; ++telling)
            CPPUNIT_ASSERT(gate.takeNews(at(0)).leaving == std::vector<HostId> { host });
        CPPUNIT_ASSERT(gate.takeNews(at(0)).empty());
    }

    void departureOutlivesALapsedEntry()
    {
        ServerDepartures departures;
        const auto isGone = [](const HostId &) { return false; };
        const auto isThere = [](const HostId &) { return true; };
        departures.note(host);
        departures.forgetOld(isGone, at(0));
        departures.forgetOld(isThere, at(500));
        departures.forgetOld(isGone, at(900));
        CPPUNIT_ASSERT(departures.isLeaving(host));
        departures.forgetOld(isGone, at(1600));
        CPPUNIT_ASSERT(!departures.isLeaving(host));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerGateTest);

} // namespace
