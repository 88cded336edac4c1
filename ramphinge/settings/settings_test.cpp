// Tests of the settings file: defaults, and errors that name the wrong field.

#include <nlohmann/json.hpp>

#include "ramphinge/settings/fleet_settings.h"
#include "ramphinge/settings/resource_plan.h"
#include "ramphinge/settings/settings.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

Json validSettings()
{
    return { { "daemon", "d1" },
             { "zone", "a" },
             { "zones", { "a", "b" } },
             { "callers", "127.0.0.1:1" },
             { "administration", "127.0.0.1:2" },
             { "peers", "127.0.0.1:3" },
             { "platform", "127.0.0.1:4" },
             { "sharedKey", "0123456789abcdef" } };
}

std::string messageOf(const Json &json)
{
    const Result<Settings> settings = parseSettings(json.dump());
    return settings.ok() ? "" : settings.error().message();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(defaultsApply);
    CPPUNIT_TEST(unknownKeysAreRefused);
    CPPUNIT_TEST(wrongValuesAreNamedByPointer);
    CPPUNIT_TEST(contradictionsAreRefused);
    CPPUNIT_TEST(malformedJsonIsRefused);
    CPPUNIT_TEST(fleetSettingsAreReadFieldByField);
    CPPUNIT_TEST(errorsInFleetSettingsNameTheField);
    CPPUNIT_TEST(sharesOfMemoryAddUpToLessThanTheMachines);
    CPPUNIT_TEST(sharesOfDescriptorsAddUpToLessThanTheSettings);
    CPPUNIT_TEST_SUITE_END();

public:
    void fleetSettingsAreReadFieldByField()
    {
        const Json json { { "fleet", true },
                          { "daemon", "d1" },
                          { "zone", "z" },
                          { "callers", "127.0.0.1:1" },
                          { "readiness", "127.0.0.1:2" },
                          { "metrics", "127.0.0.1:3" },
                          { "store", "127.0.0.1:4" },
                          { "stopGraceSeconds", 6.5 },
                          { "keyRevocationMs", 5000 },
                          { "changeInForceMs", 3000 },
                          { "leaveInForceMs", 1500 },
                          { "connectivityGraceMs", 4000 },
                          { "serverHeartbeatMs", 700 },
                          { "retryRatio", 0.3 },
                          { "retrySlack", 109 },
                          { "forwards", "127.0.0.1:5" },
                          { "aFieldOfALaterVersion", 1 } };
        CPPUNIT_ASSERT(isFleetSettings(json.dump()));
        CPPUNIT_ASSERT(!isFleetSettings(validSettings().dump()));
        const Result<FleetSettings> settings = parseFleetSettings(json.dump());
        CPPUNIT_ASSERT(settings.ok());
        CPPUNIT_ASSERT(settings.value().metrics == (Endpoint { "127.0.0.1", 3 }));
        CPPUNIT_ASSERT(settings.value().forwards == (Endpoint { "127.0.0.1", 5 }));
        CPPUNIT_ASSERT(settings.value().stopGrace == std::chrono::milliseconds(6500));
        CPPUNIT_ASSERT(settings.value().keyRevocation == std::chrono::seconds(5));
        CPPUNIT_ASSERT(settings.value().changeInForce == std::chrono::seconds(3));
        CPPUNIT_ASSERT(settings.value().leaveInForce == std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT(settings.value().connectivityGrace == std::chrono::seconds(4));
        CPPUNIT_ASSERT(settings.value().serverHeartbeat == std::chrono::milliseconds(700));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(109.0, settings.value().retrySlack, 0);
        CPPUNIT_ASSERT(settings.value().retryWindow == std::chrono::seconds(10));
    }

    void errorsInFleetSettingsNameTheField()
    {
        const Json json {
            { "fleet", true },          { "daemon", "d1" },           { "zone", "z" },
            { "callers", "localhost" }, { "readiness", "1.2.3.4:5" }, { "store", "1.2.3.4:99999" }
        };
        const Result<FleetSettings> settings = parseFleetSettings(json.dump());
        CPPUNIT_ASSERT(!settings.ok());
        CPPUNIT_ASSERT(contains(settings.error().message(), "/callers"));
        CPPUNIT_ASSERT(contains(settings.error().message(), "/store"));
        CPPUNIT_ASSERT(!contains(settings.error().message(), "/readiness"));
    }

    void sharesOfMemoryAddUpToLessThanTheMachines()
    {
        constexpr std::size_t megabyte = 1024 * 1024;
        constexpr std::size_t largestAnswer = 16 * megabyte;
        constexpr std::size_t process = 24 * megabyte; // Code, stacks of its own, a fleet view.
        constexpr std::size_t pending = 8 * megabyte; // Of connections that wait to be accepted.
        FleetSettings settings;
        for (const int memoryMb : { 112, 160, 260, 512, 1024 }) {
            settings.memoryMb = memoryMb;
            const ResourcePlan plan = planResources(settings, largestAnswer);
            // An answer that grows is copied.
            const std::size_t sum = plan.connectionMemoryBytes + plan.answerMemoryBytes
                + largestAnswer + process + pending;
            CPPUNIT_ASSERT(sum <= memoryMb * megabyte);
        }
        settings.connectionMemoryMb = 50;
        CPPUNIT_ASSERT_EQUAL(50 * megabyte,
                             planResources(settings, largestAnswer).connectionMemoryBytes);
    }

    void sharesOfDescriptorsAddUpToLessThanTheSettings()
    {
        FleetSettings settings;
        for (const int descriptors : { 512, 2870, 4100, 8192, 16384 }) {
            settings.fileDescriptors = descriptors;
            const ResourcePlan plan = planResources(settings, 0);
            const int sum = plan.callers + plan.forwards + 2 * plan.status + plan.unprovedLinks
                + plan.upstreams;
            CPPUNIT_ASSERT(sum <= descriptors * 0.95);
            CPPUNIT_ASSERT(plan.forwardedRequests <= plan.forwards);
        }
    }

    void defaultsApply()
    {
        const Result<Settings> settings = parseSettings(validSettings().dump());
        CPPUNIT_ASSERT(settings.ok());
        CPPUNIT_ASSERT(settings.value().leaseLength == Duration(std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 3 }, settings.value().peers.port);
    }

    void unknownKeysAreRefused()
    {
        Json json = validSettings();
        json["leaseSecond"] = 3;
        CPPUNIT_ASSERT(contains(messageOf(json), "leaseSecond"));
    }

    void wrongValuesAreNamedByPointer()
    {
        Json json = validSettings();
        json["peers"] = "localhost:80";
        CPPUNIT_ASSERT(contains(messageOf(json), "/peers"));
        json = validSettings();
        json["leaseSeconds"] = 0;
        CPPUNIT_ASSERT(contains(messageOf(json), "/leaseSeconds"));
    }

    void contradictionsAreRefused()
    {
        Json json = validSettings();
        json["zone"] = "c";
        CPPUNIT_ASSERT(contains(messageOf(json), "/zone"));
        json = validSettings();
        json["leaseSeconds"] = 1;
        json["clockMarginSeconds"] = 0.9;
        CPPUNIT_ASSERT(contains(messageOf(json), "/clockMarginSeconds"));
    }

    void malformedJsonIsRefused() { CPPUNIT_ASSERT(!parseSettings("{").ok()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
