// Tests of passing the store's changes on: the log of changes, the choice of relays, who gets which
// answer when, what an answer proves, and the sums of loads.

#include <map>

#include <rapidcheck.h>

#include "ramphinge/base/random.h"
#include "ramphinge/relay/load_aggregator.h"
#include "ramphinge/relay/relay_choice.h"
#include "ramphinge/relay/update_feed.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

using Picture = std::map<StoreKey, std::string>;

constexpr Duration step = std::chrono::milliseconds(10);

void applyTo(Picture &picture, const std::vector<StoreChange> &changes)
{
    for (const StoreChange &change : changes) {
        if (change.stored)
            picture[change.key] = change.stored->value;
        else
            picture.erase(change.key);
    }
}

// A store whose every state is kept, by revision.
class RecordedStore
{
public:
    // Puts or erases one of a few keys.
    StoreChange change(Random &random, MonotonicTime at)
    {
        m_upTo = Revision(m_upTo.count() + 1);
        const StoreKey key("k" + std::to_string(random.below(6)));
        StoreChange change { key, std::nullopt };
        if (random.below(3) > 0)
            change.stored = StoredValue { "v" + std::to_string(m_upTo.count()), m_upTo };
        applyTo(m_present, { change });
        m_states.push_back(m_present);
        m_times.push_back(at);
        m_changes.push_back(change);
        return change;
    }

    WatchBatch since(Revision after) const
    {
        WatchBatch batch;
        batch.upTo = m_upTo;
        for (auto i = static_cast<std::size_t>(after.count()); i < m_changes.size(); ++i)
            batch.changes.push_back(m_changes[i]);
        return batch;
    }

    // The newest revision that was there at `moment`.
    Revision revisionAt(MonotonicTime moment) const
    {
        const auto after = std::upper_bound(m_times.begin(), m_times.end(), moment);
        return Revision(after - m_times.begin());
    }

    Picture stateOf(Revision revision) const
    {
        return revision == absentRevision ? Picture() : m_states[revision.count() - 1];
    }

    Revision upTo() const { return m_upTo; }

private:
    Revision m_upTo;
    Picture m_present;
    std::vector<Picture> m_states; // Of revision i + 1 at index i.
    std::vector<MonotonicTime> m_times; // Of each change.
    std::vector<StoreChange> m_changes;
};

// Takes a few changes at a time; false if that doesn't lead on.
bool applyInParts(Picture &picture, const ChangeLog &log, Revision after)
{
    std::size_t maxBytes = 6;
    while (true) {
        const std::optional<LoggedChanges> part = log.changesAfter(after, maxBytes);
        if (!part) { // What one revision changed is larger.
            maxBytes *= 2;
            continue;
        }
        applyTo(picture, part->changes);
        if (part->isComplete)
            return part->upTo == log.upTo();
        if (part->upTo <= after)
            return false;
        after = part->upTo;
    }
}

StoreUpdateRequestMessage request(int id, int after, Duration wait, bool storeLost = false)
{
    return { CorrelationId(id), Revision(after), wait, storeLost };
}

RelayCandidate daemon(const std::string &name, const std::string &zone, double processor,
                      std::uint16_t port = 1)
{
    return { DaemonId(name), ZoneId(zone), { "10.0.0.1", port }, processor };
}

StoreChange put(const char *key, const std::string &value, int revision)
{
    return { StoreKey(key), StoredValue { value, Revision(revision) } };
}

// What a wrong implementation would take for the moment up to which news hold.
enum class Fault { None, DatedByTheAnswer, DatedByTheEndOfTheWatch };

// One relay and one daemon that follows it, over a network that delays and loses messages, with
// pauses of either and a relay that is cut off from the store. Returns what broke the promise that
// a proof makes: that the picture is as new as the store was at that moment, or newer.
std::vector<std::string> playHop(std::uint64_t seed, Fault fault, UpdateFeedOptions options = {})
{
    Random random(seed);
    RecordedStore store;
    UpdateFeed feed(options, {});
    feed.setServing(true);
    MonotonicTime now(std::chrono::seconds(1));
    feed.onListed(Revision(0), now);
    struct OwnWatch
    {
        MonotonicTime startedAt;
        MonotonicTime endsAt;
    };
    std::optional<OwnWatch> watch;
    struct Underway
    {
        MonotonicTime arrives;
        StoreUpdateMessage update;
        StoreUpdateRequestMessage request;
        bool isAnswer;
    };
    std::vector<Underway> messages;
    Revision relayUpTo;
    Picture leaf;
    Revision leafUpTo;
    MonotonicTime requestedAt;
    bool asks = false;
    int id = 0;
    MonotonicTime relayAwakeAt;
    MonotonicTime cutUntil;
    std::vector<std::string> broken;
    const auto delay = [&random] { return Milliseconds(1 + random.below(120)); };
    for (int i = 0; i < 1500; ++i) {
        now += step;
        if (random.below(12) == 0)
            store.change(random, now);
        if (random.below(300) == 0)
            relayAwakeAt = now + Milliseconds(random.below(2500));
        if (random.below(300) == 0)
            cutUntil = now + Milliseconds(random.below(2500));
        if (now >= relayAwakeAt) {
            if (!watch && now >= cutUntil)
                watch = OwnWatch { now, now + Milliseconds(random.below(700)) };
            if (watch && now >= watch->endsAt) {
                // Its content is that of some moment between its start and its end.
                const WatchBatch batch = store.since(relayUpTo);
                relayUpTo = batch.upTo;
                feed.onAdvanced(batch,
                                fault == Fault::DatedByTheEndOfTheWatch ? now + Milliseconds(400)
                                                                        : watch->startedAt);
                watch.reset();
            }
            for (const UpdateResponse &answer : feed.takeDue(now))
                messages.push_back({ now + delay(), answer.update, {}, true });
        }
        if (!asks || now - requestedAt > std::chrono::seconds(2)) {
            asks = true;
            requestedAt = now;
            messages.push_back({ now + delay(),
                                 {},
                                 request(++id, static_cast<int>(leafUpTo.count()),
                                         Milliseconds(random.below(900))),
                                 false });
        }
        std::vector<Underway> rest;
        for (Underway &message : messages) {
            const bool held = !message.isAnswer && now < relayAwakeAt;
            if (message.arrives > now || held) {
                rest.push_back(message);
            } else if (!message.isAnswer) {
                feed.addRequest(DaemonId("leaf"), message.request, now);
            } else if (message.update.id == CorrelationId(id)) {
                asks = false;
                if (message.update.verdict != UpdateVerdict::Update)
                    continue;
                applyTo(leaf, message.update.changes);
                leafUpTo = std::max(leafUpTo, message.update.upTo);
                const MonotonicTime base = fault == Fault::DatedByTheAnswer ? now : requestedAt;
                const MonotonicTime proof = localFreshnessTime(message.update, base, now);
                const Revision owed = store.revisionAt(proof);
                if (leafUpTo < owed)
                    broken.push_back("proved " + std::to_string(owed.count()) + ", has "
                                     + std::to_string(leafUpTo.count()));
                const bool isWhole = !message.update.moreFollow; // A part holds keys' newest only.
                if (isWhole && leaf != store.stateOf(leafUpTo))
                    broken.push_back("the picture is not that of its revision");
            }
        }
        messages = std::move(rest);
    }
    return broken;
}

} // namespace

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(logBringsAnyOldPictureUpToDate);
    CPPUNIT_TEST(logForgetsTheOldestAndSaysSo);
    CPPUNIT_TEST(strongestDaemonsOfTheZoneAreItsRelays);
    CPPUNIT_TEST(smallZonesHaveNoRelays);
    CPPUNIT_TEST(largeZonesHaveMoreRelays);
    CPPUNIT_TEST(relaysShareTheQuestions);
    CPPUNIT_TEST(recordsSurviveTheirText);
    CPPUNIT_TEST(newsAreGivenAtOnceOthersWait);
    CPPUNIT_TEST(whoeverIsNoUseSaysSoAtOnce);
    CPPUNIT_TEST(askerWithoutItsStoreWaitsForTheRelays);
    CPPUNIT_TEST(tooMuchNewsGoByTheStore);
    CPPUNIT_TEST(newRelayKnowsOnlyWhatCameSince);
    CPPUNIT_TEST(waitingIsBounded);
    CPPUNIT_TEST(proofOverAHopIsNeverTooNew);
    CPPUNIT_TEST(newsInPartsProveNothingTooNew);
    CPPUNIT_TEST(wrongDatingIsCaught);
    CPPUNIT_TEST(loadsAreSummedWhileTheyAreFresh);
    CPPUNIT_TEST(ownLoadIsTakenOutOfTheSum);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void logBringsAnyOldPictureUpToDate()
    {
        const bool sound = rc::check("changes since any revision lead to the present", [] {
            Random random(*rc::gen::arbitrary<std::uint64_t>());
            RecordedStore store;
            ChangeLog log({});
            log.restart(Revision(0));
            for (int batch = 0; batch < 6; ++batch) {
                for (std::uint64_t i = random.below(8); i > 0; --i)
                    store.change(random, {});
                log.add(store.since(log.upTo()));
                for (int after = 0; after <= store.upTo().count(); ++after) {
                    RC_ASSERT(log.reachesBackTo(Revision(after)));
                    Picture picture = store.stateOf(Revision(after));
                    applyTo(picture, log.changesAfter(Revision(after), 1 << 20)->changes);
                    RC_ASSERT(picture == store.stateOf(store.upTo()));
                    Picture inParts = store.stateOf(Revision(after));
                    RC_ASSERT(applyInParts(inParts, log, Revision(after)));
                    RC_ASSERT(inParts == store.stateOf(store.upTo()));
                }
            }
        });
        CPPUNIT_ASSERT(sound);
    }

    void logForgetsTheOldestAndSaysSo()
    {
        ChangeLog log({ 30 });
        log.restart(Revision(10));
        log.add({ Revision(11), true, { put("a", std::string(12, 'x'), 11) } });
        log.add({ Revision(12), true, { put("b", std::string(12, 'x'), 12) } });
        CPPUNIT_ASSERT(log.reachesBackTo(Revision(10)));
        CPPUNIT_ASSERT(!log.reachesBackTo(Revision(9)));
        log.add({ Revision(13), true, { put("c", std::string(12, 'x'), 13) } });
        CPPUNIT_ASSERT(!log.reachesBackTo(Revision(10)));
        CPPUNIT_ASSERT(log.reachesBackTo(Revision(11)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), log.changesAfter(Revision(11), 1000)->changes.size());
        CPPUNIT_ASSERT(log.changesAfter(Revision(11), 1000)->isComplete);
        const LoggedChanges first = *log.changesAfter(Revision(11), 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), first.changes.size());
        CPPUNIT_ASSERT_EQUAL(Revision(12), first.upTo);
        CPPUNIT_ASSERT(!first.isComplete);
        CPPUNIT_ASSERT(!log.changesAfter(Revision(11), 10));
        CPPUNIT_ASSERT(log.hasChangesAfter(Revision(12)));
        CPPUNIT_ASSERT(!log.hasChangesAfter(Revision(13)));
    }

    void strongestDaemonsOfTheZoneAreItsRelays()
    {
        std::vector<RelayCandidate> all;
        for (int i = 0; i < 20; ++i)
            all.push_back(daemon("weak" + std::to_string(i), "z", 0.12));
        all.push_back(daemon("strong", "z", 0.5));
        all.push_back(daemon("stronger", "z", 1));
        all.push_back(daemon("strongest without links", "z", 2, 0));
        all.push_back(daemon("elsewhere", "y", 2));
        const std::vector<RelayCandidate> relays = chooseRelays(ZoneId("z"), all, {}).relays;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), relays.size());
        CPPUNIT_ASSERT_EQUAL(DaemonId("stronger"), relays[0].daemon);
        CPPUNIT_ASSERT_EQUAL(DaemonId("strong"), relays[1].daemon);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseRelays(ZoneId("z"), all, {}).reserves.size());
        std::reverse(all.begin(), all.end()); // Everyone chooses the same, in whatever order.
        CPPUNIT_ASSERT_EQUAL(DaemonId("stronger"),
                             chooseRelays(ZoneId("z"), all, {}).relays[0].daemon);
    }

    void smallZonesHaveNoRelays()
    {
        std::vector<RelayCandidate> all;
        for (int i = 0; i < 7; ++i)
            all.push_back(daemon("d" + std::to_string(i), "z", 1));
        CPPUNIT_ASSERT(chooseRelays(ZoneId("z"), all, {}).relays.empty());
        all.push_back(daemon("d7", "z", 1, 0)); // Counts, though it takes no links.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseRelays(ZoneId("z"), all, {}).relays.size());
    }

    void largeZonesHaveMoreRelays()
    {
        std::vector<RelayCandidate> all;
        for (int i = 0; i < 100; ++i)
            all.push_back(daemon("d" + std::to_string(i), "z", 1));
        const std::size_t relays = chooseRelays(ZoneId("z"), all, {}).relays.size();
        const auto most = static_cast<std::size_t>(RelayChoiceOptions().maxDaemonsPerRelay);
        CPPUNIT_ASSERT(relays * most >= all.size());
        CPPUNIT_ASSERT((relays - 1) * most < all.size());
        all.resize(24);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseRelays(ZoneId("z"), all, {}).relays.size());
    }

    void relaysShareTheQuestions()
    {
        const std::vector<RelayCandidate> relays { daemon("r1", "z", 1), daemon("r2", "z", 1) };
        int first = 0;
        for (int i = 0; i < 100; ++i)
            first +=
                orderRelays(DaemonId("d" + std::to_string(i)), relays)[0].daemon == DaemonId("r1");
        CPPUNIT_ASSERT(first > 30 && first < 70);
    }

    void recordsSurviveTheirText()
    {
        const RelayCandidate record = daemon("d", "zone-1", 0.12, 7680);
        const RelayCandidate read = parseCandidate(DaemonId("d"), serializeCandidate(record));
        CPPUNIT_ASSERT(read.zone == record.zone && read.links == record.links);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, read.processor, 1e-9);
        for (const char *text : { "zone-1", "zone-1 nowhere", "zone-1 10.0.0.1:x y" }) {
            const RelayCandidate other = parseCandidate(DaemonId("d"), text);
            CPPUNIT_ASSERT_EQUAL(ZoneId("zone-1"), other.zone);
            CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), other.links.port);
        }
    }

    void newsAreGivenAtOnceOthersWait()
    {
        MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        const DaemonId early("early");
        const DaemonId late("late");
        feed.addRequest(early, request(1, 10, std::chrono::seconds(1)), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        CPPUNIT_ASSERT(*feed.nextDeadline() == now + std::chrono::seconds(1));
        now += std::chrono::milliseconds(400);
        feed.onAdvanced({ Revision(12), true, { put("k", "v", 12) } },
                        now - std::chrono::milliseconds(100));
        const std::vector<UpdateResponse> answers = feed.takeDue(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), answers.size());
        CPPUNIT_ASSERT_EQUAL(early, answers[0].to);
        CPPUNIT_ASSERT(answers[0].update.verdict == UpdateVerdict::Update);
        CPPUNIT_ASSERT_EQUAL(Revision(12), answers[0].update.upTo);
        CPPUNIT_ASSERT(answers[0].update.staleness == -std::chrono::milliseconds(300));
        feed.addRequest(late, request(1, 12, std::chrono::milliseconds(200)), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        now += std::chrono::milliseconds(200);
        const std::vector<UpdateResponse> none = feed.takeDue(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), none.size());
        CPPUNIT_ASSERT(none[0].update.changes.empty());
        CPPUNIT_ASSERT(none[0].update.staleness == std::chrono::milliseconds(100));
    }

    void whoeverIsNoUseSaysSoAtOnce()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed idle({}, {});
        idle.onListed(Revision(10), now);
        CPPUNIT_ASSERT(verdictOf(idle, request(1, 10, std::chrono::seconds(1)), now)
                       == UpdateVerdict::NoView);
        UpdateFeed feed = servingFeed(now);
        CPPUNIT_ASSERT(verdictOf(feed, request(1, 9, std::chrono::seconds(1)), now)
                       == UpdateVerdict::TooOld);
        feed.addRequest(DaemonId("waits"), request(1, 10, std::chrono::seconds(1)), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        feed.onStoreLost(); // Those that wait learn of it too.
        CPPUNIT_ASSERT(feed.takeDue(now).at(0).update.verdict == UpdateVerdict::StoreLost);
    }

    void askerWithoutItsStoreWaitsForTheRelays()
    {
        MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        feed.onStoreLost();
        feed.addRequest(DaemonId("d"), request(1, 10, std::chrono::seconds(1), true), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        now += std::chrono::milliseconds(300);
        feed.onAdvanced({ Revision(10), true, {} }, now);
        const std::vector<UpdateResponse> answers = feed.takeDue(now);
        CPPUNIT_ASSERT(answers.at(0).update.verdict
                       == UpdateVerdict::Update); // Though nothing changed.
        feed.onStoreLost();
        feed.addRequest(DaemonId("d"), request(2, 10, std::chrono::seconds(1), true), now);
        CPPUNIT_ASSERT(feed.takeDue(now + std::chrono::seconds(1)).at(0).update.verdict
                       == UpdateVerdict::StoreLost);
    }

    void tooMuchNewsGoByTheStore()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        const std::string large(UpdateFeedOptions().maxBytes, 'x');
        feed.onAdvanced({ Revision(11), true, { put("big", large, 11) } }, now);
        CPPUNIT_ASSERT(verdictOf(feed, request(1, 10, std::chrono::seconds(1)), now)
                       == UpdateVerdict::TooLarge);
    }

    void newRelayKnowsOnlyWhatCameSince()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed({}, {});
        feed.onListed(Revision(10), now);
        feed.onAdvanced({ Revision(11), true, { put("k", "v", 11) } }, now);
        feed.setServing(true);
        CPPUNIT_ASSERT(verdictOf(feed, request(1, 10, Duration::zero()), now)
                       == UpdateVerdict::NoView);
        feed.onAdvanced({ Revision(12), true, { put("k", "w", 12) } }, now);
        CPPUNIT_ASSERT(verdictOf(feed, request(1, 11, Duration::zero()), now)
                       == UpdateVerdict::TooOld);
        CPPUNIT_ASSERT(verdictOf(feed, request(1, 12, Duration::zero()), now)
                       == UpdateVerdict::Update);
    }

    void waitingIsBounded()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeedOptions options;
        options.maxPendingRequests = 3;
        UpdateFeed feed(options, {});
        feed.setServing(true);
        feed.onListed(Revision(10), now);
        for (int i = 0; i < 9; ++i)
            feed.addRequest(DaemonId("d" + std::to_string(i)),
                            request(i, 10, std::chrono::hours(9)), now);
        feed.addRequest(DaemonId("d0"), request(77, 10, std::chrono::hours(9)), now);
        const std::vector<UpdateResponse> answers = feed.takeDue(now + options.maxWait);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), answers.size());
        CPPUNIT_ASSERT_EQUAL(CorrelationId(77), answers.back().update.id); // The later question.
    }

    void proofOverAHopIsNeverTooNew()
    {
        const bool sound = rc::check("a proof over a hop is never too new", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<std::string> broken = playHop(seed, Fault::None);
            if (!broken.empty())
                RC_FAIL(broken.front());
        });
        CPPUNIT_ASSERT(sound);
    }

    void newsInPartsProveNothingTooNew()
    {
        const bool sound = rc::check("news that are cut short prove nothing too new", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            UpdateFeedOptions options;
            options.maxBytes = 8; // Two or three changes.
            const std::vector<std::string> broken = playHop(seed, Fault::None, options);
            if (!broken.empty())
                RC_FAIL(broken.front());
        });
        CPPUNIT_ASSERT(sound);
    }

    // The model notices implementations that date a proof too late.
    void wrongDatingIsCaught()
    {
        for (const Fault fault : { Fault::DatedByTheAnswer, Fault::DatedByTheEndOfTheWatch }) {
            int caught = 0;
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
                caught += playHop(seed, fault).empty() ? 0 : 1;
            CPPUNIT_ASSERT(caught >= 15);
        }
    }

    void loadsAreSummedWhileTheyAreFresh()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        const LoadAggregatorOptions options;
        const HostId host("h");
        const ModelId chat("chat");
        LoadAggregator board(options);
        board.setFollowerLoad(DaemonId("f1"), { { { host, 2, 100 } }, { { chat, { 100, 4 } } } },
                              now);
        board.setFollowerLoad(DaemonId("f1"), { { { host, 3, 200 } }, { { chat, { 50, 2 } } } },
                              now);
        board.setFollowerLoad(
            DaemonId("f2"), { { { host, 1, 0 }, { HostId("i"), 4, 50 } }, { { chat, { 7, 1 } } } },
            now);
        board.setRelayLoad(DaemonId("r"), { { { host, 10, 1000 } }, { { chat, { 1000, 9 } } } },
                           now);
        const SharedLoad own { { { host, 1, 10 } }, { { chat, { 3, 1 } } } };
        const PlaceLoads group = board.groupSum(own, now).places;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), group.size());
        CPPUNIT_ASSERT_EQUAL(5, group[0].running);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(210), group[0].waitingPrompt);
        CPPUNIT_ASSERT_EQUAL(15, board.totalSum(own, now).places[0].running);
        CPPUNIT_ASSERT_EQUAL(60.0, board.groupSum(own, now).work.at(chat).serverMilliseconds);
        CPPUNIT_ASSERT_EQUAL(1060.0, board.totalSum(own, now).work.at(chat).serverMilliseconds);
        CPPUNIT_ASSERT_EQUAL(13.0, board.totalSum(own, now).work.at(chat).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), board.followers(now).size());
        const MonotonicTime later = now + options.reportLifetime + std::chrono::milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(1, board.totalSum(own, later).places[0].running);
        CPPUNIT_ASSERT(board.followers(later).empty());
    }

    void ownLoadIsTakenOutOfTheSum()
    {
        const ModelId chat("chat");
        const SharedLoad total { { { HostId("h"), 5, 300 }, { HostId("i"), 1, 0 } },
                                 { { chat, { 10, 2 } } } };
        const SharedLoad own { { { HostId("h"), 2, 400 }, { HostId("gone"), 9, 9 } },
                               { { chat, { 4, 3 } } } };
        const SharedLoad others = subtractOwnLoad(total, own);
        const PlaceLoads &rest = others.places;
        CPPUNIT_ASSERT_EQUAL(6.0, others.work.at(chat).serverMilliseconds);
        CPPUNIT_ASSERT_EQUAL(0.0, others.work.at(chat).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), rest.size());
        CPPUNIT_ASSERT_EQUAL(3, rest[0].running);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), rest[0].waitingPrompt);
        CPPUNIT_ASSERT_EQUAL(1, rest[1].running);
    }

    void reportsAreBounded()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        LoadAggregatorOptions options;
        options.maxReports = 2;
        LoadAggregator board(options);
        for (const char *name : { "a", "b", "c" })
            board.setFollowerLoad(DaemonId(name), {}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), board.followers(now).size());
        const MonotonicTime later = now + 2 * options.reportLifetime;
        board.setFollowerLoad(DaemonId("c"), {}, later); // The old ones make room.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), board.followers(later).size());
    }

private:
    // A relay whose picture begins at revision 10.
    static UpdateFeed servingFeed(MonotonicTime now)
    {
        UpdateFeed feed({}, {});
        feed.setServing(true);
        feed.onListed(Revision(10), now);
        return feed;
    }

    static UpdateVerdict verdictOf(UpdateFeed &feed, const StoreUpdateRequestMessage &request,
                                   MonotonicTime now)
    {
        feed.addRequest(DaemonId("asks"), request, now);
        return feed.takeDue(now).at(0).update.verdict;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);
