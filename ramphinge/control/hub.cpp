// The hub: see hub.h. This file: timers, updates from the actors, configuration, status.

#include "ramphinge/control/internal/hub_impl.h"

namespace ramphinge {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration easyStatusInterval = std::chrono::seconds(3);

} // namespace

namespace {
using Json = nlohmann::json;
} // namespace

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
    forgetPeers(now);
    maintainCopies(now);
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

// --- Updates from the actors ---

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
    if (!reign.continued)
        m_impl->copies.erase(reign.slot);
    const char *how = reign.continued        ? "continued"
        : reign.adoptedFrom != 0             ? "handed over"
        : reign.soleOwnerSince == WallTime() ? "first"
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

// Only a registered daemon confirms, after it has stored the proposal.
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
    // Repeated until the decision, since the proposer may have missed it.
    network->send(config.proposer(), ConfirmMessage { change, true, "" });
}

void Hub::Impl::reportInForce()
{
    const std::int64_t version = config.acceptedVersion();
    board.inForce(ConfigVersion(version), settings.daemon);
    if (config.proposer() != settings.daemon)
        network->send(config.proposer(), InForceMessage { version });
}

// --- For operators ---

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
