// Tests of relaying the store's changes: the change log, the choice of relays, the responses of the
// update feed and their timing, the freshness of a relayed view, and the sums of loads.

#include <map>

#include <rapidcheck.h>

#include "ramphinge/base/random.h"
#include "ramphinge/relay/load_aggregator.h"
#include "ramphinge/relay/relay_choice.h"
#include "ramphinge/relay/relay_directory.h"
#include "ramphinge/relay/update_feed.h"
#include "ramphinge/testing/cppunit_main.h"

using namespace ramphinge;

namespace {

using View = std::map<StoreKey, std::string>;

constexpr Duration simulationStep = std::chrono::milliseconds(10);

void applyTo(View &view, const std::vector<StoreChange> &changes)
{
    for (const StoreChange &change : changes) {
        if (change.stored)
            view[change.key] = change.stored->value;
        else
            view.erase(change.key);
    }
}

// A store that records its contents at every revision.
class RecordedStore
{
public:
    // Puts or erases one of six keys.
    StoreChange change(Random &random, MonotonicTime at)
    {
        m_upTo = Revision(m_upTo.count() + 1);
        const StoreKey key("k" + std::to_string(random.below(6)));
        StoreChange change { key, std::nullopt };
        if (random.below(3) > 0)
            change.stored = StoredValue { "v" + std::to_string(m_upTo.count()), m_upTo };
        applyTo(m_current, { change });
        m_states.push_back(m_current);
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

    // The newest revision at `moment`.
    Revision revisionAt(MonotonicTime moment) const
    {
        const auto after = std::upper_bound(m_times.begin(), m_times.end(), moment);
        return Revision(after - m_times.begin());
    }

    View viewAt(Revision revision) const
    {
        return revision == absentRevision ? View() : m_states[revision.count() - 1];
    }

    Revision upTo() const { return m_upTo; }

private:
    Revision m_upTo;
    View m_current;
    std::vector<View> m_states; // Index i holds the contents at revision i + 1.
    std::vector<MonotonicTime> m_times; // The time of each change.
    std::vector<StoreChange> m_changes;
};

// Applies the changes after `after` in small parts; false if a part makes no progress, or the last
// one doesn't reach the end of the log.
bool applyInParts(View &view, const ChangeLog &log, Revision after)
{
    std::size_t maxBytes = 6;
    while (true) {
        const std::optional<LoggedChanges> part = log.changesAfter(after, maxBytes);
        if (!part) { // The changes of one revision exceed maxBytes.
            maxBytes *= 2;
            continue;
        }
        applyTo(view, part->changes);
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

DaemonRegistration daemon(const std::string &name, const std::string &zone, double processor,
                          std::uint16_t port = 1)
{
    return { DaemonId(name), ZoneId(zone), { "10.0.0.1", port }, processor };
}

StoreChange put(const char *key, const std::string &value, int revision)
{
    return { StoreKey(key), StoredValue { value, Revision(revision) } };
}

// A wrong time that an implementation could take as the one up to which an update holds every
// change: relative to the arrival of the response, or to the end of the relay's watch.
enum class Fault { None, AgeFromResponseTime, AgeFromWatchEnd };

// Simulates one relay and one follower over a network that delays messages, with pauses of the
// relay and partitions between relay and store. Returns the violations of the freshness guarantee:
// at each update the follower's view must be at least as new as the store was at its freshness
// time.
std::vector<std::string> simulateRelay(std::uint64_t seed, Fault fault,
                                       UpdateFeedOptions options = {})
{
    Random random(seed);
    RecordedStore store;
    UpdateFeed feed(options, {});
    feed.setServing(true);
    MonotonicTime now(std::chrono::seconds(1));
    feed.onListed({ Revision(0), {} }, now);
    struct RelayWatch
    {
        MonotonicTime startedAt;
        MonotonicTime endsAt;
    };
    std::optional<RelayWatch> watch;
    struct InFlight
    {
        MonotonicTime arrivesAt;
        StoreUpdateMessage update;
        StoreUpdateRequestMessage request;
        bool isResponse;
    };
    std::vector<InFlight> messages;
    Revision relayUpTo;
    View followerView;
    Revision followerUpTo;
    MonotonicTime requestedAt;
    bool hasOutstandingRequest = false;
    int id = 0;
    MonotonicTime relayPausedUntil;
    MonotonicTime partitionedUntil;
    std::vector<std::string> violations;
    const auto delay = [&random] { return Milliseconds(1 + random.below(120)); };
    for (int i = 0; i < 1500; ++i) {
        now += simulationStep;
        if (random.below(12) == 0)
            store.change(random, now);
        if (random.below(300) == 0)
            relayPausedUntil = now + Milliseconds(random.below(2500));
        if (random.below(300) == 0)
            partitionedUntil = now + Milliseconds(random.below(2500));
        if (now >= relayPausedUntil) {
            if (!watch && now >= partitionedUntil)
                watch = RelayWatch { now, now + Milliseconds(random.below(700)) };
            if (watch && now >= watch->endsAt) {
                // A watch returns the store's contents at some time between its start and end.
                const WatchBatch batch = store.since(relayUpTo);
                relayUpTo = batch.upTo;
                feed.onAdvanced(batch,
                                fault == Fault::AgeFromWatchEnd ? now + Milliseconds(400)
                                                                : watch->startedAt);
                watch.reset();
            }
            for (const UpdateResponse &response : feed.takeDue(now))
                messages.push_back({ now + delay(), response.update, {}, true });
        }
        if (!hasOutstandingRequest || now - requestedAt > std::chrono::seconds(2)) {
            hasOutstandingRequest = true;
            requestedAt = now;
            messages.push_back({ now + delay(),
                                 {},
                                 request(++id, static_cast<int>(followerUpTo.count()),
                                         Milliseconds(random.below(900))),
                                 false });
        }
        std::vector<InFlight> rest;
        for (InFlight &message : messages) {
            const bool isHeld = !message.isResponse && now < relayPausedUntil;
            if (message.arrivesAt > now || isHeld) {
                rest.push_back(message);
            } else if (!message.isResponse) {
                feed.addRequest(DaemonId("follower"), message.request, now);
            } else if (message.update.id == CorrelationId(id)) {
                hasOutstandingRequest = false;
                if (message.update.verdict != UpdateVerdict::Update)
                    continue;
                applyTo(followerView, message.update.changes);
                followerUpTo = std::max(followerUpTo, message.update.upTo);
                const MonotonicTime reference =
                    fault == Fault::AgeFromResponseTime ? now : requestedAt;
                const MonotonicTime freshnessTime =
                    localFreshnessTime(message.update, reference, now);
                const Revision requiredRevision = store.revisionAt(freshnessTime);
                if (followerUpTo < requiredRevision)
                    violations.push_back("needs revision "
                                         + std::to_string(requiredRevision.count()) + ", has "
                                         + std::to_string(followerUpTo.count()));
                const bool isCompleteUpdate =
                    !message.update.moreFollow; // A part omits superseded changes.
                if (isCompleteUpdate && followerView != store.viewAt(followerUpTo))
                    violations.push_back("the view differs from the store at its revision");
            }
        }
        messages = std::move(rest);
    }
    return violations;
}

} // namespace

class RelayTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RelayTest);
    CPPUNIT_TEST(logBringsAnyOldViewUpToDate);
    CPPUNIT_TEST(logDiscardsTheOldestChangesFirst);
    CPPUNIT_TEST(daemonsWithTheLargestProcessorShareAreRelays);
    CPPUNIT_TEST(smallZonesHaveNoRelays);
    CPPUNIT_TEST(largeZonesHaveMoreRelays);
    CPPUNIT_TEST(relaysShareTheRequests);
    CPPUNIT_TEST(registrationsRoundTrip);
    CPPUNIT_TEST(requestIsAnsweredOnAChangeOrAtItsDeadline);
    CPPUNIT_TEST(requestsThatCannotBeServedAreDeclinedAtOnce);
    CPPUNIT_TEST(followerWithoutStoreWaitsUntilTheRelayReachesIt);
    CPPUNIT_TEST(oversizedRevisionIsDeclined);
    CPPUNIT_TEST(newRelayLogsOnlyLaterChanges);
    CPPUNIT_TEST(snapshotComesInPartsInTheOrderOfKeys);
    CPPUNIT_TEST(relayWithoutAListingSendsNoSnapshot);
    CPPUNIT_TEST(relaysOfAZoneAreBounded);
    CPPUNIT_TEST(directoryEntryIsReadAsWritten);
    CPPUNIT_TEST(oversizedRevisionIsSentAsADelta);
    CPPUNIT_TEST(deltaNeedsABaseThatTheRelayKnows);
    CPPUNIT_TEST(largestValuesKeepTheirHistory);
    CPPUNIT_TEST(pendingRequestsAreBounded);
    CPPUNIT_TEST(relayedFreshnessIsNeverOverstated);
    CPPUNIT_TEST(partialUpdatesNeverOverstateFreshness);
    CPPUNIT_TEST(simulationDetectsOverstatedFreshness);
    CPPUNIT_TEST(loadsAreSummedUntilTheyExpire);
    CPPUNIT_TEST(accountLoadsAreSummed);
    CPPUNIT_TEST(ownLoadIsSubtractedFromTheSum);
    CPPUNIT_TEST(reportsAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void logBringsAnyOldViewUpToDate()
    {
        const bool holds = rc::check("changes since any revision bring a view up to date", [] {
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
                    View view = store.viewAt(Revision(after));
                    applyTo(view, log.changesAfter(Revision(after), 1 << 20)->changes);
                    RC_ASSERT(view == store.viewAt(store.upTo()));
                    View inParts = store.viewAt(Revision(after));
                    RC_ASSERT(applyInParts(inParts, log, Revision(after)));
                    RC_ASSERT(inParts == store.viewAt(store.upTo()));
                }
            }
        });
        CPPUNIT_ASSERT(holds);
    }

    void logDiscardsTheOldestChangesFirst()
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

    void daemonsWithTheLargestProcessorShareAreRelays()
    {
        std::vector<DaemonRegistration> all;
        for (int i = 0; i < 20; ++i)
            all.push_back(daemon("weak" + std::to_string(i), "z", 0.12));
        all.push_back(daemon("strong", "z", 0.5));
        all.push_back(daemon("stronger", "z", 1));
        all.push_back(daemon("strongest without links", "z", 2, 0));
        all.push_back(daemon("elsewhere", "y", 2));
        const std::vector<DaemonRegistration> relays = chooseRelays(ZoneId("z"), all, {}).relays;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), relays.size());
        CPPUNIT_ASSERT_EQUAL(DaemonId("stronger"), relays[0].daemon);
        CPPUNIT_ASSERT_EQUAL(DaemonId("strong"), relays[1].daemon);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseRelays(ZoneId("z"), all, {}).reserves.size());
        std::reverse(all.begin(),
                     all.end()); // The choice doesn't depend on the order of the daemons.
        CPPUNIT_ASSERT_EQUAL(DaemonId("stronger"),
                             chooseRelays(ZoneId("z"), all, {}).relays[0].daemon);
    }

    void smallZonesHaveNoRelays()
    {
        std::vector<DaemonRegistration> all;
        for (int i = 0; i < 7; ++i)
            all.push_back(daemon("d" + std::to_string(i), "z", 1));
        CPPUNIT_ASSERT(chooseRelays(ZoneId("z"), all, {}).relays.empty());
        all.push_back(daemon("d7", "z", 1, 0)); // Counts, though it accepts no links.
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseRelays(ZoneId("z"), all, {}).relays.size());
    }

    void largeZonesHaveMoreRelays()
    {
        std::vector<DaemonRegistration> all;
        for (int i = 0; i < 100; ++i)
            all.push_back(daemon("d" + std::to_string(i), "z", 1));
        const std::size_t relays = chooseRelays(ZoneId("z"), all, {}).relays.size();
        const auto maxDaemons = static_cast<std::size_t>(RelayChoiceOptions().maxDaemonsPerRelay);
        CPPUNIT_ASSERT(relays * maxDaemons >= all.size());
        CPPUNIT_ASSERT((relays - 1) * maxDaemons < all.size());
        all.resize(24);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), chooseRelays(ZoneId("z"), all, {}).relays.size());
    }

    void relaysShareTheRequests()
    {
        const std::vector<DaemonRegistration> relays { daemon("r1", "z", 1), daemon("r2", "z", 1) };
        int first = 0;
        for (int i = 0; i < 100; ++i)
            first +=
                orderRelays(DaemonId("d" + std::to_string(i)), relays)[0].daemon == DaemonId("r1");
        CPPUNIT_ASSERT(first > 30 && first < 70);
    }

    void registrationsRoundTrip()
    {
        const DaemonRegistration record = daemon("d", "zone-1", 0.12, 7680);
        const DaemonRegistration read =
            parseRegistration(DaemonId("d"), serializeRegistration(record));
        CPPUNIT_ASSERT(read.zone == record.zone && read.links == record.links);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, read.processor, 1e-9);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), read.forwards.port);
        for (const std::uint16_t links : { std::uint16_t(0), std::uint16_t(7680) }) {
            DaemonRegistration forwarding = daemon("d", "zone-1", 0.12, links);
            forwarding.forwards = { "10.0.0.1", 7355 };
            const DaemonRegistration other =
                parseRegistration(DaemonId("d"), serializeRegistration(forwarding));
            CPPUNIT_ASSERT(other.forwards == forwarding.forwards);
            CPPUNIT_ASSERT_EQUAL(links, other.links.port);
        }
        for (const char *text :
             { "zone-1", "zone-1 nowhere", "zone-1 10.0.0.1:x y", "zone-1 - 0.5 10.0.0.1:x" }) {
            const DaemonRegistration other = parseRegistration(DaemonId("d"), text);
            CPPUNIT_ASSERT_EQUAL(ZoneId("zone-1"), other.zone);
            CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), other.links.port);
            CPPUNIT_ASSERT_EQUAL(std::uint16_t(0), other.forwards.port);
        }
    }

    void requestIsAnsweredOnAChangeOrAtItsDeadline()
    {
        MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        const DaemonId earlyFollower("early");
        const DaemonId lateFollower("late");
        feed.addRequest(earlyFollower, request(1, 10, std::chrono::seconds(1)), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        CPPUNIT_ASSERT(*feed.nextDeadline() == now + std::chrono::seconds(1));
        now += std::chrono::milliseconds(400);
        feed.onAdvanced({ Revision(12), true, { put("k", "v", 12) } },
                        now - std::chrono::milliseconds(100));
        const std::vector<UpdateResponse> responses = feed.takeDue(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), responses.size());
        CPPUNIT_ASSERT_EQUAL(earlyFollower, responses[0].to);
        CPPUNIT_ASSERT(responses[0].update.verdict == UpdateVerdict::Update);
        CPPUNIT_ASSERT_EQUAL(Revision(12), responses[0].update.upTo);
        CPPUNIT_ASSERT(responses[0].update.staleness == -std::chrono::milliseconds(300));
        feed.addRequest(lateFollower, request(1, 12, std::chrono::milliseconds(200)), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        now += std::chrono::milliseconds(200);
        const std::vector<UpdateResponse> none = feed.takeDue(now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), none.size());
        CPPUNIT_ASSERT(none[0].update.changes.empty());
        CPPUNIT_ASSERT(none[0].update.staleness == std::chrono::milliseconds(100));
    }

    void requestsThatCannotBeServedAreDeclinedAtOnce()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed notServing({}, {});
        notServing.onListed({ Revision(10), {} }, now);
        CPPUNIT_ASSERT(verdictOf(notServing, request(1, 10, std::chrono::seconds(1)), now)
                       == UpdateVerdict::NoView);
        UpdateFeed feed = servingFeed(now);
        CPPUNIT_ASSERT(verdictOf(feed, request(1, 9, std::chrono::seconds(1)), now)
                       == UpdateVerdict::TooOld);
        feed.addRequest(DaemonId("waits"), request(1, 10, std::chrono::seconds(1)), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        feed.onStoreLost(); // Also declines pending requests.
        CPPUNIT_ASSERT(feed.takeDue(now).at(0).update.verdict == UpdateVerdict::StoreLost);
    }

    void followerWithoutStoreWaitsUntilTheRelayReachesIt()
    {
        MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        feed.onStoreLost();
        feed.addRequest(DaemonId("d"), request(1, 10, std::chrono::seconds(1), true), now);
        CPPUNIT_ASSERT(feed.takeDue(now).empty());
        now += std::chrono::milliseconds(300);
        feed.onAdvanced({ Revision(10), true, {} }, now);
        const std::vector<UpdateResponse> responses = feed.takeDue(now);
        CPPUNIT_ASSERT(responses.at(0).update.verdict
                       == UpdateVerdict::Update); // Though nothing changed.
        feed.onStoreLost();
        feed.addRequest(DaemonId("d"), request(2, 10, std::chrono::seconds(1), true), now);
        CPPUNIT_ASSERT(feed.takeDue(now + std::chrono::seconds(1)).at(0).update.verdict
                       == UpdateVerdict::StoreLost);
    }

    void oversizedRevisionIsDeclined()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        const std::string large(UpdateFeedOptions().maxBytes, 'x');
        feed.onAdvanced({ Revision(11), true, { put("big", large, 11) } }, now);
        CPPUNIT_ASSERT(verdictOf(feed, request(1, 10, std::chrono::seconds(1)), now)
                       == UpdateVerdict::TooLarge);
    }

    void oversizedRevisionIsSentAsADelta()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        const std::string first(UpdateFeedOptions().maxBytes, 'x');
        const std::string second = "more " + first;
        feed.onAdvanced({ Revision(11), true, { put("big", first, 11) } }, now);
        feed.onAdvanced({ Revision(12), true, { put("big", second, 12), put("k", "v", 12) } }, now);
        StoreUpdateRequestMessage wanted = request(1, 11, std::chrono::seconds(1));
        wanted.deltaBase = DeltaBase { StoreKey("big"), Revision(11) };
        feed.addRequest(DaemonId("d"), wanted, now);
        const StoreUpdateMessage update = feed.takeDue(now).at(0).update;
        CPPUNIT_ASSERT(update.verdict == UpdateVerdict::Update);
        CPPUNIT_ASSERT(update.upTo == Revision(12));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), update.changes.size());
        CPPUNIT_ASSERT(update.delta->key == StoreKey("big"));
        CPPUNIT_ASSERT(update.delta->revision == Revision(12));
        CPPUNIT_ASSERT(applyDelta(first, update.delta->delta, second.size()).value() == second);
    }

    void deltaNeedsABaseThatTheRelayKnows()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed = servingFeed(now);
        const std::string large(UpdateFeedOptions().maxBytes, 'x');
        feed.onAdvanced({ Revision(11), true, { put("big", large, 11) } }, now);
        StoreUpdateRequestMessage wanted = request(1, 10, std::chrono::seconds(1));
        wanted.deltaBase = DeltaBase { StoreKey("big"), Revision(9) };
        CPPUNIT_ASSERT(verdictOf(feed, wanted, now) == UpdateVerdict::TooLarge);
    }

    void largestValuesKeepTheirHistory()
    {
        ValueHistory history;
        for (const char *key : { "a", "b", "c" })
            history.add(StoreKey(key), { std::string(40'000, *key), Revision(1) });
        const std::string large(500'000, 'x');
        history.add(StoreKey("large"), { large, Revision(2) });
        history.add(StoreKey("large"), { large + "y", Revision(3) });
        history.add(StoreKey("d"), { std::string(40'000, 'd'), Revision(4) });
        CPPUNIT_ASSERT(history.deltaTo(StoreKey("large"), Revision(2)) != nullptr);
    }

    void newRelayLogsOnlyLaterChanges()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed({}, {});
        feed.onListed({ Revision(10), {} }, now);
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

    // A daemon without a view would otherwise read the store, like all that start with it.
    void snapshotComesInPartsInTheOrderOfKeys()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeedOptions options;
        options.maxSnapshotBytes = 20;
        UpdateFeed feed(options, {});
        feed.setServing(true);
        CPPUNIT_ASSERT(feed.wantsListing());
        const StoredValue listed { "12345678", Revision(7) };
        feed.onListed({ Revision(10),
                        { { StoreKey("a"), listed },
                          { StoreKey("b"), listed },
                          { StoreKey("c"), listed },
                          { StoreKey("gone"), listed } } },
                      now - std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(!feed.wantsListing());
        feed.onAdvanced({ Revision(12),
                          true,
                          { put("b", std::string(50, 'x'), 11), { StoreKey("gone"), {} } } },
                        now - std::chrono::milliseconds(200));
        std::vector<std::string> keys;
        StoreUpdateRequestMessage message = request(1, 0, Duration::zero());
        message.snapshotAfter = StoreKey();
        for (int parts = 1; parts < 10; ++parts) {
            feed.addRequest(DaemonId("d"), message, now);
            const StoreUpdateMessage part = feed.takeDue(now).at(0).update;
            CPPUNIT_ASSERT(part.verdict == UpdateVerdict::Update && part.isSnapshot);
            CPPUNIT_ASSERT_EQUAL(Revision(12), part.upTo);
            CPPUNIT_ASSERT(part.staleness == std::chrono::milliseconds(200));
            for (const StoreChange &entry : part.changes)
                keys.push_back(entry.key.text() + '=' + entry.stored->value.substr(0, 3));
            if (!part.moreFollow) {
                CPPUNIT_ASSERT_EQUAL(3, parts); // An entry over the limit gets a part of its own.
                break;
            }
            message.snapshotAfter = part.changes.back().key;
        }
        CPPUNIT_ASSERT(keys == (std::vector<std::string> { "a=123", "b=xxx", "c=123" }));
    }

    // A daemon that has just become a relay logs changes, but doesn't have the entries before them.
    void relayWithoutAListingSendsNoSnapshot()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeed feed({}, {});
        feed.onListed({ Revision(10), {} }, now);
        feed.setServing(true);
        feed.onAdvanced({ Revision(12), true, { put("k", "w", 12) } }, now);
        StoreUpdateRequestMessage message = request(1, 0, Duration::zero());
        message.snapshotAfter = StoreKey();
        CPPUNIT_ASSERT(feed.wantsListing());
        CPPUNIT_ASSERT(verdictOf(feed, message, now) == UpdateVerdict::NoView);
        feed.onListed({ Revision(12), {} }, now);
        CPPUNIT_ASSERT(verdictOf(feed, message, now) == UpdateVerdict::Update);
        feed.onStoreLost();
        CPPUNIT_ASSERT(verdictOf(feed, message, now) == UpdateVerdict::StoreLost);
    }

    // Bounds the daemons that read the store: with one relay for each thirty daemons they would
    // grow with the fleet.
    void relaysOfAZoneAreBounded()
    {
        std::vector<DaemonRegistration> daemons;
        for (int i = 0; i < 1000; ++i)
            daemons.push_back(
                { DaemonId("d" + std::to_string(i)), ZoneId("z"), { "10.0.0.1", 1 }, 1 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(RelayChoiceOptions().maxRelaysPerZone),
                             chooseRelays(ZoneId("z"), daemons, {}).relays.size());
    }

    void directoryEntryIsReadAsWritten()
    {
        const DaemonRegistration relay { DaemonId("d1"), ZoneId("a/b"), { "10.0.0.1", 7 }, 0.5 };
        const StoreKey key = relaySlotKey(relay.zone, 3);
        const auto entry = parseRelayEntry(key, { serializeRelay(relay), Revision(9) });
        CPPUNIT_ASSERT(entry.has_value());
        CPPUNIT_ASSERT(entry->relay == relay);
        CPPUNIT_ASSERT_EQUAL(3, entry->slot);
        CPPUNIT_ASSERT_EQUAL(Revision(9), entry->revision);
        for (const char *value : { "", "d1", "d1 z", "d1 z nowhere 1", " z 10.0.0.1:7 1" })
            CPPUNIT_ASSERT_MESSAGE(value, !parseRelayEntry(key, { value, Revision(9) }));
        for (const char *name : { "ramphinge/link-key", "ramphinge/link-relays/",
                                  "ramphinge/link-relays/z", "ramphinge/link-relays/z/x" })
            CPPUNIT_ASSERT_MESSAGE(
                name, !parseRelayEntry(StoreKey(name), { serializeRelay(relay), Revision(9) }));
    }

    void pendingRequestsAreBounded()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        UpdateFeedOptions options;
        options.maxPendingRequests = 3;
        UpdateFeed feed(options, {});
        feed.setServing(true);
        feed.onListed({ Revision(10), {} }, now);
        for (int i = 0; i < 9; ++i)
            feed.addRequest(DaemonId("d" + std::to_string(i)),
                            request(i, 10, std::chrono::hours(9)), now);
        feed.addRequest(DaemonId("d0"), request(77, 10, std::chrono::hours(9)), now);
        const std::vector<UpdateResponse> responses = feed.takeDue(now + options.maxWait);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), responses.size());
        CPPUNIT_ASSERT_EQUAL(CorrelationId(77), responses.back().update.id); // The later request.
    }

    void relayedFreshnessIsNeverOverstated()
    {
        const bool holds = rc::check("a relayed view is as fresh as stated", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            const std::vector<std::string> violations = simulateRelay(seed, Fault::None);
            if (!violations.empty())
                RC_FAIL(violations.front());
        });
        CPPUNIT_ASSERT(holds);
    }

    void partialUpdatesNeverOverstateFreshness()
    {
        const bool holds = rc::check("a view from partial updates is as fresh as stated", [] {
            const auto seed = *rc::gen::arbitrary<std::uint64_t>();
            UpdateFeedOptions options;
            options.maxBytes = 8; // Two or three changes.
            const std::vector<std::string> violations = simulateRelay(seed, Fault::None, options);
            if (!violations.empty())
                RC_FAIL(violations.front());
        });
        CPPUNIT_ASSERT(holds);
    }

    // Checks that the simulation detects implementations that state a freshness time too late.
    void simulationDetectsOverstatedFreshness()
    {
        for (const Fault fault : { Fault::AgeFromResponseTime, Fault::AgeFromWatchEnd }) {
            int caught = 0;
            for (std::uint64_t seed = 1; seed <= 20; ++seed)
                caught += simulateRelay(seed, fault).empty() ? 0 : 1;
            CPPUNIT_ASSERT(caught >= 15);
        }
    }

    void loadsAreSummedUntilTheyExpire()
    {
        const MonotonicTime now(std::chrono::seconds(50));
        const LoadAggregatorOptions options;
        const HostId host("h");
        const ModelId chat("chat");
        LoadAggregator aggregator(options);
        aggregator.setFollowerLoad(DaemonId("f1"),
                                   { { { host, 2, 100 } }, { { chat, { 100, 4 } } } }, now);
        aggregator.setFollowerLoad(DaemonId("f1"),
                                   { { { host, 3, 200 } }, { { chat, { 50, 2 } } } }, now);
        aggregator.setFollowerLoad(
            DaemonId("f2"), { { { host, 1, 0 }, { HostId("i"), 4, 50 } }, { { chat, { 7, 1 } } } },
            now);
        aggregator.setRelayLoad(DaemonId("r"),
                                { { { host, 10, 1000 } }, { { chat, { 1000, 9 } } } }, now);
        const SharedLoad own { { { host, 1, 10 } }, { { chat, { 3, 1 } } } };
        const TargetLoads group = aggregator.groupSum(own, now).targetLoads;
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), group.size());
        CPPUNIT_ASSERT_EQUAL(5, group[0].running);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(210), group[0].waitingPrompt);
        CPPUNIT_ASSERT_EQUAL(15, aggregator.totalSum(own, now).targetLoads[0].running);
        CPPUNIT_ASSERT_EQUAL(60.0, aggregator.groupSum(own, now).work.at(chat).serverMilliseconds);
        CPPUNIT_ASSERT_EQUAL(1060.0,
                             aggregator.totalSum(own, now).work.at(chat).serverMilliseconds);
        CPPUNIT_ASSERT_EQUAL(13.0, aggregator.totalSum(own, now).work.at(chat).requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), aggregator.followers(now).size());
        const MonotonicTime later = now + options.reportLifetime + std::chrono::milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(1, aggregator.totalSum(own, later).targetLoads[0].running);
        CPPUNIT_ASSERT(aggregator.followers(later).empty());
    }

    // Guards against account loads that are added twice: a repeated report replaces the one before,
    // and a daemon's own part is taken out of the sum that it receives.
    void accountLoadsAreSummed()
    {
        const MonotonicTime now(std::chrono::seconds(100));
        const AccountLoads::key_type key { ModelId("chat"), AccountId("school") };
        SharedLoad report;
        report.accounts[key] = { RequestRate(3), RequestRate(2) };
        LoadAggregator aggregator { LoadAggregatorOptions() };
        for (const char *daemon : { "f1", "f1", "f2" })
            aggregator.setFollowerLoad(DaemonId(daemon), report, now);
        aggregator.setRelayLoad(DaemonId("r"), report, now);
        const SharedLoad total = aggregator.totalSum(report, now);
        CPPUNIT_ASSERT_EQUAL(12.0, total.accounts.at(key).recent.perSecond());
        CPPUNIT_ASSERT_EQUAL(8.0, total.accounts.at(key).usual.perSecond());
        const SharedLoad others = subtractOwnLoad(total, report);
        CPPUNIT_ASSERT_EQUAL(9.0, others.accounts.at(key).recent.perSecond());
        const SharedLoad none = subtractOwnLoad(report, total);
        CPPUNIT_ASSERT_EQUAL(0.0, none.accounts.at(key).recent.perSecond());
    }

    void ownLoadIsSubtractedFromTheSum()
    {
        const ModelId chat("chat");
        const SharedLoad total { { { HostId("h"), 5, 300 }, { HostId("i"), 1, 0 } },
                                 { { chat, { 10, 2 } } } };
        const SharedLoad own { { { HostId("h"), 2, 400 }, { HostId("gone"), 9, 9 } },
                               { { chat, { 4, 3 } } } };
        const SharedLoad others = subtractOwnLoad(total, own);
        const TargetLoads &rest = others.targetLoads;
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
        LoadAggregator aggregator(options);
        for (const char *name : { "a", "b", "c" })
            aggregator.setFollowerLoad(DaemonId(name), {}, now);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), aggregator.followers(now).size());
        const MonotonicTime later = now + 2 * options.reportLifetime;
        aggregator.setFollowerLoad(DaemonId("c"), {}, later); // Expired reports make room.
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), aggregator.followers(later).size());
    }

private:
    // The feed of a relay whose view begins at revision 10.
    static UpdateFeed servingFeed(MonotonicTime now)
    {
        UpdateFeed feed({}, {});
        feed.setServing(true);
        feed.onListed({ Revision(10), {} }, now);
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
