// Tests of the history judgements: each must reject a planted bad history and accept the good one
// that it was made from.

#include "ramphinge/testing/cppunit_main.h"
#include "testing/history.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

Json order(const std::string &host, const std::string &replica, int epoch, int at)
{
    return { { "event", "order" },
             { "host", host },
             { "replica", replica },
             { "epoch", epoch },
             { "at_us", at } };
}

Json run(const std::string &replica, int epoch, int at, const std::string &key = "",
         const std::string &request = "r")
{
    return { { "event", "start" }, { "replica", replica }, { "epoch", epoch },
             { "at_us", at },      { "key", key },         { "request", request } };
}

Json attempt(const std::string &verdict, int atMs, const std::string &key = "",
             const std::string &request = "r")
{
    return { { "verdict", verdict }, { "at_ms", atMs }, { "key", key }, { "request", request } };
}

Json event(const std::string &daemon, const std::string &kind, int ms,
           const std::string &detail = "")
{
    return { { "daemon", daemon }, { "event", kind }, { "ms", ms }, { "detail", detail } };
}

Json fault(const std::string &kind, const std::string &target, int at)
{
    return { { "kind", kind }, { "target", target }, { "at_us", at } };
}

History goodHistory()
{
    History history;
    history.executions = { order("h0", "R", 1, 0), order("h1", "R", 1, 1),
                           run("R", 1, 10'000, "k1", "r1"), run("R", 1, 20'000, "k2", "r2") };
    history.tries = { attempt("whole", 30, "k1", "r1"), attempt("not_run", 5, "k3", "r3") };
    history.events = { event("d1", "started", 0),
                       event("d1", "change_in_force", 10, "version 1"),
                       event("d2", "started", 0),
                       event("d2", "change_in_force", 12, "version 1"),
                       event("d1", "change_in_force", 100, "version 2"),
                       event("d2", "change_in_force", 4000, "version 2"),
                       event("d2", "request_sent", 9000) };
    history.faults = { fault("kill", "h1", 500'000) };
    return history;
}

bool holds(const Judgement &judgement)
{
    CPPUNIT_ASSERT(judgement.cases > 0);
    return judgement.violations.empty();
}

} // namespace

class HistoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HistoryTest);
    CPPUNIT_TEST(goodHistoryPasses);
    CPPUNIT_TEST(secondRunOfAKeyIsFound);
    CPPUNIT_TEST(falseNotRunIsFound);
    CPPUNIT_TEST(wrongAnswerIsFound);
    CPPUNIT_TEST(strayHostIsFound);
    CPPUNIT_TEST(runThatNobodyWaitsForServesNobody);
    CPPUNIT_TEST(requestToADeadReplicaIsFound);
    CPPUNIT_TEST(requestToALeavingHostIsFound);
    CPPUNIT_TEST(revertedConfigurationIsFound);
    CPPUNIT_TEST(lateConfigurationIsFound);
    CPPUNIT_TEST(lostAnswerIsFound);
    CPPUNIT_TEST_SUITE_END();

public:
    void goodHistoryPasses()
    {
        const History history = goodHistory();
        CPPUNIT_ASSERT(holds(judgeAtMostOnce(history)));
        CPPUNIT_ASSERT(holds(judgeNotRun(history)));
        CPPUNIT_ASSERT(holds(judgeAnswers(history)));
        CPPUNIT_ASSERT(holds(judgeHostsInOneReplica(history)));
        CPPUNIT_ASSERT(holds(judgeMissingHosts(history, {})));
        CPPUNIT_ASSERT(holds(judgeConfiguration(history, {})));
        CPPUNIT_ASSERT(holds(judgeNothingLost(history)));
    }

    void secondRunOfAKeyIsFound()
    {
        History history = goodHistory();
        history.executions.push_back(run("R", 1, 30'000, "k1", "r9"));
        CPPUNIT_ASSERT(!holds(judgeAtMostOnce(history)));
    }

    void falseNotRunIsFound()
    {
        History history = goodHistory();
        history.tries.push_back(attempt("not_run", 50, "", "r1"));
        CPPUNIT_ASSERT(!holds(judgeNotRun(history)));
        history = goodHistory();
        history.tries.push_back(attempt("not_run", 50, "k2", "r8"));
        CPPUNIT_ASSERT(!holds(judgeNotRun(history)));
        // Before it ran, it was right to say so.
        history = goodHistory();
        history.tries.push_back(attempt("not_run", 15, "k2", "r8"));
        CPPUNIT_ASSERT(holds(judgeNotRun(history)));
    }

    void wrongAnswerIsFound()
    {
        History history = goodHistory();
        history.tries.push_back(attempt("wrong", 50));
        CPPUNIT_ASSERT(!holds(judgeAnswers(history)));
    }

    void strayHostIsFound()
    {
        History history = goodHistory();
        history.executions.insert(history.executions.begin() + 3, order("h1", "Q", 2, 15'000));
        CPPUNIT_ASSERT(!holds(judgeHostsInOneReplica(history)));
    }

    void runThatNobodyWaitsForServesNobody()
    {
        History history = goodHistory();
        history.executions.insert(history.executions.begin() + 3, order("h1", "Q", 2, 15'000));
        Json late = run("R", 1, 20'000, "k2", "r2");
        late["attempt"] = "1";
        history.executions.back() = late;
        Json retried = event("d1", "request_retried", 19);
        retried["request"] = "r2";
        retried["attempt"] = 1;
        history.events.push_back(retried);
        CPPUNIT_ASSERT(holds(judgeHostsInOneReplica(history)));
        // Another attempt's end, or a later one, excuses nothing.
        history.events.back()["attempt"] = 2;
        CPPUNIT_ASSERT(!holds(judgeHostsInOneReplica(history)));
        history.events.back()["attempt"] = 1;
        history.events.back()["ms"] = 20;
        CPPUNIT_ASSERT(!holds(judgeHostsInOneReplica(history)));
    }

    void requestToADeadReplicaIsFound()
    {
        History history = goodHistory();
        history.executions.push_back(run("R", 1, 1'400'000));
        CPPUNIT_ASSERT(holds(judgeMissingHosts(history, {})));
        history.executions.push_back(run("R", 1, 1'600'000));
        CPPUNIT_ASSERT(!holds(judgeMissingHosts(history, {})));
        history.faults.push_back(fault("start", "h1", 1'550'000));
        CPPUNIT_ASSERT(holds(judgeMissingHosts(history, {})));
    }

    void requestToALeavingHostIsFound()
    {
        History history = goodHistory();
        history.faults = { fault("leave", "h0", 500'000) };
        history.executions.push_back(run("R", 1, 2'900'000));
        CPPUNIT_ASSERT(holds(judgeMissingHosts(history, {})));
        history.executions.push_back(run("R", 1, 3'100'000));
        CPPUNIT_ASSERT(!holds(judgeMissingHosts(history, {})));
    }

    void revertedConfigurationIsFound()
    {
        History history = goodHistory();
        history.events.push_back(event("d1", "change_in_force", 200, "version 1"));
        CPPUNIT_ASSERT(!holds(judgeConfiguration(history, {})));
    }

    void lateConfigurationIsFound()
    {
        History history = goodHistory();
        history.events.erase(history.events.begin() + 5); // d2 never got version 2.
        CPPUNIT_ASSERT(!holds(judgeConfiguration(history, {})));
        history.events.pop_back(); // But then it sent nothing either.
        CPPUNIT_ASSERT(holds(judgeConfiguration(history, {})));
    }

    void lostAnswerIsFound()
    {
        History history = goodHistory();
        history.tries.push_back(attempt("lost", 50));
        CPPUNIT_ASSERT(!holds(judgeNothingLost(history)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryTest);
