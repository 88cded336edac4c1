// Requests that crash servers: see quarantine.h.

#include "ramphinge/quarantine/quarantine.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Crashes of servers that ran one request and that no other request explains so far.
struct Suspect
{
    Fingerprint fingerprint;
    std::set<HostId> servers;
};

} // namespace

bool Quarantine::contains(const Fingerprint &fingerprint) const
{
    return !m_merged.empty() && quarantinedFingerprints().count(fingerprint) > 0;
}

// Repeatedly attributes crashes to the request with the most unexplained ones. Of several
// with equally many, all are quarantined: only a further crash can show which one is the cause.
const std::set<Fingerprint> &Quarantine::quarantinedFingerprints() const
{
    if (!std::exchange(m_quarantinedIsStale, false))
        return m_quarantined;
    m_quarantined.clear();
    std::vector<Suspect> suspects;
    for (const Fingerprint &fingerprint : m_candidates)
        suspects.push_back({ fingerprint, m_merged.at(fingerprint).countedCrashes() });
    while (true) {
        std::size_t maxCrashes = 0;
        for (const Suspect &suspect : suspects)
            maxCrashes = std::max(maxCrashes, suspect.servers.size());
        if (maxCrashes < static_cast<std::size_t>(m_options.crashesToQuarantine))
            return m_quarantined;
        std::set<HostId> explained;
        for (const Suspect &suspect : suspects) {
            if (suspect.servers.size() < maxCrashes)
                continue;
            m_quarantined.insert(suspect.fingerprint);
            explained.insert(suspect.servers.begin(), suspect.servers.end());
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
    const bool wasQuarantined = contains(request.fingerprint);
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
    return !wasQuarantined && contains(request.fingerprint);
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

void Quarantine::applyReport(const CrashReportSource &source, CrashReport report, MonotonicTime now)
{
    const CrashReport before = std::exchange(m_reports[source], std::move(report));
    const CrashReport &after = m_reports[source];
    std::set<Fingerprint> changed;
    for (const auto &[fingerprint, record] : before) {
        if (after.count(fingerprint) == 0)
            changed.insert(fingerprint);
    }
    for (const auto &[fingerprint, record] : after) {
        const auto known = before.find(fingerprint);
        if (known == before.end() || !known->second.hasSameServers(record))
            changed.insert(fingerprint);
    }
    for (const Fingerprint &fingerprint : changed) {
        setReporter(fingerprint, source, after.count(fingerprint) > 0);
        updateMerged(fingerprint);
        if (wasRecentlyAnswered(fingerprint, now))
            excuse(fingerprint, now);
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
        updateMerged(fingerprint);
    }
    m_ownAddedVersion = ++m_ownVersion;
}

void Quarantine::expire(MonotonicTime now)
{
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

CrashReport Quarantine::quarantinedRequests() const
{
    CrashReport requests;
    for (const Fingerprint &fingerprint : quarantinedFingerprints())
        requests[fingerprint] = m_merged.at(fingerprint);
    return requests;
}

// Makes room for another own record by dropping the oldest one if a limit is reached: the oldest of
// the account if the account's limit is reached.
void Quarantine::makeRoom(const AccountId &account)
{
    const auto ofAccount =
        static_cast<std::size_t>(std::count_if(m_own.begin(), m_own.end(), [&](const auto &entry) {
            return entry.second.account == account;
        }));
    const bool isAccountFull = ofAccount >= m_options.maxRequestsPerAccount;
    if (!isAccountFull && m_own.size() < m_options.maxRequests)
        return;
    std::optional<Fingerprint> oldest;
    for (const auto &[fingerprint, seenAt] : m_ownSeenAt) {
        const bool isEvictable = !isAccountFull || m_own[fingerprint].account == account;
        if (isEvictable && (!oldest || seenAt < m_ownSeenAt[*oldest]))
            oldest = fingerprint;
    }
    if (oldest)
        drop(*oldest);
}

void Quarantine::drop(const Fingerprint &fingerprint)
{
    m_own.erase(fingerprint);
    m_ownSeenAt.erase(fingerprint);
    ++m_ownVersion;
    updateMerged(fingerprint);
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
    const bool wasCandidate = m_candidates.erase(fingerprint) > 0;
    const bool isCandidate = crashes >= m_options.crashesToQuarantine;
    if (isCandidate)
        m_candidates.insert(fingerprint);
    m_quarantinedIsStale = m_quarantinedIsStale || wasCandidate || isCandidate;
    if (crashes > 0)
        m_merged[fingerprint] = std::move(merged);
    else
        m_merged.erase(fingerprint);
}

} // namespace ramphinge
