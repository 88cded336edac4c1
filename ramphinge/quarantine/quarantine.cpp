// Requests that crash servers: see quarantine.h.

#include "ramphinge/quarantine/quarantine.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// Ends under one request that no other explains so far.
struct Unexplained
{
    RequestFingerprint fingerprint;
    std::set<HostId> servers;
};

} // namespace

bool Quarantine::holds(const RequestFingerprint &fingerprint) const
{
    return !m_united.empty() && blamed().count(fingerprint) > 0;
}

// Whoever has the most unexplained ends is blamed for them, again and again. Of several with
// equally many all are blamed: nothing tells yet which of them it is, and the next end will.
const std::set<RequestFingerprint> &Quarantine::blamed() const
{
    if (!std::exchange(m_blamedIsOld, false))
        return m_blamed;
    m_blamed.clear();
    std::vector<Unexplained> suspects;
    for (const RequestFingerprint &fingerprint : m_repeated)
        suspects.push_back({ fingerprint, m_united.at(fingerprint).counting() });
    while (true) {
        std::size_t most = 0;
        for (const Unexplained &suspect : suspects)
            most = std::max(most, suspect.servers.size());
        if (most < static_cast<std::size_t>(m_options.endsToHold))
            return m_blamed;
        std::set<HostId> explained;
        for (const Unexplained &suspect : suspects) {
            if (suspect.servers.size() < most)
                continue;
            m_blamed.insert(suspect.fingerprint);
            explained.insert(suspect.servers.begin(), suspect.servers.end());
        }
        for (Unexplained &suspect : suspects) {
            for (const HostId &server : explained)
                suspect.servers.erase(server);
        }
    }
}

bool Quarantine::noteEnd(const SuspectRequest &request, const HostId &server, MonotonicTime now,
                         WallTime wallNow)
{
    const bool wasHeld = holds(request.fingerprint);
    if (m_own.count(request.fingerprint) == 0)
        makeRoom(request.account);
    CrashRecord &record = m_own[request.fingerprint];
    record.account = request.account;
    record.route = request.route;
    record.ended.insert(server);
    record.lastSeen = wallNow;
    m_ownSeen[request.fingerprint] = now;
    m_ownAddedVersion = ++m_ownVersion;
    unite(request.fingerprint);
    if (isProved(request.fingerprint, now))
        excuse(request.fingerprint, now);
    return !wasHeld && holds(request.fingerprint);
}

bool Quarantine::noteAnswered(const RequestFingerprint &fingerprint, MonotonicTime now)
{
    if (m_answered.size() < m_options.mostAnswers || m_answered.count(fingerprint) > 0)
        m_answered[fingerprint] = now;
    return excuse(fingerprint, now);
}

bool Quarantine::isProved(const RequestFingerprint &fingerprint, MonotonicTime now) const
{
    const auto answered = m_answered.find(fingerprint);
    return answered != m_answered.end() && now - answered->second < m_options.answerProves;
}

void Quarantine::noteTeller(const RequestFingerprint &fingerprint, const CrashReportSource &source,
                            bool tells)
{
    std::set<CrashReportSource> &tellers = m_tellers[fingerprint];
    if (tells)
        tellers.insert(source);
    else
        tellers.erase(source);
    if (tellers.empty())
        m_tellers.erase(fingerprint);
}

// All ends that are known now; false if none counts.
bool Quarantine::excuse(const RequestFingerprint &fingerprint, MonotonicTime now)
{
    const auto known = m_united.find(fingerprint);
    if (known == m_united.end())
        return false;
    if (m_tellers.count(fingerprint) > 0) {
        CrashRecord record = known->second;
        record.excused.insert(record.ended.begin(), record.ended.end());
        record.ended.clear();
        if (m_own.count(fingerprint) == 0)
            makeRoom(record.account);
        m_own[fingerprint] = std::move(record);
        m_ownSeen[fingerprint] = now;
    } else { // Who else reads this daemon's report forgets them with it.
        m_own.erase(fingerprint);
        m_ownSeen.erase(fingerprint);
    }
    ++m_ownVersion;
    if (m_own.count(fingerprint) > 0)
        m_ownAddedVersion = m_ownVersion;
    unite(fingerprint);
    return true;
}

void Quarantine::hear(const CrashReportSource &source, CrashReport report, MonotonicTime now)
{
    const CrashReport before = std::exchange(m_heard[source], std::move(report));
    const CrashReport &after = m_heard[source];
    std::set<RequestFingerprint> changed;
    for (const auto &[fingerprint, record] : before) {
        if (after.count(fingerprint) == 0)
            changed.insert(fingerprint);
    }
    for (const auto &[fingerprint, record] : after) {
        const auto known = before.find(fingerprint);
        if (known == before.end() || !known->second.tellsTheSame(record))
            changed.insert(fingerprint);
    }
    for (const RequestFingerprint &fingerprint : changed) {
        noteTeller(fingerprint, source, after.count(fingerprint) > 0);
        unite(fingerprint);
        if (isProved(fingerprint, now))
            excuse(fingerprint, now);
    }
}

void Quarantine::forget(const CrashReportSource &source)
{
    const auto heard = m_heard.find(source);
    if (heard == m_heard.end())
        return;
    const CrashReport report = std::move(heard->second);
    m_heard.erase(heard);
    for (const auto &[fingerprint, record] : report) {
        noteTeller(fingerprint, source, false);
        unite(fingerprint);
    }
}

void Quarantine::adopt(const CrashReport &report, MonotonicTime now)
{
    for (const auto &[fingerprint, record] : report) {
        m_own[fingerprint].unite(record);
        m_ownSeen.emplace(fingerprint, now);
        unite(fingerprint);
    }
    m_ownAddedVersion = ++m_ownVersion;
}

void Quarantine::expire(MonotonicTime now)
{
    std::vector<RequestFingerprint> old;
    for (const auto &[fingerprint, seenAt] : m_ownSeen) {
        const bool excuses = !m_own[fingerprint].excused.empty();
        if (now - seenAt >= (excuses ? m_options.excuseLasts : m_options.suspicionLasts))
            old.push_back(fingerprint);
    }
    for (const RequestFingerprint &fingerprint : old)
        drop(fingerprint);
    eraseIf(m_answered,
            [&](const auto &entry) { return now - entry.second >= m_options.answerProves; });
}

CrashReport Quarantine::held() const
{
    CrashReport held;
    for (const RequestFingerprint &fingerprint : blamed())
        held[fingerprint] = m_united.at(fingerprint);
    return held;
}

// For one more own record: the oldest one goes, of the same account if that has its share.
void Quarantine::makeRoom(const AccountId &account)
{
    const auto ofAccount =
        static_cast<std::size_t>(std::count_if(m_own.begin(), m_own.end(), [&](const auto &entry) {
            return entry.second.account == account;
        }));
    const bool hasItsShare = ofAccount >= m_options.mostOfAccount;
    if (!hasItsShare && m_own.size() < m_options.mostRequests)
        return;
    std::optional<RequestFingerprint> oldest;
    for (const auto &[fingerprint, seenAt] : m_ownSeen) {
        const bool mayGo = !hasItsShare || m_own[fingerprint].account == account;
        if (mayGo && (!oldest || seenAt < m_ownSeen[*oldest]))
            oldest = fingerprint;
    }
    if (oldest)
        drop(*oldest);
}

void Quarantine::drop(const RequestFingerprint &fingerprint)
{
    m_own.erase(fingerprint);
    m_ownSeen.erase(fingerprint);
    ++m_ownVersion;
    unite(fingerprint);
}

void Quarantine::unite(const RequestFingerprint &fingerprint)
{
    CrashRecord united;
    if (const auto own = m_own.find(fingerprint); own != m_own.end())
        united.unite(own->second);
    if (const auto tellers = m_tellers.find(fingerprint); tellers != m_tellers.end()) {
        for (const CrashReportSource &source : tellers->second)
            united.unite(m_heard.at(source).at(fingerprint));
    }
    ++m_version;
    const int ends = united.ends();
    const bool wasRepeated = m_repeated.erase(fingerprint) > 0;
    const bool isRepeated = ends >= m_options.endsToHold;
    if (isRepeated)
        m_repeated.insert(fingerprint);
    m_blamedIsOld = m_blamedIsOld || wasRepeated || isRepeated;
    if (ends > 0)
        m_united[fingerprint] = std::move(united);
    else
        m_united.erase(fingerprint);
}

} // namespace ramphinge
