// Tests of the memory that connections share.

#include <memory>
#include <optional>
#include <vector>

#include "ramphinge/limits/connection_memory.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

constexpr std::size_t kilobyte = 1024;
constexpr std::size_t megabyte = 1024 * 1024;
constexpr Duration second = std::chrono::seconds(1);

// Frees its memory when it is evicted, unless bytes are waiting to be read.
class Connection : public ConnectionMemory::Owner
{
public:
    Connection(ConnectionMemory &memory, MonotonicTime now, const void *port = nullptr)
        : reservation(memory, *this, port, now), m_now(now)
    { }

    bool evict(ConnectionPhase phase) override
    {
        if (hasUnreadData)
            return false;
        evictedIn = phase;
        return reservation.resize(0, m_now);
    }

    bool receive(std::size_t bytes, MonotonicTime now)
    {
        if (reservation.phase() != ConnectionPhase::Receiving)
            reservation.enter(ConnectionPhase::Receiving, now);
        return reservation.resize(bytes, now);
    }

    std::optional<ConnectionPhase> evictedIn;
    bool hasUnreadData = false;
    ConnectionMemory::Reservation reservation;

private:
    MonotonicTime m_now;
};

} // namespace

class ConnectionMemoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectionMemoryTest);
    CPPUNIT_TEST(sumNeverExceedsTheCapacity);
    CPPUNIT_TEST(stalledBodyGivesWayToANewOne);
    CPPUNIT_TEST(smallRequestIsAdmittedBesideLargeOnes);
    CPPUNIT_TEST(handledRequestIsNotEvicted);
    CPPUNIT_TEST(largestRequestIsAdmittedAlone);
    CPPUNIT_TEST(unreadResponseIsEvictedOnlyAfterAStall);
    CPPUNIT_TEST(idleConnectionIsProtectedForItsTime);
    CPPUNIT_TEST(silentConnectionMakesPlace);
    CPPUNIT_TEST(connectionWithUnreadDataStays);
    CPPUNIT_TEST(placesOfAnotherPortStay);
    CPPUNIT_TEST_SUITE_END();

    ConnectionMemory m_memory { { 16 * megabyte } };
    MonotonicTime m_now { std::chrono::hours(1) };

    void sumNeverExceedsTheCapacity()
    {
        std::vector<std::unique_ptr<Connection>> connections;
        for (int i = 0; i < 100; ++i) {
            m_now += second;
            connections.push_back(std::make_unique<Connection>(m_memory, m_now));
            for (std::size_t bytes = kilobyte; bytes <= megabyte; bytes *= 2) {
                if (connections.back()->receive(bytes, m_now) && bytes == megabyte && i % 3 == 0)
                    static_cast<void>(connections.back()->reservation.commit(m_now));
                CPPUNIT_ASSERT(m_memory.usedBytes() <= m_memory.capacity());
            }
        }
    }

    void stalledBodyGivesWayToANewOne()
    {
        Connection stalled(m_memory, m_now);
        CPPUNIT_ASSERT(stalled.receive(7 * megabyte, m_now));
        Connection later(m_memory, m_now);
        CPPUNIT_ASSERT(later.receive(7 * megabyte, m_now + second));
        Connection fresh(m_memory, m_now);
        CPPUNIT_ASSERT(fresh.receive(3 * megabyte, m_now + 2 * second));
        CPPUNIT_ASSERT(stalled.evictedIn == ConnectionPhase::Receiving);
        CPPUNIT_ASSERT(!later.evictedIn);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), m_memory.evictions(ConnectionPhase::Receiving));
    }

    void smallRequestIsAdmittedBesideLargeOnes()
    {
        std::vector<std::unique_ptr<Connection>> handled;
        bool isAdmitted = true;
        while (isAdmitted) {
            handled.push_back(std::make_unique<Connection>(m_memory, m_now));
            isAdmitted = handled.back()->receive(2 * megabyte, m_now)
                && handled.back()->reservation.commit(m_now);
        }
        Connection small(m_memory, m_now);
        CPPUNIT_ASSERT(small.receive(64 * kilobyte, m_now));
        CPPUNIT_ASSERT(small.reservation.commit(m_now));
    }

    void handledRequestIsNotEvicted()
    {
        Connection handled(m_memory, m_now);
        CPPUNIT_ASSERT(handled.receive(8 * megabyte, m_now));
        CPPUNIT_ASSERT(handled.reservation.commit(m_now));
        Connection other(m_memory, m_now);
        CPPUNIT_ASSERT(!other.receive(8 * megabyte, m_now + second));
        CPPUNIT_ASSERT(other.receive(4 * megabyte, m_now + second));
        CPPUNIT_ASSERT(!handled.evictedIn);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(1), m_memory.refusals());
    }

    void largestRequestIsAdmittedAlone()
    {
        Connection only(m_memory, m_now);
        CPPUNIT_ASSERT(only.receive(m_memory.largestRequestBytes(), m_now));
        CPPUNIT_ASSERT(only.reservation.commit(m_now));
        Connection larger(m_memory, m_now);
        CPPUNIT_ASSERT(!larger.receive(m_memory.largestRequestBytes() + 1, m_now));
    }

    void unreadResponseIsEvictedOnlyAfterAStall()
    {
        Connection sending(m_memory, m_now);
        sending.reservation.enter(ConnectionPhase::Sending, m_now);
        sending.reservation.forceResize(15 * megabyte, m_now);
        Connection other(m_memory, m_now);
        CPPUNIT_ASSERT(!other.receive(2 * megabyte, m_now + second));
        sending.reservation.noteProgress(m_now + second);
        CPPUNIT_ASSERT(!other.receive(2 * megabyte, m_now + 2 * second));
        CPPUNIT_ASSERT(!sending.evictedIn);
        CPPUNIT_ASSERT(other.receive(2 * megabyte, m_now + 4 * second));
        CPPUNIT_ASSERT(sending.evictedIn == ConnectionPhase::Sending);
    }

    void idleConnectionIsProtectedForItsTime()
    {
        Connection idle(m_memory, m_now);
        idle.reservation.enter(ConnectionPhase::Idle, m_now, 12 * second);
        CPPUNIT_ASSERT(!m_memory.makePlace(nullptr, m_now + 11 * second));
        CPPUNIT_ASSERT(m_memory.makePlace(nullptr, m_now + 12 * second));
        CPPUNIT_ASSERT(idle.evictedIn == ConnectionPhase::Idle);
    }

    void silentConnectionMakesPlace()
    {
        Connection fresh(m_memory, m_now + second);
        Connection silent(m_memory, m_now);
        Connection receiving(m_memory, m_now);
        CPPUNIT_ASSERT(receiving.receive(kilobyte, m_now));
        CPPUNIT_ASSERT(m_memory.makePlace(nullptr, m_now + second));
        CPPUNIT_ASSERT(silent.evictedIn == ConnectionPhase::Silent);
        CPPUNIT_ASSERT(m_memory.makePlace(nullptr, m_now + second));
        CPPUNIT_ASSERT(receiving.evictedIn == ConnectionPhase::Receiving);
        CPPUNIT_ASSERT(!m_memory.makePlace(nullptr, m_now + second));
        CPPUNIT_ASSERT(!fresh.evictedIn);
    }

    void connectionWithUnreadDataStays()
    {
        Connection silent(m_memory, m_now);
        silent.hasUnreadData = true;
        CPPUNIT_ASSERT(!m_memory.makePlace(nullptr, m_now + 2 * second));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), m_memory.evictions(ConnectionPhase::Silent));
    }

    void placesOfAnotherPortStay()
    {
        const int port = 0;
        const int otherPort = 0;
        Connection silent(m_memory, m_now, &port);
        CPPUNIT_ASSERT(!m_memory.makePlace(&otherPort, m_now + 2 * second));
        CPPUNIT_ASSERT(m_memory.makePlace(&port, m_now + 2 * second));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionMemoryTest);
