// Beliefs of what can be reached: see reachability.h.

#include "ramphinge/reachability/reachability.h"

#include <algorithm>
#include <utility>

#include "ramphinge/base/erase_if.h"
#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

// Updates that wait to be sent, of each kind; more are dropped, since beliefs are renewed.
constexpr std::size_t maxPending = 256;
// Subjects whose last news is kept; beyond, those are dropped that are too old to repeat.
constexpr std::size_t maxLastNews = 16 * 1024;

} // namespace

const char *toString(ReachabilityScope scope)
{
    return scope == ReachabilityScope::Host ? "host" : "zone";
}

const char *toString(ReachabilityChange change)
{
    switch (change) {
    case ReachabilityChange::Unreachable:
        return "unreachable";
    case ReachabilityChange::Reachable:
        return "reachable";
    case ReachabilityChange::Lapsed:
        return "lapsed";
    }
    return "";
}

const char *toString(ReachabilitySource source)
{
    return source == ReachabilitySource::Own ? "own" : "told";
}

const char *toString(ReachabilityVerdict verdict)
{
    switch (verdict) {
    case ReachabilityVerdict::Applied:
        return "applied";
    case ReachabilityVerdict::Forwarded:
        return "forwarded";
    case ReachabilityVerdict::Repeated:
        return "repeated";
    case ReachabilityVerdict::Outdated:
        return "outdated";
    case ReachabilityVerdict::UnknownHost:
        return "unknown_host";
    case ReachabilityVerdict::Invalid:
        return "invalid";
    }
    return "";
}

void Reachability::setDaemons(const DaemonId &self, const ZoneId &zone,
                              const std::vector<DaemonId> &daemonsOfZone)
{
    std::vector<DaemonId> daemons = daemonsOfZone;
    daemons.push_back(self);
    std::sort(daemons.begin(), daemons.end());
    daemons.erase(std::unique(daemons.begin(), daemons.end()), daemons.end());
    const bool isSame = self == m_self && zone == m_ownZone && daemons == m_daemons;
    if (isSame)
        return;
    m_self = self;
    m_ownZone = zone;
    m_daemons = std::move(daemons);
}

void Reachability::setHosts(const std::map<HostId, ZoneId> &hosts)
{
    const bool isSame = hosts.size() == m_hosts.size()
        && std::equal(hosts.begin(), hosts.end(), m_hosts.begin(),
                      [](const auto &a, const auto &b) {
                          return a.first == b.first && a.second == b.second.zone;
                      });
    if (isSame)
        return;
    std::map<HostId, Host> kept = std::move(m_hosts);
    std::map<ZoneId, Zone> keptZones = std::move(m_zones);
    m_hosts.clear();
    m_zones.clear();
    for (const auto &[id, zone] : hosts) {
        const auto known = kept.find(id);
        const bool isKept = known != kept.end() && known->second.zone == zone;
        m_hosts[id] = isKept ? known->second : Host { zone, {} };
        m_zones[zone].hosts.push_back(id);
    }
    for (auto &[id, zone] : m_zones)
        zone.path = keptZones[id].path;
    eraseIf(m_lastNews, [this](const auto &entry) {
        return !entry.first.host.empty() && m_hosts.count(entry.first.host) == 0;
    });
}

std::size_t Reachability::rankOf(const std::string &subject) const
{
    const std::uint64_t key = stableHash(subject);
    const std::uint64_t own = rendezvousScore(key, m_self.text());
    return static_cast<std::size_t>(
        std::count_if(m_daemons.begin(), m_daemons.end(), [&](const DaemonId &daemon) {
            return rendezvousScore(key, daemon.text()) > own;
        }));
}

bool Reachability::isInDoubt(const Path &path, MonotonicTime now) const
{
    return path.failedAt > path.reachedAt && now - path.failedAt < m_options.doubtDuration;
}

bool Reachability::isInDoubt(const HostId &host, MonotonicTime now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return false;
    return isInDoubt(found->second.path, now)
        || isInDoubt(m_zones.at(found->second.zone).path, now);
}

bool Reachability::isUnreachable(const HostId &host, MonotonicTime now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return false;
    return found->second.path.isUnreachable(now)
        || m_zones.at(found->second.zone).path.isUnreachable(now);
}

bool Reachability::admits(const HostId &host, MonotonicTime now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return true;
    const auto admitsPath = [this, now](const Path &path) {
        return !path.isUnreachable(now) && !(isInDoubt(path, now) && path.trialUntil > now);
    };
    return admitsPath(found->second.path) && admitsPath(m_zones.at(found->second.zone).path);
}

MonotonicTime Reachability::failedAt(const HostId &host, MonotonicTime now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return {};
    const Path &own = found->second.path;
    const Path &zone = m_zones.at(found->second.zone).path;
    if (isInDoubt(own, now))
        return own.failedAt;
    return isInDoubt(zone, now) ? zone.failedAt : MonotonicTime();
}

void Reachability::noteSent(const HostId &host, MonotonicTime now)
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end())
        return;
    for (Path *path : { &found->second.path, &m_zones.at(found->second.zone).path }) {
        if (isInDoubt(*path, now))
            path->trialUntil = now + m_options.trialTimeout;
    }
}

void Reachability::noteReached(const HostId &host, MonotonicTime now)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        applyReached(found->second, host, now, now, ReachabilitySource::Own);
}

void Reachability::noteTimedOut(const HostId &host, MonotonicTime startedAt, MonotonicTime now)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        applyFailure(found->second, host, startedAt, now, ReachabilitySource::Own);
}

// A server that restarts resets its connections and is reachable again at once, so a reset is no
// reason to shut it out, nor to doubt its zone.
void Reachability::noteReset(const HostId &host, MonotonicTime now)
{
    const auto found = m_hosts.find(host);
    if (found != m_hosts.end())
        found->second.path.failedAt = now;
}

void Reachability::applyReached(Host &host, const HostId &id, MonotonicTime at, MonotonicTime now,
                                ReachabilitySource source)
{
    Zone &zone = m_zones.at(host.zone);
    const bool endsZone = zone.path.isUnreachable(now) && zone.path.failedAt <= at;
    for (Path *path : { &host.path, &zone.path }) {
        path->reachedAt = std::max(path->reachedAt, at);
        if (path->failedAt > at)
            continue; // A newer failure.
        const bool wasUnreachable = path->isUnreachable(now);
        path->unreachableUntil = {};
        path->trialUntil = {};
        if (!wasUnreachable)
            continue;
        const ReachabilityScope scope =
            path == &host.path ? ReachabilityScope::Host : ReachabilityScope::Zone;
        addEvent(*path, { scope, id, host.zone, ReachabilityChange::Reachable, source, now - at });
        if (source == ReachabilitySource::Own)
            tell(*path, scope, id, true, at, now);
    }
    if (!endsZone)
        return;
    // Its hosts failed with it. They stay in doubt until something arrives from each.
    for (const HostId &other : zone.hosts) {
        Path &path = m_hosts.at(other).path;
        if (path.failedAt <= at)
            path.unreachableUntil = {};
    }
}

void Reachability::applyFailure(Host &host, const HostId &id, MonotonicTime at, MonotonicTime now,
                                ReachabilitySource source)
{
    // Something arrived after the attempt began: the host can be reached, though perhaps not well.
    if (host.path.reachedAt >= at)
        return;
    Zone &zone = m_zones.at(host.zone);
    believeUnreachable(host.path, ReachabilityScope::Host, id, host.zone, at, now, source);
    if (zone.path.reachedAt < at) {
        zone.path.failedAt = std::max(zone.path.failedAt, at);
        zone.path.trialUntil = {};
    }
    const bool concernsZone = zone.path.reachedAt < at
        && (zone.path.isUnreachable(now) || failedHosts(zone, now) >= m_options.hostsForZone);
    if (concernsZone)
        believeUnreachable(zone.path, ReachabilityScope::Zone, id, host.zone, at, now, source);
    if (source == ReachabilitySource::Told)
        return;
    Path &subject = concernsZone ? zone.path : host.path;
    tell(subject, concernsZone ? ReachabilityScope::Zone : ReachabilityScope::Host, id, false, at,
         now);
}

void Reachability::believeUnreachable(Path &path, ReachabilityScope scope, const HostId &id,
                                      const ZoneId &zone, MonotonicTime at, MonotonicTime now,
                                      ReachabilitySource source)
{
    if (!path.isUnreachable(now))
        path.unreachableSince = at;
    path.failedAt = std::max(path.failedAt, at);
    path.trialUntil = {};
    path.unreachableUntil = std::max(path.unreachableUntil, at + m_options.beliefDuration);
    if (path.isUnreachable(now))
        addEvent(path, { scope, id, zone, ReachabilityChange::Unreachable, source, now - at });
}

// Hosts of the zone with a recent failure since something last arrived from the zone.
int Reachability::failedHosts(const Zone &zone, MonotonicTime now) const
{
    return static_cast<int>(
        std::count_if(zone.hosts.begin(), zone.hosts.end(), [&](const HostId &id) {
            const Path &path = m_hosts.at(id).path;
            return path.unreachableUntil > MonotonicTime() && path.failedAt > zone.path.reachedAt
                && now - path.failedAt <= m_options.zoneWindow;
        }));
}

void Reachability::tell(Path &path, ReachabilityScope scope, const HostId &id, bool isReachable,
                        MonotonicTime at, MonotonicTime now)
{
    const MonotonicTime toldAt = isReachable ? path.toldReachableAt : path.toldAt;
    const bool isRepetition = toldAt > MonotonicTime() && now - toldAt < m_options.newsInterval;
    const bool isDropped = scope == ReachabilityScope::Host && m_own.size() >= maxPending;
    if (isRepetition || isDropped)
        return;
    // News of the opposite is no repetition.
    path.toldAt = isReachable ? MonotonicTime() : now;
    path.toldReachableAt = isReachable ? now : MonotonicTime();
    m_own.push_back({ { m_ownZone, id, scope, isReachable, {}, 0 }, at, now, m_options.newsSends });
}

// Adds an event if the belief has changed.
void Reachability::addEvent(Path &path, ReachabilityEvent event)
{
    const bool isUnreachable = event.change == ReachabilityChange::Unreachable;
    if (path.isReported == isUnreachable)
        return;
    path.isReported = isUnreachable;
    m_events.push_back(std::move(event));
}

// Whether the news adds nothing to what was heard of the same subject. Forwarding adds the delay of
// the links to the age, so times that differ little are the same evidence.
bool Reachability::isRepeated(const ReachabilityUpdate &update, const ZoneId &zone,
                              MonotonicTime at)
{
    const bool isZone = update.scope == ReachabilityScope::Zone;
    if (m_lastNews.size() >= maxLastNews) {
        eraseIf(m_lastNews, [&](const auto &entry) {
            return at - entry.second.observedAt > m_options.maxNewsAge + m_options.newsInterval;
        });
    }
    LastNews &last = m_lastNews[{ update.observer, isZone ? HostId() : update.host, zone }];
    const Duration margin =
        update.isReachable == last.isReachable ? m_options.newsInterval : Duration::zero();
    if (last.observedAt > MonotonicTime() && at <= last.observedAt + margin)
        return true;
    last = { at, update.isReachable };
    return false;
}

ReachabilityVerdict Reachability::apply(const ReachabilityUpdate &update, MonotonicTime now)
{
    const bool isValid = update.age >= Duration::zero() && update.hops >= 0
        && update.hops <= m_options.maxHops && !update.observer.empty();
    if (!isValid)
        return ReachabilityVerdict::Invalid;
    if (update.age > m_options.maxNewsAge)
        return ReachabilityVerdict::Outdated;
    const auto found = m_hosts.find(update.host);
    if (found == m_hosts.end())
        return ReachabilityVerdict::UnknownHost;
    Host &host = found->second;
    const MonotonicTime at = now - update.age;
    if (isRepeated(update, host.zone, at))
        return ReachabilityVerdict::Repeated;
    const bool isZone = update.scope == ReachabilityScope::Zone;
    if (update.hops < m_options.maxHops && (isZone || m_forwarded.size() < maxPending)) {
        m_forwarded.push_back({ update, at, now, m_options.newsSends });
        ++m_forwarded.back().update.hops;
    }
    if (update.observer != m_ownZone)
        return ReachabilityVerdict::Forwarded;
    Zone &zone = m_zones.at(host.zone);
    if (update.isReachable) {
        applyReached(host, update.host, at, now, ReachabilitySource::Told);
        return ReachabilityVerdict::Applied;
    }
    Path &subject = isZone ? zone.path : host.path;
    if (subject.reachedAt >= at) { // Something has arrived here since.
        tell(subject, update.scope, update.host, true, subject.reachedAt, now);
        return ReachabilityVerdict::Outdated;
    }
    applyFailure(host, update.host, at, now, ReachabilitySource::Told);
    if (isZone)
        believeUnreachable(zone.path, ReachabilityScope::Zone, update.host, host.zone, at, now,
                           ReachabilitySource::Told);
    return ReachabilityVerdict::Applied;
}

std::vector<ReachabilityUpdate> Reachability::takeUpdates(bool forwards, MonotonicTime now)
{
    std::vector<ReachabilityUpdate> updates;
    takeDue(m_own, updates, now);
    if (forwards)
        takeDue(m_forwarded, updates, now);
    else
        m_forwarded.clear();
    return updates;
}

void Reachability::takeDue(std::vector<Pending> &pending, std::vector<ReachabilityUpdate> &updates,
                           MonotonicTime now) const
{
    std::vector<Pending> kept;
    for (Pending &entry : pending) {
        if (entry.nextAt <= now) {
            entry.update.age = now - entry.observedAt;
            entry.nextAt = now + m_options.newsRepeatInterval;
            --entry.sendsLeft;
            updates.push_back(entry.update);
        }
        if (entry.sendsLeft > 0)
            kept.push_back(std::move(entry));
    }
    pending = std::move(kept);
}

// Counted from the beginning of the belief: failures that others report must not delay a probe.
bool Reachability::shouldProbe(const Path &path, const std::string &subject,
                               MonotonicTime now) const
{
    if (!path.isUnreachable(now) || now - path.unreachableSince < m_options.probeInterval
        || now - path.probedAt < m_options.probeInterval)
        return false;
    const std::size_t rank = rankOf(subject);
    const Duration wait = m_options.probeInterval + m_options.probeStep * static_cast<int>(rank);
    return rank < m_options.probers && now - path.unreachableSince >= wait;
}

// Of a zone, one host at a time is probed, by the daemons that the zone is assigned to.
std::vector<HostId> Reachability::takeProbes(MonotonicTime now)
{
    std::vector<HostId> probes;
    for (auto &[id, zone] : m_zones) {
        if (!shouldProbe(zone.path, id.text(), now))
            continue;
        zone.path.probedAt = now;
        probes.push_back(zone.hosts[zone.nextProbe++ % zone.hosts.size()]);
    }
    for (auto &[id, host] : m_hosts) {
        if (!host.path.isUnreachable(now) || m_zones.at(host.zone).path.isUnreachable(now)
            || !shouldProbe(host.path, id.text(), now))
            continue;
        host.path.probedAt = now;
        probes.push_back(id);
    }
    return probes;
}

std::vector<ReachabilityEvent> Reachability::takeEvents(MonotonicTime now)
{
    const auto addLapse = [this, now](Path &path, ReachabilityScope scope, const HostId &host,
                                      const ZoneId &zone) {
        if (path.isReported && !path.isUnreachable(now))
            addEvent(path,
                     { scope, host, zone, ReachabilityChange::Lapsed, ReachabilitySource::Own,
                       now - path.failedAt });
    };
    for (auto &[id, host] : m_hosts)
        addLapse(host.path, ReachabilityScope::Host, id, host.zone);
    for (auto &[id, zone] : m_zones)
        addLapse(zone.path, ReachabilityScope::Zone, HostId(), id);
    return std::exchange(m_events, {});
}

int Reachability::unreachableHosts(MonotonicTime now) const
{
    return static_cast<int>(std::count_if(m_hosts.begin(), m_hosts.end(), [now](const auto &entry) {
        return entry.second.path.isUnreachable(now);
    }));
}

int Reachability::unreachableZones(MonotonicTime now) const
{
    return static_cast<int>(std::count_if(m_zones.begin(), m_zones.end(), [now](const auto &entry) {
        return entry.second.path.isUnreachable(now);
    }));
}

} // namespace ramphinge
