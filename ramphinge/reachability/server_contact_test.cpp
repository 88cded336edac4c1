// Tests of the contact with the servers, on virtual time.

#include "ramphinge/reachability/server_contacts.h"

#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

MonotonicTime at(int milliseconds)
{
    return MonotonicTime(std::chrono::seconds(100) + Milliseconds(milliseconds));
}

std::vector<HostId> hostsOf(int count)
{
    std::vector<HostId> hosts;
    for (int i = 0; i < count; ++i)
        hosts.emplace_back("h" + std::to_string(i));
    return hosts;
}

ServerContact contactWith(int hosts)
{
    ServerContact contact;
    contact.setHosts(hostsOf(hosts));
    return contact;
}

// Runs the probes that are due, with the same result for all; returns their number.
int probe(ServerContact &contact, ContactProbeResult result, MonotonicTime now)
{
    const std::vector<HostId> hosts = contact.takeProbes(now);
    for (const HostId &host : hosts)
        contact.noteProbe(host, result, now);
    return static_cast<int>(hosts.size());
}

void failAt(ServerContact &contact, int hosts, MonotonicTime now)
{
    for (const HostId &host : hostsOf(hosts))
        contact.noteFailure(host, now);
}

void loseContact(ServerContact &contact, MonotonicTime now)
{
    failAt(contact, 2, now);
    probe(contact, ContactProbeResult::Failed, now);
    probe(contact, ContactProbeResult::Failed, now);
    CPPUNIT_ASSERT(contact.isLost());
}

} // namespace

class ServerContactTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ServerContactTest);
    CPPUNIT_TEST(failuresAtOneHostAreNoDoubt);
    CPPUNIT_TEST(failuresAtTwoHostsAreProbedAndLoseContact);
    CPPUNIT_TEST(oneAnswerKeepsContact);
    CPPUNIT_TEST(oldFailuresDontCount);
    CPPUNIT_TEST(silenceOfAllServersIsProbed);
    CPPUNIT_TEST(aSilentServerBesideOthersIsNoDoubt);
    CPPUNIT_TEST(dataOnAKeptConnectionDoesNotEndALoss);
    CPPUNIT_TEST(probesGoOnWhileContactIsLostAndEndIt);
    CPPUNIT_TEST(inconclusiveProbesProveNothing);
    CPPUNIT_TEST(aFleetOfOneServerCanBeLost);
    CPPUNIT_TEST(withoutServersContactIsSound);
    CPPUNIT_TEST(aRequestThatWaitsLongCostsOneProbeASecond);
    CPPUNIT_TEST(manyLostServersCostTwoProbesASecond);
    CPPUNIT_TEST(aRequestedProbeProvesContact);
    CPPUNIT_TEST(aRequestedProbeIsAnnouncedAndOfItsServiceOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void failuresAtOneHostAreNoDoubt()
    {
        ServerContact contact = contactWith(9);
        for (int i = 0; i < 20; ++i)
            contact.noteFailure(HostId("h0"), at(i * 10));
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Failed, at(200)));
        CPPUNIT_ASSERT(contact.isSound());
    }

    void failuresAtTwoHostsAreProbedAndLoseContact()
    {
        ServerContact contact = contactWith(9);
        failAt(contact, 2, at(0));
        CPPUNIT_ASSERT_EQUAL(1, probe(contact, ContactProbeResult::Failed, at(10)));
        CPPUNIT_ASSERT(!contact.isSound());
        CPPUNIT_ASSERT(!contact.isLost());
        CPPUNIT_ASSERT_EQUAL(2, probe(contact, ContactProbeResult::Failed, at(20)));
        CPPUNIT_ASSERT(contact.isLost());
    }

    void oneAnswerKeepsContact()
    {
        ServerContact contact = contactWith(9);
        failAt(contact, 2, at(0));
        probe(contact, ContactProbeResult::Failed, at(10));
        const std::vector<HostId> hosts = contact.takeProbes(at(20));
        contact.noteProbe(hosts.front(), ContactProbeResult::Answered, at(25));
        contact.noteProbe(hosts.back(), ContactProbeResult::Failed, at(30));
        CPPUNIT_ASSERT(contact.isSound());
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Failed, at(40)));
    }

    void oldFailuresDontCount()
    {
        ServerContact contact = contactWith(9);
        contact.noteFailure(HostId("h0"), at(0));
        contact.noteFailure(HostId("h1"), at(1100));
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Failed, at(1100)));
    }

    void silenceOfAllServersIsProbed()
    {
        ServerContact contact = contactWith(9);
        contact.noteSent(at(0));
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Failed, at(290)));
        CPPUNIT_ASSERT_EQUAL(1, probe(contact, ContactProbeResult::Failed, at(310)));
        CPPUNIT_ASSERT_EQUAL(2, probe(contact, ContactProbeResult::Failed, at(320)));
        CPPUNIT_ASSERT(contact.isLost());
    }

    void aSilentServerBesideOthersIsNoDoubt()
    {
        ServerContact contact = contactWith(9);
        contact.noteSent(at(0)); // To the silent one.
        for (int i = 0; i < 20; ++i) {
            contact.noteArrival(at(i * 100)); // From others.
            CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Failed, at(i * 100)));
        }
    }

    void dataOnAKeptConnectionDoesNotEndALoss()
    {
        ServerContact contact = contactWith(9);
        loseContact(contact, at(0));
        contact.noteArrival(at(50));
        CPPUNIT_ASSERT(contact.isLost());
    }

    void probesGoOnWhileContactIsLostAndEndIt()
    {
        ServerContact contact = contactWith(9);
        loseContact(contact, at(0));
        std::set<HostId> probed;
        for (int i = 1; i <= 6; ++i) {
            const std::vector<HostId> hosts = contact.takeProbes(at(i * 250));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), hosts.size());
            probed.insert(hosts.front());
            contact.noteProbe(hosts.front(), ContactProbeResult::Failed, at(i * 250));
            CPPUNIT_ASSERT(contact.takeProbes(at(i * 250 + 200)).empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(6), probed.size());
        CPPUNIT_ASSERT_EQUAL(1, probe(contact, ContactProbeResult::Answered, at(1750)));
        CPPUNIT_ASSERT(contact.isSound());
    }

    void inconclusiveProbesProveNothing()
    {
        ServerContact contact = contactWith(9);
        failAt(contact, 2, at(0));
        for (int i = 0; i < 10; ++i)
            probe(contact, ContactProbeResult::Inconclusive, at(i * 25));
        CPPUNIT_ASSERT(!contact.isLost());
    }

    void aFleetOfOneServerCanBeLost()
    {
        ServerContact contact = contactWith(1);
        failAt(contact, 1, at(0));
        probe(contact, ContactProbeResult::Failed, at(10));
        CPPUNIT_ASSERT(contact.isLost());
        CPPUNIT_ASSERT_EQUAL(1, probe(contact, ContactProbeResult::Answered, at(260)));
        CPPUNIT_ASSERT(contact.isSound());
    }

    void withoutServersContactIsSound()
    {
        ServerContact contact = contactWith(3);
        loseContact(contact, at(0));
        contact.setHosts({});
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Failed, at(100)));
        CPPUNIT_ASSERT(contact.isSound());
    }

    void aRequestThatWaitsLongCostsOneProbeASecond()
    {
        ServerContact contact = contactWith(9);
        contact.noteSent(at(0));
        int probes = 0;
        for (int i = 0; i < 40; ++i)
            probes += probe(contact, ContactProbeResult::Answered, at(i * 100));
        CPPUNIT_ASSERT_EQUAL(4, probes);
        contact.noteEnded();
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Answered, at(9000)));
    }

    void manyLostServersCostTwoProbesASecond()
    {
        ServerContact contact = contactWith(40);
        int probes = 0;
        for (int i = 0; i < 40; ++i) {
            failAt(contact, 11, at(i * 100));
            probes += probe(contact, ContactProbeResult::Answered, at(i * 100));
        }
        CPPUNIT_ASSERT_EQUAL(8, probes);
    }

    void aRequestedProbeProvesContact()
    {
        ServerContact contact = contactWith(9);
        failAt(contact, 2, at(0));
        probe(contact, ContactProbeResult::Answered, at(0));
        failAt(contact, 2, at(100));
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Answered, at(110)));
        contact.requestProbe();
        CPPUNIT_ASSERT_EQUAL(1, probe(contact, ContactProbeResult::Answered, at(120)));
        CPPUNIT_ASSERT(contact.provenAt() == at(120));
        CPPUNIT_ASSERT(contact.isSound());
        CPPUNIT_ASSERT_EQUAL(0, probe(contact, ContactProbeResult::Answered, at(130)));
    }

    void aRequestedProbeIsAnnouncedAndOfItsServiceOnly()
    {
        ServerContacts contacts;
        contacts.setHosts({ { ServiceId("a"), hostsOf(3) }, { ServiceId("b"), hostsOf(3) } });
        int requests = 0;
        contacts.onProbeRequested([&requests] { ++requests; });
        contacts.requestProbe(ServiceId("b"));
        const std::vector<ServerContacts::Probe> probes = contacts.takeProbes(at(0));
        CPPUNIT_ASSERT_EQUAL(1, requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), probes.size());
        CPPUNIT_ASSERT(probes.front().service == ServiceId("b"));
        CPPUNIT_ASSERT(contacts.isSound(ServiceId("a")) && !contacts.isSound());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ServerContactTest);
