// Tests of request identities, and of holding back requests that crash servers.

#include "ramphinge/quarantine/fingerprint.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

class FingerprintTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FingerprintTest);
    CPPUNIT_TEST(isTheSameForTheSameIdentity);
    CPPUNIT_TEST(differsInEachPart);
    CPPUNIT_TEST(differsByKey);
    CPPUNIT_TEST(doesNotMixNeighbouringParts);
    CPPUNIT_TEST_SUITE_END();

public:
    void isTheSameForTheSameIdentity()
    {
        CPPUNIT_ASSERT_EQUAL(fingerprintOf("k", identity()), fingerprintOf("k", identity()));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 32 }, fingerprintOf("k", identity()).text().size());
    }

    void differsInEachPart()
    {
        const RequestFingerprint original = fingerprintOf("k", identity());
        RequestIdentity other = identity();
        other.method = "PUT";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.host = "other.example";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.target = "/a?b=2";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.body = "another body";
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
        other = identity();
        other.account = AccountId("another school");
        CPPUNIT_ASSERT(fingerprintOf("k", other) != original);
    }

    void differsByKey()
    {
        CPPUNIT_ASSERT(fingerprintOf("k", identity()) != fingerprintOf("l", identity()));
    }

    void doesNotMixNeighbouringParts()
    {
        CPPUNIT_ASSERT(fingerprintOf("k", { "GET", "ab", "c", "", {} })
                       != fingerprintOf("k", { "GET", "a", "bc", "", {} }));
    }

private:
    static RequestIdentity identity()
    {
        return { "POST", "h.example", "/a?b=1", "a body", AccountId("school") };
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FingerprintTest);

} // namespace
