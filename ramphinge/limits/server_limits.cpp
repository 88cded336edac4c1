// Rates that servers accept: see server_limits.h.

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

void ServerLimits::setDaemons(const LimitSharer &self, const std::vector<LimitSharer> &daemons,
                              MonotonicTime now)
{
    // Most changes of the fleet are not of the daemons.
    const bool noneIsMissing = m_daemons.size() == m_listed.size();
    if (self == m_self && daemons == m_listed && noneIsMissing)
        return;
    m_self = self;
    m_listed = daemons;
    bool changed = false;
    std::set<DaemonId> listed;
    const auto list = [&](const LimitSharer &sharer) {
        listed.insert(sharer.daemon);
        const bool isNew =
            m_daemons.insert_or_assign(sharer.daemon, Daemon { sharer.zone, {} }).second;
        if (isNew)
            m_daemonsGrewAt = now;
        changed |= isNew;
    };
    for (const LimitSharer &sharer : daemons)
        list(sharer);
    list(self);
    eraseIf(m_daemons, [&](auto &entry) {
        if (listed.count(entry.first) > 0)
            return false;
        std::optional<MonotonicTime> &since = entry.second.missingSince;
        since = since.value_or(now);
        const bool isForgotten = now - *since > m_options.daemonMemory;
        changed |= isForgotten;
        return isForgotten;
    });
    if (!changed)
        return;
    for (auto &[host, limit] : m_limits)
        limit.rank = rankFor({ host, limit.zone });
}

// Daemons of the server's zone and of all zones take turns in the order, each by their scores: so
// whatever number of sharers is taken from its front, half of them are near.
std::size_t ServerLimits::rankFor(const LimitedServer &server) const
{
    struct Candidate
    {
        std::uint64_t score;
        bool isNear;
        bool isSelf;
    };
    const std::uint64_t key = stableHash(server.host.text());
    std::vector<Candidate> others;
    for (const auto &[daemon, known] : m_daemons)
        others.push_back({ rendezvousScore(key, daemon.text()), known.zone == server.zone,
                           daemon == m_self.daemon });
    std::sort(others.begin(), others.end(),
              [](const Candidate &a, const Candidate &b) { return a.score > b.score; });
    std::vector<bool> taken(others.size(), false);
    std::size_t nextNear = 0;
    std::size_t nextOfAll = 0;
    for (std::size_t rank = 0; rank < others.size(); ++rank) {
        while (nextNear < others.size() && (taken[nextNear] || !others[nextNear].isNear))
            ++nextNear;
        while (taken[nextOfAll])
            ++nextOfAll;
        const bool takesNear = rank % 2 == 0 && nextNear < others.size();
        const std::size_t next = takesNear ? nextNear : nextOfAll;
        if (others[next].isSelf)
            return rank;
        taken[next] = true;
    }
    return 0; // This daemon is not known yet.
}

LimitChange ServerLimits::noteAnswer(const LimitedServer &server, std::optional<RequestRate> stated,
                                     MonotonicTime sentAt, MonotonicTime now)
{
    const auto known = m_limits.find(server.host);
    if (stated && known == m_limits.end()) {
        if (m_limits.size() >= m_options.mostServers)
            return LimitChange::None;
        add(server, *stated, now, now);
        return LimitChange::Stated;
    }
    if (stated)
        return restate(known->second, *stated, now, now);
    if (known == m_limits.end() || known->second.endedAt || sentAt <= known->second.statedAt)
        return LimitChange::None;
    end(known->second, now, now);
    return LimitChange::Ended;
}

LimitChange ServerLimits::hear(const ServerLimitNews &news, MonotonicTime now, bool isInFleet)
{
    const MonotonicTime observedAt = now - news.age;
    const auto known = m_limits.find(news.server.host);
    if (known == m_limits.end()) {
        if (!isInFleet && news.age > m_options.goneMemory)
            return LimitChange::None;
        if (!news.rate || m_limits.size() >= m_options.mostServers)
            return LimitChange::None;
        add(news.server, *news.rate, observedAt, now);
        return LimitChange::Stated;
    }
    Limit &limit = known->second;
    if (observedAt <= std::max(limit.statedAt, limit.endedAt.value_or(limit.statedAt)))
        return LimitChange::None;
    if (news.rate)
        return restate(limit, *news.rate, observedAt, now);
    if (limit.endedAt)
        return LimitChange::None;
    end(limit, observedAt, now);
    return LimitChange::Ended;
}

ServerLimits::Limit &ServerLimits::add(const LimitedServer &server, RequestRate rate,
                                       MonotonicTime statedAt, MonotonicTime now)
{
    Limit &limit = m_limits[server.host];
    limit.zone = server.zone;
    limit.rate = rate;
    limit.statedAt = statedAt;
    limit.refilledAt = now;
    limit.rank = rankFor(server);
    tell(limit, now);
    return limit;
}

LimitChange ServerLimits::restate(Limit &limit, RequestRate rate, MonotonicTime statedAt,
                                  MonotonicTime now)
{
    const bool hadEnded = limit.endedAt.has_value();
    const bool changed = limit.rate != rate;
    refill(limit, now);
    limit.rate = rate;
    limit.statedAt = statedAt;
    limit.endedAt.reset();
    refill(limit, now); // To what may be saved up at this rate.
    if (hadEnded || changed)
        tell(limit, now);
    if (hadEnded)
        return LimitChange::Stated;
    return changed ? LimitChange::Changed : LimitChange::None;
}

void ServerLimits::end(Limit &limit, MonotonicTime endedAt, MonotonicTime now)
{
    refill(limit, now);
    limit.endedAt = endedAt;
    tell(limit, now);
}

void ServerLimits::tell(Limit &limit, MonotonicTime now) const
{
    limit.tellings = 1 + m_options.repeatsOfNews;
    limit.tellAt = now;
}

std::size_t ServerLimits::newsAllowed(MonotonicTime now)
{
    const double saved = m_newsSaved + m_options.newsPerSecond * toSeconds(now - m_newsAt);
    m_newsSaved = std::min(m_options.newsBurst, saved);
    m_newsAt = now;
    return static_cast<std::size_t>(m_newsSaved);
}

ServerLimitNews ServerLimits::newsOf(const HostId &host, Limit &limit, MonotonicTime now) const
{
    const MonotonicTime observedAt = limit.endedAt.value_or(limit.statedAt);
    limit.tellings = std::max(0, limit.tellings - 1);
    limit.toldUpTo = observedAt;
    if (limit.tellings == 0)
        limit.tellAt = now + m_options.newsInterval;
    return { { host, limit.zone },
             limit.endedAt ? std::nullopt : std::optional<RequestRate>(limit.rate),
             now - observedAt };
}

std::vector<ServerLimitNews> ServerLimits::takeNews(MonotonicTime now)
{
    using Due = std::pair<const HostId, Limit>;
    std::vector<Due *> due;
    for (Due &entry : m_limits) {
        const Limit &limit = entry.second;
        const bool isNews =
            limit.tellings > 0 || limit.endedAt.value_or(limit.statedAt) > limit.toldUpTo;
        if (now >= limit.tellAt && isNews)
            due.push_back(&entry);
    }
    // Those that have been told fewest times, then those that have waited longest.
    std::stable_sort(due.begin(), due.end(), [](const Due *a, const Due *b) {
        return std::make_pair(-a->second.tellings, a->second.tellAt)
            < std::make_pair(-b->second.tellings, b->second.tellAt);
    });
    due.resize(std::min(due.size(), newsAllowed(now)));
    std::vector<ServerLimitNews> news;
    for (Due *entry : due)
        news.push_back(newsOf(entry->first, entry->second, now));
    m_newsSaved -= static_cast<double>(news.size());
    return news;
}

// Since the limit's end; none if it has not ended.
double ServerLimits::recoveryStepsOf(const Limit &limit, MonotonicTime now) const
{
    if (!limit.endedAt)
        return 0;
    return toSeconds(now - *limit.endedAt) / toSeconds(m_options.recoveryStep);
}

bool ServerLimits::isOver(const Limit &limit, MonotonicTime now) const
{
    return recoveryStepsOf(limit, now) >= m_options.heldSteps + m_options.doublingSteps;
}

RequestRate ServerLimits::acceptedRate(const Limit &limit, MonotonicTime now) const
{
    const double doublings = recoveryStepsOf(limit, now) - m_options.heldSteps;
    const double rate = std::max(limit.rate, m_options.leastRate).perSecond();
    return RequestRate(rate * std::exp2(std::max(0.0, doublings)));
}

double ServerLimits::sharersOf(const Limit &limit, MonotonicTime now) const
{
    const RequestRate rate = limit.endedAt ? acceptedRate(limit, now) : limit.rate;
    const double wanted =
        std::floor(m_options.leastSharers + m_options.sharersPerRate * rate.perSecond());
    const bool isGrowing = now - m_daemonsGrewAt < m_options.daemonsSettle;
    const double daemons = static_cast<double>(std::max<std::size_t>(1, m_daemons.size()))
        * (isGrowing ? m_options.unknownDaemons : 1);
    return std::min(wanted, daemons);
}

// Only for a daemon that shares the server now. One that became a sharer as the accepted rate
// recovers has saved up nothing before.
MonotonicTime ServerLimits::sharesSince(const Limit &limit) const
{
    const double needed =
        (static_cast<double>(limit.rank) + 1 - m_options.leastSharers) / m_options.sharersPerRate;
    const double rate = std::max(limit.rate, m_options.leastRate).perSecond();
    if (!limit.endedAt || needed <= rate)
        return limit.refilledAt;
    const double steps = m_options.heldSteps + std::log2(needed / rate);
    return *limit.endedAt + scaled(m_options.recoveryStep, steps);
}

double ServerLimits::tokensOf(const Limit &limit, MonotonicTime now) const
{
    const double sharers = sharersOf(limit, now);
    if (static_cast<double>(limit.rank) >= sharers)
        return 0;
    const double share = acceptedRate(limit, now).perSecond() / sharers;
    const double most = std::max(m_options.leastBurst, share * toSeconds(m_options.burst));
    const MonotonicTime since = sharesSince(limit);
    const double first = since > limit.refilledAt ? m_options.firstTokens : limit.tokens;
    const Duration saved = now - std::max(since, limit.refilledAt);
    return std::min(most, first + share * toSeconds(std::max(Duration::zero(), saved)));
}

void ServerLimits::refill(Limit &limit, MonotonicTime now) const
{
    limit.tokens = tokensOf(limit, now);
    limit.refilledAt = now;
}

// The turns count from the last statement, which the daemons know alike; a turn that passes without
// a request is lost, so that no crowd of daemons is due at once.
bool ServerLimits::hasTurn(const Limit &limit, MonotonicTime now) const
{
    const MonotonicTime start = limit.statedAt + m_options.askAfter;
    if (now < start)
        return false;
    const auto turns = m_options.turnsPerDaemon
        * static_cast<std::int64_t>(std::max<std::size_t>(1, m_daemons.size()));
    if (limit.askedAt && now - *limit.askedAt < m_options.turn * turns)
        return false;
    return (now - start) / m_options.turn % turns == static_cast<std::int64_t>(limit.rank) % turns;
}

bool ServerLimits::admits(const HostId &host, MonotonicTime now) const
{
    const auto known = m_limits.find(host);
    if (known == m_limits.end() || isOver(known->second, now))
        return true;
    const Limit &limit = known->second;
    return tokensOf(limit, now) >= 1 || hasTurn(limit, now);
}

void ServerLimits::take(const HostId &host, MonotonicTime now)
{
    const auto known = m_limits.find(host);
    if (known == m_limits.end())
        return;
    Limit &limit = known->second;
    refill(limit, now);
    limit.tokens = std::max(0.0, limit.tokens - 1);
    limit.askedAt = now;
}

std::optional<RequestRate> ServerLimits::rateOf(const HostId &host, MonotonicTime now) const
{
    const auto known = m_limits.find(host);
    if (known == m_limits.end() || isOver(known->second, now))
        return std::nullopt;
    return acceptedRate(known->second, now);
}

void ServerLimits::forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now)
{
    eraseIf(m_limits, [&](const auto &entry) {
        const Limit &limit = entry.second;
        if (limit.endedAt && now - *limit.endedAt > m_options.endedMemory)
            return true;
        return now - limit.statedAt > m_options.goneMemory && !exists(entry.first);
    });
}

std::vector<ServerLimitState> ServerLimits::states(MonotonicTime now) const
{
    std::vector<ServerLimitState> all;
    for (const auto &[host, limit] : m_limits) {
        if (isOver(limit, now))
            continue;
        all.push_back({ host, acceptedRate(limit, now), now - limit.statedAt,
                        limit.endedAt.has_value(),
                        static_cast<double>(limit.rank) < sharersOf(limit, now) });
    }
    return all;
}

} // namespace ramphinge
