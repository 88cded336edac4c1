// The hub's links to other daemons: whom it is linked with, what it tells them, what it hears.

#include "ramphinge/control/internal/hub_impl.h"

#include <algorithm>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

constexpr Duration peerMemory = std::chrono::minutes(10);
constexpr int gossipFanout = 8; // Peers told of loads and service at a time.
constexpr int linksPerOtherZone = 2;
constexpr int smallFleet = 16; // Up to here every daemon is linked with every other.

} // namespace

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

// Daemons that were replaced under other names are not kept for ever.
void Hub::Impl::forgetPeers(MonotonicTime now)
{
    for (auto it = peers.begin(); it != peers.end();) {
        const bool gone = now - it->second.heardAt > peerMemory && !network->linked(it->first);
        it = gone ? peers.erase(it) : std::next(it);
    }
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
        spawnCoroutine(impl.io, [&impl, from, asked = *request](Yield yield) {
            const ClaimAnswer answer = impl.grant(asked.slot, asked.attempt, yield);
            impl.network->send(from, ClaimReplyMessage { asked.id, answer });
        });
    } else if (const auto *reply = std::get_if<ClaimReplyMessage>(&message)) {
        const auto pending = impl.pendingClaims.find(reply->id);
        if (pending != impl.pendingClaims.end()) {
            pending->second->answer = reply->answer;
            pending->second->signal.notify();
        }
    } else if (const auto *settled = std::get_if<SettleMessage>(&message)) {
        impl.settleOwned(settled->slot, settled->attempt, settled->outcome, settled->answer);
    } else if (const auto *handover = std::get_if<HandoverMessage>(&message)) {
        impl.claims.receive(*handover);
        if (handover->isCopy)
            impl.listener->onCopyHeld(handover->slot, handover->reign);
        else
            impl.listener->onHandover(handover->slot, handover->reign);
        impl.network->send(
            from, HandoverAckMessage { handover->slot, handover->reign, handover->isCopy });
    } else if (const auto *ack = std::get_if<HandoverAckMessage>(&message)) {
        if (ack->isCopy)
            impl.onCopyAnswer(from, *ack);
        else
            impl.handedOver[ack->slot] = true;
    } else if (const auto *granted = std::get_if<CopyGrantMessage>(&message)) {
        if (impl.claims.rememberGrant(*granted))
            impl.network->send(from, CopyAckMessage { granted->id });
    } else if (const auto *copied = std::get_if<CopyAckMessage>(&message)) {
        const auto pending = impl.pendingClaims.find(copied->id);
        if (pending != impl.pendingClaims.end()) {
            pending->second->answer = ClaimAnswer { ClaimVerdict::Granted, {}, std::nullopt };
            pending->second->signal.notify();
        }
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
    // Only what this daemon saw itself: what others saw they tell.
    ObservationsMessage message;
    for (const auto &[host, seen] : unsaidLoads)
        message.observations.push_back({ seen, now - seen.madeAt });
    unsaidLoads.clear();
    if (message.observations.empty())
        return;
    for (const DaemonId &peer : nextPeers(gossipFanout, gossipCursor))
        network->send(peer, message);
}

void Hub::Impl::gossipService()
{
    const std::vector<ModelService> given = gateway->takeUnreportedService();
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

} // namespace ramphinge
