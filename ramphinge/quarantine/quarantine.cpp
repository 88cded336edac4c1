// What crashes servers: see quarantine.h.

#include "ramphinge/quarantine/quarantine.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Harmful parts that are expected at the same time.
constexpr int maxSimultaneousCauses = 3;

// A suspect with its crashes that nothing else explains so far.
struct Suspect
{
    Fingerprint fingerprint;
    bool isPart = false;
    bool wasSound = false; // A part that this daemon knows to have been sound.
    int interruptedRequests = 0;
    std::size_t threshold = 0; // Crashes that quarantine it.
    std::set<HostId> servers;

    bool isCandidate() const { return servers.size() >= threshold; }
};

// Whether `a` is the likelier cause: it explains more crashes, where those of a part that was sound
// before weigh half, or it interrupts fewer requests that may be sound.
bool isLikelier(const Suspect &a, const Suspect &b)
{
    const auto weight = [](const Suspect &suspect) {
        return suspect.servers.size() * (suspect.wasSound ? 1 : 2);
    };
    if (weight(a) != weight(b))
        return weight(a) > weight(b);
    if (a.isPart != b.isPart)
        return b.isPart;
    return a.isPart && a.interruptedRequests < b.interruptedRequests;
}

std::size_t countCommon(const std::set<HostId> &a, const std::set<HostId> &b)
{
    return static_cast<std::size_t>(
        std::count_if(a.begin(), a.end(), [&b](const HostId &host) { return b.count(host) > 0; }));
}

// Whether few parts that interrupted fewer requests explain all crashes of a part that was sound,
// but for fewer than would quarantine it. Blaming it would hold back requests that were answered.
bool isExplainedByNarrowerParts(const Suspect &part, const std::vector<Suspect> &suspects)
{
    if (!part.isPart || !part.wasSound)
        return false;
    std::set<HostId> unexplained = part.servers;
    for (int cause = 0; cause < maxSimultaneousCauses; ++cause) {
        const Suspect *best = nullptr;
        std::size_t bestCount = 0;
        for (const Suspect &other : suspects) {
            const bool isNarrower = other.isPart && other.isCandidate()
                && other.interruptedRequests < part.interruptedRequests;
            const std::size_t count = isNarrower ? countCommon(unexplained, other.servers) : 0;
            if (count > bestCount) {
                best = &other;
                bestCount = count;
            }
        }
        if (best == nullptr)
            return false;
        for (const HostId &server : best->servers)
            unexplained.erase(server);
        if (unexplained.size() < part.threshold)
            return true;
    }
    return false;
}

// The likeliest suspects. Several if only a further crash can show which one is the
// cause.
std::vector<const Suspect *> likeliestCauses(const std::vector<Suspect> &suspects)
{
    std::vector<const Suspect *> best;
    for (const Suspect &suspect : suspects) {
        if (!suspect.isCandidate() || isExplainedByNarrowerParts(suspect, suspects))
            continue;
        if (best.empty() || isLikelier(suspect, *best.front()))
            best = { &suspect };
        else if (!isLikelier(*best.front(), suspect))
            best.push_back(&suspect);
    }
    return best;
}

} // namespace

bool Quarantine::quarantinesNothing() const
{
    return m_candidates.empty() || quarantinedFingerprints().empty();
}

bool Quarantine::contains(const Fingerprint &fingerprint) const
{
    return !m_candidates.empty() && quarantinedFingerprints().count(fingerprint) > 0;
}

std::vector<Fingerprint> Quarantine::causesIn(const SuspectRequest &request) const
{
    std::vector<Fingerprint> causes;
    if (contains(request.fingerprint))
        causes.push_back(request.fingerprint);
    for (const Fingerprint &part : request.parts) {
        if (contains(part))
            causes.push_back(part);
    }
    return causes;
}

int Quarantine::crashesToQuarantine(const Fingerprint &fingerprint, const CrashRecord &merged) const
{
    if (!isOfPromptPart(fingerprint))
        return m_options.crashesToQuarantine;
    int crashes = m_options.crashesToQuarantinePart;
    const int servers = std::max(1, static_cast<int>(merged.ended.size()));
    for (int perCrash = merged.interruptedRequests / servers; perCrash >= 2; perCrash /= 2)
        ++crashes;
    return crashes;
}

// Repeatedly attributes the crashes that are left to the likeliest suspect.
const std::set<Fingerprint> &Quarantine::quarantinedFingerprints() const
{
    if (!std::exchange(m_quarantinedIsStale, false))
        return m_quarantined;
    m_quarantined.clear();
    std::vector<Suspect> suspects;
    for (const Fingerprint &fingerprint : m_candidates) {
        const CrashRecord &record = m_merged.at(fingerprint);
        const bool isPart = isOfPromptPart(fingerprint);
        suspects.push_back({ fingerprint, isPart,
                             isPart && m_soundParts.soundAt(fingerprint).has_value(),
                             record.interruptedRequests,
                             static_cast<std::size_t>(crashesToQuarantine(fingerprint, record)),
                             countedCrashes(fingerprint, record) });
    }
    while (true) {
        const std::vector<const Suspect *> causes = likeliestCauses(suspects);
        if (causes.empty())
            return m_quarantined;
        std::set<HostId> explained;
        for (const Suspect *cause : causes) {
            m_quarantined.insert(cause->fingerprint);
            explained.insert(cause->servers.begin(), cause->servers.end());
        }
        for (Suspect &suspect : suspects) {
            for (const HostId &server : explained)
                suspect.servers.erase(server);
        }
    }
}

bool Quarantine::noteCrash(const SuspectRequest &request, const HostId &server, MonotonicTime now,
                           WallTime wallNow)
{
    m_now = std::max(m_now, now);
    const bool wasQuarantined = contains(request);
    if (m_own.count(request.fingerprint) == 0)
        makeRoom(request.account);
    CrashRecord &record = m_own[request.fingerprint];
    record.account = request.account;
    record.route = request.route;
    record.ended.insert(server);
    record.lastSeen = wallNow;
    m_ownSeenAt[request.fingerprint] = now;
    m_ownAddedVersion = ++m_ownVersion;
    updateMerged(request.fingerprint);
    if (wasRecentlyAnswered(request.fingerprint, now))
        excuse(request.fingerprint, now);
    for (const Fingerprint &part : request.parts) {
        DeferredCrash crash { part, server, request.route, now, wallNow };
        if (!m_soundParts.soundAt(part))
            notePartCrash(crash, now);
        else if (m_deferredCrashes.size() < m_options.maxDeferredCrashes)
            m_deferredCrashes.push_back(std::move(crash));
    }
    return !wasQuarantined && contains(request);
}

void Quarantine::notePartCrash(const DeferredCrash &crash, MonotonicTime now)
{
    if (m_own.count(crash.part) == 0)
        makeRoomForPart();
    CrashRecord &record = m_own[crash.part];
    record.route = crash.route;
    record.ended.insert(crash.server);
    record.lastSeen = std::max(record.lastSeen, crash.seenAt);
    ++record.interruptedRequests;
    m_ownSeenAt[crash.part] = now;
    m_ownAddedVersion = ++m_ownVersion;
    m_partCrashes[crash.part].emplace(crash.server, PartCrash { crash.crashedAt, now });
    updateMerged(crash.part);
}

void Quarantine::advance(MonotonicTime now)
{
    m_now = std::max(m_now, now);
    while (!m_deferredCrashes.empty()
           && now - m_deferredCrashes.front().crashedAt >= m_options.partEvidenceTime) {
        const DeferredCrash crash = std::move(m_deferredCrashes.front());
        m_deferredCrashes.erase(m_deferredCrashes.begin());
        notePartCrash(crash, now);
    }
    while (!m_countingLater.empty() && m_countingLater.begin()->first <= now) {
        const Fingerprint part = m_countingLater.begin()->second;
        m_countingLater.erase(m_countingLater.begin());
        updateMerged(part);
    }
}

bool Quarantine::notePartsSound(const std::vector<Fingerprint> &parts, MonotonicTime begunAt,
                                MonotonicTime now)
{
    m_now = std::max(m_now, now);
    bool excused = false;
    for (const Fingerprint &part : parts) {
        m_soundParts.note(part, begunAt);
        m_deferredCrashes.erase(std::remove_if(m_deferredCrashes.begin(), m_deferredCrashes.end(),
                                               [&](const DeferredCrash &crash) {
                                                   return crash.part == part
                                                       && crash.crashedAt < begunAt;
                                               }),
                                m_deferredCrashes.end());
        excused = excusePart(part, now) || excused;
    }
    return excused;
}

bool Quarantine::isSoundSince(const Fingerprint &part, const HostId &server) const
{
    const auto crashes = m_partCrashes.find(part);
    if (crashes == m_partCrashes.end())
        return false;
    const auto crash = crashes->second.find(server);
    const std::optional<MonotonicTime> soundAt = m_soundParts.soundAt(part);
    return crash != crashes->second.end() && soundAt && *soundAt > crash->second.crashedAt;
}

// Other daemons may not know that the part is sound. They are only told if their reports would
// otherwise quarantine it: hundreds of daemons may run a part that is in most requests.
bool Quarantine::excusePart(const Fingerprint &part, MonotonicTime now)
{
    const auto merged = m_merged.find(part);
    if (merged == m_merged.end())
        return false;
    std::set<HostId> excused;
    for (const HostId &server : merged->second.countedCrashes()) {
        if (isSoundSince(part, server))
            excused.insert(server);
    }
    if (excused.empty())
        return false;
    const bool mustTell = m_reporters.count(part) > 0
        && merged->second.crashCount() >= m_options.crashesToQuarantinePart;
    if (const auto own = m_own.find(part); own != m_own.end()) {
        eraseIf(own->second.ended, [&](const HostId &server) { return excused.count(server) > 0; });
        if (own->second.ended.empty() && own->second.excused.empty() && !mustTell) {
            m_own.erase(own);
            m_ownSeenAt.erase(part);
        }
        ++m_ownVersion;
    }
    if (mustTell) {
        if (m_own.count(part) == 0)
            makeRoomForPart();
        CrashRecord &record = m_own[part];
        record.route = merged->second.route;
        record.excused.insert(excused.begin(), excused.end());
        m_ownSeenAt[part] = now;
        m_ownAddedVersion = ++m_ownVersion;
    }
    updateMerged(part);
    return true;
}

bool Quarantine::noteCompleteAnswer(const Fingerprint &fingerprint, MonotonicTime now)
{
    if (m_answeredAt.size() < m_options.maxAnswers || m_answeredAt.count(fingerprint) > 0)
        m_answeredAt[fingerprint] = now;
    return excuse(fingerprint, now);
}

bool Quarantine::wasRecentlyAnswered(const Fingerprint &fingerprint, MonotonicTime now) const
{
    const auto answered = m_answeredAt.find(fingerprint);
    return answered != m_answeredAt.end() && now - answered->second < m_options.answerExcuseWindow;
}

void Quarantine::setReporter(const Fingerprint &fingerprint, const CrashReportSource &source,
                             bool isReporting)
{
    std::set<CrashReportSource> &reporters = m_reporters[fingerprint];
    if (isReporting)
        reporters.insert(source);
    else
        reporters.erase(source);
    if (reporters.empty())
        m_reporters.erase(fingerprint);
}

// Excuses all crashes of the request that are known now; false if there are none that count.
bool Quarantine::excuse(const Fingerprint &fingerprint, MonotonicTime now)
{
    const auto known = m_merged.find(fingerprint);
    if (known == m_merged.end())
        return false;
    if (m_reporters.count(fingerprint) > 0) {
        CrashRecord record = known->second;
        record.excused.insert(record.ended.begin(), record.ended.end());
        record.ended.clear();
        if (m_own.count(fingerprint) == 0)
            makeRoom(record.account);
        m_own[fingerprint] = std::move(record);
        m_ownSeenAt[fingerprint] = now;
    } else { // Only this daemon reports the crashes, so other daemons drop them with the record.
        m_own.erase(fingerprint);
        m_ownSeenAt.erase(fingerprint);
    }
    ++m_ownVersion;
    if (m_own.count(fingerprint) > 0)
        m_ownAddedVersion = m_ownVersion;
    updateMerged(fingerprint);
    return true;
}

void Quarantine::applyReport(const CrashReportSource &source, CrashReport report, MonotonicTime now,
                             WallTime wallNow)
{
    m_now = std::max(m_now, now);
    const CrashReport before = std::exchange(m_reports[source], std::move(report));
    const CrashReport &after = m_reports[source];
    std::set<Fingerprint> changed;
    for (const auto &[fingerprint, record] : before) {
        if (after.count(fingerprint) == 0)
            changed.insert(fingerprint);
    }
    for (const auto &[fingerprint, record] : after) {
        const auto known = before.find(fingerprint);
        if (known == before.end() || !known->second.hasSameCrashes(record))
            changed.insert(fingerprint);
    }
    for (const Fingerprint &fingerprint : changed) {
        const auto reported = after.find(fingerprint);
        setReporter(fingerprint, source, reported != after.end());
        const bool isPart = isOfPromptPart(fingerprint);
        if (isPart && reported != after.end()) {
            const Duration age = wallNow - reported->second.lastSeen;
            setCrashTimes(fingerprint, reported->second,
                          now - std::clamp(age, Duration::zero(), m_options.maxReportAge));
        }
        updateMerged(fingerprint);
        if (isPart)
            excusePart(fingerprint, now);
        else if (wasRecentlyAnswered(fingerprint, now))
            excuse(fingerprint, now);
    }
}

void Quarantine::setCrashTimes(const Fingerprint &part, const CrashRecord &record,
                               MonotonicTime crashedAt)
{
    const bool isSound = m_soundParts.soundAt(part).has_value();
    const MonotonicTime countsFrom = isSound ? crashedAt + m_options.partEvidenceTime : crashedAt;
    for (const HostId &server : record.countedCrashes()) {
        const bool isNew =
            m_partCrashes[part].emplace(server, PartCrash { crashedAt, countsFrom }).second;
        if (isNew && countsFrom > m_now)
            m_countingLater.emplace(countsFrom, part);
    }
}

void Quarantine::removeReport(const CrashReportSource &source)
{
    const auto found = m_reports.find(source);
    if (found == m_reports.end())
        return;
    const CrashReport report = std::move(found->second);
    m_reports.erase(found);
    for (const auto &[fingerprint, record] : report) {
        setReporter(fingerprint, source, false);
        updateMerged(fingerprint);
    }
}

void Quarantine::adopt(const CrashReport &report, MonotonicTime now)
{
    for (const auto &[fingerprint, record] : report) {
        m_own[fingerprint].merge(record);
        m_ownSeenAt.emplace(fingerprint, now);
        if (isOfPromptPart(fingerprint))
            setCrashTimes(fingerprint, record, now);
        updateMerged(fingerprint);
    }
    m_ownAddedVersion = ++m_ownVersion;
}

void Quarantine::expire(MonotonicTime now)
{
    advance(now);
    std::vector<Fingerprint> expired;
    for (const auto &[fingerprint, seenAt] : m_ownSeenAt) {
        const bool excuses = !m_own[fingerprint].excused.empty();
        if (now - seenAt >= (excuses ? m_options.excuseRetention : m_options.suspicionRetention))
            expired.push_back(fingerprint);
    }
    for (const Fingerprint &fingerprint : expired)
        drop(fingerprint);
    eraseIf(m_answeredAt,
            [&](const auto &entry) { return now - entry.second >= m_options.answerExcuseWindow; });
}

CrashReport Quarantine::quarantined() const
{
    CrashReport suspects;
    for (const Fingerprint &fingerprint : quarantinedFingerprints())
        suspects[fingerprint] = m_merged.at(fingerprint);
    return suspects;
}

SuspectCounts Quarantine::suspectCounts() const
{
    SuspectCounts counts;
    for (const auto &[fingerprint, record] : m_merged)
        ++(isOfPromptPart(fingerprint) ? counts.parts : counts.requests);
    for (const Fingerprint &fingerprint : quarantinedFingerprints())
        ++(isOfPromptPart(fingerprint) ? counts.quarantinedParts : counts.quarantinedRequests);
    return counts;
}

// Makes room for another own record by dropping the oldest one if a limit is reached: the oldest of
// the account if the account's limit is reached.
void Quarantine::makeRoom(const AccountId &account)
{
    std::size_t requests = 0;
    std::size_t ofAccount = 0;
    for (const auto &[fingerprint, record] : m_own) {
        if (isOfPromptPart(fingerprint))
            continue;
        ++requests;
        ofAccount += record.account == account ? 1 : 0;
    }
    const bool isAccountFull = ofAccount >= m_options.maxRequestsPerAccount;
    if (!isAccountFull && requests < m_options.maxRequests)
        return;
    std::optional<Fingerprint> oldest;
    for (const auto &[fingerprint, seenAt] : m_ownSeenAt) {
        const bool isEvictable = !isOfPromptPart(fingerprint)
            && (!isAccountFull || m_own[fingerprint].account == account);
        if (isEvictable && (!oldest || seenAt < m_ownSeenAt[*oldest]))
            oldest = fingerprint;
    }
    if (oldest)
        drop(*oldest);
}

// Makes room for another own record of a part by dropping, if the limit is reached, one with the
// fewest crashes: the oldest of them.
void Quarantine::makeRoomForPart()
{
    std::size_t parts = 0;
    std::optional<Fingerprint> weakest;
    const auto strength = [this](const Fingerprint &part) {
        return std::make_pair(m_own[part].ended.size(), m_ownSeenAt[part]);
    };
    for (const auto &[fingerprint, seenAt] : m_ownSeenAt) {
        if (!isOfPromptPart(fingerprint))
            continue;
        ++parts;
        if (!weakest || strength(fingerprint) < strength(*weakest))
            weakest = fingerprint;
    }
    if (weakest && parts >= m_options.maxParts)
        drop(*weakest);
}

void Quarantine::drop(const Fingerprint &fingerprint)
{
    m_own.erase(fingerprint);
    m_ownSeenAt.erase(fingerprint);
    ++m_ownVersion;
    updateMerged(fingerprint);
}

std::set<HostId> Quarantine::countedCrashes(const Fingerprint &fingerprint,
                                            const CrashRecord &merged) const
{
    std::set<HostId> counted = merged.countedCrashes();
    const auto crashes = m_partCrashes.find(fingerprint);
    if (crashes == m_partCrashes.end())
        return counted;
    eraseIf(counted, [&](const HostId &server) {
        const auto crash = crashes->second.find(server);
        const bool countsLater = crash != crashes->second.end() && crash->second.countsFrom > m_now;
        return countsLater || isSoundSince(fingerprint, server);
    });
    return counted;
}

// Keeps the times of the crashes that `merged` has.
void Quarantine::forgetCrashTimes(const Fingerprint &part, const CrashRecord &merged)
{
    const auto crashes = m_partCrashes.find(part);
    if (crashes == m_partCrashes.end())
        return;
    eraseIf(crashes->second,
            [&](const auto &crash) { return merged.ended.count(crash.first) == 0; });
    if (crashes->second.empty())
        m_partCrashes.erase(crashes);
}

void Quarantine::updateMerged(const Fingerprint &fingerprint)
{
    CrashRecord merged;
    if (const auto own = m_own.find(fingerprint); own != m_own.end())
        merged.merge(own->second);
    if (const auto reporters = m_reporters.find(fingerprint); reporters != m_reporters.end()) {
        for (const CrashReportSource &source : reporters->second)
            merged.merge(m_reports.at(source).at(fingerprint));
    }
    ++m_version;
    const int crashes = merged.crashCount();
    if (isOfPromptPart(fingerprint))
        forgetCrashTimes(fingerprint, merged);
    const bool wasCandidate = m_candidates.erase(fingerprint) > 0;
    const bool isCandidate = static_cast<int>(countedCrashes(fingerprint, merged).size())
        >= crashesToQuarantine(fingerprint, merged);
    if (isCandidate)
        m_candidates.insert(fingerprint);
    m_quarantinedIsStale = m_quarantinedIsStale || wasCandidate || isCandidate;
    if (crashes > 0)
        m_merged[fingerprint] = std::move(merged);
    else
        m_merged.erase(fingerprint);
}

} // namespace ramphinge
