// Rate limits that servers state: see server_limits.h.

#include "ramphinge/limits/server_limits.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "ramphinge/base/erase_if.h"
#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

double toSeconds(Duration duration)
{
    return toMilliseconds(duration) / 1000;
}

} // namespace

const char *toString(LimitChange change)
{
    switch (change) {
    case LimitChange::None:
        break;
    case LimitChange::Stated:
        return "stated";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Ended:
        return "ended";
    }
    return "none";
}

void ServerLimits::setDaemons(const RegisteredDaemon &self,
                              const std::vector<RegisteredDaemon> &daemons, MonotonicTime now)
{
    // Most changes of the fleet don't affect the daemons.
    const bool noneIsMissing = m_daemons.size() == m_registered.size();
    if (self == m_self && daemons == m_registered && noneIsMissing)
        return;
    m_self = self;
    m_registered = daemons;
    bool changed = false;
    std::set<DaemonId> registered;
    const auto addDaemon = [&](const RegisteredDaemon &sharer) {
        registered.insert(sharer.daemon);
        const bool isNew =
            m_daemons.insert_or_assign(sharer.daemon, Daemon { sharer.zone, {} }).second;
        if (isNew)
            m_lastDaemonAddedAt = now;
        changed |= isNew;
    };
    for (const RegisteredDaemon &sharer : daemons)
        addDaemon(sharer);
    addDaemon(self);
    eraseIf(m_daemons, [&](auto &entry) {
        if (registered.count(entry.first) > 0)
            return false;
        std::optional<MonotonicTime> &since = entry.second.missingSince;
        since = since.value_or(now);
        const bool isForgotten = now - *since > m_options.daemonRetention;
        changed |= isForgotten;
        return isForgotten;
    });
    if (!changed)
        return;
    for (auto &[host, limit] : m_limits)
        limit.rank = rankFor({ host, limit.zone });
}

// The order alternates between the best remaining daemon of the server's zone and the best
// remaining one of all zones, by score. So in any number of leading ranks at least half are in the
// server's zone, as long as it has daemons left.
std::size_t ServerLimits::rankFor(const ServerLocation &server) const
{
    struct Candidate
    {
        std::uint64_t score;
        bool isInZone;
        bool isSelf;
    };
    const std::uint64_t key = stableHash(server.host.text());
    std::vector<Candidate> candidates;
    for (const auto &[daemon, known] : m_daemons)
        candidates.push_back({ rendezvousScore(key, daemon.text()), known.zone == server.zone,
                               daemon == m_self.daemon });
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &a, const Candidate &b) { return a.score > b.score; });
    std::vector<bool> ranked(candidates.size(), false);
    std::size_t nextInZone = 0;
    std::size_t nextInAnyZone = 0;
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        while (nextInZone < candidates.size()
               && (ranked[nextInZone] || !candidates[nextInZone].isInZone))
            ++nextInZone;
        while (ranked[nextInAnyZone])
            ++nextInAnyZone;
        const bool takesInZone = rank % 2 == 0 && nextInZone < candidates.size();
        const std::size_t next = takesInZone ? nextInZone : nextInAnyZone;
        if (candidates[next].isSelf)
            return rank;
        ranked[next] = true;
    }
    return 0; // setDaemons() has not been called yet.
}

LimitChange ServerLimits::noteAnswer(const ServerLocation &server,
                                     std::optional<RequestRate> stated, MonotonicTime sentAt,
                                     MonotonicTime now)
{
    const auto known = m_limits.find(server.host);
    if (stated && known == m_limits.end()) {
        if (m_limits.size() >= m_options.maxServers)
            return LimitChange::None;
        add(server, *stated, now, now);
        return LimitChange::Stated;
    }
    if (stated)
        return applyStatement(known->second, *stated, now, now);
    if (known == m_limits.end() || known->second.endedAt || sentAt <= known->second.statedAt)
        return LimitChange::None;
    end(known->second, now, now);
    return LimitChange::Ended;
}

LimitChange ServerLimits::applyUpdate(const ServerLimitUpdate &update, MonotonicTime now,
                                      bool isInFleet)
{
    const MonotonicTime observedAt = now - update.age;
    const auto known = m_limits.find(update.server.host);
    if (known == m_limits.end()) {
        if (!isInFleet && update.age > m_options.goneRetention)
            return LimitChange::None;
        if (!update.rate || m_limits.size() >= m_options.maxServers)
            return LimitChange::None;
        add(update.server, *update.rate, observedAt, now);
        return LimitChange::Stated;
    }
    Limit &limit = known->second;
    if (observedAt <= std::max(limit.statedAt, limit.endedAt.value_or(limit.statedAt)))
        return LimitChange::None;
    if (update.rate)
        return applyStatement(limit, *update.rate, observedAt, now);
    if (limit.endedAt)
        return LimitChange::None;
    end(limit, observedAt, now);
    return LimitChange::Ended;
}

ServerLimits::Limit &ServerLimits::add(const ServerLocation &server, RequestRate rate,
                                       MonotonicTime statedAt, MonotonicTime now)
{
    Limit &limit = m_limits[server.host];
    limit.zone = server.zone;
    limit.rate = rate;
    limit.statedAt = statedAt;
    limit.refilledAt = now;
    limit.rank = rankFor(server);
    scheduleBroadcast(limit, now);
    return limit;
}

LimitChange ServerLimits::applyStatement(Limit &limit, RequestRate rate, MonotonicTime statedAt,
                                         MonotonicTime now)
{
    const bool hadEnded = limit.endedAt.has_value();
    const bool changed = limit.rate != rate;
    refill(limit, now);
    limit.rate = rate;
    limit.statedAt = statedAt;
    limit.endedAt.reset();
    refill(limit, now); // Caps the tokens at the capacity for the new rate.
    if (hadEnded || changed)
        scheduleBroadcast(limit, now);
    if (hadEnded)
        return LimitChange::Stated;
    return changed ? LimitChange::Changed : LimitChange::None;
}

void ServerLimits::end(Limit &limit, MonotonicTime endedAt, MonotonicTime now)
{
    refill(limit, now);
    limit.endedAt = endedAt;
    scheduleBroadcast(limit, now);
}

void ServerLimits::scheduleBroadcast(Limit &limit, MonotonicTime now) const
{
    limit.broadcastsLeft = 1 + m_options.broadcastRepeats;
    limit.nextBroadcastAt = now;
}

std::size_t ServerLimits::updatesAllowed(MonotonicTime now)
{
    const double accrued =
        m_updateTokens + m_options.updatesPerSecond * toSeconds(now - m_updateTokensAt);
    m_updateTokens = std::min(m_options.updateBurst, accrued);
    m_updateTokensAt = now;
    return static_cast<std::size_t>(m_updateTokens);
}

ServerLimitUpdate ServerLimits::makeUpdate(const HostId &host, Limit &limit,
                                           MonotonicTime now) const
{
    const MonotonicTime observedAt = limit.endedAt.value_or(limit.statedAt);
    limit.broadcastsLeft = std::max(0, limit.broadcastsLeft - 1);
    limit.broadcastUpTo = observedAt;
    if (limit.broadcastsLeft == 0)
        limit.nextBroadcastAt = now + m_options.broadcastInterval;
    return { { host, limit.zone },
             limit.endedAt ? std::nullopt : std::optional<RequestRate>(limit.rate),
             now - observedAt };
}

std::vector<ServerLimitUpdate> ServerLimits::takeUpdates(MonotonicTime now)
{
    using Entry = std::pair<const HostId, Limit>;
    std::vector<Entry *> due;
    for (Entry &entry : m_limits) {
        const Limit &limit = entry.second;
        const bool hasUpdate = limit.broadcastsLeft > 0
            || limit.endedAt.value_or(limit.statedAt) > limit.broadcastUpTo;
        if (now >= limit.nextBroadcastAt && hasUpdate)
            due.push_back(&entry);
    }
    // Those with the most broadcasts left first, then those that have been due for longest.
    std::stable_sort(due.begin(), due.end(), [](const Entry *a, const Entry *b) {
        return std::make_pair(-a->second.broadcastsLeft, a->second.nextBroadcastAt)
            < std::make_pair(-b->second.broadcastsLeft, b->second.nextBroadcastAt);
    });
    due.resize(std::min(due.size(), updatesAllowed(now)));
    std::vector<ServerLimitUpdate> updates;
    for (Entry *entry : due)
        updates.push_back(makeUpdate(entry->first, entry->second, now));
    m_updateTokens -= static_cast<double>(updates.size());
    return updates;
}

// Recovery steps since the limit ended, with a fraction; 0 if it has not ended.
double ServerLimits::recoveryStepsOf(const Limit &limit, MonotonicTime now) const
{
    if (!limit.endedAt)
        return 0;
    return toSeconds(now - *limit.endedAt) / toSeconds(m_options.recoveryStep);
}

bool ServerLimits::hasRecovered(const Limit &limit, MonotonicTime now) const
{
    return recoveryStepsOf(limit, now) >= m_options.constantSteps + m_options.doublingSteps;
}

RequestRate ServerLimits::acceptedRate(const Limit &limit, MonotonicTime now) const
{
    const double doublings = recoveryStepsOf(limit, now) - m_options.constantSteps;
    const double rate = std::max(limit.rate, m_options.minRate).perSecond();
    return RequestRate(rate * std::exp2(std::max(0.0, doublings)));
}

double ServerLimits::sharerCount(const Limit &limit, MonotonicTime now) const
{
    const RequestRate rate = limit.endedAt ? acceptedRate(limit, now) : limit.rate;
    const double wanted =
        std::floor(m_options.baseSharers + m_options.sharersPerRequestRate * rate.perSecond());
    const bool isGrowing = now - m_lastDaemonAddedAt < m_options.daemonSettleTime;
    const double daemons = static_cast<double>(std::max<std::size_t>(1, m_daemons.size()))
        * (isGrowing ? m_options.unknownDaemonsFactor : 1);
    return std::min(wanted, daemons);
}

// The time from which this daemon accrues tokens; it must be a sharer now. A daemon that became a
// sharer as the accepted rate recovered accrued nothing before that moment.
MonotonicTime ServerLimits::accruesSince(const Limit &limit) const
{
    const double requiredRate = (static_cast<double>(limit.rank) + 1 - m_options.baseSharers)
        / m_options.sharersPerRequestRate;
    const double rate = std::max(limit.rate, m_options.minRate).perSecond();
    if (!limit.endedAt || requiredRate <= rate)
        return limit.refilledAt;
    const double steps = m_options.constantSteps + std::log2(requiredRate / rate);
    return *limit.endedAt + scaled(m_options.recoveryStep, steps);
}

double ServerLimits::availableTokens(const Limit &limit, MonotonicTime now) const
{
    const double sharers = sharerCount(limit, now);
    if (static_cast<double>(limit.rank) >= sharers)
        return 0;
    const double share = acceptedRate(limit, now).perSecond() / sharers;
    const double capacity =
        std::max(m_options.minBurstRequests, share * toSeconds(m_options.burstTime));
    const MonotonicTime since = accruesSince(limit);
    const double initial = since > limit.refilledAt ? m_options.newSharerTokens : limit.tokens;
    const Duration accrual = now - std::max(since, limit.refilledAt);
    return std::min(capacity, initial + share * toSeconds(std::max(Duration::zero(), accrual)));
}

void ServerLimits::refill(Limit &limit, MonotonicTime now) const
{
    limit.tokens = availableTokens(limit, now);
    limit.refilledAt = now;
}

// Slots are counted from the last statement, on which the daemons agree. A slot that passes without
// a request is lost, so that daemons don't accumulate and probe at the same time.
bool ServerLimits::mayProbe(const Limit &limit, MonotonicTime now) const
{
    const MonotonicTime start = limit.statedAt + m_options.probeAfter;
    if (now < start)
        return false;
    const auto slots = m_options.probeSlotsPerDaemon
        * static_cast<std::int64_t>(std::max<std::size_t>(1, m_daemons.size()));
    if (limit.lastSentAt && now - *limit.lastSentAt < m_options.probeSlot * slots)
        return false;
    return (now - start) / m_options.probeSlot % slots
        == static_cast<std::int64_t>(limit.rank) % slots;
}

bool ServerLimits::admits(const HostId &host, MonotonicTime now) const
{
    const auto known = m_limits.find(host);
    if (known == m_limits.end() || hasRecovered(known->second, now))
        return true;
    const Limit &limit = known->second;
    return availableTokens(limit, now) >= 1 || mayProbe(limit, now);
}

void ServerLimits::recordSend(const HostId &host, MonotonicTime now)
{
    const auto known = m_limits.find(host);
    if (known == m_limits.end())
        return;
    Limit &limit = known->second;
    refill(limit, now);
    limit.tokens = std::max(0.0, limit.tokens - 1);
    limit.lastSentAt = now;
}

std::optional<RequestRate> ServerLimits::rateOf(const HostId &host, MonotonicTime now) const
{
    const auto known = m_limits.find(host);
    if (known == m_limits.end() || hasRecovered(known->second, now))
        return std::nullopt;
    return acceptedRate(known->second, now);
}

void ServerLimits::forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now)
{
    eraseIf(m_limits, [&](const auto &entry) {
        const Limit &limit = entry.second;
        if (limit.endedAt && now - *limit.endedAt > m_options.endedRetention)
            return true;
        return now - limit.statedAt > m_options.goneRetention && !exists(entry.first);
    });
}

void ServerLimits::retain(const std::function<bool(const HostId &)> &keep)
{
    eraseIf(m_limits, [&](const auto &entry) { return !keep(entry.first); });
}

std::vector<ServerLimitState> ServerLimits::states(MonotonicTime now) const
{
    std::vector<ServerLimitState> all;
    for (const auto &[host, limit] : m_limits) {
        if (hasRecovered(limit, now))
            continue;
        all.push_back({ host, acceptedRate(limit, now), now - limit.statedAt,
                        limit.endedAt.has_value(),
                        static_cast<double>(limit.rank) < sharerCount(limit, now) });
    }
    return all;
}

} // namespace ramphinge
