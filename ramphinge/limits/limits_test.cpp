// Tests of fair queueing, early refusal and retry budgets.

#include <deque>

#include "ramphinge/base/random.h"
#include "ramphinge/limits/cost_estimate.h"
#include "ramphinge/limits/fair_queue.h"
#include "ramphinge/limits/retry_budget.h"
#include "ramphinge/limits/shared_retry_budget.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

const AccountId small("small");
const AccountId large("large");

FairQueueOptions unbounded()
{
    FairQueueOptions options;
    options.maxWaiting = 100'000;
    options.maxWaitingPerAccount = 100'000;
    return options;
}

} // namespace

class LimitsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LimitsTest);
    CPPUNIT_TEST(serviceFollowsWeightsRegardlessOfDemand);
    CPPUNIT_TEST(idleAccountAccumulatesNoCreditAndGetsItsShareAtOnce);
    CPPUNIT_TEST(wrongEstimatesAreCorrected);
    CPPUNIT_TEST(remoteServiceCountsAgainstTheShare);
    CPPUNIT_TEST(refusesTicketsThatCantStartInTime);
    CPPUNIT_TEST(queueIsBounded);
    CPPUNIT_TEST(higherPriorityGoesFirstWithinItsAccount);
    CPPUNIT_TEST(expiredTicketsAreNotStarted);
    CPPUNIT_TEST(reservedSlotsGoToAccountsWithoutABacklog);
    CPPUNIT_TEST(retriesAreBoundedByAFractionOfRequests);
    CPPUNIT_TEST(sharedBudgetHoldsOverAllDaemonsInEveryWindow);
    CPPUNIT_TEST(sharedBudgetAllowsWithoutCounting);
    CPPUNIT_TEST(sharedBudgetKeepsItsPartWhenRegistrationsLapse);
    CPPUNIT_TEST_SUITE_END();

public:
    void sharedBudgetHoldsOverAllDaemonsInEveryWindow()
    {
        constexpr int daemons = 9;
        const SharedRetryBudgetOptions options { 0.2, 100, std::chrono::seconds(10) };
        ManualClock clock;
        Random random(5);
        std::vector<SharedRetryBudget> budgets(daemons, SharedRetryBudget(options, clock.now()));
        std::deque<MonotonicTime> requests;
        std::deque<MonotonicTime> sentRetries;
        for (int i = 0; i < 20'000; ++i) {
            clock.advance(random.exponential(std::chrono::milliseconds(i % 5000 < 500 ? 1 : 10)));
            SharedRetryBudget &budget = budgets[random.below(daemons)];
            budget.setDaemons(daemons);
            budget.onRequest(clock.now());
            requests.push_back(clock.now());
            while (random.fraction() < 0.7 && budget.take(clock.now()))
                sentRetries.push_back(clock.now());
            while (requests.front() < clock.now() - options.window)
                requests.pop_front();
            while (!sentRetries.empty() && sentRetries.front() < clock.now() - options.window)
                sentRetries.pop_front();
            CPPUNIT_ASSERT(static_cast<double>(sentRetries.size())
                           <= options.ratio * static_cast<double>(requests.size()) + options.slack);
        }
        CPPUNIT_ASSERT(!sentRetries.empty());
    }

    void sharedBudgetKeepsItsPartWhenRegistrationsLapse()
    {
        ManualClock clock;
        SharedRetryBudget budget({ 0, 40, std::chrono::seconds(10) }, clock.now());
        clock.advance(std::chrono::seconds(40));
        budget.setDaemons(10);
        budget.setDaemons(1); // Registrations lapsed while the store was unavailable.
        int taken = 0;
        while (budget.take(clock.now()))
            ++taken;
        CPPUNIT_ASSERT_EQUAL(2, taken);
    }

    void sharedBudgetAllowsWithoutCounting()
    {
        ManualClock clock;
        SharedRetryBudget budget({ 0, 6, std::chrono::seconds(10) }, clock.now());
        CPPUNIT_ASSERT(!budget.allows(clock.now())); // It has just started.
        clock.advance(std::chrono::seconds(10));
        CPPUNIT_ASSERT(budget.allows(clock.now()));
        CPPUNIT_ASSERT(budget.allows(clock.now()));
        CPPUNIT_ASSERT(budget.take(clock.now()));
        CPPUNIT_ASSERT(!budget.allows(clock.now()));
        clock.advance(std::chrono::seconds(11));
        CPPUNIT_ASSERT(budget.allows(clock.now()));
    }

    void setUp() override
    {
        m_lastTicket = 0;
        m_queue = FairQueue(unbounded());
        m_queue.setWeights({ { small, Tokens(100) }, { large, Tokens(300) } });
    }

    void serviceFollowsWeightsRegardlessOfDemand()
    {
        for (int i = 0; i < 4000; ++i)
            offer(small);
        for (int i = 0; i < 400; ++i)
            offer(large);
        const auto served = serve(400);
        CPPUNIT_ASSERT(std::abs(served.at(large) - 300) <= 2);
        CPPUNIT_ASSERT(std::abs(served.at(small) - 100) <= 2);
    }

    void idleAccountAccumulatesNoCreditAndGetsItsShareAtOnce()
    {
        for (int i = 0; i < 2000; ++i)
            offer(small);
        CPPUNIT_ASSERT_EQUAL(1000, serve(1000).at(small));
        for (int i = 0; i < 2000; ++i)
            offer(large);
        const auto served = serve(40);
        CPPUNIT_ASSERT(std::abs(served.at(large) - 30) <= 2);
    }

    void wrongEstimatesAreCorrected()
    {
        for (int i = 0; i < 1000; ++i) {
            offer(small);
            offer(large);
        }
        std::map<AccountId, std::int64_t> tokens;
        for (int i = 0; i < 600; ++i) {
            const Ticket ticket = *m_queue.pop(m_clock.now());
            // The small account's requests cost four times their estimate.
            const Tokens actual(ticket.account == small ? 400 : 100);
            m_queue.settle(ticket.account, ticket.estimate, actual, m_clock.now());
            tokens[ticket.account] += actual.count();
        }
        const double ratio =
            static_cast<double>(tokens[large]) / static_cast<double>(tokens[small]);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.0, ratio, 0.1);
    }

    void remoteServiceCountsAgainstTheShare()
    {
        for (int i = 0; i < 1000; ++i) {
            offer(small);
            offer(large);
        }
        // Other daemons served 30 requests of the large account.
        m_queue.addRemoteService(large, Tokens(3000));
        const auto served = serve(10);
        CPPUNIT_ASSERT_EQUAL(10, served.at(small));
    }

    void refusesTicketsThatCantStartInTime()
    {
        // 10 requests of 100 tokens are served in a second: 1000 tokens/s.
        for (int i = 0; i < 10; ++i) {
            offer(small);
            m_clock.advance(std::chrono::milliseconds(100));
            const Ticket ticket = *m_queue.pop(m_clock.now());
            m_queue.settle(small, ticket.estimate, ticket.estimate, m_clock.now());
        }
        int accepted = 0;
        while (accepted < 1000 && !offer(small))
            ++accepted;
        CPPUNIT_ASSERT(accepted >= 7 && accepted <= 10);
        const std::optional<Refusal> refused = offer(small);
        CPPUNIT_ASSERT(refused->error.kind() == ErrorKind::Overloaded);
        CPPUNIT_ASSERT(refused->retryAfter >= std::chrono::milliseconds(200));
    }

    void queueIsBounded()
    {
        FairQueueOptions options;
        options.maxWaiting = 10;
        options.maxWaitingPerAccount = 5;
        m_queue = FairQueue(options);
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(!offer(small));
        CPPUNIT_ASSERT(offer(small));
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(!offer(large));
        CPPUNIT_ASSERT(offer(large));
    }

    void higherPriorityGoesFirstWithinItsAccount()
    {
        offer(small, 0);
        offer(small, 5);
        CPPUNIT_ASSERT_EQUAL(5, m_queue.pop(m_clock.now())->priority);
    }

    void expiredTicketsAreNotStarted()
    {
        offer(small);
        m_clock.advance(std::chrono::seconds(2));
        CPPUNIT_ASSERT(!m_queue.pop(m_clock.now()));
        CPPUNIT_ASSERT(m_queue.remove(TicketNumber(1)));
        CPPUNIT_ASSERT_EQUAL(0, m_queue.waiting());
    }

    void reservedSlotsGoToAccountsWithoutABacklog()
    {
        for (int i = 0; i < 3; ++i)
            offer(large);
        CPPUNIT_ASSERT_EQUAL(1, m_queue.recentAccounts(m_clock.now()));
        CPPUNIT_ASSERT(m_queue.pop(m_clock.now(), FairQueue::Admit::NotBacklogged));
        CPPUNIT_ASSERT(!m_queue.pop(m_clock.now(), FairQueue::Admit::NotBacklogged));
        offer(small);
        CPPUNIT_ASSERT_EQUAL(2, m_queue.recentAccounts(m_clock.now()));
        CPPUNIT_ASSERT_EQUAL(small,
                             m_queue.pop(m_clock.now(), FairQueue::Admit::NotBacklogged)->account);
        CPPUNIT_ASSERT_EQUAL(large, m_queue.pop(m_clock.now())->account);
        m_clock.advance(std::chrono::seconds(6));
        CPPUNIT_ASSERT_EQUAL(0, m_queue.recentAccounts(m_clock.now()));
    }

    void retriesAreBoundedByAFractionOfRequests()
    {
        RetryBudget budget({ 0.1, 10 });
        int retries = 0;
        for (int i = 0; i < 1000; ++i) {
            budget.onRequest();
            retries += budget.take() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries >= 100 && retries <= 110);
    }

private:
    std::optional<Refusal> offer(const AccountId &account, int priority = 0)
    {
        return m_queue.offer({ TicketNumber(++m_lastTicket), account, priority, Tokens(100),
                               m_clock.now() + std::chrono::seconds(1) },
                             m_clock.now());
    }

    // Serves `count` requests that cost as much as estimated.
    std::map<AccountId, int> serve(int count)
    {
        std::map<AccountId, int> served { { small, 0 }, { large, 0 } };
        for (int i = 0; i < count; ++i) {
            const Ticket ticket = *m_queue.pop(m_clock.now());
            m_queue.settle(ticket.account, ticket.estimate, ticket.estimate, m_clock.now());
            ++served[ticket.account];
        }
        return served;
    }

    ManualClock m_clock;
    FairQueue m_queue { {} };
    std::int64_t m_lastTicket = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);
