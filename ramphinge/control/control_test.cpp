// Tests of what daemons decide through the platform, against its store in memory with its faults:
// registration, slots of keys, changes of configuration, planning and orders.

#include "ramphinge/control/claim_owner.h"
#include "ramphinge/control/config_changer.h"
#include "ramphinge/control/config_holder.h"
#include "ramphinge/control/keys.h"
#include "ramphinge/control/registrar.h"
#include "ramphinge/control/slot_keeper.h"
#include "ramphinge/control/zone_planner.h"
#include "ramphinge/testing/cppunit_main.h"
#include "testing/memory_store.h"

using namespace ramphinge;
using Json = nlohmann::json;

namespace {

const ZoneId zone("a");
constexpr Duration second = std::chrono::seconds(1);

DaemonRecord recordOf(const std::string &name)
{
    return { DaemonId(name), zone, { "127.0.0.1", 1 }, { "127.0.0.1", 2 }, name + "-run1" };
}

// One daemon's registrar, stepped by the test.
struct Daemon
{
    Daemon(MemoryStore &store, const ManualClock &clock, const std::string &name)
        : record(recordOf(name)), registrar(store, clock, optionsOf(record), 1),
          slots(store, clock, { record.daemon, zone, record.incarnation, 1 })
    { }

    static RegistrarOptions optionsOf(const DaemonRecord &record)
    {
        RegistrarOptions options;
        options.self = record;
        return options;
    }

    bool registered() const { return registrar.state().registration == Registration::Registered; }

    DaemonRecord record;
    Registrar registrar;
    SlotKeeper slots;
};

StoreViewPtr viewOf(MemoryStore &store)
{
    StoreViewBuilder builder;
    builder.reset(store.list(allKeys).value(), Revision(1'000'000));
    std::vector<Error> problems;
    const StoreViewPtr view = builder.build(problems);
    CPPUNIT_ASSERT(problems.empty());
    return view;
}

Json documentWithShare(int share)
{
    Json document = Json::parse(R"({
      "models": [{"name": "m", "version": "1", "hostsPerReplica": 2, "replicas": {"a": 1},
                  "tokensPerSecond": 1000}],
      "templates": [{"name": "t", "parameters": {"share": 1}, "body": {"models":
          [{"model": "m@1", "tokensPerSecond": "${share}"}]}}],
      "accounts": [{"name": "x", "team": "t", "template": "t"}]})");
    document["accounts"][0]["parameters"] = { { "share", share } };
    return document;
}

// The other side of a migration, as told.
struct FakeOtherSide : public OtherSideClient
{
    Result<Holding> holding(const std::string &, const AccountId &) override { return answer; }
    Result<Holding> answer = Error(ErrorKind::Unavailable, "cut off");
};

// Hosts that keep what they are told; they may refuse old epochs.
struct FakeHosts : public HostOrders
{
    Status send(const Member &member, const HostOrder &order, const std::vector<Endpoint> &,
                Duration) override
    {
        ++sent;
        if (beforeOrder)
            beforeOrder();
        HostObservation &state = hosts[member.host];
        if (honourFencing && order.epoch < state.epoch)
            return Error(ErrorKind::Fenced, "newer order seen");
        state.host = member.host;
        state.answers = true;
        state.replica = order.replica;
        state.epoch = order.epoch;
        state.rank = order.rank;
        state.model = order.model;
        state.loaded = true;
        return Done {};
    }

    PlannerSight sight(MonotonicTime now)
    {
        PlannerSight sight;
        for (const char *name : { "h0", "h1" }) {
            Member member;
            member.host = HostId(name);
            member.zone = zone;
            member.domain = DomainId("d");
            sight.members.push_back(member);
            HostObservation seen = hosts[member.host];
            seen.host = member.host;
            seen.answers = true;
            seen.madeAt = now;
            sight.observations.push_back(seen);
        }
        return sight;
    }

    std::map<HostId, HostObservation> hosts;
    std::function<void()> beforeOrder;
    bool honourFencing = true;
    int sent = 0;
};

} // namespace

class ControlTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ControlTest);
    CPPUNIT_TEST(daemonRegistersAndJoinsTheRoster);
    CPPUNIT_TEST(lostAnswerWhileRegisteringLeavesNothingBehind);
    CPPUNIT_TEST(pausedDaemonDoesNotRenewAfterItsTerm);
    CPPUNIT_TEST(renewalThatCameBackTooLateIsNoRenewal);
    CPPUNIT_TEST(daemonKeepsItsPromiseBeforeRegisteringAgain);
    CPPUNIT_TEST(restartWaitsForTheEarlierProcessesLease);
    CPPUNIT_TEST(firstOwnerVouchesForAllAndSuccessorForNewKeysOnly);
    CPPUNIT_TEST(ownerThatWinsItsSlotBackHasMissedNothing);
    CPPUNIT_TEST(noTakeoverWithoutAMajority);
    CPPUNIT_TEST(handedOverMemoryIsAdopted);
    CPPUNIT_TEST(completeCopyIsAdoptedAfterItsOwnersDeath);
    CPPUNIT_TEST(copyThatTheRecordDoesNotNameIsNotAdopted);
    CPPUNIT_TEST(lostReignAnswerCountsAsAnothersReign);
    CPPUNIT_TEST(changeNeedsEveryRegisteredDaemon);
    CPPUNIT_TEST(lateWordOfAnEarlierChangeWipesNothing);
    CPPUNIT_TEST(changeIsRefusedWithoutAMajorityUnlessLeftOut);
    CPPUNIT_TEST(lostAnswersOfAChangeAreReadBack);
    CPPUNIT_TEST(overtakenProposerFails);
    CPPUNIT_TEST(racingOperatorsGetAConflictWithTheDifference);
    CPPUNIT_TEST(abandonedProposalIsOverwrittenUnderANewNumber);
    CPPUNIT_TEST(workIsTakenOverOnlyWhenTheOtherSideHasLetGo);
    CPPUNIT_TEST(holderNeverGoesBack);
    CPPUNIT_TEST(plannerFormsReplicasAndOnlyOnePlans);
    CPPUNIT_TEST(pausedPlannerSendsNoOrders);
    CPPUNIT_TEST(lapseInTheMiddleOfSendingStopsTheRest);
    CPPUNIT_TEST(overtakenPlannerIsFencedAndReadsThePlanAgain);
    CPPUNIT_TEST(lostPlanAnswerIsReadBack);
    CPPUNIT_TEST(enginesThatIgnoreFencingAreReadBackAfterOldOrdersHaveEnded);
    CPPUNIT_TEST(rosterForgetsTheDeadOnlyWithAMajority);
    CPPUNIT_TEST_SUITE_END();

public:
    // --- Registration ---

    void daemonRegistersAndJoinsTheRoster()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        const StoreViewPtr view = viewOf(m_store);
        CPPUNIT_ASSERT(view->daemon(DaemonId("d1")) != nullptr);
        CPPUNIT_ASSERT(view->roster(zone).contains(DaemonId("d1")));
        daemon.registrar.leave();
        const StoreViewPtr after = viewOf(m_store);
        CPPUNIT_ASSERT(after->daemon(DaemonId("d1")) == nullptr);
        CPPUNIT_ASSERT(!after->roster(zone).contains(DaemonId("d1")));
    }

    void lostAnswerWhileRegisteringLeavesNothingBehind()
    {
        for (int lostCall = 1; lostCall <= 6; ++lostCall) {
            ManualClock clock;
            MemoryStore store(clock);
            Daemon daemon(store, clock, "d1");
            clock.advance(second);
            // The call with this number suffers; the calls before it are counted off by no fault.
            int call = 0;
            store.beforeWrite([&](const StoreKey &, const std::string &) {
                if (++call == lostCall)
                    store.injectFault(StoreFault::LoseAnswer, 1);
            });
            for (int i = 0; i < 100 && !daemon.registered(); ++i) {
                daemon.registrar.step();
                clock.advance(std::chrono::milliseconds(100));
            }
            CPPUNIT_ASSERT(daemon.registered());
            CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, viewOf(store)->roster(zone).daemons.size());
        }
    }

    void pausedDaemonDoesNotRenewAfterItsTerm()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        // The term has ended, the lease at the platform has not: a renewal would still be granted.
        m_clock.advance(std::chrono::milliseconds(4600));
        CPPUNIT_ASSERT(viewOf(m_store)->daemon(DaemonId("d1")) != nullptr);
        daemon.registrar.step();
        CPPUNIT_ASSERT(!daemon.registered());
        CPPUNIT_ASSERT(!daemon.registrar.state().term.mayAct(m_clock.now()));
        // And it was not prolonged there.
        m_clock.advance(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT(viewOf(m_store)->daemon(DaemonId("d1")) == nullptr);
    }

    void renewalThatCameBackTooLateIsNoRenewal()
    {
        SlowStore slow(m_store, m_clock);
        Registrar registrar(slow, m_clock, Daemon::optionsOf(recordOf("d1")), 1);
        m_clock.advance(second);
        registrar.step();
        CPPUNIT_ASSERT(registrar.state().registration == Registration::Registered);
        m_clock.advance(4 * second);
        slow.renewalTakes = second; // Past the end of the term, within the lease's.
        registrar.step();
        CPPUNIT_ASSERT(registrar.state().registration == Registration::Unregistered);
    }

    void daemonKeepsItsPromiseBeforeRegisteringAgain()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        m_store.injectFault(StoreFault::Down);
        for (int i = 0; i < 100; ++i) {
            m_clock.advance(std::chrono::milliseconds(100));
            daemon.registrar.step();
        }
        CPPUNIT_ASSERT(daemon.registrar.state().registration == Registration::Unregistered);
        m_store.injectFault(StoreFault::None);
        daemon.registrar.step();
        CPPUNIT_ASSERT(daemon.registrar.state().registration == Registration::Rejoining);
        m_clock.advance(std::chrono::milliseconds(1900));
        daemon.registrar.step();
        CPPUNIT_ASSERT(!daemon.registered());
        m_clock.advance(std::chrono::milliseconds(100));
        daemon.registrar.step();
        CPPUNIT_ASSERT(daemon.registered());
    }

    void restartWaitsForTheEarlierProcessesLease()
    {
        Daemon before(m_store, m_clock, "d1");
        bringUp(before);
        Daemon after(m_store, m_clock, "d1");
        m_clock.advance(second);
        after.registrar.step();
        CPPUNIT_ASSERT(!after.registered());
        m_clock.advance(5 * second);
        after.registrar.step();
        CPPUNIT_ASSERT(after.registered());
    }

    // --- Slots of keys ---

    void firstOwnerVouchesForAllAndSuccessorForNewKeysOnly()
    {
        Daemon first(m_store, m_clock, "d1");
        bringUp(first);
        const std::vector<SlotReign> won = winSlots(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, won.size());
        CPPUNIT_ASSERT(won[0].soleOwnerSince == WallTime());
        CPPUNIT_ASSERT(winSlots(first).empty());
        // It dies; another takes over once the lease has lapsed and the roster has forgotten it.
        m_clock.advance(6 * second);
        forget("d1");
        Daemon next(m_store, m_clock, "d2");
        bringUp(next);
        const std::vector<SlotReign> taken = winSlots(next);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, taken.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, taken[0].number);
        CPPUNIT_ASSERT(taken[0].soleOwnerSince == m_clock.wallNow());
    }

    void ownerThatWinsItsSlotBackHasMissedNothing()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        winSlots(daemon);
        m_clock.advance(10 * second);
        for (int i = 0; i < 40 && !daemon.registered(); ++i) {
            daemon.registrar.step();
            m_clock.advance(std::chrono::milliseconds(100));
        }
        // The first step only notices the loss; the later ones register anew.
        for (int i = 0; i < 40; ++i) {
            daemon.registrar.step();
            m_clock.advance(std::chrono::milliseconds(100));
        }
        const std::vector<SlotReign> back = winSlots(daemon);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, back.size());
        CPPUNIT_ASSERT(back[0].continued);
    }

    void noTakeoverWithoutAMajority()
    {
        Daemon first(m_store, m_clock, "d1");
        bringUp(first);
        winSlots(first);
        Daemon another(m_store, m_clock, "d2");
        bringUp(another);
        // Both daemons are in the roster; the first is cut off and may be going on with its slot.
        for (int i = 0; i < 70; ++i) {
            m_clock.advance(std::chrono::milliseconds(100));
            another.registrar.step();
        }
        CPPUNIT_ASSERT(another.registered());
        CPPUNIT_ASSERT(viewOf(m_store)->owner({ zone, SlotNumber(0) }) == nullptr);
        CPPUNIT_ASSERT(winSlots(another).empty());
        forget("d1");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, winSlots(another).size());
    }

    void handedOverMemoryIsAdopted()
    {
        const SlotId slot { zone, SlotNumber(0) };
        Daemon first(m_store, m_clock, "d1");
        bringUp(first);
        ClaimOwner firstOwner(m_clock, {});
        firstOwner.begin(winSlots(first)[0], first.registrar.state().lease);
        const ClaimAttempt attempt { { AccountId("x"), IdempotencyKey("k") }, 1, RequestId("r") };
        const GrantRight right { first.registrar.state().lease, second };
        CPPUNIT_ASSERT(firstOwner.claim(slot, attempt, right).verdict == ClaimVerdict::Granted);
        const HandoverMessage handover = *firstOwner.freeze(slot);
        CPPUNIT_ASSERT(firstOwner.claim(slot, attempt, right).verdict == ClaimVerdict::NotOwner);
        Daemon next(m_store, m_clock, "d2");
        next.slots.expectHandover(handover.slot, handover.reign);
        ClaimOwner nextOwner(m_clock, {});
        nextOwner.receive(handover);
        first.slots.release(slot, first.registrar.state().lease);
        first.registrar.leave();
        bringUp(next);
        const std::vector<SlotReign> won = winSlots(next);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, won[0].adoptedFrom);
        nextOwner.begin(won[0], next.registrar.state().lease);
        const GrantRight nextRight { next.registrar.state().lease, second };
        CPPUNIT_ASSERT(nextOwner.claim(slot, attempt, nextRight).verdict
                       == ClaimVerdict::InProgress);
        const ClaimAttempt other { { AccountId("x"), IdempotencyKey("o") }, 1, RequestId("r") };
        CPPUNIT_ASSERT(nextOwner.claim(slot, other, nextRight).verdict == ClaimVerdict::Granted);
    }

    void completeCopyIsAdoptedAfterItsOwnersDeath()
    {
        const SlotReign reign = takeOverWithCopy(true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 1 }, reign.adoptedFrom);
        ClaimOwner owner(m_clock, {});
        const SlotId slot { zone, SlotNumber(0) };
        const ClaimAttempt before { { AccountId("x"), IdempotencyKey("k") }, 1, RequestId("r") };
        const ClaimAttempt later { { AccountId("x"), IdempotencyKey("l") }, 1, RequestId("r") };
        const ClaimAttempt other { { AccountId("x"), IdempotencyKey("o") }, 1, RequestId("r") };
        owner.receive({ slot, 1, WallTime(), { { before, ClaimVerdict::Ran, WallTime() } }, true });
        CPPUNIT_ASSERT(owner.rememberGrant({ CorrelationId(1), slot, 1, later }));
        CPPUNIT_ASSERT(!owner.rememberGrant({ CorrelationId(2), slot, 2, other }));
        owner.begin(reign, LeaseId(7));
        const GrantRight right { LeaseId(7), second };
        CPPUNIT_ASSERT(owner.claim(slot, later, right).verdict == ClaimVerdict::InProgress);
        CPPUNIT_ASSERT(owner.claim(slot, other, right).verdict == ClaimVerdict::Granted);
    }

    void copyThatTheRecordDoesNotNameIsNotAdopted()
    {
        // The owner has dropped the copy, and granted more without it.
        const SlotReign reign = takeOverWithCopy(false);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, reign.adoptedFrom);
        CPPUNIT_ASSERT(reign.soleOwnerSince != WallTime());
    }

    // A daemon dies after having placed a copy at another, which then wins the slot.
    SlotReign takeOverWithCopy(bool stillRecorded)
    {
        const SlotId slot { zone, SlotNumber(0) };
        Daemon first(m_store, m_clock, "d1");
        bringUp(first);
        winSlots(first);
        Daemon next(m_store, m_clock, "d2");
        bringUp(next);
        next.slots.expectCopy(slot, 1);
        CPPUNIT_ASSERT(
            first.slots.recordCopy(slot, 1, next.record.daemon, next.record.incarnation));
        if (!stillRecorded)
            CPPUNIT_ASSERT(first.slots.recordCopy(slot, 1, DaemonId(), ""));
        CPPUNIT_ASSERT(!next.slots.recordCopy(slot, 1, DaemonId(), "")); // Not its reign.
        m_clock.advance(6 * second);
        forget("d1");
        for (int i = 0; i < 60; ++i) {
            next.registrar.step();
            m_clock.advance(std::chrono::milliseconds(100));
        }
        const std::vector<SlotReign> won = winSlots(next);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, won.size());
        return won[0];
    }

    void lostReignAnswerCountsAsAnothersReign()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        m_store.beforeWrite([this](const StoreKey &key, const std::string &) {
            if (parseKey(key).kind == KeyKind::Reign)
                m_store.injectFault(StoreFault::LoseAnswer, 1);
        });
        CPPUNIT_ASSERT(winSlots(daemon).empty());
        m_store.beforeWrite(nullptr);
        // The owner key is its own by now; it goes with the lease, and the next reign vouches anew.
        m_clock.advance(10 * second);
        for (int i = 0; i < 60; ++i) {
            daemon.registrar.step();
            m_clock.advance(std::chrono::milliseconds(100));
        }
        const std::vector<SlotReign> won = winSlots(daemon);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, won.size());
        CPPUNIT_ASSERT(!won[0].continued);
        CPPUNIT_ASSERT(won[0].soleOwnerSince != WallTime());
    }

    // --- Changes of configuration ---

    void changeNeedsEveryRegisteredDaemon()
    {
        Daemon first(m_store, m_clock, "d1");
        Daemon other(m_store, m_clock, "d2");
        bringUp(first);
        bringUp(other);
        confirmBy({ "d1" });
        const Result<ChangeResult> refused = apply(1);
        CPPUNIT_ASSERT(refused.error().kind() == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(contains(refused.error().message(), "d2"));
        CPPUNIT_ASSERT(!state().accepted);
        CPPUNIT_ASSERT(!state().proposal); // Withdrawn.
        confirmBy({ "d1", "d2" });
        CPPUNIT_ASSERT(apply(1).ok());
        CPPUNIT_ASSERT(state().accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, state().history.size());
    }

    void lateWordOfAnEarlierChangeWipesNothing()
    {
        ConfirmationBoard board;
        const std::vector<DaemonId> both { DaemonId("d1"), DaemonId("d2") };
        std::string refusal;
        board.confirm(ChangeId("one"), DaemonId("d2"), true, "");
        board.confirm(ChangeId("two"), DaemonId("d1"), true, "");
        board.confirm(ChangeId("one"), DaemonId("d2"), true, ""); // Repeated, late.
        board.confirm(ChangeId("two"), DaemonId("d2"), true, "");
        CPPUNIT_ASSERT(
            board.awaitConfirmations(ChangeId("two"), both, Duration::zero(), refusal).empty());
    }

    void changeIsRefusedWithoutAMajorityUnlessLeftOut()
    {
        Daemon first(m_store, m_clock, "d1");
        Daemon gone(m_store, m_clock, "d2");
        bringUp(first);
        bringUp(gone);
        for (int i = 0; i < 60; ++i) {
            m_clock.advance(std::chrono::milliseconds(100));
            first.registrar.step();
        }
        confirmBy({ "d1" });
        const Result<ChangeResult> refused = apply(1);
        CPPUNIT_ASSERT(refused.error().kind() == ErrorKind::Unavailable);
        CPPUNIT_ASSERT(contains(refused.error().message(), "--without-daemon"));
        ChangeRequest request = requestFor(1);
        request.withoutDaemons = { DaemonId("d2") };
        CPPUNIT_ASSERT(m_changer.apply(request).ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, state().accepted->record.withoutDaemons.size());
        // Nobody who is there can be left out.
        request = requestFor(2);
        request.withoutDaemons = { DaemonId("d1") };
        CPPUNIT_ASSERT(m_changer.apply(request).error().kind() == ErrorKind::InvalidInput);
    }

    void lostAnswersOfAChangeAreReadBack()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        for (int lostWrite = 1; lostWrite <= 2; ++lostWrite) {
            int write = 0;
            m_store.beforeWrite([&](const StoreKey &, const std::string &value) {
                confirmProposalIn(value, { "d1" });
                if (++write == lostWrite)
                    m_store.injectFault(StoreFault::LoseAnswer, 1);
            });
            const Result<ChangeResult> result = apply(lostWrite);
            CPPUNIT_ASSERT(result.ok());
            CPPUNIT_ASSERT_EQUAL(result.value().change, state().accepted->record.change);
        }
    }

    void overtakenProposerFails()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        confirmBy({ "d1" });
        CPPUNIT_ASSERT(apply(1).ok());
        // Between proposal and acceptance, another daemon overwrites the proposal with its own.
        ConfigChanger other(m_store, m_clock, changerOptions(), m_board, m_otherSide, {}, 2);
        int write = 0;
        m_store.beforeWrite([&](const StoreKey &, const std::string &value) {
            confirmProposalIn(value, { "d1" });
            if (++write != 2)
                return;
            m_store.beforeWrite([&](const StoreKey &, const std::string &inner) {
                confirmProposalIn(inner, { "d1" });
            });
            other.apply(requestFor(7)); // Sees the proposal for the first time.
            m_clock.advance(13 * second);
            bringUpAgain(daemon);
            CPPUNIT_ASSERT(other.apply(requestFor(7)).ok());
        });
        const Result<ChangeResult> overtaken = apply(5);
        CPPUNIT_ASSERT(overtaken.error().kind() == ErrorKind::Conflict);
        CPPUNIT_ASSERT_EQUAL(Tokens(7), shareInForce());
    }

    void racingOperatorsGetAConflictWithTheDifference()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        confirmBy({ "d1" });
        CPPUNIT_ASSERT(apply(1).ok());
        CPPUNIT_ASSERT(apply(2).ok());
        ChangeRequest late = requestFor(3);
        late.expectedVersion = ConfigVersion(1);
        const Result<ChangeResult> refused = m_changer.apply(late);
        CPPUNIT_ASSERT(refused.error().kind() == ErrorKind::Conflict);
        CPPUNIT_ASSERT(contains(refused.error().message(), "\"old\":2"));
        CPPUNIT_ASSERT_EQUAL(Tokens(2), shareInForce());
    }

    void abandonedProposalIsOverwrittenUnderANewNumber()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        confirmBy({ "d1" });
        CPPUNIT_ASSERT(apply(1).ok());
        // A proposer dies after it has written its proposal.
        ConfigState left = state();
        ChangeRecord record;
        record.change = ChangeId("left");
        left.proposal = makeSuccessor(left.accepted, documentWithShare(9), record).value();
        left.proposer = DaemonId("dead");
        m_store.compareAndSwap(configKey, serialize(left), revision(), noLease);
        CPPUNIT_ASSERT(apply(2).error().kind() == ErrorKind::Conflict);
        m_clock.advance(13 * second);
        bringUpAgain(daemon);
        const Result<ChangeResult> result = apply(2);
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT(result.value().version > left.proposal->record.version);
        CPPUNIT_ASSERT_EQUAL(Tokens(2), shareInForce());
    }

    void workIsTakenOverOnlyWhenTheOtherSideHasLetGo()
    {
        Daemon daemon(m_store, m_clock, "d1");
        bringUp(daemon);
        confirmBy({ "d1" });
        const auto document = [](const std::string &phase, int epoch, int since) {
            Json json = documentWithShare(1);
            json["otherSide"] = { { "callers", "there" }, { "administration", "127.0.0.1:9" } };
            json["holdings"] = Json::array({ { { "account", "x" },
                                               { "phase", phase },
                                               { "epoch", epoch },
                                               { "sinceMs", since } } });
            return json;
        };
        ChangeRequest request = requestFor(1);
        request.document = document("there", 0, 0);
        CPPUNIT_ASSERT(m_changer.apply(request).ok());
        request.document = document("here", 1, 5);
        CPPUNIT_ASSERT(m_changer.apply(request).error().kind() == ErrorKind::Unavailable);
        m_otherSide.answer = Holding { HoldingPhase::Draining, Epoch(1), {} };
        CPPUNIT_ASSERT(m_changer.apply(request).error().kind() == ErrorKind::Conflict);
        m_otherSide.answer = Holding { HoldingPhase::There, Epoch(1), {} };
        CPPUNIT_ASSERT(m_changer.apply(request).ok());
    }

    void holderNeverGoesBack()
    {
        ConfigHolder holder;
        const AcceptedConfigPtr one = makeSuccessor(nullptr, documentWithShare(1), {}).value();
        ChangeRecord another;
        another.change = ChangeId("two");
        const AcceptedConfigPtr two = makeSuccessor(one, documentWithShare(2), another).value();
        CPPUNIT_ASSERT(holder.onState({ one, two, DaemonId("d2"), {} }, Revision(5)).prepared);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, holder.preparedVersion());
        CPPUNIT_ASSERT(holder.onState({ two, nullptr, {}, {} }, Revision(6)).accepted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, holder.preparedVersion());
        // A proposal that was withdrawn, seen late.
        ChangeRecord third;
        third.change = ChangeId("three");
        const AcceptedConfigPtr three = makeSuccessor(two, documentWithShare(3), third).value();
        CPPUNIT_ASSERT(!holder.onState({ two, three, DaemonId("d2"), {} }, Revision(5)).prepared);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 0 }, holder.preparedVersion());
        // Late: from a slow watch, and from a peer.
        CPPUNIT_ASSERT(!holder.onState({ one, two, DaemonId("d2"), {} }, Revision(5)).prepared);
        CPPUNIT_ASSERT(!holder.onPeer(one, nullptr).accepted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t { 2 }, holder.acceptedVersion());
    }

    // --- Planning ---

    void plannerFormsReplicasAndOnlyOnePlans()
    {
        Daemon first(m_store, m_clock, "d1");
        Daemon other(m_store, m_clock, "d2");
        prepareZone(first);
        bringUp(other);
        FakeHosts hosts;
        ZonePlanner p1(m_store, m_clock, plannerOptions("d1"), hosts);
        ZonePlanner p2(m_store, m_clock, plannerOptions("d2"), hosts);
        int holders = 0;
        for (int i = 0; i < 5; ++i) {
            holders = step(p1, first, hosts).holdsRole ? 1 : 0;
            holders += step(p2, other, hosts).holdsRole ? 1 : 0;
            m_clock.advance(std::chrono::milliseconds(100));
        }
        CPPUNIT_ASSERT_EQUAL(1, holders);
        const ReplicaPlan plan = viewOf(m_store)->plan(zone)->plan;
        CPPUNIT_ASSERT(plan.replicas[0].phase == ReplicaPhase::Ready);
    }

    void pausedPlannerSendsNoOrders()
    {
        Daemon daemon(m_store, m_clock, "d1");
        prepareZone(daemon);
        FakeHosts hosts;
        ZonePlanner planner(m_store, m_clock, plannerOptions("d1"), hosts);
        step(planner, daemon, hosts);
        const int sent = hosts.sent;
        CPPUNIT_ASSERT(sent > 0);
        hosts.hosts.clear(); // They would need orders again.
        const RegistrationState old = daemon.registrar.state();
        m_clock.advance(std::chrono::milliseconds(3600)); // Less than an order's time is left.
        planner.step(*viewOf(m_store), old, hosts.sight(m_clock.now()));
        CPPUNIT_ASSERT_EQUAL(sent, hosts.sent);
    }

    void lapseInTheMiddleOfSendingStopsTheRest()
    {
        Daemon daemon(m_store, m_clock, "d1");
        prepareZone(daemon);
        FakeHosts hosts;
        // Frozen while the first order is being sent.
        hosts.beforeOrder = [this] { m_clock.advance(10 * second); };
        ZonePlanner planner(m_store, m_clock, plannerOptions("d1"), hosts);
        step(planner, daemon, hosts);
        CPPUNIT_ASSERT_EQUAL(1, hosts.sent);
    }

    void overtakenPlannerIsFencedAndReadsThePlanAgain()
    {
        Daemon daemon(m_store, m_clock, "d1");
        prepareZone(daemon);
        FakeHosts hosts;
        ZonePlanner planner(m_store, m_clock, plannerOptions("d1"), hosts);
        step(planner, daemon, hosts);
        // Another planner has written a newer plan and ordered the hosts by it.
        ReplicaPlan newer = viewOf(m_store)->plan(zone)->plan;
        newer.epoch += Epoch(5);
        newer.replicas[0].epoch = newer.epoch;
        newer.replicas[0].phase = ReplicaPhase::Forming;
        m_store.compareAndSwap(planKey(zone), serialize(newer),
                               viewOf(m_store)->plan(zone)->revision, noLease);
        for (auto &[id, host] : hosts.hosts) {
            host.epoch = newer.epoch;
            host.replica = ReplicaId("x");
        }
        m_clock.advance(second);
        daemon.registrar.step();
        for (int i = 0; i < 6; ++i) {
            step(planner, daemon, hosts);
            m_clock.advance(std::chrono::milliseconds(700));
            daemon.registrar.step();
        }
        const ReplicaPlan plan = viewOf(m_store)->plan(zone)->plan;
        CPPUNIT_ASSERT(plan.epoch >= newer.epoch);
        CPPUNIT_ASSERT(plan.replicas[0].phase == ReplicaPhase::Ready);
        for (const auto &[id, host] : hosts.hosts)
            CPPUNIT_ASSERT_EQUAL(plan.replicas[0].epoch, host.epoch);
    }

    void lostPlanAnswerIsReadBack()
    {
        Daemon daemon(m_store, m_clock, "d1");
        prepareZone(daemon);
        FakeHosts hosts;
        ZonePlanner planner(m_store, m_clock, plannerOptions("d1"), hosts);
        m_store.beforeWrite([this](const StoreKey &key, const std::string &) {
            if (key == planKey(zone))
                m_store.injectFault(StoreFault::LoseAnswer, 1);
        });
        step(planner, daemon, hosts);
        CPPUNIT_ASSERT_EQUAL(0, hosts.sent); // Nothing is ordered on an unsure plan.
        m_store.beforeWrite(nullptr);
        for (int i = 0; i < 4; ++i)
            step(planner, daemon, hosts);
        const ReplicaPlan plan = viewOf(m_store)->plan(zone)->plan;
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, plan.replicas.size());
        CPPUNIT_ASSERT(plan.replicas[0].phase == ReplicaPhase::Ready);
    }

    void enginesThatIgnoreFencingAreReadBackAfterOldOrdersHaveEnded()
    {
        Daemon daemon(m_store, m_clock, "d1");
        prepareZone(daemon);
        FakeHosts hosts;
        hosts.honourFencing = false;
        ZonePlannerOptions options = plannerOptions("d1");
        options.enginesHonourFencing = false;
        ZonePlanner planner(m_store, m_clock, options, hosts);
        step(planner, daemon, hosts);
        for (int i = 0; i < 9; ++i) {
            m_clock.advance(std::chrono::milliseconds(100));
            step(planner, daemon, hosts);
            const ReplicaPlan plan = viewOf(m_store)->plan(zone)->plan;
            CPPUNIT_ASSERT(plan.replicas[0].phase == ReplicaPhase::Forming);
        }
        m_clock.advance(std::chrono::milliseconds(100));
        step(planner, daemon, hosts);
        CPPUNIT_ASSERT(viewOf(m_store)->plan(zone)->plan.replicas[0].phase == ReplicaPhase::Ready);
    }

    void rosterForgetsTheDeadOnlyWithAMajority()
    {
        Daemon first(m_store, m_clock, "d1");
        Daemon other(m_store, m_clock, "d2");
        Daemon dead(m_store, m_clock, "d3");
        prepareZone(first);
        bringUp(other);
        bringUp(dead);
        FakeHosts hosts;
        ZonePlanner p1(m_store, m_clock, plannerOptions("d1"), hosts);
        ZonePlanner p2(m_store, m_clock, plannerOptions("d2"), hosts);
        const auto live = [&](int tenths) {
            for (int i = 0; i < tenths; ++i) {
                m_clock.advance(std::chrono::milliseconds(100));
                first.registrar.step();
                other.registrar.step();
                step(p1, first, hosts);
                step(p2, other, hosts);
            }
        };
        live(150);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, viewOf(m_store)->roster(zone).daemons.size());
        live(150);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, viewOf(m_store)->roster(zone).daemons.size());
        // One of two can't tell whether the other is dead or cut off.
        for (int i = 0; i < 400; ++i) {
            m_clock.advance(std::chrono::milliseconds(100));
            first.registrar.step();
            step(p1, first, hosts);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, viewOf(m_store)->roster(zone).daemons.size());
    }

private:
    // Renewals take their time.
    struct SlowStore : public PlatformStore
    {
        SlowStore(MemoryStore &behind, ManualClock &time) : store(behind), clock(time) { }
        Result<std::optional<StoredValue>> read(const StoreKey &key) override
        {
            return store.read(key);
        }
        Result<std::vector<StoredEntry>> list(const StoreKey &prefix) override
        {
            return store.list(prefix);
        }
        Result<Revision> compareAndSwap(const StoreKey &key, const std::string &value,
                                        Revision expected, LeaseId lease) override
        {
            return store.compareAndSwap(key, value, expected, lease);
        }
        Status erase(const StoreKey &key, Revision expected) override
        {
            return store.erase(key, expected);
        }
        Result<LeaseId> grantLease(Duration length) override { return store.grantLease(length); }
        Status renewLease(LeaseId lease) override
        {
            const Status renewed = store.renewLease(lease);
            clock.advance(renewalTakes);
            return renewed;
        }
        Status revokeLease(LeaseId lease) override { return store.revokeLease(lease); }
        Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait) override
        {
            return store.watch(prefix, after, wait);
        }
        Result<MemberList> members(Revision after, Duration wait) override
        {
            return store.members(after, wait);
        }

        MemoryStore &store;
        ManualClock &clock;
        Duration renewalTakes {};
    };

    void bringUp(Daemon &daemon)
    {
        m_clock.advance(second); // The promise of an earlier process of this name.
        daemon.registrar.step();
        CPPUNIT_ASSERT(daemon.registered());
    }

    // After a jump of the clock.
    void bringUpAgain(Daemon &daemon)
    {
        for (int i = 0; i < 40; ++i) {
            daemon.registrar.step();
            m_clock.advance(std::chrono::milliseconds(100));
        }
        CPPUNIT_ASSERT(daemon.registered());
    }

    std::vector<SlotReign> winSlots(Daemon &daemon)
    {
        return daemon.slots.step(*viewOf(m_store), daemon.registrar.state());
    }

    void forget(const std::string &daemon)
    {
        const StoredValue stored = readExisting(m_store, rosterKey(zone)).value();
        ZoneRoster roster = parseRoster(stored.value).value();
        auto &daemons = roster.daemons;
        daemons.erase(std::remove(daemons.begin(), daemons.end(), DaemonId(daemon)), daemons.end());
        m_store.compareAndSwap(rosterKey(zone), serialize(roster), stored.revision, noLease);
    }

    ConfigChangerOptions changerOptions() const
    {
        ConfigChangerOptions options;
        options.daemon = DaemonId("d1");
        options.zones = { zone };
        options.confirmLimit = Duration::zero();
        options.inForceLimit = Duration::zero();
        return options;
    }

    // Daemons that confirm any proposal as it is being written.
    void confirmBy(const std::vector<std::string> &daemons)
    {
        m_store.beforeWrite([this, daemons](const StoreKey &, const std::string &value) {
            confirmProposalIn(value, daemons);
        });
    }

    void confirmProposalIn(const std::string &value, const std::vector<std::string> &daemons)
    {
        const Result<ConfigState> state = parseConfigState(value);
        if (!state.ok() || !state.value().proposal)
            return;
        for (const std::string &daemon : daemons)
            m_board.confirm(state.value().proposal->record.change, DaemonId(daemon), true, "");
    }

    static ChangeRequest requestFor(int share)
    {
        ChangeRequest request;
        request.document = documentWithShare(share);
        request.who = { "op", "", "" };
        return request;
    }

    Result<ChangeResult> apply(int share) { return m_changer.apply(requestFor(share)); }

    ConfigState state()
    {
        return parseConfigState(readExisting(m_store, configKey).value().value).value();
    }

    Revision revision() { return readExisting(m_store, configKey).value().revision; }

    Tokens shareInForce() { return state().accepted->configuration.accounts()[0].models[0].share; }

    static bool contains(const std::string &text, const std::string &part)
    {
        return text.find(part) != std::string::npos;
    }

    void prepareZone(Daemon &daemon)
    {
        bringUp(daemon);
        const AcceptedConfigPtr config = makeSuccessor(nullptr, documentWithShare(1), {}).value();
        m_store.compareAndSwap(configKey, serialize(ConfigState { config, nullptr, {}, {} }),
                               absentRevision, noLease);
    }

    static ZonePlannerOptions plannerOptions(const std::string &daemon)
    {
        ZonePlannerOptions options;
        options.daemon = DaemonId(daemon);
        options.zone = zone;
        options.incarnation = daemon + "-run1";
        options.enginesHonourFencing = true;
        return options;
    }

    PlannerReport step(ZonePlanner &planner, Daemon &daemon, FakeHosts &hosts)
    {
        return planner.step(*viewOf(m_store), daemon.registrar.state(), hosts.sight(m_clock.now()));
    }

    ManualClock m_clock;
    MemoryStore m_store { m_clock };
    ConfirmationBoard m_board;
    FakeOtherSide m_otherSide;
    ConfigChanger m_changer {
        m_store, m_clock,     changerOptions(),
        m_board, m_otherSide, [this](Duration pause) { m_clock.advance(pause); },
        1
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlTest);
