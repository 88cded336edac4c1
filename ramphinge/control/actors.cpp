// The control actors over CAF: see actors.h.

#include "ramphinge/control/actors.h"

#include <thread>

#include <boost/asio/post.hpp>
#include <caf/all.hpp>
#include <nlohmann/json.hpp>

#include "ramphinge/net/http_client.h"
#include "ramphinge/observe/log.h"
#include "ramphinge/store/http_platform_store.h"

namespace ramphinge {

namespace {

using SightPtr = std::shared_ptr<const PlannerSight>;

// Messages to actors, within the process.
struct ViewMessage
{
    StoreViewPtr view;
};
struct SightMessage
{
    SightPtr sight;
};
struct RegistrationMessage
{
    RegistrationState state;
};
struct HandoverExpected
{
    SlotId slot;
    std::int64_t reign;
};
struct CopyHeld
{
    SlotId slot;
    std::int64_t reign;
};
struct CopyPlaced
{
    SlotId slot;
    std::int64_t reign;
    DaemonId at; // Empty: no longer stored anywhere.
    std::string incarnation;
};
struct SlotReleased
{
    SlotId slot;
};
struct ApplyChange
{
    ChangeRequest request;
    ChangeCallback done;
};

} // namespace

} // namespace ramphinge

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::ViewMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::SightMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::RegistrationMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::HandoverExpected)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::CopyHeld)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::CopyPlaced)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::SlotReleased)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(ramphinge::ApplyChange)

namespace ramphinge {

namespace {

using Json = nlohmann::json;
using Tick = caf::atom_constant<caf::atom("tick")>;
using Leave = caf::atom_constant<caf::atom("leave")>;

constexpr Duration watchWait = std::chrono::seconds(20);
constexpr Duration firstBackoff = std::chrono::milliseconds(100);
constexpr Duration lastBackoff = std::chrono::seconds(5);
constexpr double backoffSpread = 0.5;
constexpr Duration registrarTick = std::chrono::milliseconds(100);
constexpr Duration leaveLimit = std::chrono::seconds(2);
constexpr Duration otherSideTimeout = std::chrono::seconds(2);

// Exponential backoff with jitter and a maximum, to avoid a thundering herd after an outage.
class Backoff
{
public:
    explicit Backoff(std::uint64_t seed) : m_random(seed) { }

    Duration next()
    {
        const Duration pause = m_random.jittered(m_pause, backoffSpread);
        m_pause = std::min(m_pause * 2, lastBackoff);
        return pause;
    }

    void reset() { m_pause = firstBackoff; }

private:
    Random m_random;
    Duration m_pause = firstBackoff;
};

class HttpHostOrders : public HostOrders
{
public:
    Status send(const Member &member, const HostOrder &order, const std::vector<Endpoint> &peers,
                Duration timeout) override
    {
        Json peerList = Json::array();
        for (const Endpoint &peer : peers)
            peerList.push_back(toString(peer));
        const Json body { { "replica", order.replica.text() },
                          { "epoch", order.epoch.count() },
                          { "rank", order.rank },
                          { "model", order.model.text() },
                          { "peers", peerList } };
        const Result<HttpResponse> answer = m_client.exchange(
            member.endpoint,
            { "POST", "/orders", { { "content-type", "application/json" } }, body.dump() },
            timeout);
        if (!answer.ok())
            return answer.error();
        if (answer.value().status == 409)
            return Error(ErrorKind::Fenced, member.host.text() + " has seen a newer order");
        return Done {};
    }

private:
    BlockingHttpClient m_client;
};

class HttpOtherSide : public OtherSideClient
{
public:
    Result<Holding> holding(const std::string &administration, const AccountId &account) override
    {
        const Result<Endpoint> endpoint = parseEndpoint(administration);
        if (!endpoint.ok())
            return endpoint.error();
        const Result<HttpResponse> answer = m_client.exchange(
            endpoint.value(), { "GET", "/admin/v1/holding?account=" + account.text(), {}, {} },
            otherSideTimeout);
        if (!answer.ok())
            return answer.error();
        const Json json = Json::parse(answer.value().body, nullptr, false);
        if (answer.value().status != 200 || !json.is_object())
            return Error(ErrorKind::Unavailable, "it answered " + answer.value().body);
        Holding holding;
        const std::string phase = json.value("phase", "here");
        holding.phase = phase == "there" ? HoldingPhase::There
            : phase == "draining"        ? HoldingPhase::Draining
                                         : HoldingPhase::Here;
        holding.epoch = Epoch(json.value("epoch", std::int64_t { 0 }));
        return holding;
    }

private:
    BlockingHttpClient m_client;
};

// Shared by all actors.
struct Environment
{
    IoContext &io;
    const Clock &clock;
    const Settings &settings;
    const DaemonRecord self;
    Hub &hub;
    ConfirmationBoard &board;

    // Posts to the I/O loop.
    template <typename Function> void post(Function function) const
    {
        boost::asio::post(io, std::move(function));
    }
};
using EnvironmentPtr = std::shared_ptr<const Environment>;
using StorePtr = std::shared_ptr<PlatformStore>;

Milliseconds toDelay(Duration duration)
{
    return std::max(Milliseconds(1), std::chrono::duration_cast<Milliseconds>(duration));
}

// --- watcher ---

struct WatcherState
{
    StoreViewBuilder builder;
    Revision after;
    bool listed = false;
    Backoff backoff { entropySeed() };
};

// Lists all keys, as of a revision that was read before: changes in between are delivered again,
// without effect.
bool listAll(PlatformStore &store, WatcherState &state)
{
    const Result<WatchBatch> present = store.watch(allKeys, Revision(0), Duration::zero());
    if (!present.ok())
        return false;
    const Result<std::vector<StoredEntry>> entries = store.list(allKeys);
    if (!entries.ok())
        return false;
    state.builder.reset(entries.value(), present.value().upTo);
    state.after = present.value().upTo;
    state.listed = true;
    return true;
}

bool watchOnce(PlatformStore &store, WatcherState &state)
{
    const Result<WatchBatch> batch = store.watch(allKeys, state.after, watchWait);
    if (!batch.ok())
        return false;
    if (!batch.value().complete) {
        state.listed = false;
        return listAll(store, state);
    }
    state.builder.apply(batch.value());
    state.after = batch.value().upTo;
    return true;
}

caf::behavior watcher(caf::stateful_actor<WatcherState> *self, EnvironmentPtr env, StorePtr store)
{
    self->send(self, Tick::value);
    return { [=](Tick) {
        WatcherState &state = self->state;
        const bool fresh = state.listed ? watchOnce(*store, state) : listAll(*store, state);
        if (!fresh) {
            self->delayed_send(self, toDelay(state.backoff.next()), Tick::value);
            return;
        }
        state.backoff.reset();
        std::vector<Error> problems;
        const StoreViewPtr view = state.builder.build(problems);
        for (const Error &problem : problems)
            logError("control", problem.message());
        env->post([env, view] { env->hub.setView(view); });
        self->send(self, Tick::value);
    } };
}

// --- members ---

struct MembersState
{
    Revision after;
    Backoff backoff { entropySeed() };
};

caf::behavior members(caf::stateful_actor<MembersState> *self, EnvironmentPtr env, StorePtr store)
{
    self->send(self, Tick::value);
    return { [=](Tick) {
        MembersState &state = self->state;
        const Result<MemberList> list = store->members(state.after, watchWait);
        if (!list.ok()) {
            self->delayed_send(self, toDelay(state.backoff.next()), Tick::value);
            return;
        }
        state.backoff.reset();
        const bool isNew = list.value().revision != state.after;
        state.after = list.value().revision;
        if (isNew)
            env->post([env, list = list.value()] { env->hub.setMembers(list); });
        self->send(self, Tick::value);
    } };
}

// --- registrar ---

struct RegistrarState
{
    std::unique_ptr<Registrar> registrar;
    std::unique_ptr<SlotKeeper> slots;
    StoreViewPtr view = std::make_shared<StoreView>();
    bool left = false;
};

SlotKeeperOptions slotOptions(const Environment &env)
{
    return { env.settings.daemon, env.settings.zone, env.self.incarnation,
             env.settings.slotsPerZone };
}

RegistrarOptions registrarOptions(const Environment &env)
{
    RegistrarOptions options;
    options.self = env.self;
    options.leaseLength = env.settings.leaseLength;
    options.margin = env.settings.clockMargin;
    return options;
}

caf::behavior registrar(caf::stateful_actor<RegistrarState> *self, EnvironmentPtr env,
                        StorePtr store, caf::actor planner)
{
    self->state.registrar =
        std::make_unique<Registrar>(*store, env->clock, registrarOptions(*env), entropySeed());
    self->state.slots = std::make_unique<SlotKeeper>(*store, env->clock, slotOptions(*env));
    self->send(self, Tick::value);
    const auto publish = [=] {
        const RegistrationState state = self->state.registrar->state();
        self->send(planner, RegistrationMessage { state });
        env->post([env, state] { env->hub.setRegistration(state); });
    };
    const auto winSlots = [=] {
        RegistrarState &state = self->state;
        const LeaseId lease = state.registrar->state().lease;
        for (const SlotReign &reign : state.slots->step(*state.view, state.registrar->state()))
            env->post([env, reign, lease] { env->hub.addReign(reign, lease); });
    };
    return { [=](Tick) {
                RegistrarState &state = self->state;
                if (state.left)
                    return;
                if (env->clock.now() >= state.registrar->nextStep()) {
                    state.registrar->step();
                    publish();
                }
                winSlots();
                self->delayed_send(self, toDelay(registrarTick), Tick::value);
            },
             [=](const ViewMessage &message) { self->state.view = message.view; },
             [=](const HandoverExpected &expected) {
                 self->state.slots->expectHandover(expected.slot, expected.reign);
             },
             [=](const CopyHeld &held) { self->state.slots->expectCopy(held.slot, held.reign); },
             [=](const CopyPlaced &placed) {
                 const bool recorded = self->state.slots->recordCopy(placed.slot, placed.reign,
                                                                     placed.at, placed.incarnation);
                 env->post([env, placed, recorded] {
                     env->hub.noteCopy(placed.slot, placed.reign, placed.at, recorded);
                 });
             },
             [=](const SlotReleased &released) {
                 self->state.left = true; // Only a daemon that stops releases its slots.
                 self->state.slots->release(released.slot, self->state.registrar->state().lease);
             },
             [=](Leave) {
                 self->state.left = true;
                 self->state.registrar->leave();
                 self->quit();
             } };
}

// --- planner ---

struct PlannerState
{
    HttpHostOrders orders;
    std::unique_ptr<ZonePlanner> planner;
    StoreViewPtr view = std::make_shared<StoreView>();
    RegistrationState registration;
    SightPtr newest; // The latest input that arrived during a step; earlier ones are superseded.
    bool stepDue = false;
};

ZonePlannerOptions plannerOptions(const Environment &env)
{
    ZonePlannerOptions options;
    options.daemon = env.settings.daemon;
    options.zone = env.settings.zone;
    options.incarnation = env.self.incarnation;
    options.planner.objective = env.settings.objective;
    options.enginesHonourFencing = env.settings.enginesHonourFencing;
    return options;
}

caf::behavior planner(caf::stateful_actor<PlannerState> *self, EnvironmentPtr env, StorePtr store)
{
    self->state.planner =
        std::make_unique<ZonePlanner>(*store, env->clock, plannerOptions(*env), self->state.orders);
    return { [=](const ViewMessage &message) { self->state.view = message.view; },
             [=](const RegistrationMessage &message) { self->state.registration = message.state; },
             [=](const SightMessage &message) {
                 self->state.newest = message.sight;
                 if (!self->state.stepDue)
                     self->send(self, Tick::value);
                 self->state.stepDue = true;
             },
             [=](Tick) {
                 PlannerState &state = self->state;
                 state.stepDue = false;
                 const PlannerReport report =
                     state.planner->step(*state.view, state.registration, *state.newest);
                 env->post([env, report] { env->hub.notePlanner(report); });
             } };
}

// --- changer ---

struct ChangerState
{
    HttpOtherSide otherSide;
    std::unique_ptr<ConfigChanger> changer;
};

caf::behavior changer(caf::stateful_actor<ChangerState> *self, EnvironmentPtr env, StorePtr store)
{
    ConfigChangerOptions options;
    options.daemon = env->settings.daemon;
    options.zones = env->settings.zones;
    self->state.changer = std::make_unique<ConfigChanger>(
        *store, env->clock, options, env->board, self->state.otherSide,
        [](Duration pause) { std::this_thread::sleep_for(pause); }, entropySeed());
    return { [=](const ApplyChange &order) {
        const Result<ChangeResult> result = self->state.changer->apply(order.request);
        env->post([done = order.done, result] { done(result); });
    } };
}

} // namespace

struct ControlActors::Impl
{
    Impl(EnvironmentPtr environment) : env(std::move(environment))
    {
        // All actors have their own threads, so the pool is unused.
        config.set("scheduler.max-threads", 1);
        system = std::make_unique<caf::actor_system>(config);
    }

    StorePtr makeStore()
    {
        HttpPlatformStoreOptions options;
        options.endpoint = env->settings.platform;
        StorePtr store = makeHttpPlatformStore(options);
        stores.push_back(store);
        return store;
    }

    EnvironmentPtr env;
    caf::actor_system_config config;
    std::unique_ptr<caf::actor_system> system;
    std::vector<StorePtr> stores;
    caf::actor watcherActor;
    caf::actor membersActor;
    caf::actor registrarActor;
    caf::actor plannerActor;
    caf::actor changerActor;
};

ControlActors::ControlActors(IoContext &io, const Clock &clock, const Settings &settings,
                             DaemonRecord self, Hub &hub, ConfirmationBoard &board)
    : m_impl(std::make_unique<Impl>(std::make_shared<Environment>(
        Environment { io, clock, settings, std::move(self), hub, board })))
{ }

ControlActors::~ControlActors() = default;

void ControlActors::start()
{
    Impl &impl = *m_impl;
    caf::actor_system &system = *impl.system;
    impl.plannerActor = system.spawn<caf::detached>(planner, impl.env, impl.makeStore());
    impl.registrarActor =
        system.spawn<caf::detached>(registrar, impl.env, impl.makeStore(), impl.plannerActor);
    impl.changerActor = system.spawn<caf::detached>(changer, impl.env, impl.makeStore());
    impl.membersActor = system.spawn<caf::detached>(members, impl.env, impl.makeStore());
    impl.watcherActor = system.spawn<caf::detached>(watcher, impl.env, impl.makeStore());
}

void ControlActors::apply(ChangeRequest request, ChangeCallback done)
{
    caf::anon_send(m_impl->changerActor, ApplyChange { std::move(request), std::move(done) });
}

void ControlActors::stop()
{
    Impl &impl = *m_impl;
    {
        caf::scoped_actor waiter(*impl.system);
        waiter->monitor(impl.registrarActor);
        caf::anon_send(impl.registrarActor, Leave::value);
        waiter->receive([](const caf::down_msg &) {}, caf::after(toDelay(leaveLimit)) >> [] {});
    }
    for (const StorePtr &store : impl.stores)
        store->interrupt();
    for (const caf::actor &actor : { impl.watcherActor, impl.membersActor, impl.registrarActor,
                                     impl.plannerActor, impl.changerActor })
        caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
    impl.watcherActor = impl.membersActor = impl.registrarActor = nullptr;
    impl.plannerActor = impl.changerActor = nullptr;
    impl.system.reset();
}

void ControlActors::onView(StoreViewPtr view)
{
    caf::anon_send(m_impl->registrarActor, ViewMessage { view });
    caf::anon_send(m_impl->plannerActor, ViewMessage { std::move(view) });
}

void ControlActors::onSight(std::shared_ptr<const PlannerSight> sight)
{
    caf::anon_send(m_impl->plannerActor, SightMessage { std::move(sight) });
}

void ControlActors::onHandover(const SlotId &slot, std::int64_t reign)
{
    caf::anon_send(m_impl->registrarActor, HandoverExpected { slot, reign });
}

void ControlActors::onCopyHeld(const SlotId &slot, std::int64_t reign)
{
    caf::anon_send(m_impl->registrarActor, CopyHeld { slot, reign });
}

void ControlActors::onCopyPlaced(const SlotId &slot, std::int64_t reign, const DaemonId &copyAt,
                                 const std::string &copyIncarnation)
{
    caf::anon_send(m_impl->registrarActor, CopyPlaced { slot, reign, copyAt, copyIncarnation });
}

void ControlActors::onReleased(const SlotId &slot)
{
    caf::anon_send(m_impl->registrarActor, SlotReleased { slot });
}

} // namespace ramphinge
