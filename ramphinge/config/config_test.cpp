// Tests of the configuration: expansion, references, capacity arithmetic, authority, diffs.

#include "ramphinge/config/accepted.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

Json validDocument()
{
    return Json::parse(R"({
      "models": [{"name": "m", "version": "v1", "adapters": ["thai"], "hostsPerReplica": 2,
                  "replicas": {"a": 1, "b": 1}, "tokensPerSecond": 1000}],
      "services": [{"name": "cards", "pathPrefix": "/cards"},
                   {"name": "deep", "pathPrefix": "/cards/deep", "unrepeatableMethods": []}],
      "templates": [{"name": "app", "parameters": {"tokens": null, "lane": 2},
        "body": {"models": [{"model": "m:thai@v1", "alias": "chat", "tokensPerSecond": "${tokens}",
                             "priority": "${lane}"}], "services": ["cards"]}}],
      "accounts": [
        {"name": "x", "team": "t1", "template": "app", "parameters": {"tokens": 500}},
        {"name": "y", "team": "t2", "template": "app", "parameters": {"tokens": "700"}}]
    })");
}

bool hasFinding(const Json &document, const std::string &pointer, const std::string &part)
{
    for (const Finding &finding : validateConfiguration(document)) {
        if (finding.pointer.rfind(pointer, 0) == 0
            && finding.message.find(part) != std::string::npos)
            return true;
    }
    return false;
}

AcceptedConfigPtr accept(const AcceptedConfigPtr &base, const Json &document)
{
    ChangeRecord record;
    record.change = ChangeId("c");
    return makeSuccessor(base, document, record).value();
}

} // namespace

class ConfigTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigTest);
    CPPUNIT_TEST(templatesExpandWithParameters);
    CPPUNIT_TEST(longestPathPrefixWins);
    CPPUNIT_TEST(invalidReferencesAreReported);
    CPPUNIT_TEST(sharesAboveCapacityAreRefusedWithTheSum);
    CPPUNIT_TEST(unknownKeysAreRefused);
    CPPUNIT_TEST(teamOperatorsMayChangeTheirAccountsOnly);
    CPPUNIT_TEST(acceptedConfigRoundTripsThroughText);
    CPPUNIT_TEST(holdingsMoveStepByStep);
    CPPUNIT_TEST_SUITE_END();

public:
    void templatesExpandWithParameters()
    {
        const Configuration config = parseConfiguration(validDocument()).value();
        const ModelGrant *grant = config.account(AccountId("y"))->grantFor("chat");
        CPPUNIT_ASSERT_EQUAL(Tokens(700), grant->share);
        CPPUNIT_ASSERT_EQUAL(ModelId("m@v1"), grant->model);
        CPPUNIT_ASSERT_EQUAL(std::string("thai"), grant->adapter);
        CPPUNIT_ASSERT_EQUAL(2, grant->priority);
    }

    void longestPathPrefixWins()
    {
        const Configuration config = parseConfiguration(validDocument()).value();
        CPPUNIT_ASSERT_EQUAL(ServiceId("deep"), config.serviceForPath("/cards/deep/1")->service);
        CPPUNIT_ASSERT_EQUAL(ServiceId("cards"), config.serviceForPath("/cards")->service);
        CPPUNIT_ASSERT(config.serviceForPath("/cardsx") == nullptr);
        CPPUNIT_ASSERT(config.serviceForPath("/cards/1")->isUnrepeatable("POST"));
        CPPUNIT_ASSERT(!config.serviceForPath("/cards/deep")->isUnrepeatable("POST"));
    }

    void invalidReferencesAreReported()
    {
        Json document = validDocument();
        document["accounts"][0]["template"] = "none";
        CPPUNIT_ASSERT(hasFinding(document, "/accounts/0/template", "no such template"));
        document = validDocument();
        document["accounts"][0]["parameters"] = Json::object();
        CPPUNIT_ASSERT(hasFinding(document, "/accounts/0/parameters", "tokens"));
        document = validDocument();
        document["templates"][0]["body"]["models"][0]["model"] = "m:latin@v1";
        CPPUNIT_ASSERT(hasFinding(document, "/accounts/0", "no adapter latin"));
        document = validDocument();
        document["accounts"][1]["name"] = "x";
        CPPUNIT_ASSERT(hasFinding(document, "/accounts/1/name", "twice"));
    }

    void sharesAboveCapacityAreRefusedWithTheSum()
    {
        Json document = validDocument();
        document["accounts"][0]["parameters"]["tokens"] = 1301;
        CPPUNIT_ASSERT(hasFinding(document, "/models/0", "x 1301 + y 700 = 2001 tokens/s"));
        document["accounts"][0]["parameters"]["tokens"] = 1300;
        CPPUNIT_ASSERT(validateConfiguration(document).empty());
    }

    void unknownKeysAreRefused()
    {
        Json document = validDocument();
        document["accounts"][0]["taem"] = "t1";
        CPPUNIT_ASSERT(hasFinding(document, "/accounts/0", "taem"));
    }

    void teamOperatorsMayChangeTheirAccountsOnly()
    {
        const AcceptedConfigPtr base = accept(nullptr, validDocument());
        Json own = validDocument();
        own["accounts"][0]["parameters"]["tokens"] = 400;
        Json foreign = validDocument();
        foreign["accounts"][1]["parameters"]["tokens"] = 400;
        const Operator member { "op", "", "t1" };
        CPPUNIT_ASSERT(checkAuthority(member, base, *accept(base, own)).ok());
        const Status refused = checkAuthority(member, base, *accept(base, foreign));
        CPPUNIT_ASSERT(refused.error().kind() == ErrorKind::Unauthorized);
        // Moving another team's account into one's own team is a change of the other team's.
        foreign = validDocument();
        foreign["accounts"][1]["team"] = "t1";
        CPPUNIT_ASSERT(!checkAuthority(member, base, *accept(base, foreign)).ok());
        CPPUNIT_ASSERT(checkAuthority({ "root", "", "" }, base, *accept(base, foreign)).ok());
    }

    void holdingsMoveStepByStep()
    {
        const auto holding = [](const std::string &phase, int epoch, int since) {
            Json document = validDocument();
            document["otherSide"] = { { "callers", "there" }, { "administration", "127.0.0.1:9" } };
            document["holdings"] = Json::array({ { { "account", "x" },
                                                   { "phase", phase },
                                                   { "epoch", epoch },
                                                   { "sinceMs", since } } });
            return parseConfiguration(document).value();
        };
        const Configuration initial = parseConfiguration(validDocument()).value();
        CPPUNIT_ASSERT(checkHoldingSteps(initial, holding("draining", 1, 0)).ok());
        CPPUNIT_ASSERT(!checkHoldingSteps(initial, holding("draining", 2, 0)).ok());
        CPPUNIT_ASSERT(!checkHoldingSteps(initial, holding("there", 1, 0)).ok());
        const Configuration draining = holding("draining", 1, 0);
        CPPUNIT_ASSERT(checkHoldingSteps(draining, holding("there", 1, 0)).ok());
        CPPUNIT_ASSERT(checkHoldingSteps(draining, holding("here", 2, 0)).ok());
        CPPUNIT_ASSERT(!checkHoldingSteps(draining, initial).ok());
        const Configuration there = holding("there", 1, 0);
        CPPUNIT_ASSERT(!checkHoldingSteps(there, holding("here", 1, 5)).ok());
        CPPUNIT_ASSERT(!checkHoldingSteps(there, holding("here", 2, 0)).ok());
        const Configuration back = holding("here", 2, 5);
        CPPUNIT_ASSERT(checkHoldingSteps(there, back).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, takenHoldings(there, back).size());
        CPPUNIT_ASSERT(takenHoldings(draining, holding("here", 2, 0)).empty());
        Json withoutOtherSide = validDocument();
        withoutOtherSide["holdings"] =
            Json::array({ { { "account", "x" }, { "phase", "there" }, { "epoch", 1 } } });
        CPPUNIT_ASSERT(hasFinding(withoutOtherSide, "/holdings/0/phase", "otherSide"));
    }

    void acceptedConfigRoundTripsThroughText()
    {
        const AcceptedConfigPtr first = accept(nullptr, validDocument());
        const AcceptedConfigPtr second = accept(first, validDocument());
        const AcceptedConfigPtr read = parseAccepted(serialize(*second)).value();
        CPPUNIT_ASSERT_EQUAL(ConfigVersion(2), read->record.version);
        CPPUNIT_ASSERT(read->configuration.expanded() == first->configuration.expanded());
        CPPUNIT_ASSERT(second->record.diff.empty());
        CPPUNIT_ASSERT(!parseAccepted("{\"version\": 1}").ok());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTest);
