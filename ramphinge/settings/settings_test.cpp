// Tests of the settings file: defaults, and refusals that name the place.

#include <nlohmann/json.hpp>

#include "ramphinge/settings/settings.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

Json good()
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
    CPPUNIT_TEST(brokenJsonIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void defaultsApply()
    {
        const Result<Settings> settings = parseSettings(good().dump());
        CPPUNIT_ASSERT(settings.ok());
        CPPUNIT_ASSERT(settings.value().leaseLength == Duration(std::chrono::seconds(5)));
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 3 }, settings.value().peers.port);
    }

    void unknownKeysAreRefused()
    {
        Json json = good();
        json["leaseSecond"] = 3;
        CPPUNIT_ASSERT(contains(messageOf(json), "leaseSecond"));
    }

    void wrongValuesAreNamedByPointer()
    {
        Json json = good();
        json["peers"] = "localhost:80";
        CPPUNIT_ASSERT(contains(messageOf(json), "/peers"));
        json = good();
        json["leaseSeconds"] = 0;
        CPPUNIT_ASSERT(contains(messageOf(json), "/leaseSeconds"));
    }

    void contradictionsAreRefused()
    {
        Json json = good();
        json["zone"] = "c";
        CPPUNIT_ASSERT(contains(messageOf(json), "/zone"));
        json = good();
        json["leaseSeconds"] = 1;
        json["clockMarginSeconds"] = 0.9;
        CPPUNIT_ASSERT(contains(messageOf(json), "/clockMarginSeconds"));
    }

    void brokenJsonIsRefused() { CPPUNIT_ASSERT(!parseSettings("{").ok()); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
