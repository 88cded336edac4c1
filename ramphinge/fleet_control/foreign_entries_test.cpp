// Tests with entries that another writer put into the store: one that can't be used costs itself
// alone, whatever it holds.

#include "ramphinge/fleet_control/internal/daemon_fixture.h"
#include "ramphinge/fleet_control/quarantine_sync.h"
#include "ramphinge/fleet_control/relay_slot.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using namespace std::chrono_literals;

namespace {

const char *const planText =
    R"({"epoch":9,"replicas":[{"replica":"r1","model":"m","domain":"d","epoch":4,"phase":"ready",)"
    R"("surplus":false,"hosts":["a","b"]}]})";
class ForeignEntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ForeignEntriesTest);
    CPPUNIT_TEST(extremeTimesOfCrashesAreLimited);
    CPPUNIT_TEST(epochsThatCannotGrowAreErrors);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against overflow where ages are computed.
    void extremeTimesOfCrashesAreLimited()
    {
        for (const char *time :
             { "-9223372036854775808", "9223372036854775807", "18446744073709551615", "-1" }) {
            const Result<CrashReport> report =
                parseCrashReport(std::string(R"({"f":{"lastSeen":)") + time + "}}", 10);
            const WallTime lastSeen = report.value().begin()->second.lastSeen;
            CPPUNIT_ASSERT_MESSAGE(time, toUnixMilliseconds(lastSeen) >= 0);
            const WallTime now = ManualClock().wallNow();
            CPPUNIT_ASSERT_MESSAGE(time, Duration(now - lastSeen) < 100 * 365 * 24h);
            CPPUNIT_ASSERT_MESSAGE(time, Duration(now - lastSeen) > -200 * 365 * 24h);
        }
    }

    // Guards against overflow: each new plan has a greater epoch.
    void epochsThatCannotGrowAreErrors()
    {
        for (const char *epoch : { "9223372036854775807", "18446744073709551615", "1e300", "-1" })
            CPPUNIT_ASSERT_MESSAGE(
                epoch, !parsePlan(std::string(R"({"replicas":[],"epoch":)") + epoch + "}").ok());
        CPPUNIT_ASSERT(parsePlan(planText).ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignEntriesTest);

} // namespace
