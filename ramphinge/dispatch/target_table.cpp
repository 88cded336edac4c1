// Places for requests: see target_table.h.

#include "ramphinge/dispatch/target_table.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Weight of the newest observation.
constexpr double smoothing = 0.3;
constexpr double meanSmoothing = 0.05;
// First guess of what a first event takes beyond the formula.
constexpr double firstOverheadMilliseconds = 80;
// First guess of a plain service's time, until one was seen.
constexpr double firstPlainMilliseconds = 20;
// Bounds what one late first event teaches: it may have waited for something else.
constexpr double largestDifference = 150;
constexpr double fastest = 0.5; // Bounds on how far off a place may be remembered to be.
constexpr double slowest = 20;
constexpr double leastSuccess = 0.05;
// Spreads the choice among places that look alike.
constexpr double jitter = 0.15;
// What a pass brings to several streams arrives closer together than that.
constexpr double samePassMilliseconds = 10;
// A place without room: each request beyond the slots counts this many milliseconds.
constexpr double queuedMilliseconds = 60;

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
            addPlain(server);
    }
    addReplicas(fleet, plan, catalog);
    for (const auto &[host, target] : before) {
        const auto record = m_records.find(host);
        if (record == m_records.end())
            continue;
        const auto present = m_targets.find(host);
        if (present == m_targets.end() && record->second.inFlight == 0)
            m_records.erase(record);
        else if (present != m_targets.end() && present->second.replica != target.replica)
            forgetLearned(record->second);
    }
    noteDropped(fleet);
}

// Keeps what is under way there.
void TargetTable::forgetLearned(Record &record)
{
    const Record fresh;
    record.slowness = fresh.slowness;
    record.success = fresh.success;
    record.pause = fresh.pause;
    record.avoidUntil = fresh.avoidUntil;
    record.avoidance = fresh.avoidance;
}

void TargetTable::noteDropped(const FleetView &fleet)
{
    for (const auto &[host, target] : m_targets)
        m_used[host] = target.endpoint;
    eraseIf(m_used, [&](const auto &entry) {
        const bool isGone = fleet.find(entry.first) == nullptr;
        if (isGone)
            m_dropped.push_back(entry.second);
        return isGone;
    });
}

void TargetTable::addPlain(const UpstreamServer &server)
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

void TargetTable::setOthersLoad(const PlaceLoads &loads, MonotonicTime now)
{
    m_others.clear();
    for (const PlaceLoad &load : loads)
        m_others[load.host] = load;
    m_othersAt = now;
}

PlaceLoads TargetTable::ownLoad() const
{
    PlaceLoads loads;
    for (const auto &[host, record] : m_records) {
        // Late ones wait for all others, also for those of other daemons: counted, they would make
        // every later request late as well.
        const int inTime = record.inFlight - record.lateWaiting;
        if (inTime > 0)
            loads.push_back({ host, inTime, record.pendingPrompt });
    }
    return loads;
}

bool TargetTable::knowsOthers(MonotonicTime now) const
{
    return m_othersAt && now - *m_othersAt < m_options.othersLoadLasts;
}

double TargetTable::runningAt(const Target &target, const Record &record, MonotonicTime now) const
{
    const double own = record.inFlight - record.lateWaiting;
    if (knowsOthers(now)) {
        const auto others = m_others.find(target.host);
        return own + (others == m_others.end() ? 0 : others->second.running);
    }
    const double sharers = target.zone == m_options.ownZone ? m_sharers : m_sharers * 2;
    return own * sharers;
}

double TargetTable::formulaMilliseconds(const Target &target, const Record &record, Tokens prompt,
                                        MonotonicTime now) const
{
    const double running = runningAt(target, record, now);
    const double beyond = std::max(0.0, running - target.slots);
    const auto found = m_engines.find(target.service);
    if (found == m_engines.end()) {
        const auto mean = m_plainMean.find(target.service);
        const double usual = mean == m_plainMean.end() ? firstPlainMilliseconds : mean->second;
        return usual * (1 + 0.5 * running / target.slots) + queuedMilliseconds * beyond;
    }
    const EngineProfile &engine = found->second;
    const ModelProfile *model = engine.find(target.model);
    const double pace = model == nullptr ? 1 : model->pace;
    const double context = (engine.usualPromptTokens + engine.usualAnswerTokens / 2) / 1000;
    const double perRequest =
        engine.perSequenceMilliseconds + engine.contextMillisecondsPerThousand * context;
    const double step =
        engine.stepMilliseconds + perRequest * std::min(running, static_cast<double>(target.slots));
    const auto own = static_cast<double>(prompt.count());
    const auto others = m_others.find(target.host);
    const bool othersWait = knowsOthers(now) && others != m_others.end();
    const double tokens = own + static_cast<double>(record.pendingPrompt)
        + (othersWait ? static_cast<double>(others->second.waitingPrompt) : 0);
    const double reading = tokens / engine.prefillTokensPerSecond * 1000
        + engine.pairMillisecondsPerMillion * own * own / 2 / 1e6;
    // The pass under way ends on average after half of its time; the first token takes another.
    const double passes = running > 0 ? 1.5 : 1;
    const auto overhead = m_overhead.find(target.model);
    return pace * (step * engine.stepsPerPass * passes + reading) + queuedMilliseconds * beyond
        + (overhead == m_overhead.end() ? firstOverheadMilliseconds : overhead->second);
}

double TargetTable::faded(double value, const Record &record, MonotonicTime now) const
{
    const double halves = toMilliseconds(now - record.judgedAt) / toMilliseconds(m_options.memory);
    return 1 + (value - 1) * std::exp2(-std::max(0.0, halves));
}

double TargetTable::score(const Target &target, Tokens prompt, MonotonicTime now) const
{
    const auto found = m_records.find(target.host);
    const Record record = found == m_records.end() ? Record() : found->second;
    const double success = std::max(leastSuccess, faded(record.success, record, now));
    const double away =
        target.zone == m_options.ownZone ? 0 : toMilliseconds(m_options.zonePenalty);
    return formulaMilliseconds(target, record, prompt, now) * faded(record.slowness, record, now)
        / (success * success)
        + away;
}

bool TargetTable::isCandidate(const Target &target, const TargetQuery &query, MonotonicTime now)
{
    return target.service == query.service && target.model == query.model
        && query.exclude.count(target.host) == 0
        && (query.gate == nullptr || query.gate->admits(target.host, now));
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

// The better of two places that were drawn: what the picture doesn't tell, such as a replica that
// was slow to this daemon, counts between them.
const Target *TargetTable::chooseByRoom(const TargetQuery &query, MonotonicTime now)
{
    std::vector<const Target *> candidates;
    std::vector<PlaceRoom> rooms;
    for (const auto &[host, target] : m_targets) {
        if (!isCandidate(target, query, now))
            continue;
        const Record &record = m_records[host];
        if (record.avoidUntil > now || standsStill(record, now))
            continue;
        candidates.push_back(&target);
        rooms.push_back({ static_cast<double>(target.slots), runningAt(target, record, now),
                          target.zone == m_options.ownZone });
    }
    const auto first = drawPlace(rooms, m_options.placing, m_random);
    const auto second = drawPlace(rooms, m_options.placing, m_random);
    if (!first || !second)
        return nullptr;
    const double firstScore = score(*candidates[*first], query.promptTokens, now);
    const double secondScore = score(*candidates[*second], query.promptTokens, now);
    return firstScore <= secondScore ? candidates[*first] : candidates[*second];
}

const Target *TargetTable::choose(const TargetQuery &query, MonotonicTime now)
{
    if (!query.model.empty() && knowsOthers(now)) {
        if (const Target *drawn = chooseByRoom(query, now))
            return drawn;
    }
    const Target *best = nullptr;
    // The best is to be avoided for the shortest time, if at all; then it answers the soonest. So
    // one that is to be avoided is better than none.
    std::tuple<bool, MonotonicTime, double> bestRank;
    for (const auto &[host, target] : m_targets) {
        if (!isCandidate(target, query, now))
            continue;
        const Record &record = m_records[host];
        const MonotonicTime avoidUntil = std::max(record.avoidUntil, now);
        const bool isAvoided = avoidUntil > now || standsStill(record, now);
        const double own =
            score(target, query.promptTokens, now) * (1 + jitter * m_random.fraction());
        const auto rank = std::make_tuple(isAvoided, avoidUntil, own);
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
    const auto found = m_records.find(host);
    const Record record = found == m_records.end() ? Record() : found->second;
    const double milliseconds = formulaMilliseconds(target->second, record, prompt, now)
        * std::max(1.0, faded(record.slowness, record, now));
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

bool TargetTable::standsStill(const Record &record, MonotonicTime now) const
{
    return record.begun > 0 && now - record.progressAt > standstillOf(record);
}

Duration TargetTable::standstillOf(const Record &record) const
{
    if (record.pause <= 0)
        return m_options.longestStandstill;
    const Duration usual = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(record.pause * m_options.standstillPauses));
    return std::clamp(usual, m_options.shortestStandstill, m_options.longestStandstill);
}

Duration TargetTable::standstillOf(const HostId &host) const
{
    const auto found = m_records.find(host);
    return standstillOf(found == m_records.end() ? Record() : found->second);
}

void TargetTable::sent(const HostId &host, Tokens prompt, Urgency urgency)
{
    Record &record = m_records[host];
    ++record.inFlight;
    wait(record, prompt, urgency, 1);
}

// Counts a request that waits for its first event, or no longer does.
void TargetTable::wait(Record &record, Tokens prompt, Urgency urgency, int change)
{
    if (urgency == Urgency::Late)
        record.lateWaiting += change;
    else
        record.pendingPrompt += change * prompt.count();
}

void TargetTable::judge(Record &record, double slowness, double success, MonotonicTime now)
{
    record.slowness = faded(record.slowness, record, now);
    record.success = faded(record.success, record, now);
    record.slowness += smoothing * (slowness - record.slowness);
    record.success += smoothing * (success - record.success);
    record.judgedAt = now;
}

void TargetTable::began(const HostId &host, Tokens prompt, Duration took, Duration expected,
                        MonotonicTime now, Urgency urgency)
{
    Record &record = m_records[host];
    wait(record, prompt, urgency, -1);
    record.progressAt = now;
    ++record.begun;
    if (urgency == Urgency::Late)
        return;
    const auto target = m_targets.find(host);
    if (target != m_targets.end() && target->second.model.empty()) {
        double &mean =
            m_plainMean.emplace(target->second.service, firstPlainMilliseconds).first->second;
        mean += meanSmoothing * (toMilliseconds(took) - mean);
    }
    if (target != m_targets.end() && !target->second.model.empty()) {
        double &overhead =
            m_overhead.emplace(target->second.model, firstOverheadMilliseconds).first->second;
        const double difference = toMilliseconds(took) - toMilliseconds(expected);
        overhead = std::max(
            0.0, overhead + meanSmoothing * std::clamp(difference, -overhead, largestDifference));
    }
    const double ratio = toMilliseconds(took) / std::max(1.0, toMilliseconds(expected));
    judge(record, std::clamp(ratio, fastest, slowest), faded(record.success, record, now), now);
}

void TargetTable::ended(const HostId &host, Tokens prompt, bool hadBegun, Urgency urgency)
{
    Record &record = m_records[host];
    --record.inFlight;
    if (hadBegun)
        --record.begun;
    else
        wait(record, prompt, urgency, -1);
    if (record.inFlight == 0 && m_targets.count(host) == 0)
        m_records.erase(host);
}

// The last request to a place may tell of it after its account there is closed: then the record
// that went with that is not made anew.
TargetTable::Record *TargetTable::recordToNote(const HostId &host)
{
    const bool isKept = m_targets.count(host) > 0 || m_records.count(host) > 0;
    return isKept ? &m_records[host] : nullptr;
}

void TargetTable::progressed(const HostId &host, MonotonicTime now)
{
    Record *const noted = recordToNote(host);
    if (noted == nullptr)
        return;
    Record &record = *noted;
    const double pause = toMilliseconds(now - record.progressAt);
    const bool otherPass = record.begun > 0 && pause > samePassMilliseconds;
    if (otherPass && record.pause <= 0)
        record.pause = pause;
    else if (otherPass)
        record.pause += smoothing * (pause - record.pause);
    record.progressAt = now;
}

MonotonicTime TargetTable::lastProgress(const HostId &host) const
{
    const auto found = m_records.find(host);
    return found == m_records.end() ? MonotonicTime() : found->second.progressAt;
}

void TargetTable::succeeded(const HostId &host, MonotonicTime now)
{
    Record *const noted = recordToNote(host);
    if (noted == nullptr)
        return;
    Record &record = *noted;
    judge(record, faded(record.slowness, record, now), 1, now);
    record.avoidance = {};
    record.avoidUntil = {};
}

void TargetTable::failed(const HostId &host, MonotonicTime now)
{
    Record *const noted = recordToNote(host);
    if (noted == nullptr)
        return;
    Record &record = *noted;
    judge(record, faded(record.slowness, record, now), 0, now);
}

void TargetTable::avoid(const HostId &host, MonotonicTime now)
{
    Record *const noted = recordToNote(host);
    if (noted == nullptr)
        return;
    Record &record = *noted;
    if (record.avoidUntil > now)
        return;
    record.avoidance = record.avoidance == Duration::zero()
        ? m_options.avoidance
        : std::min(record.avoidance * 2, m_options.longestAvoidance);
    record.avoidUntil = now + record.avoidance;
}

int TargetTable::inFlight(const HostId &host) const
{
    const auto found = m_records.find(host);
    return found == m_records.end() ? 0 : found->second.inFlight;
}

int TargetTable::streamsUnderWay(const HostId &host) const
{
    const auto found = m_records.find(host);
    return found == m_records.end() ? 0 : found->second.begun;
}

std::vector<Endpoint> TargetTable::takeDropped()
{
    return std::move(m_dropped);
}

} // namespace ramphinge
