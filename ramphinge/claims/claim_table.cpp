// A slot owner's table of idempotency keys: see claim_table.h.

#include "ramphinge/claims/claim_table.h"

#include "ramphinge/base/hash.h"
#include "ramphinge/claims/key_stamp.h"

namespace ramphinge {

const char *toString(ClaimVerdict verdict)
{
    switch (verdict) {
    case ClaimVerdict::Granted:
        return "granted";
    case ClaimVerdict::InProgress:
        return "in_progress";
    case ClaimVerdict::Ran:
        return "ran";
    case ClaimVerdict::Indeterminate:
        return "indeterminate";
    case ClaimVerdict::CantVouch:
        return "cant_vouch";
    case ClaimVerdict::KeyReused:
        return "key_reused";
    case ClaimVerdict::NotOwner:
        return "not_owner";
    }
    return "not_owner";
}

std::size_t ClaimTable::KeyHash::operator()(const ClaimKey &key) const
{
    return stableHash(key.key.text(), stableHash(key.account.text()));
}

ClaimTable::ClaimTable(ClaimTableOptions options, WallTime soleOwnerSince)
    : m_options(options), m_soleOwnerSince(soleOwnerSince)
{ }

bool ClaimTable::isKnownUngranted(const ClaimKey &key, const Clock &clock) const
{
    const WallTime now = clock.wallNow();
    const auto skew = std::chrono::duration_cast<Milliseconds>(m_options.clockSkew);
    const std::optional<KeyStamp> stamp = parseKeyStamp(key.key);
    if (!stamp) {
        const bool hadNoOtherOwner = m_soleOwnerSince == WallTime();
        const auto horizon =
            std::chrono::duration_cast<Milliseconds>(m_options.opaqueKeyRetryWindow);
        return hadNoOtherOwner || m_soleOwnerSince + horizon <= now;
    }
    const auto retention = std::chrono::duration_cast<Milliseconds>(m_options.retention);
    const bool isFromTheFuture = stamp->createdAt > now + skew;
    const bool mayBeExpired = stamp->createdAt < now - retention;
    const bool mayPredateOwner =
        m_soleOwnerSince != WallTime() && stamp->createdAt <= m_soleOwnerSince + 2 * skew;
    return !isFromTheFuture && !mayBeExpired && !mayPredateOwner;
}

ClaimAnswer ClaimTable::claim(const ClaimAttempt &attempt, Duration mayActFor, const Clock &clock)
{
    if (mayActFor <= Duration::zero())
        return { ClaimVerdict::NotOwner, {}, std::nullopt };
    removeExpired(clock);
    const auto found = m_index.find(attempt.key);
    if (found != m_index.end()) {
        const Entry &entry = *found->second;
        if (entry.record.attempt.fingerprint != attempt.fingerprint)
            return { ClaimVerdict::KeyReused, {}, std::nullopt };
        return { entry.record.state, {}, entry.answer };
    }
    if (!isKnownUngranted(attempt.key, clock))
        return { ClaimVerdict::CantVouch, {}, std::nullopt };
    if (m_entries.size() >= m_options.maxEntries)
        removeOldest();
    m_entries.push_back({ { attempt, ClaimVerdict::InProgress, clock.wallNow() }, {} });
    m_index[attempt.key] = std::prev(m_entries.end());
    return { ClaimVerdict::Granted, std::min(m_options.sendWindow, mayActFor), std::nullopt };
}

void ClaimTable::settle(const ClaimAttempt &attempt, ClaimOutcome outcome,
                        std::optional<KeptAnswer> answer, const Clock &clock)
{
    auto found = m_index.find(attempt.key);
    const bool isOtherAttempt =
        found != m_index.end() && found->second->record.attempt.claimant != attempt.claimant;
    if (isOtherAttempt)
        return;
    if (outcome == ClaimOutcome::NotSent) {
        if (found == m_index.end() || found->second->record.state != ClaimVerdict::InProgress)
            return;
        m_entries.erase(found->second);
        m_index.erase(found);
        return;
    }
    if (found == m_index.end()) {
        m_entries.push_back({ { attempt, ClaimVerdict::InProgress, clock.wallNow() }, {} });
        found = m_index.emplace(attempt.key, std::prev(m_entries.end())).first;
    }
    Entry &entry = *found->second;
    entry.record.state =
        outcome == ClaimOutcome::Ran ? ClaimVerdict::Ran : ClaimVerdict::Indeterminate;
    keep(entry, std::move(answer));
}

void ClaimTable::keep(Entry &entry, std::optional<KeptAnswer> answer)
{
    if (entry.answer)
        m_answerBytes -= entry.answer->body.size();
    entry.answer.reset();
    if (!answer || answer->body.size() > m_options.maxKeptAnswerBytes)
        return;
    m_answerBytes += answer->body.size();
    entry.answer = std::move(answer);
    for (Entry &older : m_entries) {
        if (m_answerBytes <= m_options.maxKeptBytes)
            break;
        if (older.answer)
            m_answerBytes -= older.answer->body.size();
        older.answer.reset();
    }
}

void ClaimTable::removeExpired(const Clock &clock)
{
    // A stamped key older than the retention is refused, so its entry is no longer needed. The skew
    // covers keys stamped by a clock ahead of this one.
    const auto age = std::chrono::duration_cast<Milliseconds>(
        m_options.retention + m_options.opaqueKeyRetryWindow + 2 * m_options.clockSkew);
    while (!m_entries.empty() && m_entries.front().record.at < clock.wallNow() - age)
        removeOldest();
}

void ClaimTable::removeOldest()
{
    const Entry &oldest = m_entries.front();
    if (oldest.answer)
        m_answerBytes -= oldest.answer->body.size();
    // Neither the removed key nor any key created before it can be known as ungranted any more.
    m_soleOwnerSince = std::max(m_soleOwnerSince, oldest.record.at);
    m_index.erase(oldest.record.attempt.key);
    m_entries.pop_front();
}

void ClaimTable::recordGrant(const ClaimAttempt &attempt, const Clock &clock)
{
    if (m_index.count(attempt.key) > 0)
        return;
    if (m_entries.size() >= m_options.maxEntries)
        removeOldest();
    m_entries.push_back({ { attempt, ClaimVerdict::InProgress, clock.wallNow() }, {} });
    m_index[attempt.key] = std::prev(m_entries.end());
}

std::vector<ClaimRecord> ClaimTable::records() const
{
    std::vector<ClaimRecord> all;
    all.reserve(m_entries.size());
    for (const Entry &entry : m_entries)
        all.push_back(entry.record);
    return all;
}

void ClaimTable::adopt(const std::vector<ClaimRecord> &records)
{
    for (const ClaimRecord &record : records) {
        if (m_index.count(record.attempt.key) > 0)
            continue;
        m_entries.push_back({ record, std::nullopt });
        m_index[record.attempt.key] = std::prev(m_entries.end());
    }
}

} // namespace ramphinge
