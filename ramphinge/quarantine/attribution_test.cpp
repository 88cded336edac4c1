// Tests of what crashes are attributed to under load: many daemons before servers that run sound
// and harmful requests side by side, played on virtual time.

#include <cmath>
#include <deque>
#include <memory>

#include "ramphinge/base/random.h"
#include "ramphinge/quarantine/quarantine.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration step = milliseconds(10);
constexpr Duration harmfulFrom = seconds(12);
constexpr Duration end = seconds(40);
constexpr Duration contactTime = seconds(3);
constexpr int freeCrashes = 5;
constexpr int maxLateSends = 3;
constexpr double minServedShare = 0.9;

struct Load
{
    int daemons = 6;
    int servers = 15;
    int slots = 17;
    double soundPerSecond = 60;
    double harmfulPerSecond = 5; // Of each harmful part.
    int harmfulParts = 1;
    bool wereSoundBefore = false; // The parts are used by sound requests until they turn harmful.
    int subjects = 200; // Second parts of sound requests; the first ones are asked for most.
    Duration minReportDelay = milliseconds(100);
    Duration maxReportDelay = milliseconds(1100);
    Duration answerTime = milliseconds(1800);
    Duration awayTime = seconds(6); // Of a crashed server.
    bool hasOutage = false; // A third of the servers crashes at once, with no harmful request.
    double randomCrashesPerSecond = 0;
};

struct Outcome
{
    int crashes = 0; // Under harmful requests.
    int lateSends = 0; // The most of one harmful part, after five crashes and the contact time.
    int soundCount = 0; // Sound requests later than twice the contact time after the fifth crash.
    int soundHeldBack = 0;
    int countBefore = 0; // Sound requests until harmful ones come.
    int heldBackBefore = 0;

    double servedShare() const { return shareOf(soundCount, soundHeldBack); }
    double servedShareBefore() const { return shareOf(countBefore, heldBackBefore); }

    static double shareOf(int count, int heldBack)
    {
        return count == 0 ? 1 : 1 - static_cast<double>(heldBack) / count;
    }
};

// One play of a load.
class Play
{
public:
    Play(const Load &load, std::uint64_t seed) : m_load(load), m_random(seed)
    {
        for (int i = 0; i < load.daemons; ++i)
            m_daemons.push_back(std::make_unique<Daemon>());
        m_servers.resize(static_cast<std::size_t>(load.servers));
        m_harmful.resize(static_cast<std::size_t>(load.harmfulParts));
    }

    Outcome run()
    {
        bool hadOutage = false;
        for (; m_now < MonotonicTime(end); m_now += step) {
            deliverReports();
            for (auto &daemon : m_daemons)
                daemon->quarantine.advance(m_now);
            sendSound();
            if (m_now >= MonotonicTime(harmfulFrom))
                sendHarmful();
            if (m_load.hasOutage && !hadOutage && m_now >= MonotonicTime(seconds(6))) {
                hadOutage = true;
                for (std::size_t i = 0; i < m_servers.size() / 3; ++i)
                    crash(m_servers[i]);
            }
            if (happens(m_load.randomCrashesPerSecond))
                crash(m_servers[index(m_servers.size())]);
            runServers();
            publish();
        }
        return m_outcome;
    }

private:
    struct Report
    {
        MonotonicTime arrivesAt;
        CrashReport report;
    };

    struct Daemon
    {
        Quarantine quarantine { QuarantineOptions() };
        std::uint64_t published = 0;
        MonotonicTime nextReportAt;
        std::deque<Report> underWay;
    };

    struct Request
    {
        SuspectRequest suspect;
        std::size_t daemon = 0;
        std::optional<std::size_t> harmfulPart;
        bool isOfHarmfulSubject = false; // Sent while its part was sound.
        int sends = 0;
        MonotonicTime beginsAt;
        MonotonicTime endsAt;
        bool isNoted = false; // As going on.
    };

    struct Server
    {
        int life = 0;
        MonotonicTime awayUntil;
        std::vector<Request> requests;
    };

    struct HarmfulPart
    {
        int crashes = 0;
        std::optional<MonotonicTime> fifthCrashAt;
        int lateSends = 0;
    };

    WallTime wallNow() const
    {
        return WallTime(std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()));
    }
    std::size_t index(std::size_t count)
    {
        return std::min(count - 1,
                        static_cast<std::size_t>(m_random.fraction() * static_cast<double>(count)));
    }
    bool happens(double perSecond)
    {
        return m_random.fraction() < perSecond * std::chrono::duration<double>(step).count();
    }
    Duration between(Duration least, Duration most)
    {
        return least + scaled(most - least, m_random.fraction());
    }
    std::string nameOf(const Server &server) const
    {
        return std::to_string(&server - m_servers.data()) + "/" + std::to_string(server.life);
    }
    static Fingerprint part(const std::string &id)
    {
        return fingerprintOf("k", PromptPartIdentity { ModelId("m"), PromptPartId(id) });
    }

    Request makeRequest(const std::string &subject)
    {
        Request request;
        const std::string own = std::to_string(++m_lastRequest);
        request.suspect = { Fingerprint("r" + own),
                            AccountId("school"),
                            "route",
                            { part("first"), part(subject), part("own" + own) } };
        request.daemon = index(m_daemons.size());
        return request;
    }

    void sendSound()
    {
        const double perStep = m_load.soundPerSecond * std::chrono::duration<double>(step).count();
        int count = static_cast<int>(perStep);
        count += m_random.fraction() < perStep - count ? 1 : 0;
        for (int i = 0; i < count; ++i) {
            const double popularity = std::pow(m_random.fraction(), 3);
            std::string subject = std::to_string(static_cast<int>(popularity * m_load.subjects));
            const bool isBefore = m_now < MonotonicTime(harmfulFrom);
            if (m_load.wereSoundBefore && isBefore && m_random.fraction() < 0.1)
                subject = "harmful" + std::to_string(index(m_harmful.size()));
            Request request = makeRequest(subject);
            request.isOfHarmfulSubject = subject.compare(0, 7, "harmful") == 0;
            send(std::move(request));
        }
    }

    void sendHarmful()
    {
        for (std::size_t i = 0; i < m_harmful.size(); ++i) {
            if (!happens(m_load.harmfulPerSecond))
                continue;
            Request request = makeRequest("harmful" + std::to_string(i));
            request.harmfulPart = i;
            send(std::move(request));
        }
    }

    bool isJudged() const
    {
        return std::any_of(m_harmful.begin(), m_harmful.end(), [this](const HarmfulPart &harmful) {
            return harmful.fifthCrashAt && m_now > *harmful.fifthCrashAt + 2 * contactTime;
        });
    }

    void send(Request request)
    {
        const bool isFirst = request.sends == 0;
        const bool isHeldBack = m_daemons[request.daemon]->quarantine.contains(request.suspect);
        if (isFirst && !request.harmfulPart) {
            m_outcome.soundCount += isJudged() ? 1 : 0;
            m_outcome.soundHeldBack += isJudged() && isHeldBack ? 1 : 0;
            const bool isBefore = m_now < MonotonicTime(harmfulFrom);
            m_outcome.countBefore += isBefore ? 1 : 0;
            m_outcome.heldBackBefore += isBefore && isHeldBack ? 1 : 0;
        }
        Server *chosen = nullptr;
        for (int i = 0; i < 4; ++i) {
            Server &server = m_servers[index(m_servers.size())];
            const bool isUp = server.awayUntil <= m_now
                && server.requests.size() < static_cast<std::size_t>(m_load.slots);
            if (isUp && (chosen == nullptr || server.requests.size() < chosen->requests.size()))
                chosen = &server;
        }
        if (isHeldBack || chosen == nullptr)
            return;
        ++request.sends;
        if (request.harmfulPart) {
            HarmfulPart &harmful = m_harmful[*request.harmfulPart];
            if (harmful.fifthCrashAt && m_now > *harmful.fifthCrashAt + contactTime)
                m_outcome.lateSends = std::max(m_outcome.lateSends, ++harmful.lateSends);
        }
        request.beginsAt = m_now + between(milliseconds(50), milliseconds(300));
        request.endsAt = request.harmfulPart
            ? request.beginsAt + between(milliseconds(20), milliseconds(100))
            : request.beginsAt + m_load.answerTime;
        chosen->requests.push_back(std::move(request));
    }

    void runServers()
    {
        for (Server &server : m_servers) {
            const auto harmful = std::find_if(
                server.requests.begin(), server.requests.end(), [this](const Request &request) {
                    return request.harmfulPart && request.endsAt <= m_now;
                });
            if (harmful != server.requests.end()) {
                HarmfulPart &part = m_harmful[*harmful->harmfulPart];
                ++m_outcome.crashes;
                if (++part.crashes == freeCrashes)
                    part.fifthCrashAt = m_now;
                crash(server);
                continue;
            }
            noteAnswers(server);
        }
    }

    void noteAnswers(Server &server)
    {
        std::vector<Request> left;
        for (Request &request : server.requests) {
            Quarantine &quarantine = m_daemons[request.daemon]->quarantine;
            if (request.endsAt <= m_now) {
                quarantine.noteCompleteAnswer(request.suspect.fingerprint, m_now);
                quarantine.notePartsSound(request.suspect.parts, request.beginsAt, m_now);
                continue;
            }
            const bool goesOn = m_now - request.beginsAt >= quarantine.partSurvivalTime();
            if (goesOn && !request.isNoted && quarantine.suspectsParts()) {
                request.isNoted = true;
                quarantine.notePartsSound(request.suspect.parts, request.beginsAt, m_now);
            }
            left.push_back(std::move(request));
        }
        server.requests = std::move(left);
    }

    void crash(Server &server)
    {
        if (server.awayUntil > m_now)
            return;
        const HostId host(nameOf(server));
        std::vector<Request> interrupted = std::exchange(server.requests, {});
        ++server.life;
        server.awayUntil = m_now + m_load.awayTime;
        for (const Request &request : interrupted)
            m_daemons[request.daemon]->quarantine.noteCrash(request.suspect, host, m_now,
                                                            wallNow());
        for (Request &request : interrupted) {
            if (request.sends < 2 && !request.isOfHarmfulSubject)
                send(std::move(request));
        }
    }

    void publish()
    {
        for (auto &daemon : m_daemons) {
            const std::uint64_t version = daemon->quarantine.ownAddedVersion();
            if (version == daemon->published || m_now < daemon->nextReportAt)
                continue;
            daemon->published = version;
            daemon->nextReportAt = m_now + milliseconds(250);
            daemon->underWay.push_back(
                { m_now + between(m_load.minReportDelay, m_load.maxReportDelay),
                  daemon->quarantine.own() });
        }
    }

    void deliverReports()
    {
        for (std::size_t from = 0; from < m_daemons.size(); ++from) {
            std::deque<Report> &underWay = m_daemons[from]->underWay;
            while (!underWay.empty() && underWay.front().arrivesAt <= m_now) {
                for (std::size_t to = 0; to < m_daemons.size(); ++to) {
                    if (to != from)
                        m_daemons[to]->quarantine.applyReport(
                            CrashReportSource(std::to_string(from)), underWay.front().report, m_now,
                            wallNow());
                }
                underWay.pop_front();
            }
        }
    }

    Load m_load;
    Random m_random;
    MonotonicTime m_now;
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    std::vector<Server> m_servers;
    std::vector<HarmfulPart> m_harmful;
    int m_lastRequest = 0;
    Outcome m_outcome;
};

class AttributionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttributionTest);
    CPPUNIT_TEST(harmfulPartIsHeldBackAndSoundOnesAreNot);
    CPPUNIT_TEST(twoHarmfulPartsAreHeldBackAndSoundOnesAreNot);
    CPPUNIT_TEST(partThatTurnsHarmfulIsHeldBack);
    CPPUNIT_TEST(harmfulPartIsHeldBackAtLowLoad);
    CPPUNIT_TEST(harmfulPartIsHeldBackByManyDaemons);
    CPPUNIT_TEST(crashesWithoutHarmfulPartsHoldBackNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void harmfulPartIsHeldBackAndSoundOnesAreNot()
    {
        for (const double perSecond : { 1, 2, 5, 10 }) {
            Load load;
            load.harmfulPerSecond = perSecond;
            load.randomCrashesPerSecond = 0.2;
            check(load, "one part");
        }
    }

    void twoHarmfulPartsAreHeldBackAndSoundOnesAreNot()
    {
        Load load;
        load.harmfulParts = 2;
        check(load, "two parts");
    }

    void partThatTurnsHarmfulIsHeldBack()
    {
        Load load;
        load.wereSoundBefore = true;
        check(load, "a part that was sound");
    }

    void harmfulPartIsHeldBackAtLowLoad()
    {
        Load load;
        load.soundPerSecond = 5;
        load.harmfulPerSecond = 2;
        check(load, "low load");
    }

    void harmfulPartIsHeldBackByManyDaemons()
    {
        Load load;
        load.daemons = 60;
        load.servers = 150;
        load.soundPerSecond = 120;
        load.harmfulPerSecond = 10;
        load.maxReportDelay = milliseconds(2000);
        check(load, "many daemons", 3);
    }

    void crashesWithoutHarmfulPartsHoldBackNothing()
    {
        for (const int daemons : { 6, 60 }) {
            Load load;
            load.daemons = daemons;
            load.harmfulPerSecond = 0;
            load.hasOutage = true;
            load.randomCrashesPerSecond = 0.5;
            for (std::uint64_t seed = 1; seed <= 6; ++seed) {
                const Outcome outcome = Play(load, seed).run();
                CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": "
                                           + std::to_string(outcome.heldBackBefore)
                                           + " sound requests held back",
                                       outcome.servedShareBefore() >= minServedShare);
            }
        }
    }

protected:
    static void check(const Load &load, const std::string &name, std::uint64_t seeds = 6)
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const Outcome outcome = Play(load, seed).run();
            const std::string what = name + ", " + std::to_string(load.harmfulPerSecond)
                + " a second, seed " + std::to_string(seed) + ": " + std::to_string(outcome.crashes)
                + " crashes, " + std::to_string(outcome.lateSends) + " late sends, "
                + std::to_string(outcome.servedShare()) + " of "
                + std::to_string(outcome.soundCount) + " sound requests served, "
                + std::to_string(outcome.heldBackBefore) + " held back before";
            CPPUNIT_ASSERT_MESSAGE(what, outcome.lateSends <= maxLateSends);
            CPPUNIT_ASSERT_MESSAGE(what, outcome.servedShare() >= minServedShare);
            CPPUNIT_ASSERT_MESSAGE(what, outcome.servedShareBefore() >= minServedShare);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttributionTest);

class TurningPartTest : public AttributionTest
{
    CPPUNIT_TEST_SUITE(TurningPartTest);
    CPPUNIT_TEST(partThatTurnsHarmfulAtAHighRateIsHeldBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void partThatTurnsHarmfulAtAHighRateIsHeldBack()
    {
        Load load;
        load.wereSoundBefore = true;
        load.harmfulPerSecond = 10;
        check(load, "a part that was sound", 20);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(TurningPartTest, "turning_part");

} // namespace
