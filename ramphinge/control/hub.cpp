// The hub: see hub.h.

#include "ramphinge/control/hub.h"

#include <algorithm>
#include <map>

#include <nlohmann/json.hpp>

#include "ramphinge/base/hash.h"
#include "ramphinge/claims/key_stamp.h"
#include "ramphinge/observe/log.h"

namespace ramphinge {

namespace {

using Json = nlohmann::json;

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration gossipInterval = std::chrono::milliseconds(250);
constexpr Duration serviceInterval = std::chrono::milliseconds(500);
constexpr Duration uneasyStatusInterval = std::chrono::milliseconds(300);
constexpr Duration easyStatusInterval = std::chrono::seconds(3);
constexpr Duration confirmRepeat = std::chrono::milliseconds(500);
constexpr Duration claimTimeout = std::chrono::milliseconds(400);
constexpr Duration linkWait = std::chrono::milliseconds(150);
constexpr Duration linkPoll = std::chrono::milliseconds(5);
constexpr Duration seedInterval = std::chrono::seconds(1);
constexpr Duration handoverLimit = std::chrono::milliseconds(800);
constexpr int gossipFanout = 8; // Peers told of loads and service at a time.
constexpr int linksPerOtherZone = 2;
constexpr int smallFleet = 16; // Up to here every daemon is linked with every other.
constexpr int observersPerHost = 2;
constexpr int crowdedZone = 8; // Beyond so many daemons in a zone one observer a host is enough.

// Something that is due every so often.
class Every
{
public:
    explicit Every(Duration interval) : m_interval(interval) { }

    bool due(MonotonicTime now)
    {
        if (now < m_next)
            return false;
        m_next = now + m_interval;
        return true;
    }

    void hasten() { m_next = MonotonicTime(); }
    void setInterval(Duration interval) { m_interval = interval; }

private:
    Duration m_interval;
    MonotonicTime m_next;
};

// A claim that waits for its owner's answer.
struct PendingClaim
{
    explicit PendingClaim(IoContext &io) : signal(io) { }
    Signal signal;
    std::optional<ClaimAnswer> answer;
};

} // namespace

struct Hub::Impl
{
    Impl(IoContext &loop, const Clock &time, const Settings &daemonSettings, DaemonRecord record,
         Timeline &events, Metrics &counters, ConfirmationBoard &confirmations, Hub &owner)
        : io(loop), clock(time), settings(daemonSettings), self(std::move(record)),
          timeline(events), metrics(counters), board(confirmations), hub(owner), hosts({}),
          claims(time, {}), prober(loop, time, proberOptions(daemonSettings),
                                   [this](const HostObservation &seen) { onSeen(seen, true); }),
          random(entropySeed())
    {
        view = std::make_shared<StoreView>();
        registration.roster.zone = settings.zone;
    }

    static HostProberOptions proberOptions(const Settings &settings)
    {
        HostProberOptions options;
        options.interval = settings.loadReportInterval;
        return options;
    }

    // --- Time ---
    void run(Yield yield);
    void tick(MonotonicTime now);

    // --- Configuration ---
    void applyNews(const ConfigHolder::News &news);
    void confirmPrepared();
    void reportInForce();

    // --- Peers ---
    void connectPeers();
    bool wantsLink(const DaemonRecord &record) const;
    void sendStatus();
    StatusMessage statusMessage() const;
    Registration registrationWord(MonotonicTime now) const;
    void onStatus(const DaemonId &from, const StatusMessage &message);
    void gossipLoads(MonotonicTime now);
    void gossipService();
    std::vector<DaemonId> nextPeers(int count, std::size_t &cursor) const;

    // --- Hosts ---
    void onSeen(const HostObservation &seen, bool own);
    void spread(const HostObservation &seen);
    void updateTargets();
    void updateHosts();
    void updateReplicas();
    bool contradicted(const PlannedReplica &planned, MonotonicTime now) const;
    void sendSight();

    // --- Claims ---
    GrantRight grantRight(MonotonicTime now) const;
    SlotId slotOf(const ClaimKey &key) const;

    void event(EventKind kind, const std::string &detail = "", const ChangeId &change = {});

    IoContext &io;
    const Clock &clock;
    const Settings &settings;
    const DaemonRecord self;
    Timeline &timeline;
    Metrics &metrics;
    ConfirmationBoard &board;
    Hub &hub;
    Gateway *gateway = nullptr;
    HubListener *listener = nullptr;
    std::unique_ptr<PeerNetwork> network;

    StoreViewPtr view;
    RegistrationState registration;
    LeaseId lastLease; // Of the last registration, also after it has ended.
    ConfigHolder config;
    bool confirmed = false; // The prepared change, to its proposer, as far as we know.
    std::map<DaemonId, PeerState> peers; // As last heard.
    HostView hosts;
    ClaimOwner claims;
    HostProber prober;
    Random random;
    std::map<CorrelationId, PendingClaim *> pendingClaims;
    std::int64_t nextCorrelation = 1;
    std::map<DaemonId, std::map<ModelId, std::map<AccountId, Tokens>>> unsentService;
    std::map<SlotId, bool> handedOver; // Slots sent to a successor; true when it has said so.
    std::set<ReplicaId> readyReplicas; // As last told the gateway.
    std::set<HostId> downHosts;
    ServingMode lastMode = ServingMode::Refusing;
    PlannerReport planner;
    MonotonicTime lastGossip;
    std::size_t gossipCursor = 0;
    std::size_t serviceCursor = 0;
    Every statusDue { uneasyStatusInterval };
    Every gossipDue { gossipInterval };
    Every serviceDue { serviceInterval };
    Every confirmDue { confirmRepeat };
    Every seedDue { seedInterval };
    bool stopped = false;
};

Hub::Hub(IoContext &io, const Clock &clock, const Settings &settings, DaemonRecord self,
         Timeline &timeline, Metrics &metrics, ConfirmationBoard &board)
    : m_impl(std::make_unique<Impl>(io, clock, settings, std::move(self), timeline, metrics, board,
                                    *this))
{ }

Hub::~Hub() = default;

Status Hub::start(Gateway &gateway, HubListener &listener)
{
    m_impl->gateway = &gateway;
    m_impl->listener = &listener;
    PeerNetworkOptions options;
    options.self = m_impl->settings.daemon;
    options.listen = m_impl->settings.peers;
    options.sharedKey = m_impl->settings.sharedKey;
    auto network = PeerNetwork::listen(m_impl->io, options, *this);
    if (!network.ok())
        return network.error();
    m_impl->network = std::move(network.value());
    gateway.setServingCheck([this](MonotonicTime now) { return serving(now); });
    spawnCoroutine(m_impl->io, [this](Yield yield) { m_impl->run(yield); });
    return Done {};
}

void Hub::Impl::run(Yield yield)
{
    while (!stopped) {
        tick(clock.now());
        sleepFor(io, tickInterval, yield);
    }
}

void Hub::Impl::tick(MonotonicTime now)
{
    const ServingDecision decision = hub.serving(now);
    if (decision.mode != lastMode) {
        lastMode = decision.mode;
        event(EventKind::ServingModeChanged,
              std::string(toString(decision.mode)) + ": " + decision.reason);
        statusDue.hasten();
    }
    const bool easy = registrationWord(now) == Registration::Registered && !config.prepared();
    statusDue.setInterval(easy ? easyStatusInterval : uneasyStatusInterval);
    if (statusDue.due(now))
        sendStatus();
    if (!confirmed && config.prepared() && confirmDue.due(now))
        confirmPrepared();
    if (gossipDue.due(now))
        gossipLoads(now);
    if (serviceDue.due(now))
        gossipService();
    if (network->linkedPeers().empty() && seedDue.due(now)) {
        for (const Endpoint &seed : settings.peerSeeds)
            network->connectToSeed(seed);
    }
    connectPeers();
    updateHosts();
    sendSight();
}

ServingDecision Hub::serving(MonotonicTime now) const
{
    ServingInput input;
    input.self = m_impl->settings.daemon;
    input.configVersion = m_impl->config.acceptedVersion();
    input.preparedVersion = m_impl->config.preparedVersion();
    input.registration = m_impl->registration.term;
    input.now = now;
    if (!input.registration.mayAct(now)) {
        input.roster = m_impl->registration.roster;
        for (const auto &[daemon, state] : m_impl->peers) {
            if (state.zone == m_impl->settings.zone)
                input.zonePeers.push_back(state);
        }
    }
    return decideServing(input, {});
}

void Hub::Impl::event(EventKind kind, const std::string &detail, const ChangeId &change)
{
    TimelineEvent entry;
    entry.kind = kind;
    entry.detail = detail;
    entry.change = change;
    timeline.record(std::move(entry));
}

// --- From the actors ---

void Hub::setView(StoreViewPtr view)
{
    if (view->upTo() < m_impl->view->upTo())
        return;
    m_impl->view = std::move(view);
    const ZoneRoster roster = m_impl->view->roster(m_impl->settings.zone);
    if (!roster.daemons.empty())
        m_impl->registration.roster = roster;
    m_impl->applyNews(
        m_impl->config.onState(m_impl->view->config(), m_impl->view->configRevision()));
    m_impl->connectPeers();
    m_impl->updateTargets();
    m_impl->updateReplicas();
    const auto sharers = m_impl->view->daemonsIn(m_impl->settings.zone).size();
    m_impl->gateway->setSharers(static_cast<int>(sharers));
    m_impl->listener->onView(m_impl->view);
}

void Hub::setMembers(const MemberList &members)
{
    m_impl->hosts.setMembers(members);
    m_impl->gateway->setServices(m_impl->hosts.members());
    m_impl->updateTargets();
    m_impl->updateHosts();
    m_impl->updateReplicas();
}

void Hub::setRegistration(const RegistrationState &registration)
{
    const Registration before = m_impl->registration.registration;
    const ZoneRoster roster = m_impl->registration.roster;
    m_impl->registration = registration;
    // The view may have shown a newer roster than the one read when registering.
    if (before == Registration::Registered && !roster.daemons.empty())
        m_impl->registration.roster = roster;
    if (registration.registration == Registration::Registered)
        m_impl->lastLease = registration.lease;
    m_impl->applyNews(m_impl->config.onState(registration.config, registration.configRevision));
    if (before == registration.registration)
        return;
    m_impl->statusDue.hasten();
    m_impl->event(registration.registration == Registration::Registered
                      ? EventKind::Registered
                      : EventKind::RegistrationLost,
                  toString(registration.registration));
}

void Hub::addReign(const SlotReign &reign, LeaseId lease)
{
    m_impl->claims.begin(reign, lease);
    const char *how = reign.continued      ? "continued"
        : reign.adoptedFrom != 0           ? "handed over"
        : reign.vouchesSince == WallTime() ? "first"
                                           : "taken over";
    m_impl->event(EventKind::RoleWon,
                  "slot " + std::to_string(reign.slot.number.count()) + " reign "
                      + std::to_string(reign.number) + " " + how);
}

void Hub::notePlanner(const PlannerReport &report)
{
    m_impl->planner = report;
    if (report.wonRole)
        m_impl->event(EventKind::RoleWon, "planner of " + m_impl->settings.zone.text());
    if (report.lostRole)
        m_impl->event(EventKind::RoleLost, "planner of " + m_impl->settings.zone.text());
    if (report.wrotePlan) {
        TimelineEvent written;
        written.kind = EventKind::PlanWritten;
        written.epoch = report.epoch;
        m_impl->timeline.record(std::move(written));
    }
    for (const HostOrder &order : report.ordersSent) {
        TimelineEvent sent;
        sent.kind = EventKind::OrderSent;
        sent.host = order.host;
        sent.replica = order.replica;
        sent.epoch = order.epoch;
        m_impl->timeline.record(std::move(sent));
    }
}

// --- Configuration ---

void Hub::Impl::applyNews(const ConfigHolder::News &news)
{
    gateway->setPrepared(config.prepared());
    if (news.accepted) {
        gateway->setConfig(config.accepted());
        event(EventKind::ChangeInForce, "version " + std::to_string(config.acceptedVersion()),
              config.accepted()->record.change);
        reportInForce();
        statusDue.hasten();
    }
    if (news.prepared) {
        confirmed = false;
        confirmDue.hasten();
        confirmPrepared();
    }
}

// Only a registered daemon confirms; it has already made sure that it will not forget the proposal.
void Hub::Impl::confirmPrepared()
{
    if (!registration.term.mayAct(clock.now()))
        return;
    const ChangeId change = config.prepared()->record.change;
    event(EventKind::ChangeConfirmed, "", change);
    if (config.proposer() == settings.daemon) {
        board.confirm(change, settings.daemon, true, "");
        confirmed = true;
        return;
    }
    if (const DaemonRecord *proposer = view->daemon(config.proposer()))
        network->connect(proposer->daemon, proposer->peers);
    // Repeated until decided: the proposer may have missed it.
    network->send(config.proposer(), ConfirmMessage { change, true, "" });
}

void Hub::Impl::reportInForce()
{
    const std::int64_t version = config.acceptedVersion();
    board.inForce(ConfigVersion(version), settings.daemon);
    if (config.proposer() != settings.daemon)
        network->send(config.proposer(), InForceMessage { version });
}

// --- Peers ---

bool Hub::Impl::wantsLink(const DaemonRecord &record) const
{
    if (record.daemon == settings.daemon)
        return false;
    const bool dials = settings.daemon < record.daemon;
    if (record.zone == settings.zone || view->daemons().size() <= smallFleet)
        return dials;
    // A few links to each other zone: the peers that hash best for this daemon.
    const std::uint64_t key = stableHash(settings.daemon.text());
    int better = 0;
    for (const DaemonRecord &other : view->daemonsIn(record.zone)) {
        better +=
            rendezvousScore(key, other.daemon.text()) > rendezvousScore(key, record.daemon.text())
            ? 1
            : 0;
    }
    return better < linksPerOtherZone;
}

void Hub::Impl::connectPeers()
{
    for (const DaemonRecord &record : view->daemons()) {
        if (wantsLink(record))
            network->connect(record.daemon, record.peers);
    }
    // Without the platform, whoever is heard of is good enough.
    for (const auto &[daemon, state] : peers) {
        if (state.zone == settings.zone && settings.daemon < daemon)
            network->connect(daemon, state.peers);
    }
}

Registration Hub::Impl::registrationWord(MonotonicTime now) const
{
    if (registration.registration != Registration::Registered)
        return registration.registration;
    return registration.term.mayAct(now) ? Registration::Registered : Registration::Unregistered;
}

StatusMessage Hub::Impl::statusMessage() const
{
    StatusMessage message;
    message.state.daemon = settings.daemon;
    message.state.zone = settings.zone;
    message.state.peers = settings.advertisedPeers;
    message.state.administration = settings.administration;
    message.state.incarnation = self.incarnation;
    message.state.registration = registrationWord(clock.now());
    message.state.configVersion = config.acceptedVersion();
    message.state.preparedVersion = config.preparedVersion();
    message.time = timeline.clock().tick();
    return message;
}

void Hub::Impl::sendStatus()
{
    const StatusMessage message = statusMessage();
    for (const DaemonId &peer : network->linkedPeers())
        network->send(peer, message);
}

void Hub::Impl::onStatus(const DaemonId &from, const StatusMessage &message)
{
    timeline.clock().merge(message.time);
    peers[from] = message.state;
    const std::int64_t theirs =
        std::max(message.state.configVersion, message.state.preparedVersion);
    const bool newer = message.state.configVersion > config.acceptedVersion()
        || theirs > std::max(config.acceptedVersion(), config.preparedVersion());
    if (newer)
        network->send(from, ConfigQueryMessage {});
}

void Hub::onLink(const DaemonId &peer, bool up)
{
    m_impl->metrics.set(MetricName("peer_links"),
                        static_cast<double>(m_impl->network->linkedPeers().size()));
    if (up)
        m_impl->network->send(peer, m_impl->statusMessage());
    else
        m_impl->unsentService.erase(peer);
}

void Hub::onMessage(const DaemonId &from, const PeerMessage &message)
{
    Impl &impl = *m_impl;
    if (const auto *status = std::get_if<StatusMessage>(&message)) {
        impl.onStatus(from, *status);
    } else if (const auto *seen = std::get_if<ObservationsMessage>(&message)) {
        for (const ObservationsMessage::Aged &aged : seen->observations)
            impl.onSeen(aged.observation, false);
    } else if (const auto *service = std::get_if<ServiceMessage>(&message)) {
        impl.gateway->addRemoteService({ service->model, service->service });
    } else if (const auto *request = std::get_if<ClaimRequestMessage>(&message)) {
        const ClaimAnswer answer =
            impl.claims.claim(request->slot, request->attempt, impl.grantRight(impl.clock.now()));
        impl.network->send(from, ClaimReplyMessage { request->id, answer });
    } else if (const auto *reply = std::get_if<ClaimReplyMessage>(&message)) {
        const auto pending = impl.pendingClaims.find(reply->id);
        if (pending != impl.pendingClaims.end()) {
            pending->second->answer = reply->answer;
            pending->second->signal.notify();
        }
    } else if (const auto *settled = std::get_if<SettleMessage>(&message)) {
        impl.claims.settle(settled->slot, settled->attempt, settled->outcome, settled->answer);
    } else if (const auto *handover = std::get_if<HandoverMessage>(&message)) {
        impl.claims.receive(*handover);
        impl.listener->onHandover(handover->slot, handover->reign);
        impl.network->send(from, HandoverAckMessage { handover->slot, handover->reign });
    } else if (const auto *ack = std::get_if<HandoverAckMessage>(&message)) {
        impl.handedOver[ack->slot] = true;
    } else if (const auto *confirm = std::get_if<ConfirmMessage>(&message)) {
        impl.board.confirm(confirm->change, from, confirm->accepts, confirm->message);
    } else if (const auto *inForce = std::get_if<InForceMessage>(&message)) {
        impl.board.inForce(ConfigVersion(inForce->version), from);
    } else if (std::get_if<ConfigQueryMessage>(&message) != nullptr) {
        const auto stored = [](const AcceptedConfigPtr &config) {
            return config ? serialize(*config) : std::string();
        };
        impl.network->send(
            from, ConfigMessage { stored(impl.config.accepted()), stored(impl.config.prepared()) });
    } else if (const auto *config = std::get_if<ConfigMessage>(&message)) {
        const Result<AcceptedConfigPtr> accepted = parseAccepted(config->accepted);
        const Result<AcceptedConfigPtr> prepared = parseAccepted(config->prepared);
        impl.applyNews(impl.config.onPeer(accepted.ok() ? accepted.value() : nullptr,
                                          prepared.ok() ? prepared.value() : nullptr));
    }
}

std::vector<DaemonId> Hub::Impl::nextPeers(int count, std::size_t &cursor) const
{
    std::vector<DaemonId> inZone;
    for (const DaemonId &peer : network->linkedPeers()) {
        const auto state = peers.find(peer);
        const bool elsewhere = state != peers.end() && state->second.zone != settings.zone;
        if (!elsewhere || view->daemons().size() <= smallFleet)
            inZone.push_back(peer);
    }
    std::vector<DaemonId> chosen;
    for (int i = 0; i < count && i < static_cast<int>(inZone.size()); ++i)
        chosen.push_back(inZone[cursor++ % inZone.size()]);
    return chosen;
}

// Loads of the hosts that take requests; what is news of a host's health has been told at once.
void Hub::Impl::gossipLoads(MonotonicTime now)
{
    ObservationsMessage message;
    for (const HostObservation &seen : hosts.observationsSince(lastGossip)) {
        const Member *member = hosts.member(seen.host);
        const bool ours = member != nullptr && member->zone == settings.zone;
        if (ours && seen.rank == 0)
            message.observations.push_back({ seen, now - seen.madeAt });
    }
    lastGossip = now;
    if (message.observations.empty())
        return;
    for (const DaemonId &peer : nextPeers(gossipFanout, gossipCursor))
        network->send(peer, message);
}

void Hub::Impl::gossipService()
{
    const std::vector<ModelService> given = gateway->takeService();
    for (const DaemonId &peer : network->linkedPeers()) {
        auto &unsent = unsentService[peer];
        for (const ModelService &model : given) {
            for (const AccountTokens &service : model.service)
                unsent[model.model][service.account] += service.tokens;
        }
    }
    for (const DaemonId &peer : nextPeers(gossipFanout, serviceCursor)) {
        for (const auto &[model, accounts] : unsentService[peer]) {
            ServiceMessage message { model, {} };
            for (const auto &[account, tokens] : accounts)
                message.service.push_back({ account, tokens });
            network->send(peer, message);
        }
        unsentService.erase(peer);
    }
}

// --- Hosts ---

void Hub::Impl::onSeen(const HostObservation &seen, bool own)
{
    const bool isNews = hosts.observe(seen);
    if (seen.answers && seen.rank == 0)
        gateway->reportLoad(seen.replica, { seen.running, seen.waiting, seen.maxBatch });
    if (!isNews)
        return;
    updateHosts();
    updateReplicas();
    // Own news goes to everybody linked; others' only onwards into our zone.
    const Member *member = hosts.member(seen.host);
    const bool foreign = member != nullptr && member->zone != settings.zone;
    if (own || (foreign && view->daemons().size() > smallFleet))
        spread(seen);
}

void Hub::Impl::spread(const HostObservation &seen)
{
    ObservationsMessage message;
    message.observations.push_back({ seen, clock.now() - seen.madeAt });
    message.urgent = true;
    for (const DaemonId &peer : network->linkedPeers())
        network->send(peer, message);
}

void Hub::Impl::updateTargets()
{
    std::vector<DaemonId> alive;
    for (const DaemonRecord &record : view->daemonsIn(settings.zone))
        alive.push_back(record.daemon);
    const int observers =
        alive.size() > static_cast<std::size_t>(crowdedZone) ? 1 : observersPerHost;
    std::vector<Member> targets;
    for (const Member &member : hosts.members()) {
        if (member.zone == settings.zone
            && isObserver(settings.daemon, member.host, alive, observers))
            targets.push_back(member);
    }
    prober.setTargets(targets);
}

void Hub::Impl::updateHosts()
{
    const MonotonicTime now = clock.now();
    const std::set<HostId> unusable = hosts.unusableHosts(now);
    std::set<HostId> down;
    for (const HostId &host : unusable) {
        const HostObservation *seen = hosts.latest(host, now);
        if (seen != nullptr && !seen->answers)
            down.insert(host);
    }
    std::set<HostId> newlyDown;
    for (const HostId &host : down) {
        if (downHosts.count(host) > 0)
            continue;
        newlyDown.insert(host);
        TimelineEvent entry;
        entry.kind = EventKind::HostDown;
        entry.host = host;
        timeline.record(std::move(entry));
    }
    for (const HostId &host : downHosts) {
        if (down.count(host) > 0)
            continue;
        TimelineEvent entry;
        entry.kind = EventKind::HostUp;
        entry.host = host;
        timeline.record(std::move(entry));
    }
    downHosts = down;
    gateway->setUnusableHosts(unusable, newlyDown);
}

// A host that says it is something else than the plan has it for: its replica must get nothing.
bool Hub::Impl::contradicted(const PlannedReplica &planned, MonotonicTime now) const
{
    for (const HostId &host : planned.hosts) {
        const HostObservation *seen = hosts.latest(host, now);
        const bool other = seen != nullptr && seen->answers
            && (seen->replica != planned.replica || seen->epoch != planned.epoch || !seen->loaded);
        if (other)
            return true;
    }
    const HostObservation *head = hosts.latest(planned.hosts.front(), now);
    return head != nullptr && head->answers && !head->whole;
}

void Hub::Impl::updateReplicas()
{
    const MonotonicTime now = clock.now();
    std::vector<ReplicaEntry> entries;
    std::set<ReplicaId> ready;
    for (const ZonePlan &zone : view->plans()) {
        for (const PlannedReplica &planned : zone.plan.replicas) {
            const Member *head = hosts.member(planned.hosts.front());
            if (planned.phase != ReplicaPhase::Ready || head == nullptr
                || contradicted(planned, now))
                continue;
            entries.push_back({ planned.replica, planned.epoch, planned.model, zone.zone,
                                head->endpoint, planned.hosts });
            ready.insert(planned.replica);
        }
    }
    const auto note = [this](EventKind kind, const ReplicaId &replica) {
        TimelineEvent entry;
        entry.kind = kind;
        entry.replica = replica;
        timeline.record(std::move(entry));
    };
    for (const ReplicaId &replica : ready) {
        if (readyReplicas.count(replica) == 0)
            note(EventKind::ReplicaReady, replica);
    }
    for (const ReplicaId &replica : readyReplicas) {
        if (ready.count(replica) == 0)
            note(EventKind::ReplicaNotReady, replica);
    }
    readyReplicas = ready;
    gateway->setReplicas(entries);
}

void Hub::Impl::sendSight()
{
    const RoleRecord *holder = view->planner(settings.zone);
    if (holder != nullptr && holder->daemon != settings.daemon)
        return;
    auto sight = std::make_shared<PlannerSight>();
    sight->members = hosts.members();
    const MonotonicTime now = clock.now();
    for (const Member &member : sight->members) {
        if (const HostObservation *seen = hosts.latest(member.host, now))
            sight->observations.push_back(*seen);
    }
    listener->onSight(std::move(sight));
}

// --- Claims ---

GrantRight Hub::Impl::grantRight(MonotonicTime now) const
{
    if (registration.term.mayAct(now))
        return { registration.lease, registration.term.expiry() - now };
    // A zone cut off goes on with its slots: nobody can take them over meanwhile.
    if (hub.serving(now).mode == ServingMode::ZoneAlone)
        return { lastLease, ServingOptions().promise };
    return {};
}

SlotId Hub::Impl::slotOf(const ClaimKey &key) const
{
    return ramphinge::slotOf(key, settings.zones, settings.slotsPerZone);
}

Result<ClaimAnswer> Hub::claim(const ClaimAttempt &attempt, Yield yield)
{
    Impl &impl = *m_impl;
    const SlotId slot = impl.slotOf(attempt.key);
    const SlotOwner *owner = impl.view->owner(slot);
    if (owner == nullptr)
        return Error(ErrorKind::Unavailable, "the key's slot has no owner now; try again");
    if (owner->daemon == impl.settings.daemon)
        return impl.claims.claim(slot, attempt, impl.grantRight(impl.clock.now()));
    const DaemonId ownerDaemon = owner->daemon;
    const MonotonicTime until = impl.clock.now() + linkWait;
    while (!impl.network->linked(ownerDaemon) && impl.clock.now() < until) {
        if (const DaemonRecord *record = impl.view->daemon(ownerDaemon))
            impl.network->connect(ownerDaemon, record->peers);
        sleepFor(impl.io, linkPoll, yield);
    }
    const CorrelationId id(impl.nextCorrelation++);
    PendingClaim pending(impl.io);
    if (!impl.network->send(ownerDaemon, ClaimRequestMessage { id, slot, attempt }))
        return Error(ErrorKind::Unavailable, "the key's owner is out of reach; try again");
    impl.pendingClaims[id] = &pending;
    pending.signal.wait(claimTimeout, yield);
    impl.pendingClaims.erase(id);
    if (!pending.answer)
        return Error(ErrorKind::Unavailable, "the key's owner did not answer; try again");
    return *pending.answer;
}

void Hub::settle(const ClaimAttempt &attempt, ClaimOutcome outcome,
                 std::optional<KeptAnswer> answer)
{
    const SlotId slot = m_impl->slotOf(attempt.key);
    const SlotOwner *owner = m_impl->view->owner(slot);
    if (owner == nullptr)
        return;
    if (owner->daemon == m_impl->settings.daemon)
        m_impl->claims.settle(slot, attempt, outcome, std::move(answer));
    else
        m_impl->network->send(owner->daemon,
                              SettleMessage { slot, attempt, outcome, std::move(answer) });
}

IdempotencyKey Hub::makeKey()
{
    return makeStampedKey(m_impl->settings.zone, m_impl->clock.wallNow(), m_impl->random);
}

void Hub::handOver(Yield yield)
{
    Impl &impl = *m_impl;
    std::vector<DaemonId> others;
    for (const DaemonRecord &record : impl.view->daemonsIn(impl.settings.zone)) {
        if (record.daemon != impl.settings.daemon && impl.network->linked(record.daemon))
            others.push_back(record.daemon);
    }
    std::vector<SlotId> sent;
    for (const SlotId &slot : impl.claims.owned()) {
        const std::optional<HandoverMessage> handover = impl.claims.freeze(slot);
        if (handover && !others.empty()
            && impl.network->send(preferredHolder(slot, others), *handover))
            sent.push_back(slot);
    }
    const MonotonicTime until = impl.clock.now() + handoverLimit;
    const auto allSaid = [&] {
        return std::all_of(sent.begin(), sent.end(),
                           [&](const SlotId &slot) { return impl.handedOver[slot]; });
    };
    while (!allSaid() && impl.clock.now() < until)
        sleepFor(impl.io, linkPoll, yield);
    for (const SlotId &slot : impl.claims.owned())
        impl.listener->onReleased(slot);
}

void Hub::stop()
{
    m_impl->stopped = true;
    m_impl->prober.stop();
    m_impl->network->close();
}

// --- For people ---

const ConfigHolder &Hub::config() const
{
    return m_impl->config;
}

StoreViewPtr Hub::view() const
{
    return m_impl->view;
}

Json Hub::status() const
{
    const Impl &impl = *m_impl;
    const MonotonicTime now = impl.clock.now();
    const ServingDecision decision = serving(now);
    Json plans = Json::object();
    for (const ZonePlan &zone : impl.view->plans())
        plans[zone.zone.text()] = Json::parse(serialize(zone.plan));
    Json planners = Json::object();
    for (const ZoneId &zone : impl.settings.zones) {
        const RoleRecord *holder = impl.view->planner(zone);
        planners[zone.text()] = holder == nullptr ? Json(nullptr) : Json(holder->daemon.text());
    }
    Json peers = Json::array();
    for (const auto &[daemon, state] : impl.peers)
        peers.push_back({ { "daemon", daemon.text() },
                          { "zone", state.zone.text() },
                          { "registration", toString(state.registration) },
                          { "version", state.configVersion },
                          { "linked", impl.network->linked(daemon) } });
    Json down = Json::array();
    for (const HostId &host : impl.downHosts)
        down.push_back(host.text());
    const PeerTraffic &traffic = impl.network->traffic();
    return { { "daemon", impl.settings.daemon.text() },
             { "zone", impl.settings.zone.text() },
             { "serving",
               { { "mode", toString(decision.mode) },
                 { "reason", decision.reason },
                 { "inDoubt", decision.inDoubt } } },
             { "registration", toString(impl.registrationWord(now)) },
             { "config",
               { { "version", impl.config.acceptedVersion() },
                 { "undecided", impl.config.preparedVersion() } } },
             { "planners", planners },
             { "plans", plans },
             { "planner",
               { { "holds", impl.planner.holdsRole },
                 { "strandedHosts", impl.planner.quality.strandedHosts },
                 { "replicasDown", impl.planner.quality.replicasDown } } },
             { "hostsDown", down },
             { "peers", peers },
             { "slotsOwned", impl.claims.owned().size() },
             { "keysRemembered", impl.claims.remembered() },
             { "probedHosts", impl.prober.targets() },
             { "controlBytes",
               { { "peersOut", traffic.bytesOut },
                 { "peersIn", traffic.bytesIn },
                 { "probes", impl.prober.bytes() } } } };
}

} // namespace ramphinge
