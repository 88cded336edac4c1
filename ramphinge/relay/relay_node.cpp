// Passing the store's changes on: see relay_node.h.

#include "ramphinge/relay/relay_node.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace ramphinge {

namespace {

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

ErrorKind kindOf(UpdateVerdict verdict)
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
      m_updateFeed(m_options.feed, m_options.log), m_loads(m_options.loads), m_answered(io),
      m_changed(io)
{ }

void RelayNode::run(Yield yield)
{
    while (!m_stopping) {
        const MonotonicTime now = m_clock.now();
        const MonotonicTime next = m_updateFeed.nextDeadline().value_or(now + m_options.idle);
        if (next > now)
            m_changed.wait(std::min(next - now, m_options.idle), yield);
        m_updateFeed.setServing(isRelay()); // A reserve's time may be over.
        giveAnswers();
    }
}

void RelayNode::giveAnswers()
{
    for (const UpdateResponse &answer : m_updateFeed.takeDue(m_clock.now())) {
        m_metrics.count(
            MetricName("relay_answers_total").with("verdict", toString(answer.update.verdict)));
        if (m_network != nullptr)
            m_network->send(answer.to, answer.update);
    }
}

void RelayNode::setKey(const std::string &key)
{
    m_key = key;
    openLinks();
}

void RelayNode::openLinks()
{
    const bool isAlone = m_relays.empty() && m_otherRelays.empty() && m_unrelayed.empty();
    if (m_network != nullptr || m_key.empty() || isAlone || m_options.self.links.port == 0)
        return;
    PeerNetworkOptions options;
    options.self = m_options.self.daemon;
    options.listen = m_options.self.links;
    options.sharedKey = m_key;
    options.maxQueuedBytes = m_options.mostQueuedBytes;
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

void RelayNode::setDaemons(const std::vector<RelayCandidate> &daemons)
{
    const DaemonId &self = m_options.self.daemon;
    RelayChoice choice = chooseRelays(m_options.self.zone, daemons, m_options.choice);
    const auto holdsSelf = [&self](const std::vector<RelayCandidate> &list) {
        return std::any_of(list.begin(), list.end(), [&self](const RelayCandidate &candidate) {
            return candidate.daemon == self;
        });
    };
    const Rank rank = holdsSelf(choice.relays) ? Rank::Relay
        : holdsSelf(choice.reserves)           ? Rank::Reserve
                                               : Rank::Follower;
    if (rank != m_rank)
        m_log.write("relay_role", LogWeight::Belief,
                    { { "is_relay", rank == Rank::Relay },
                      { "is_reserve", rank == Rank::Reserve },
                      { "daemons", daemons.size() } });
    m_rank = rank;
    m_relays = orderRelays(self, std::move(choice.relays));
    for (RelayCandidate &reserve : orderRelays(self, std::move(choice.reserves)))
        m_relays.push_back(std::move(reserve));
    findOthers(daemons);
    m_updateFeed.setServing(isRelay());
    openLinks();
}

void RelayNode::findOthers(const std::vector<RelayCandidate> &daemons)
{
    std::map<ZoneId, std::vector<RelayCandidate>> relays;
    for (const RelayCandidate &daemon : daemons)
        relays[daemon.zone];
    for (auto &[zone, chosen] : relays)
        chosen = chooseRelays(zone, daemons, m_options.choice).relays;
    const auto isOther = [this](const RelayCandidate &daemon) {
        return daemon.daemon != m_options.self.daemon && daemon.links.port != 0;
    };
    m_otherRelays.clear();
    for (const auto &[zone, chosen] : relays)
        std::copy_if(chosen.begin(), chosen.end(), std::back_inserter(m_otherRelays), isOther);
    m_unrelayed.clear();
    for (const RelayCandidate &daemon : daemons) {
        if (relays[daemon.zone].empty() && isOther(daemon))
            m_unrelayed.push_back(daemon);
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
    tellServerNews();
    if (!m_ownLoad)
        return;
    if (isRelay())
        tellLoadsAsRelay(m_ownLoad());
    else
        tellLoadAsFollower(m_ownLoad());
}

void RelayNode::tellLoadsAsRelay(const SharedLoad &own)
{
    const MonotonicTime now = m_clock.now();
    const LoadReportMessage group { true, m_loads.groupSum(own, now) };
    for (const RelayCandidate &relay : m_otherRelays)
        sendOrCall(relay, group);
    const LoadSumMessage total { m_loads.totalSum(own, now) };
    for (const DaemonId &follower : m_loads.followers(now))
        m_network->send(follower, total);
    m_onOthersLoad(subtractOwnLoad(total.load, own));
}

void RelayNode::tellLoadAsFollower(SharedLoad own)
{
    if (m_answering.empty())
        return;
    m_network->send(m_answering, LoadReportMessage { false, own });
    m_toldLoad = std::move(own);
}

void RelayNode::sendOrCall(const RelayCandidate &daemon, const PeerMessage &message)
{
    if (!m_network->send(daemon.daemon, message))
        m_network->connect(daemon.daemon, daemon.links);
}

void RelayNode::shareServerNews(std::function<ServerNews()> takeNews,
                                std::function<void(const ServerNews &)> onNews)
{
    m_takeServerNews = std::move(takeNews);
    m_onServerNews = std::move(onNews);
}

void RelayNode::tellServerNews()
{
    if (!m_takeServerNews)
        return;
    const ServerUpdateMessage update { m_takeServerNews() };
    if (update.update.empty())
        return;
    if (!isRelay() && !m_relays.empty()) {
        tellRelay(update);
        return;
    }
    std::set<DaemonId> told;
    for (const std::vector<RelayCandidate> *daemons : { &m_otherRelays, &m_unrelayed }) {
        for (const RelayCandidate &daemon : *daemons) {
            sendOrCall(daemon, update);
            told.insert(daemon.daemon);
        }
    }
    for (const DaemonId &peer : m_network->linkedPeers()) {
        if (told.count(peer) == 0)
            m_network->send(peer, update);
    }
}

// Where the bounds leave no time for a relay's word, nobody asks it for the store's changes, and
// the link to it is there for news of servers only.
void RelayNode::tellRelay(const ServerUpdateMessage &update)
{
    if (!m_answering.empty() && m_network->send(m_answering, update))
        return;
    if (const RelayCandidate *relay = firstRelay(m_clock.now(), false))
        sendOrCall(*relay, update);
}

bool RelayNode::servesAsReserve() const
{
    return m_rank == Rank::Reserve && m_askedAt
        && m_clock.now() - *m_askedAt < m_options.reserveServes;
}

bool RelayNode::canAsk(bool storeLost) const
{
    return m_network != nullptr && !isRelay() && firstRelay(m_clock.now(), storeLost) != nullptr;
}

// A daemon that has lost the store itself goes on asking a relay that has lost it too: that one
// looks for the store more often, and tells as soon as it is back.
const RelayCandidate *RelayNode::firstRelay(MonotonicTime now, bool storeLost) const
{
    for (const RelayCandidate &relay : m_relays) {
        const auto avoided = m_avoided.find(relay.daemon);
        const bool isAvoided = avoided != m_avoided.end() && now < avoided->second.until
            && !(storeLost && avoided->second.storeLost);
        if (!isAvoided && relay.daemon != m_options.self.daemon)
            return &relay;
    }
    return nullptr;
}

void RelayNode::avoid(const DaemonId &relay, const char *why, Duration length, bool storeLost)
{
    m_avoided[relay] = { m_clock.now() + length, storeLost };
    m_metrics.count(MetricName("relay_failures_total").with("why", why));
    m_log.write("relay_passed_over", LogWeight::Belief,
                { { "relay", relay.text() }, { "why", why } });
}

// Calls the relay if there is no link yet.
bool RelayNode::awaitLink(const RelayCandidate &relay, Yield yield)
{
    if (!m_network->linked(relay.daemon)) {
        const MonotonicTime now = m_clock.now();
        const auto since = m_diallingSince.emplace(relay.daemon, now).first;
        if (now - since->second > m_options.linkTimeout) {
            m_diallingSince.erase(since);
            avoid(relay.daemon, "no_link", m_options.avoidance);
            return false;
        }
        m_network->connect(relay.daemon, relay.links);
        m_answered.wait(m_options.linkPatience, yield);
    }
    if (!m_network->linked(relay.daemon))
        return false;
    m_diallingSince.erase(relay.daemon);
    return true;
}

Result<RelayedNews> RelayNode::next(Revision after, Duration wait, bool storeLost, Yield yield)
{
    const RelayCandidate *first =
        m_network == nullptr ? nullptr : firstRelay(m_clock.now(), storeLost);
    if (first == nullptr || isRelay())
        return Error(ErrorKind::Unavailable, "there is no relay to ask now");
    const RelayCandidate relay = *first; // The list may change while this waits.
    if (!awaitLink(relay, yield))
        return Error(ErrorKind::Unavailable, "there is no link to the relay yet");
    const MonotonicTime requestedAt = m_clock.now();
    m_question = { CorrelationId(++m_lastQuestion), std::nullopt };
    m_network->send(relay.daemon,
                    StoreUpdateRequestMessage { m_question.id, after, wait, storeLost });
    const MonotonicTime latest = requestedAt + wait + m_options.lateness;
    while (!m_question.answer && m_clock.now() < latest && m_network->linked(relay.daemon))
        m_answered.wait(latest - m_clock.now(), yield);
    if (!m_question.answer) {
        avoid(relay.daemon, "no_answer", m_options.avoidance);
        m_network->drop(relay.daemon);
        return Error(ErrorKind::Unknown, "the relay gave no answer in time");
    }
    return understand(relay.daemon, *m_question.answer, requestedAt);
}

Result<RelayedNews> RelayNode::understand(const DaemonId &relay, const StoreUpdateMessage &update,
                                          MonotonicTime requestedAt)
{
    if (update.verdict == UpdateVerdict::NoView)
        avoid(relay, toString(update.verdict), m_options.shortAvoidance);
    if (update.verdict == UpdateVerdict::StoreLost)
        avoid(relay, toString(update.verdict), m_options.avoidance, true);
    if (update.verdict != UpdateVerdict::Update)
        return Error(kindOf(update.verdict),
                     std::string("the relay answered ") + toString(update.verdict));
    m_answering = relay;
    RelayedNews relayed;
    relayed.batch.upTo = update.upTo;
    relayed.batch.changes = update.changes;
    relayed.batch.reachesPresent = !update.moreFollow;
    relayed.provenAt = localFreshnessTime(update, requestedAt, m_clock.now());
    return relayed;
}

void RelayNode::onMessage(const DaemonId &from, const PeerMessage &message)
{
    if (const auto *request = std::get_if<StoreUpdateRequestMessage>(&message)) {
        m_askedAt = m_clock.now();
        m_updateFeed.setServing(isRelay());
        m_updateFeed.addRequest(from, *request, m_clock.now());
        m_changed.notify();
        return;
    }
    if (const auto *report = std::get_if<LoadReportMessage>(&message)) {
        if (report->ofGroup)
            m_loads.setRelayLoad(from, report->load, m_clock.now());
        else
            m_loads.setFollowerLoad(from, report->load, m_clock.now());
        return;
    }
    if (const auto *sum = std::get_if<LoadSumMessage>(&message)) {
        if (m_onOthersLoad && from == m_answering)
            m_onOthersLoad(subtractOwnLoad(sum->load, m_toldLoad));
        return;
    }
    if (const auto *servers = std::get_if<ServerUpdateMessage>(&message)) {
        if (m_onServerNews)
            m_onServerNews(servers->update);
        return;
    }
    const auto *update = std::get_if<StoreUpdateMessage>(&message);
    if (update == nullptr || update->id != m_question.id)
        return; // Late, or of another kind of daemon.
    m_question.answer = *update;
    m_answered.notify();
}

void RelayNode::onLink(const DaemonId &peer, bool up)
{
    m_metrics.set(MetricName("relay_links"), static_cast<double>(m_network->linkedPeers().size()));
    m_answered.notify(); // If it is down, a question to it has no answer to wait for.
    if (!up)
        m_updateFeed.cancelRequest(peer);
}

void RelayNode::pictureListed(Revision upTo, MonotonicTime provenAt)
{
    m_updateFeed.onListed(upTo, provenAt);
    m_changed.notify();
}

void RelayNode::pictureAdvanced(const WatchBatch &batch, MonotonicTime provenAt)
{
    m_updateFeed.onAdvanced(batch, provenAt);
    m_changed.notify();
}

void RelayNode::pictureStopped()
{
    m_updateFeed.onStoreLost();
    m_changed.notify();
}

} // namespace ramphinge
