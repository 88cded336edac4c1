// Passing the store's changes on: see relay_node.h.

#include "ramphinge/relay/relay_node.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace ramphinge {

namespace {

const char *toString(NewsVerdict verdict)
{
    switch (verdict) {
    case NewsVerdict::News:
        return "news";
    case NewsVerdict::NoPicture:
        return "no_picture";
    case NewsVerdict::StoreLost:
        return "store_lost";
    case NewsVerdict::TooOld:
        return "too_old";
    case NewsVerdict::TooMuch:
        return "too_much";
    }
    return "unknown";
}

ErrorKind kindOf(NewsVerdict verdict)
{
    switch (verdict) {
    case NewsVerdict::TooOld:
        return ErrorKind::NotFound;
    case NewsVerdict::TooMuch:
        return ErrorKind::Overloaded;
    default:
        return ErrorKind::Unavailable;
    }
}

} // namespace

RelayNode::RelayNode(IoContext &io, const Clock &clock, RelayNodeOptions options, DecisionLog &log,
                     Metrics &metrics)
    : m_io(io), m_clock(clock), m_options(std::move(options)), m_log(log), m_metrics(metrics),
      m_desk(m_options.desk, m_options.log), m_loads(m_options.loads), m_answered(io), m_changed(io)
{ }

void RelayNode::run(Yield yield)
{
    while (!m_stopping) {
        const MonotonicTime now = m_clock.now();
        const MonotonicTime next = m_desk.nextDue().value_or(now + m_options.idle);
        if (next > now)
            m_changed.wait(std::min(next - now, m_options.idle), yield);
        m_desk.setServing(isRelay()); // A reserve's time may be over.
        giveAnswers();
    }
}

void RelayNode::giveAnswers()
{
    for (const NewsAnswer &answer : m_desk.due(m_clock.now())) {
        m_metrics.count(
            MetricName("relay_answers_total").with("verdict", toString(answer.news.verdict)));
        if (m_network != nullptr)
            m_network->send(answer.to, answer.news);
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
    m_desk.setServing(isRelay());
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
    m_onOthersLoad(withoutOwn(total.load, own));
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
    const ServerNewsMessage news { m_takeServerNews() };
    if (news.news.empty())
        return;
    if (!isRelay() && !m_relays.empty()) {
        tellRelay(news);
        return;
    }
    std::set<DaemonId> told;
    for (const std::vector<RelayCandidate> *daemons : { &m_otherRelays, &m_unrelayed }) {
        for (const RelayCandidate &daemon : *daemons) {
            sendOrCall(daemon, news);
            told.insert(daemon.daemon);
        }
    }
    for (const DaemonId &peer : m_network->linkedPeers()) {
        if (told.count(peer) == 0)
            m_network->send(peer, news);
    }
}

// Where the bounds leave no time for a relay's word, nobody asks it for the store's changes, and
// the link to it is there for news of servers only.
void RelayNode::tellRelay(const ServerNewsMessage &news)
{
    if (!m_answering.empty() && m_network->send(m_answering, news))
        return;
    if (const RelayCandidate *relay = firstRelay(m_clock.now(), false))
        sendOrCall(*relay, news);
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
    const MonotonicTime askedAt = m_clock.now();
    m_question = { CorrelationId(++m_lastQuestion), std::nullopt };
    m_network->send(relay.daemon, NewsRequestMessage { m_question.id, after, wait, storeLost });
    const MonotonicTime latest = askedAt + wait + m_options.lateness;
    while (!m_question.answer && m_clock.now() < latest && m_network->linked(relay.daemon))
        m_answered.wait(latest - m_clock.now(), yield);
    if (!m_question.answer) {
        avoid(relay.daemon, "no_answer", m_options.avoidance);
        m_network->drop(relay.daemon);
        return Error(ErrorKind::Unknown, "the relay gave no answer in time");
    }
    return understand(relay.daemon, *m_question.answer, askedAt);
}

Result<RelayedNews> RelayNode::understand(const DaemonId &relay, const NewsMessage &news,
                                          MonotonicTime askedAt)
{
    if (news.verdict == NewsVerdict::NoPicture)
        avoid(relay, toString(news.verdict), m_options.shortAvoidance);
    if (news.verdict == NewsVerdict::StoreLost)
        avoid(relay, toString(news.verdict), m_options.avoidance, true);
    if (news.verdict != NewsVerdict::News)
        return Error(kindOf(news.verdict),
                     std::string("the relay answered ") + toString(news.verdict));
    m_answering = relay;
    RelayedNews relayed;
    relayed.batch.upTo = news.upTo;
    relayed.batch.changes = news.changes;
    relayed.batch.reachesPresent = !news.moreFollow;
    relayed.provenAt = provenMoment(news, askedAt, m_clock.now());
    return relayed;
}

void RelayNode::onMessage(const DaemonId &from, const PeerMessage &message)
{
    if (const auto *request = std::get_if<NewsRequestMessage>(&message)) {
        m_askedAt = m_clock.now();
        m_desk.setServing(isRelay());
        m_desk.ask(from, *request, m_clock.now());
        m_changed.notify();
        return;
    }
    if (const auto *report = std::get_if<LoadReportMessage>(&message)) {
        if (report->ofGroup)
            m_loads.noteRelay(from, report->load, m_clock.now());
        else
            m_loads.noteFollower(from, report->load, m_clock.now());
        return;
    }
    if (const auto *sum = std::get_if<LoadSumMessage>(&message)) {
        if (m_onOthersLoad && from == m_answering)
            m_onOthersLoad(withoutOwn(sum->load, m_toldLoad));
        return;
    }
    if (const auto *servers = std::get_if<ServerNewsMessage>(&message)) {
        if (m_onServerNews)
            m_onServerNews(servers->news);
        return;
    }
    const auto *news = std::get_if<NewsMessage>(&message);
    if (news == nullptr || news->id != m_question.id)
        return; // Late, or of another kind of daemon.
    m_question.answer = *news;
    m_answered.notify();
}

void RelayNode::onLink(const DaemonId &peer, bool up)
{
    m_metrics.set(MetricName("relay_links"), static_cast<double>(m_network->linkedPeers().size()));
    m_answered.notify(); // If it is down, a question to it has no answer to wait for.
    if (!up)
        m_desk.forget(peer);
}

void RelayNode::pictureListed(Revision upTo, MonotonicTime provenAt)
{
    m_desk.listed(upTo, provenAt);
    m_changed.notify();
}

void RelayNode::pictureAdvanced(const WatchBatch &batch, MonotonicTime provenAt)
{
    m_desk.advanced(batch, provenAt);
    m_changed.notify();
}

void RelayNode::pictureStopped()
{
    m_desk.stopped();
    m_changed.notify();
}

} // namespace ramphinge
