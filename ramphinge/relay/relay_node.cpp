// Relays the store's changes between daemons: see relay_node.h.

#include "ramphinge/relay/relay_node.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace ramphinge {

namespace {

constexpr std::size_t maxDeltaResultBytes = 4 * 1024 * 1024;

const char *toString(UpdateVerdict verdict)
{
    switch (verdict) {
    case UpdateVerdict::Update:
        return "news";
    case UpdateVerdict::NoView:
        return "no_picture";
    case UpdateVerdict::StoreLost:
        return "store_lost";
    case UpdateVerdict::TooOld:
        return "too_old";
    case UpdateVerdict::TooLarge:
        return "too_much";
    }
    return "unknown";
}

ErrorKind errorKindOf(UpdateVerdict verdict)
{
    switch (verdict) {
    case UpdateVerdict::TooOld:
        return ErrorKind::NotFound;
    case UpdateVerdict::TooLarge:
        return ErrorKind::Overloaded;
    default:
        return ErrorKind::Unavailable;
    }
}

} // namespace

RelayNode::RelayNode(IoContext &io, const Clock &clock, RelayNodeOptions options, DecisionLog &log,
                     Metrics &metrics)
    : m_io(io), m_clock(clock), m_options(std::move(options)), m_log(log), m_metrics(metrics),
      m_updateFeed(m_options.feed, m_options.log), m_loads(m_options.loads), m_responseSignal(io),
      m_feedSignal(io)
{ }

void RelayNode::run(Yield yield)
{
    while (!m_stopping) {
        const MonotonicTime now = m_clock.now();
        const MonotonicTime next =
            m_updateFeed.nextDeadline().value_or(now + m_options.maxIdleWait);
        if (next > now)
            m_feedSignal.wait(std::min(next - now, m_options.maxIdleWait), yield);
        m_updateFeed.setServing(isRelay()); // A reserve stops after reserveActiveTime.
        sendDueResponses();
    }
}

void RelayNode::sendDueResponses()
{
    for (const UpdateResponse &response : m_updateFeed.takeDue(m_clock.now())) {
        m_metrics.count(
            MetricName("relay_answers_total").with("verdict", toString(response.update.verdict)));
        if (m_network != nullptr)
            m_network->send(response.to, response.update);
    }
}

void RelayNode::setKey(const std::string &key)
{
    m_key = key;
    openLinks();
}

void RelayNode::openLinks()
{
    const bool hasNoPeers =
        m_relays.empty() && m_otherRelays.empty() && m_daemonsWithoutRelay.empty();
    if (m_network != nullptr || m_key.empty() || hasNoPeers || m_options.self.links.port == 0)
        return;
    PeerNetworkOptions options;
    options.self = m_options.self.daemon;
    options.listen = m_options.self.links;
    options.sharedKey = m_key;
    options.maxQueuedBytes = m_options.maxLinkQueueBytes;
    options.maxUnprovedLinks = m_options.maxUnprovedLinks;
    auto network = PeerNetwork::listen(m_io, options, *this);
    if (!network.ok()) {
        m_log.write("no_links", LogWeight::Failure, { { "why", network.error().message() } });
        m_options.self.links = {};
        return;
    }
    m_network = std::move(network.value());
}

void RelayNode::close()
{
    if (m_network != nullptr)
        m_network->close();
}

void RelayNode::setDaemons(const std::vector<DaemonRegistration> &daemons,
                           const RelayDirectory &directory)
{
    // Most changes of the view don't affect them.
    if (daemons == m_daemons && directory == m_directory)
        return;
    m_daemons = daemons;
    m_directory = directory;
    updateRelays();
}

// Daemons that would be chosen by their registrations, but hold no slot of the directory, are
// reserves: older daemons ask them.
RelayChoice RelayNode::relaysOf(const ZoneId &zone) const
{
    RelayChoice chosen = chooseRelays(zone, m_daemons, m_options.choice);
    const RelayDirectory entries = entriesOfZone(m_directory, zone);
    if (entries.empty())
        return chosen;
    RelayChoice choice;
    std::set<DaemonId> inDirectory;
    for (const RelayDirectoryEntry &entry : entries) {
        if (inDirectory.insert(entry.relay.daemon).second)
            choice.relays.push_back(entry.relay);
    }
    for (const std::vector<DaemonRegistration> *list : { &chosen.relays, &chosen.reserves }) {
        for (const DaemonRegistration &daemon : *list) {
            if (inDirectory.count(daemon.daemon) == 0)
                choice.reserves.push_back(daemon);
        }
    }
    return choice;
}

void RelayNode::updateRelays()
{
    const DaemonId &self = m_options.self.daemon;
    RelayChoice choice = relaysOf(m_options.self.zone);
    const auto containsSelf = [&self](const std::vector<DaemonRegistration> &list) {
        return std::any_of(list.begin(), list.end(), [&self](const DaemonRegistration &candidate) {
            return candidate.daemon == self;
        });
    };
    const Role role = containsSelf(choice.relays) ? Role::Relay
        : containsSelf(choice.reserves)           ? Role::Reserve
                                                  : Role::Follower;
    if (role != m_role)
        m_log.write("relay_role", LogWeight::Belief,
                    { { "is_relay", role == Role::Relay },
                      { "is_reserve", role == Role::Reserve },
                      { "daemons", m_daemons.size() } });
    m_role = role;
    m_relays = orderRelays(self, std::move(choice.relays));
    for (DaemonRegistration &reserve : orderRelays(self, std::move(choice.reserves)))
        m_relays.push_back(std::move(reserve));
    findOtherDaemons();
    m_updateFeed.setServing(isRelay());
    openLinks();
}

void RelayNode::findOtherDaemons()
{
    std::map<ZoneId, std::vector<DaemonRegistration>> relays;
    for (const DaemonRegistration &daemon : m_daemons)
        relays[daemon.zone];
    for (const RelayDirectoryEntry &entry : m_directory)
        relays[entry.relay.zone];
    for (auto &[zone, chosen] : relays)
        chosen = relaysOf(zone).relays;
    const auto isOther = [this](const DaemonRegistration &daemon) {
        return daemon.daemon != m_options.self.daemon && daemon.links.port != 0;
    };
    m_otherRelays.clear();
    for (const auto &[zone, chosen] : relays)
        std::copy_if(chosen.begin(), chosen.end(), std::back_inserter(m_otherRelays), isOther);
    m_daemonsWithoutRelay.clear();
    for (const DaemonRegistration &daemon : m_daemons) {
        if (relays[daemon.zone].empty() && isOther(daemon))
            m_daemonsWithoutRelay.push_back(daemon);
    }
}

void RelayNode::shareLoads(std::function<SharedLoad()> own,
                           std::function<void(const SharedLoad &)> onOthers)
{
    m_ownLoad = std::move(own);
    m_onOthersLoad = std::move(onOthers);
}

void RelayNode::runLoads(Yield yield)
{
    while (!m_stopping) {
        sleepFor(m_io, m_options.loadInterval, yield);
        exchangeLoads();
    }
}

void RelayNode::exchangeLoads()
{
    if (m_network == nullptr)
        return;
    sendServerUpdate();
    if (!m_ownLoad)
        return;
    if (isRelay())
        sendLoadsAsRelay(m_ownLoad());
    else
        sendLoadAsFollower(m_ownLoad());
}

void RelayNode::sendLoadsAsRelay(const SharedLoad &own)
{
    const MonotonicTime now = m_clock.now();
    const LoadReportMessage group { true, m_loads.groupSum(own, now) };
    for (const DaemonRegistration &relay : m_otherRelays)
        sendOrConnect(relay, group);
    const TotalLoadMessage total { m_loads.totalSum(own, now) };
    for (const DaemonId &follower : m_loads.followers(now))
        m_network->send(follower, total);
    m_onOthersLoad(subtractOwnLoad(total.load, own));
}

void RelayNode::sendLoadAsFollower(SharedLoad own)
{
    if (m_currentRelay.empty())
        return;
    own.accounts = largestAccountLoads(own.accounts); // What the message carries.
    m_network->send(m_currentRelay, LoadReportMessage { false, own });
    m_lastReportedLoad = std::move(own);
}

void RelayNode::sendOrConnect(const DaemonRegistration &daemon, const PeerMessage &message)
{
    if (!m_network->send(daemon.daemon, message))
        m_network->connect(daemon.daemon, daemon.links);
}

void RelayNode::shareServerUpdates(std::function<ServerUpdate()> takeUpdate,
                                   std::function<void(const ServerUpdate &)> onUpdate)
{
    m_takeServerUpdate = std::move(takeUpdate);
    m_onServerUpdate = std::move(onUpdate);
}

void RelayNode::sendServerUpdate()
{
    if (!m_takeServerUpdate)
        return;
    const ServerUpdateMessage update { m_takeServerUpdate(), {} };
    if (!update.update.empty())
        broadcast(update);
}

void RelayNode::shareReachability(
    std::function<std::vector<ReachabilityUpdate>(bool forwards)> takeUpdates,
    std::function<void(const std::vector<ReachabilityUpdate> &)> onUpdates)
{
    m_takeReachability = std::move(takeUpdates);
    m_onReachability = std::move(onUpdates);
}

void RelayNode::sendReachability()
{
    if (m_network == nullptr || !m_takeReachability)
        return;
    const ServerUpdateMessage update { {}, m_takeReachability(isRelay()) };
    if (!update.reachability.empty())
        broadcast(update);
}

// Sends to the relay or, from a relay and where there is none, to all.
void RelayNode::broadcast(const ServerUpdateMessage &update)
{
    if (!isRelay() && !m_relays.empty()) {
        sendToRelay(update);
        return;
    }
    std::set<DaemonId> sentTo;
    for (const std::vector<DaemonRegistration> *daemons :
         { &m_otherRelays, &m_daemonsWithoutRelay }) {
        for (const DaemonRegistration &daemon : *daemons) {
            sendOrConnect(daemon, update);
            sentTo.insert(daemon.daemon);
        }
    }
    for (const DaemonId &peer : m_network->linkedPeers()) {
        if (sentTo.count(peer) == 0)
            m_network->send(peer, update);
    }
}

// If the staleness bounds are too tight for relayed updates, this daemon requests none and there is
// no current relay. The link to a relay is then made here, for server updates only.
void RelayNode::sendToRelay(const ServerUpdateMessage &update)
{
    if (!m_currentRelay.empty() && m_network->send(m_currentRelay, update))
        return;
    if (const DaemonRegistration *relay = firstAvailableRelay(m_clock.now(), false))
        sendOrConnect(*relay, update);
}

bool RelayNode::isActiveReserve() const
{
    return m_role == Role::Reserve && m_lastRequestAt
        && m_clock.now() - *m_lastRequestAt < m_options.reserveActiveTime;
}

bool RelayNode::canAsk(bool storeLost) const
{
    return m_network != nullptr && !isRelay()
        && firstAvailableRelay(m_clock.now(), storeLost) != nullptr;
}

// A daemon that has lost the store keeps sending requests to a relay that has lost it too: the
// relay tries the store more often, and responds as soon as it is reachable again.
const DaemonRegistration *RelayNode::firstAvailableRelay(MonotonicTime now, bool storeLost) const
{
    for (const DaemonRegistration &relay : m_relays) {
        const auto backoff = m_backoffs.find(relay.daemon);
        const bool isBackedOff = backoff != m_backoffs.end() && now < backoff->second.until
            && !(storeLost && backoff->second.storeLost);
        if (!isBackedOff && relay.daemon != m_options.self.daemon)
            return &relay;
    }
    return nullptr;
}

void RelayNode::backOff(const DaemonId &relay, const char *reason, Duration duration,
                        bool storeLost)
{
    m_backoffs[relay] = { m_clock.now() + duration, storeLost };
    m_metrics.count(MetricName("relay_failures_total").with("why", reason));
    m_log.write("relay_passed_over", LogWeight::Belief,
                { { "relay", relay.text() }, { "why", reason } });
}

bool RelayNode::waitForLink(const DaemonRegistration &relay, Yield yield)
{
    if (!m_network->linked(relay.daemon)) {
        const MonotonicTime now = m_clock.now();
        const auto since = m_connectingSince.emplace(relay.daemon, now).first;
        if (now - since->second > m_options.linkTimeout) {
            m_connectingSince.erase(since);
            backOff(relay.daemon, "no_link", m_options.relayBackoff);
            return false;
        }
        m_network->connect(relay.daemon, relay.links);
        m_responseSignal.wait(m_options.linkWait, yield);
    }
    if (!m_network->linked(relay.daemon))
        return false;
    if (const auto since = m_connectingSince.find(relay.daemon); since != m_connectingSince.end()) {
        m_log.write("relay_linked", LogWeight::Belief,
                    { { "relay", relay.daemon.text() },
                      { "waited_ms", toMilliseconds(m_clock.now() - since->second) } });
        m_connectingSince.erase(since);
    }
    return true;
}

Result<DaemonRegistration> RelayNode::linkedRelay(bool storeLost, Yield yield)
{
    const DaemonRegistration *first =
        m_network == nullptr ? nullptr : firstAvailableRelay(m_clock.now(), storeLost);
    if (first == nullptr || isRelay())
        return Error(ErrorKind::Unavailable, "no relay is available");
    DaemonRegistration relay = *first; // The list may change while this waits.
    if (!waitForLink(relay, yield))
        return Error(ErrorKind::Unavailable, "no link to the relay yet");
    // The changes that this daemon receives from now on are missing from the feed.
    m_updateFeed.setServing(isRelay());
    return relay;
}

Result<StoreUpdateMessage> RelayNode::request(const DaemonRegistration &relay,
                                              StoreUpdateRequestMessage message, Duration timeout,
                                              Yield yield)
{
    m_request = { CorrelationId(++m_lastRequestId), std::nullopt };
    message.id = m_request.id;
    const MonotonicTime deadline = m_clock.now() + timeout;
    m_network->send(relay.daemon, message);
    while (!m_request.response && m_clock.now() < deadline && m_network->linked(relay.daemon))
        m_responseSignal.wait(deadline - m_clock.now(), yield);
    if (!m_request.response) {
        backOff(relay.daemon, "no_answer", m_options.relayBackoff);
        m_network->drop(relay.daemon);
        return Error(ErrorKind::Unknown, "the relay did not respond in time");
    }
    const UpdateVerdict verdict = m_request.response->verdict;
    if (verdict == UpdateVerdict::NoView)
        backOff(relay.daemon, toString(verdict), m_options.noViewBackoff);
    if (verdict == UpdateVerdict::StoreLost)
        backOff(relay.daemon, toString(verdict), m_options.relayBackoff, true);
    if (verdict != UpdateVerdict::Update)
        return Error(errorKindOf(verdict),
                     std::string("the relay declined the request: ") + toString(verdict));
    return std::move(*m_request.response);
}

Result<RelayedUpdate> RelayNode::next(Revision after, Duration wait, bool storeLost, Yield yield)
{
    const Result<DaemonRegistration> relay = linkedRelay(storeLost, yield);
    if (!relay.ok())
        return relay.error();
    const MonotonicTime requestedAt = m_clock.now();
    StoreUpdateRequestMessage message;
    message.after = after;
    message.wait = wait;
    message.storeLost = storeLost;
    if (m_deltaBase)
        message.deltaBase = { m_deltaBase->key, m_deltaBase->stored.revision };
    Result<StoreUpdateMessage> update =
        request(relay.value(), message, wait + m_options.responseGrace, yield);
    if (!update.ok())
        return update.error();
    m_currentRelay = relay.value().daemon;
    RelayedUpdate relayed;
    relayed.batch.upTo = update.value().upTo;
    relayed.batch.reachesPresent = !update.value().moreFollow;
    relayed.freshAsOf = localFreshnessTime(update.value(), requestedAt, m_clock.now());
    relayed.batch.changes = std::move(update.value().changes);
    if (update.value().delta) {
        const Status applied = applyDelta(*update.value().delta, relayed.batch.changes);
        if (!applied.ok())
            return applied.error();
    }
    return relayed;
}

// Adds the value that the delta describes. If it can't be applied, the next request has no base, so
// that the value is sent whole.
Status RelayNode::applyDelta(const StoreDelta &delta, std::vector<StoreChange> &changes)
{
    const std::optional<StoredEntry> base = std::exchange(m_deltaBase, std::nullopt);
    if (!base || base->key != delta.key)
        return Error(ErrorKind::InvalidInput, "the relay sent a delta of another value");
    Result<std::string> value =
        ramphinge::applyDelta(base->stored.value, delta.delta, maxDeltaResultBytes);
    m_metrics.count(MetricName("relayed_deltas_total")
                        .with("result", value.ok() ? "applied" : "not_applicable"));
    if (!value.ok())
        return value.error();
    changes.push_back({ delta.key, StoredValue { std::move(value.value()), delta.revision } });
    return Done {};
}

Status RelayNode::addPart(const StoreUpdateMessage &part, std::size_t &bytes,
                          StoreSnapshot &snapshot)
{
    if (!part.isSnapshot)
        return Error(ErrorKind::InvalidInput, "the relay sends no snapshots");
    if (part.moreFollow && part.changes.empty())
        return Error(ErrorKind::InvalidInput, "a part of the snapshot is empty");
    for (const StoreChange &entry : part.changes) {
        const bool isInOrder = snapshot.entries.empty() || snapshot.entries.back().key < entry.key;
        if (!isInOrder || !entry.stored)
            return Error(ErrorKind::InvalidInput, "the snapshot's entries are not in order");
        bytes += entry.key.text().size() + entry.stored->value.size();
        if (bytes > m_options.maxSnapshotBytes)
            return Error(ErrorKind::InvalidInput, "the snapshot is too large");
        snapshot.entries.push_back({ entry.key, *entry.stored });
    }
    return Done {};
}

Result<RelayedSnapshot> RelayNode::snapshot(Yield yield)
{
    const Result<DaemonRegistration> relay = linkedRelay(false, yield);
    if (!relay.ok())
        return relay.error();
    RelayedSnapshot result;
    std::size_t bytes = 0;
    for (bool isFirst = true;; isFirst = false) {
        const MonotonicTime requestedAt = m_clock.now();
        StoreUpdateRequestMessage message;
        message.snapshotAfter = isFirst ? StoreKey() : result.snapshot.entries.back().key;
        const Result<StoreUpdateMessage> part =
            request(relay.value(), message, m_options.snapshotTimeout, yield);
        if (!part.ok())
            return part.error();
        if (isFirst) {
            result.snapshot.upTo = part.value().upTo;
            result.freshAsOf = localFreshnessTime(part.value(), requestedAt, m_clock.now());
        }
        if (const Status added = addPart(part.value(), bytes, result.snapshot); !added.ok()) {
            backOff(relay.value().daemon, "no_snapshot", m_options.relayBackoff);
            return added.error();
        }
        if (!part.value().moreFollow)
            break;
    }
    m_currentRelay = relay.value().daemon;
    return result;
}

void RelayNode::onMessage(const DaemonId &from, const PeerMessage &message)
{
    if (const auto *request = std::get_if<StoreUpdateRequestMessage>(&message)) {
        m_lastRequestAt = m_clock.now();
        m_updateFeed.setServing(isRelay());
        m_updateFeed.addRequest(from, *request, m_clock.now());
        m_feedSignal.notify();
        return;
    }
    if (const auto *report = std::get_if<LoadReportMessage>(&message)) {
        if (report->isGroupSum)
            m_loads.setRelayLoad(from, report->load, m_clock.now());
        else
            m_loads.setFollowerLoad(from, report->load, m_clock.now());
        return;
    }
    if (const auto *sum = std::get_if<TotalLoadMessage>(&message)) {
        if (m_onOthersLoad && from == m_currentRelay)
            m_onOthersLoad(subtractOwnLoad(sum->load, m_lastReportedLoad));
        return;
    }
    if (const auto *serverUpdate = std::get_if<ServerUpdateMessage>(&message)) {
        if (m_onServerUpdate && !serverUpdate->update.empty())
            m_onServerUpdate(serverUpdate->update);
        if (m_onReachability && !serverUpdate->reachability.empty())
            m_onReachability(serverUpdate->reachability);
        return;
    }
    const auto *update = std::get_if<StoreUpdateMessage>(&message);
    if (update == nullptr || update->id != m_request.id)
        return; // A late response, or a message type that relays don't use.
    m_request.response = *update;
    m_responseSignal.notify();
}

void RelayNode::onLink(const DaemonId &peer, bool up)
{
    m_metrics.set(MetricName("relay_links"), static_cast<double>(m_network->linkedPeers().size()));
    m_responseSignal.notify(); // If the link is down, a request on it gets no response.
    if (!up)
        m_updateFeed.cancelRequest(peer);
}

void RelayNode::viewListed(const StoreSnapshot &listed, MonotonicTime freshAsOf)
{
    m_updateFeed.onListed(listed, freshAsOf);
    m_feedSignal.notify();
}

void RelayNode::viewAdvanced(const WatchBatch &batch, MonotonicTime freshAsOf)
{
    m_updateFeed.onAdvanced(batch, freshAsOf);
    m_feedSignal.notify();
}

void RelayNode::viewStopped()
{
    m_updateFeed.onStoreLost();
    m_feedSignal.notify();
}

} // namespace ramphinge
