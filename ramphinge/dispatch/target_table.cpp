// Targets for requests: see target_table.h.

#include "ramphinge/dispatch/target_table.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Weights of the newest observation in exponential moving averages.
constexpr double smoothing = 0.3;
constexpr double slowSmoothing = 0.05;
// Overhead of a model's first events beyond the cost model, until one was observed.
constexpr double initialOverheadMilliseconds = 80;
// Response time of a plain service, until one was observed.
constexpr double initialPlainMilliseconds = 20;
// Upper bound on how far one slow first event counts towards the overhead's average: it may have
// waited for something else.
constexpr double maxOverheadChangeMilliseconds = 150;
// Bounds of TargetStats::slowness, and of TargetStats::success in scores.
constexpr double minSlowness = 0.5;
constexpr double maxSlowness = 20;
constexpr double minSuccess = 0.05;
// Random share added to scores, to spread requests over targets with similar scores.
constexpr double scoreJitter = 0.15;
// Data that arrives at shorter intervals comes from one engine pass, for several streams.
constexpr double minPassIntervalMilliseconds = 10;
// Ended requests that are kept between two reports of the others' load.
constexpr std::size_t maxFreed = 256;
// Time added for each request in excess of a target's slots.
constexpr double queuedRequestMilliseconds = 60;

} // namespace

TargetTable::TargetTable(TargetTableOptions options, std::uint64_t seed)
    : m_options(std::move(options)), m_random(seed)
{ }

void TargetTable::rebuild(const FleetView &fleet, const ReplicaPlan &plan,
                          const ServiceCatalog &catalog)
{
    const std::map<HostId, Target> before = std::move(m_targets);
    m_targets.clear();
    m_engines.clear();
    for (const ServiceEntry &service : catalog.services()) {
        if (service.engine)
            m_engines.emplace(service.service, *service.engine);
    }
    for (const auto &[host, server] : fleet.servers()) {
        if (m_engines.count(server.service) == 0)
            addPlainServer(server);
    }
    addReplicas(fleet, plan, catalog);
    for (const auto &[host, target] : before) {
        const auto stats = m_stats.find(host);
        if (stats == m_stats.end())
            continue;
        const auto present = m_targets.find(host);
        if (present == m_targets.end() && stats->second.inFlight == 0)
            m_stats.erase(stats);
        else if (present != m_targets.end() && present->second.replica != target.replica)
            resetAverages(stats->second);
    }
    collectRemovedEndpoints(fleet);
}

// The counts of requests in flight are kept.
void TargetTable::resetAverages(TargetStats &stats)
{
    const TargetStats defaults;
    stats.slowness = defaults.slowness;
    stats.success = defaults.success;
    stats.passIntervalMilliseconds = defaults.passIntervalMilliseconds;
    stats.avoidUntil = defaults.avoidUntil;
    stats.avoidDuration = defaults.avoidDuration;
}

void TargetTable::collectRemovedEndpoints(const FleetView &fleet)
{
    for (const auto &[host, target] : m_targets)
        m_usedServers[host] = target.endpoint;
    eraseIf(m_usedServers, [&](const auto &entry) {
        const bool isGone = fleet.find(entry.first) == nullptr;
        if (isGone)
            m_removedEndpoints.push_back(entry.second);
        return isGone;
    });
}

void TargetTable::addPlainServer(const UpstreamServer &server)
{
    if (server.draining)
        return;
    m_targets[server.host] = {
        server.host, server.endpoint, server.zone, server.service, {}, {}, std::max(1, server.slots)
    };
}

void TargetTable::addReplicas(const FleetView &fleet, const ReplicaPlan &plan,
                              const ServiceCatalog &catalog)
{
    for (const PlannedReplica &replica : plan.replicas) {
        const UpstreamServer *head = fleet.find(replica.hosts.front());
        if (replica.phase != ReplicaPhase::Ready || head == nullptr)
            continue;
        const bool open = head->isMemberOf(replica.replica, replica.epoch)
            && head->membership->state == MembershipState::Open;
        const bool whole =
            std::all_of(replica.hosts.begin(), replica.hosts.end(), [&](const HostId &host) {
                const UpstreamServer *member = fleet.find(host);
                return member != nullptr && !member->draining
                    && member->isMemberOf(replica.replica, replica.epoch);
            });
        const ServiceEntry *service = catalog.findService(head->service);
        if (!open || !whole || service == nullptr || !service->engine)
            continue;
        m_targets[head->host] = {
            head->host,    head->endpoint,        head->zone, head->service, replica.replica,
            replica.model, service->engine->slots
        };
    }
}

void TargetTable::setOthersLoad(const TargetLoads &loads, MonotonicTime now)
{
    m_othersLoad.clear();
    for (const TargetLoad &load : loads)
        m_othersLoad[load.host] = load;
    m_othersLoadAt = now;
    m_freed.clear();
}

TargetLoads TargetTable::ownLoad() const
{
    TargetLoads loads;
    for (const auto &[host, stats] : m_stats) {
        // Late requests that wait are left out: they yield to all others, also of other daemons. If
        // they counted as load, every later request would be predicted to be late as well.
        const int inTime = stats.inFlight - stats.lateWaiting;
        if (inTime > 0)
            loads.push_back({ host, inTime, stats.pendingPrompt });
    }
    return loads;
}

bool TargetTable::hasRecentOthersLoad(MonotonicTime now) const
{
    return m_othersLoadAt && now - *m_othersLoadAt < m_options.othersLoadMaxAge;
}

double TargetTable::runningAt(const Target &target, const TargetStats &stats,
                              MonotonicTime now) const
{
    const double own = stats.inFlight - stats.lateWaiting;
    if (hasRecentOthersLoad(now)) {
        const auto others = m_othersLoad.find(target.host);
        return own + (others == m_othersLoad.end() ? 0 : others->second.running);
    }
    const double sharers = target.zone == m_options.ownZone ? m_sharers : m_sharers * 2;
    return own * sharers;
}

double TargetTable::predictedMilliseconds(const Target &target, const TargetStats &stats,
                                          Tokens prompt, MonotonicTime now) const
{
    const double running = runningAt(target, stats, now);
    const double queued = std::max(0.0, running - target.slots);
    const auto found = m_engines.find(target.service);
    if (found == m_engines.end()) {
        const auto mean = m_plainMeanMilliseconds.find(target.service);
        const double usual =
            mean == m_plainMeanMilliseconds.end() ? initialPlainMilliseconds : mean->second;
        return usual * (1 + 0.5 * running / target.slots) + queuedRequestMilliseconds * queued;
    }
    const EngineProfile &engine = found->second;
    const ModelProfile *model = engine.find(target.model);
    const double pace = model == nullptr ? 1 : model->timeFactor;
    const double context = (engine.typicalPromptTokens + engine.typicalAnswerTokens / 2) / 1000;
    const double perRequest =
        engine.perSequenceMilliseconds + engine.contextMillisecondsPerThousand * context;
    const double step =
        engine.stepMilliseconds + perRequest * std::min(running, static_cast<double>(target.slots));
    const auto own = static_cast<double>(prompt.count());
    const auto others = m_othersLoad.find(target.host);
    const bool othersWait = hasRecentOthersLoad(now) && others != m_othersLoad.end();
    const double tokens = own + static_cast<double>(stats.pendingPrompt)
        + (othersWait ? static_cast<double>(others->second.waitingPrompt) : 0);
    const double prefill = tokens / engine.prefillTokensPerSecond * 1000
        + engine.pairMillisecondsPerMillion * own * own / 2 / 1e6;
    // The current pass takes half of its time more on average; the first token takes another pass.
    const double passes = running > 0 ? 1.5 : 1;
    const auto overhead = m_overheadMilliseconds.find(target.model);
    return pace * (step * engine.stepsPerPass * passes + prefill)
        + queuedRequestMilliseconds * queued
        + (overhead == m_overheadMilliseconds.end() ? initialOverheadMilliseconds
                                                    : overhead->second);
}

double TargetTable::decayed(double value, const TargetStats &stats, MonotonicTime now) const
{
    const double halfLives =
        toMilliseconds(now - stats.averagedAt) / toMilliseconds(m_options.averageHalfLife);
    return 1 + (value - 1) * std::exp2(-std::max(0.0, halfLives));
}

double TargetTable::score(const Target &target, Tokens prompt, MonotonicTime now) const
{
    const TargetStats &stats = statsOf(target.host);
    const double success = std::max(minSuccess, decayed(stats.success, stats, now));
    const double zonePenaltyMilliseconds =
        target.zone == m_options.ownZone ? 0 : toMilliseconds(m_options.zonePenalty);
    return predictedMilliseconds(target, stats, prompt, now) * decayed(stats.slowness, stats, now)
        / (success * success)
        + zonePenaltyMilliseconds;
}

bool TargetTable::isCandidate(const Target &target, const TargetQuery &query, MonotonicTime now)
{
    return target.service == query.service && target.model == query.model
        && query.exclude.count(target.host) == 0
        && (query.gate == nullptr || query.gate->admits(target.host, now));
}

bool TargetTable::isDoubtful(const Target &target, const TargetQuery &query, MonotonicTime now)
{
    return query.avoidedZones.count(target.zone) > 0
        || (query.reachability != nullptr && !query.reachability->admits(target.host, now));
}

bool TargetTable::isUsable(const Target &target, const TargetQuery &query, MonotonicTime now) const
{
    const TargetStats &stats = statsOf(target.host);
    return isCandidate(target, query, now) && !isDoubtful(target, query, now)
        && stats.avoidUntil <= now && !isStalled(stats, now);
}

const TargetTable::TargetStats &TargetTable::statsOf(const HostId &host) const
{
    static const TargetStats none;
    const auto found = m_stats.find(host);
    return found == m_stats.end() ? none : found->second;
}

std::vector<HostId> TargetTable::candidates(const TargetQuery &query, MonotonicTime now) const
{
    std::vector<HostId> hosts;
    for (const auto &[host, target] : m_targets) {
        if (isCandidate(target, query, now))
            hosts.push_back(host);
    }
    return hosts;
}

// Compares the scores of two drawn targets, since scores include what the reported load doesn't
// show, such as a replica that was slow for this daemon.
const Target *TargetTable::chooseByFreeSlots(const TargetQuery &query, MonotonicTime now)
{
    std::vector<const Target *> candidates;
    std::vector<TargetCapacity> capacities;
    for (const auto &[host, target] : m_targets) {
        if (!isUsable(target, query, now))
            continue;
        candidates.push_back(&target);
        capacities.push_back({ static_cast<double>(target.slots),
                               runningAt(target, statsOf(host), now),
                               target.zone == m_options.ownZone });
    }
    const auto first = drawTarget(capacities, m_options.targetDraw, m_random);
    const auto second = drawTarget(capacities, m_options.targetDraw, m_random);
    if (!first || !second)
        return nullptr;
    const double firstScore = score(*candidates[*first], query.promptTokens, now);
    const double secondScore = score(*candidates[*second], query.promptTokens, now);
    return firstScore <= secondScore ? candidates[*first] : candidates[*second];
}

TargetRoom TargetTable::roomOf(const TargetQuery &query, MonotonicTime now) const
{
    TargetRoom room;
    room.othersKnown = hasRecentOthersLoad(now);
    room.reportedAt = m_othersLoadAt.value_or(MonotonicTime());
    room.leastExpected = Duration::max();
    for (const auto &[host, target] : m_targets) {
        if (!isUsable(target, query, now))
            continue;
        const TargetStats &stats = statsOf(host);
        ++room.targets;
        room.slots += target.slots;
        room.inFlight += room.othersKnown ? runningAt(target, stats, now) : stats.inFlight;
        room.leastExpected =
            std::min(room.leastExpected, expectedTime(host, query.promptTokens, now));
    }
    return room;
}

// The target where an own request has ended last, if it has a free slot by the reported load.
const Target *TargetTable::chooseFreed(const TargetQuery &query, MonotonicTime now)
{
    for (auto freed = m_freed.rbegin(); freed != m_freed.rend(); ++freed) {
        const auto target = m_targets.find(*freed);
        if (target == m_targets.end() || !isUsable(target->second, query, now)
            || runningAt(target->second, statsOf(*freed), now) >= target->second.slots)
            continue;
        m_freed.erase(std::next(freed).base());
        return &target->second;
    }
    return nullptr;
}

const Target *TargetTable::choose(const TargetQuery &query, MonotonicTime now)
{
    if (query.prefersFreedSlots && hasRecentOthersLoad(now)) {
        if (const Target *freed = chooseFreed(query, now))
            return freed;
    }
    if (!query.model.empty() && hasRecentOthersLoad(now)) {
        if (const Target *drawn = chooseByFreeSlots(query, now))
            return drawn;
    }
    const Target *best = nullptr;
    // Prefers targets that are not doubtful, then those whose last failure to connect is the
    // oldest, then those that are not avoided, then those avoided for the shortest time, then the
    // lowest score. An avoided target is better than none.
    std::tuple<bool, MonotonicTime, bool, MonotonicTime, double> bestRank;
    for (const auto &[host, target] : m_targets) {
        if (!isCandidate(target, query, now))
            continue;
        const TargetStats &stats = m_stats[host];
        const MonotonicTime avoidUntil = std::max(stats.avoidUntil, now);
        const bool isAvoided = avoidUntil > now || isStalled(stats, now);
        const double own =
            score(target, query.promptTokens, now) * (1 + scoreJitter * m_random.fraction());
        const bool isInDoubt = isDoubtful(target, query, now);
        const MonotonicTime failedAt = isInDoubt && query.reachability != nullptr
            ? query.reachability->failedAt(host, now)
            : MonotonicTime();
        const auto rank = std::make_tuple(isInDoubt, failedAt, isAvoided, avoidUntil, own);
        if (best == nullptr || rank < bestRank) {
            best = &target;
            bestRank = rank;
        }
    }
    return best;
}

Duration TargetTable::expectedTime(const HostId &host, Tokens prompt, MonotonicTime now) const
{
    const auto target = m_targets.find(host);
    if (target == m_targets.end())
        return {};
    const TargetStats &stats = statsOf(host);
    const double milliseconds = predictedMilliseconds(target->second, stats, prompt, now)
        * std::max(1.0, decayed(stats.slowness, stats, now));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

bool TargetTable::isStalled(const TargetStats &stats, MonotonicTime now) const
{
    return stats.begun > 0 && now - stats.progressAt > stallTimeoutOf(stats);
}

Duration TargetTable::stallTimeoutOf(const TargetStats &stats) const
{
    if (stats.passIntervalMilliseconds <= 0)
        return m_options.maxStallTimeout;
    const Duration usual =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
            stats.passIntervalMilliseconds * m_options.stallIntervals));
    return std::clamp(usual, m_options.minStallTimeout, m_options.maxStallTimeout);
}

Duration TargetTable::stallTimeoutOf(const HostId &host) const
{
    return stallTimeoutOf(statsOf(host));
}

void TargetTable::sent(const HostId &host, Tokens prompt, Urgency urgency)
{
    TargetStats &stats = m_stats[host];
    ++stats.inFlight;
    adjustWaiting(stats, prompt, urgency, 1);
}

// Adds a request that waits for its first event (`change` 1) or removes it (-1).
void TargetTable::adjustWaiting(TargetStats &stats, Tokens prompt, Urgency urgency, int change)
{
    if (urgency == Urgency::Late)
        stats.lateWaiting += change;
    else
        stats.pendingPrompt += change * prompt.count();
}

void TargetTable::updateAverages(TargetStats &stats, double slowness, double success,
                                 MonotonicTime now)
{
    stats.slowness = decayed(stats.slowness, stats, now);
    stats.success = decayed(stats.success, stats, now);
    stats.slowness += smoothing * (slowness - stats.slowness);
    stats.success += smoothing * (success - stats.success);
    stats.averagedAt = now;
}

void TargetTable::began(const HostId &host, Tokens prompt, Duration took, Duration expected,
                        MonotonicTime now, Urgency urgency)
{
    TargetStats &stats = m_stats[host];
    adjustWaiting(stats, prompt, urgency, -1);
    stats.progressAt = now;
    ++stats.begun;
    if (urgency == Urgency::Late)
        return;
    const auto target = m_targets.find(host);
    if (target != m_targets.end() && target->second.model.empty()) {
        double &mean =
            m_plainMeanMilliseconds.emplace(target->second.service, initialPlainMilliseconds)
                .first->second;
        mean += slowSmoothing * (toMilliseconds(took) - mean);
    }
    if (target != m_targets.end() && !target->second.model.empty()) {
        double &overhead =
            m_overheadMilliseconds.emplace(target->second.model, initialOverheadMilliseconds)
                .first->second;
        const double difference = toMilliseconds(took) - toMilliseconds(expected);
        overhead = std::max(
            0.0,
            overhead
                + slowSmoothing * std::clamp(difference, -overhead, maxOverheadChangeMilliseconds));
    }
    const double ratio = toMilliseconds(took) / std::max(1.0, toMilliseconds(expected));
    updateAverages(stats, std::clamp(ratio, minSlowness, maxSlowness),
                   decayed(stats.success, stats, now), now);
}

void TargetTable::ended(const HostId &host, Tokens prompt, bool hadBegun, Urgency urgency)
{
    TargetStats &stats = m_stats[host];
    --stats.inFlight;
    if (hadBegun)
        --stats.begun;
    else
        adjustWaiting(stats, prompt, urgency, -1);
    if (hadBegun && m_freed.size() < maxFreed && m_targets.count(host) > 0)
        m_freed.push_back(host);
    if (stats.inFlight == 0 && m_targets.count(host) == 0)
        m_stats.erase(host);
}

// A result of the last request to a former target may be reported after ended(), which removed the
// statistics; they must not be created again.
TargetTable::TargetStats *TargetTable::statsToUpdate(const HostId &host)
{
    const bool isKept = m_targets.count(host) > 0 || m_stats.count(host) > 0;
    return isKept ? &m_stats[host] : nullptr;
}

void TargetTable::progressed(const HostId &host, MonotonicTime now)
{
    TargetStats *const statsOrNull = statsToUpdate(host);
    if (statsOrNull == nullptr)
        return;
    TargetStats &stats = *statsOrNull;
    const double passIntervalMilliseconds = toMilliseconds(now - stats.progressAt);
    const bool isNewPass =
        stats.begun > 0 && passIntervalMilliseconds > minPassIntervalMilliseconds;
    if (isNewPass && stats.passIntervalMilliseconds <= 0)
        stats.passIntervalMilliseconds = passIntervalMilliseconds;
    else if (isNewPass)
        stats.passIntervalMilliseconds +=
            smoothing * (passIntervalMilliseconds - stats.passIntervalMilliseconds);
    stats.progressAt = now;
}

MonotonicTime TargetTable::lastProgress(const HostId &host) const
{
    const auto found = m_stats.find(host);
    return found == m_stats.end() ? MonotonicTime() : found->second.progressAt;
}

void TargetTable::succeeded(const HostId &host, MonotonicTime now)
{
    TargetStats *const statsOrNull = statsToUpdate(host);
    if (statsOrNull == nullptr)
        return;
    TargetStats &stats = *statsOrNull;
    updateAverages(stats, decayed(stats.slowness, stats, now), 1, now);
    stats.avoidDuration = {};
    stats.avoidUntil = {};
}

void TargetTable::failed(const HostId &host, MonotonicTime now)
{
    TargetStats *const statsOrNull = statsToUpdate(host);
    if (statsOrNull == nullptr)
        return;
    TargetStats &stats = *statsOrNull;
    updateAverages(stats, decayed(stats.slowness, stats, now), 0, now);
}

void TargetTable::avoid(const HostId &host, MonotonicTime now)
{
    TargetStats *const statsOrNull = statsToUpdate(host);
    if (statsOrNull == nullptr)
        return;
    TargetStats &stats = *statsOrNull;
    if (stats.avoidUntil > now)
        return;
    stats.avoidDuration = stats.avoidDuration == Duration::zero()
        ? m_options.avoidDuration
        : std::min(stats.avoidDuration * 2, m_options.maxAvoidDuration);
    stats.avoidUntil = now + stats.avoidDuration;
}

int TargetTable::inFlight(const HostId &host) const
{
    const auto found = m_stats.find(host);
    return found == m_stats.end() ? 0 : found->second.inFlight;
}

int TargetTable::activeStreams(const HostId &host) const
{
    const auto found = m_stats.find(host);
    return found == m_stats.end() ? 0 : found->second.begun;
}

std::vector<Endpoint> TargetTable::takeRemovedEndpoints()
{
    return std::move(m_removedEndpoints);
}

} // namespace ramphinge
