// Tests of the time line's order and bounds, and of the metrics' text.

#include <array>
#include <csignal>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include "ramphinge/base/process_marks.h"
#include "ramphinge/observe/crash_report.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/log.h"
#include "ramphinge/observe/metrics.h"
#include "ramphinge/observe/timeline.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

// A process that waits for so long instead of ending is ended by another signal than that of its
// fault.
constexpr unsigned int longestWaitSeconds = 20;

// Of a page: what a pipe that is ready takes without waiting.
constexpr std::size_t pageBytes = 4096;

// Standard output and standard error are one pipe from now on, which nobody reads.
std::array<int, 2> replaceOutputs()
{
    std::array<int, 2> ends {};
    if (pipe(ends.data()) != 0)
        _exit(2);
    dup2(ends[1], STDOUT_FILENO);
    dup2(ends[1], STDERR_FILENO);
    return ends;
}

void fill(int output)
{
    const std::array<char, pageBytes> filler {};
    fcntl(output, F_SETFL, O_NONBLOCK);
    while (write(output, filler.data(), filler.size()) > 0) { }
    fcntl(output, F_SETFL, 0);
}

[[noreturn]] void faultWithFullOutputs()
{
    fill(replaceOutputs()[1]);
    installCrashReport(DaemonId("d1"));
    alarm(longestWaitSeconds);
    raise(SIGSEGV);
    _exit(0);
}

// Ends with the count of lines that were left out.
[[noreturn]] void logLongLines()
{
    const std::array<int, 2> ends = replaceOutputs();
    initializeLogging("info", DaemonId("d1"));
    alarm(longestWaitSeconds);
    const nlohmann::json fields { { "request", std::string(2 * pageBytes, 'x') } };
    logWarning("test", "written, as the pipe is empty", fields);
    fill(ends[1]);
    std::array<char, pageBytes> taken {};
    if (read(ends[0], taken.data(), taken.size()) != static_cast<ssize_t>(taken.size()))
        _exit(2);
    logWarning("test", "longer than the page that is free", fields);
    _exit(static_cast<int>(droppedLogLines()));
}

// How a process ended that does this.
int statusOfProcess(void (*body)())
{
    const pid_t child = fork();
    if (child == 0)
        body();
    int status = 0;
    CPPUNIT_ASSERT_EQUAL(child, waitpid(child, &status, 0));
    return status;
}

} // namespace

class ObserveTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ObserveTest);
    CPPUNIT_TEST(hybridTimeOrdersMessagesAcrossSkewedClocks);
    CPPUNIT_TEST(farAheadClocksAreNotFollowed);
    CPPUNIT_TEST(timelineIsBoundedAndFilters);
    CPPUNIT_TEST(quantilesComeOutNearTheTruth);
    CPPUNIT_TEST(labelsAreEscaped);
    CPPUNIT_TEST(decisionLogIsBoundedByKind);
    CPPUNIT_TEST(lastDecisionIsMarkedAlsoIfItsLineIsLeftOut);
    CPPUNIT_TEST(crashIsToldInJsonWhateverItsTextsHold);
    CPPUNIT_TEST(crashLineIsCutOffAtItsBuffer);
    CPPUNIT_TEST(crashEndsTheProcessThoughNobodyReadsItsOutputs);
    CPPUNIT_TEST(longLineDoesNotWaitForTheLogsReader);
    CPPUNIT_TEST_SUITE_END();

public:
    void decisionLogIsBoundedByKind()
    {
        ManualClock clock;
        DecisionLog log(clock, { 10, 20 });
        for (int i = 0; i < 100; ++i) {
            log.write("served", LogWeight::Routine, {});
            log.write("failed", LogWeight::Failure, {});
            log.write("believed", LogWeight::Belief, {});
        }
        CPPUNIT_ASSERT_EQUAL(std::int64_t(90), log.leftOut("served"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(80), log.leftOut("failed"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), log.leftOut("believed"));
        log.reportLeftOut();
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), log.leftOut("served"));
        clock.advance(std::chrono::seconds(1));
        log.write("served", LogWeight::Routine, {});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), log.leftOut("served"));
    }

    void lastDecisionIsMarkedAlsoIfItsLineIsLeftOut()
    {
        ManualClock clock;
        DecisionLog log(clock, { 1, 1 });
        log.write("served", LogWeight::Routine, {});
        log.write("chosen", LogWeight::Routine, {});
        log.write("chosen", LogWeight::Routine, {});
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), log.leftOut("chosen"));
        CPPUNIT_ASSERT_EQUAL(std::string("chosen"),
                             std::string(processMarks().lastDecision.load()));
    }

    void crashIsToldInJsonWhateverItsTextsHold()
    {
        CrashFacts facts;
        facts.daemon = "d\"1\n";
        facts.unixMilliseconds = 1'796'254'644'263;
        facts.signal = 11;
        facts.code = -6;
        facts.address = 0xffff'ffff'ffff'ffff;
        facts.openRequests = 2;
        facts.lastDecision = "stream_left";
        std::array<char, 1024> buffer {};
        const std::size_t length = formatCrashLine(facts, buffer.data(), buffer.size());
        const auto line = nlohmann::json::parse(std::string(buffer.data(), length));
        CPPUNIT_ASSERT_EQUAL(std::string("d?1?"), line.at("daemon").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(facts.unixMilliseconds, line.at("ms").get<std::int64_t>());
        CPPUNIT_ASSERT_EQUAL(-6, line.at("code").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("0xffffffffffffffff"),
                             line.at("address").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(2, line.at("open_requests").get<int>());
        CPPUNIT_ASSERT_EQUAL(std::string("stream_left"),
                             line.at("last_decision").get<std::string>());

        const std::array<std::uintptr_t, 2> frames { 0x10, 0x2f };
        const std::size_t second =
            formatCrashFrames("d1", frames.data(), frames.size(), buffer.data(), buffer.size());
        const auto told = nlohmann::json::parse(std::string(buffer.data(), second));
        CPPUNIT_ASSERT_EQUAL(std::string("0x2f"), told.at("frames").at(1).get<std::string>());
    }

    void crashLineIsCutOffAtItsBuffer()
    {
        std::array<char, 16> buffer {};
        buffer.back() = '!';
        CPPUNIT_ASSERT_EQUAL(std::size_t(15), formatCrashLine({}, buffer.data(), 15));
        CPPUNIT_ASSERT_EQUAL('!', buffer.back());
    }

    // What users would see: a daemon that has crashed stays, with its port open and its callers
    // waiting. The order of events: its log and its standard error are one pipe, whose reader has
    // stopped; it is full; a fatal signal comes; the report waits for room. The cause: only the log
    // was asked for room before it was written to. The evidence: the process was ended by the alarm
    // here, not by its fault.
    void crashEndsTheProcessThoughNobodyReadsItsOutputs()
    {
        const int status = statusOfProcess(faultWithFullOutputs);
        CPPUNIT_ASSERT(WIFSIGNALED(status));
        CPPUNIT_ASSERT_EQUAL(SIGSEGV, WTERMSIG(status));
    }

    // What users would see: a daemon answers nobody any more, with no sign of a fault. The order of
    // events: the log's reader falls behind, until one page of the pipe is free; a line comes that
    // is longer, as with a request's id of several kilobytes; the event loop waits in its write.
    // The cause: a pipe that is ready was taken to hold any line. The evidence: the process that
    // logs was ended by the alarm here.
    void longLineDoesNotWaitForTheLogsReader()
    {
        const int status = statusOfProcess(logLongLines);
        CPPUNIT_ASSERT(WIFEXITED(status));
        CPPUNIT_ASSERT_EQUAL(1, WEXITSTATUS(status));
    }

    void hybridTimeOrdersMessagesAcrossSkewedClocks()
    {
        ManualClock ahead;
        ManualClock behind;
        ahead.advance(std::chrono::seconds(2));
        HybridClock a(ahead);
        HybridClock b(behind);
        const HybridTime sent = a.tick();
        b.merge(sent);
        CPPUNIT_ASSERT(sent < b.tick());
    }

    void farAheadClocksAreNotFollowed()
    {
        ManualClock clock;
        HybridClock own(clock);
        const HybridTime before = own.tick();
        own.merge({ before.wallMilliseconds + 60'000, 0 });
        CPPUNIT_ASSERT_EQUAL(before.wallMilliseconds, own.tick().wallMilliseconds);
    }

    void timelineIsBoundedAndFilters()
    {
        ManualClock clock;
        Timeline timeline(DaemonId("d"), clock, "", 10);
        for (int i = 0; i < 30; ++i) {
            TimelineEvent event;
            event.kind = EventKind::RequestSent;
            event.request = RequestId("r" + std::to_string(i));
            timeline.record(event);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 10 }, timeline.events({}).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, timeline.events({ "r25", 0, 100 }).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, timeline.events({ "", 28, 100 }).size());
    }

    void quantilesComeOutNearTheTruth()
    {
        ManualClock clock;
        LatencySeries series;
        for (int i = 1; i <= 1000; ++i)
            series.add(std::chrono::milliseconds(1 + (i * 7) % 1000), clock.now());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, series.summary().p50, 25);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(990, series.summary().p99, 15);
    }

    void labelsAreEscaped()
    {
        Metrics metrics;
        metrics.count(MetricName("x").with("a", "q\"").with("b", "c"));
        CPPUNIT_ASSERT_EQUAL(std::string("ramphinge_x{a=\"q\\\"\",b=\"c\"} 1\n"), metrics.toText());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ObserveTest);
