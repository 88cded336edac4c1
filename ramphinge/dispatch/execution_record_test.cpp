// Tests of the record of a request's executions.

#include <rapidcheck.h>

#include "ramphinge/dispatch/execution_record.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const RequestId request("r1");

NotExecutedProof proof()
{
    return NotExecutedProof::fromResponse(request, request).value();
}

} // namespace

class ExecutionRecordTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutionRecordTest);
    CPPUNIT_TEST(nothingSentIsGuaranteed);
    CPPUNIT_TEST(anOpenSendMayHaveBeenExecuted);
    CPPUNIT_TEST(onlyAStatementAboutThisRequestIsAProof);
    CPPUNIT_TEST(atMostOneSendIsUnproven);
    CPPUNIT_TEST_SUITE_END();

public:
    void nothingSentIsGuaranteed()
    {
        CPPUNIT_ASSERT(ExecutionRecord().guarantee().has_value());
        CPPUNIT_ASSERT(ExecutionRecord().maySend(Repeatability::AtMostOnce));
    }

    void anOpenSendMayHaveBeenExecuted()
    {
        ExecutionRecord record;
        const SendNumber send = record.beginSend(Repeatability::AtMostOnce).value();
        CPPUNIT_ASSERT(!record.guarantee());
        CPPUNIT_ASSERT(!record.beginSend(Repeatability::AtMostOnce));
        CPPUNIT_ASSERT(record.beginSend(Repeatability::Repeatable).has_value());
        record.proveNotExecuted(send, proof());
        CPPUNIT_ASSERT(!record.guarantee()); // The repeated send is still open.
    }

    void onlyAStatementAboutThisRequestIsAProof()
    {
        CPPUNIT_ASSERT(!NotExecutedProof::fromResponse(std::nullopt, request));
        CPPUNIT_ASSERT(!NotExecutedProof::fromResponse(RequestId("r2"), request));
        CPPUNIT_ASSERT(!NotExecutedProof::fromResponse(RequestId(), RequestId()));
        CPPUNIT_ASSERT(NotExecutedProof::fromResponse(request, request).has_value());
    }

    // Any order of sends and proofs: at most one send of a request that may be executed once is
    // without a proof, and there is a guarantee only without such a send.
    void atMostOneSendIsUnproven()
    {
        const bool holds = rc::check([](const std::vector<std::uint8_t> &steps) {
            ExecutionRecord record;
            std::vector<bool> proven;
            for (const std::uint8_t step : steps) {
                if (step % 2 == 0) {
                    if (record.beginSend(Repeatability::AtMostOnce))
                        proven.push_back(false);
                } else if (!proven.empty()) {
                    const std::size_t send = step / 2 % proven.size();
                    record.proveNotExecuted(SendNumber(static_cast<std::int64_t>(send)), proof());
                    proven[send] = true;
                }
                const auto open = std::count(proven.begin(), proven.end(), false);
                RC_ASSERT(open <= 1);
                RC_ASSERT(record.guarantee().has_value() == (open == 0));
            }
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutionRecordTest);
