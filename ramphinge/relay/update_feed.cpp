// Answers followers' long polls for store changes: see update_feed.h.

#include "ramphinge/relay/update_feed.h"

#include <algorithm>

namespace ramphinge {

MonotonicTime localFreshnessTime(const StoreUpdateMessage &update, MonotonicTime requestedAt,
                                 MonotonicTime now)
{
    return std::min(requestedAt - update.staleness, now);
}

void UpdateFeed::setServing(bool serving)
{
    if (m_serving == serving)
        return;
    m_serving = serving;
    m_logStarted = false; // Earlier changes weren't logged: the next listing or batch restarts it.
    m_hasEntries = false;
    m_entries.clear();
}

void UpdateFeed::onListed(const StoreSnapshot &listed, MonotonicTime freshAsOf)
{
    m_entries.clear();
    m_hasEntries = m_serving;
    for (const StoredEntry &entry : listed.entries) {
        if (m_serving)
            m_entries[entry.key] = entry.stored;
    }
    m_log.restart(listed.upTo);
    m_logStarted = m_serving;
    m_storeReachable = true;
    m_freshAsOf = freshAsOf;
}

void UpdateFeed::onAdvanced(const WatchBatch &batch, MonotonicTime freshAsOf)
{
    m_storeReachable = true;
    m_freshAsOf = freshAsOf;
    if (!m_serving)
        return;
    for (const StoreChange &change : batch.changes) {
        if (!m_hasEntries)
            break;
        if (change.stored)
            m_entries[change.key] = *change.stored;
        else
            m_entries.erase(change.key);
    }
    if (m_logStarted) {
        m_log.add(batch);
        return;
    }
    m_log.restart(batch.upTo);
    m_logStarted = true;
}

void UpdateFeed::addRequest(const DaemonId &from, const StoreUpdateRequestMessage &request,
                            MonotonicTime now)
{
    cancelRequest(from);
    if (m_pending.size() >= m_options.maxPendingRequests)
        return; // The follower reads the store itself when no response comes in time.
    const Duration wait = std::clamp(request.wait, Duration::zero(), m_options.maxWait);
    m_pending.push_back({ from, request, now, now + wait });
}

void UpdateFeed::cancelRequest(const DaemonId &from)
{
    const auto isFromDaemon = [&from](const PendingRequest &pending) {
        return pending.from == from;
    };
    m_pending.erase(std::remove_if(m_pending.begin(), m_pending.end(), isFromDaemon),
                    m_pending.end());
}

std::optional<UpdateVerdict> UpdateFeed::declineReason(const PendingRequest &pending,
                                                       MonotonicTime now) const
{
    const bool isForSnapshot = pending.request.snapshotAfter.has_value();
    if (!m_serving || !(isForSnapshot ? m_hasEntries : m_logStarted))
        return UpdateVerdict::NoView;
    const bool keepsWaiting = pending.request.storeLost && now < pending.deadline;
    if (!m_storeReachable && !keepsWaiting)
        return UpdateVerdict::StoreLost;
    if (!isForSnapshot && !m_log.reachesBackTo(pending.request.after))
        return UpdateVerdict::TooOld;
    return std::nullopt;
}

std::optional<StoreUpdateMessage> UpdateFeed::responseTo(const PendingRequest &pending,
                                                         MonotonicTime now) const
{
    StoreUpdateMessage update;
    update.id = pending.request.id;
    if (const std::optional<UpdateVerdict> reason = declineReason(pending, now)) {
        update.verdict = *reason;
        return update;
    }
    if (pending.request.snapshotAfter && m_storeReachable)
        return snapshotPart(pending);
    const bool hasUpdate = m_storeReachable
        && (pending.request.storeLost || m_log.hasChangesAfter(pending.request.after));
    if (!hasUpdate && now < pending.deadline)
        return std::nullopt;
    std::optional<LoggedChanges> logged =
        m_log.changesAfter(pending.request.after, m_options.maxBytes);
    if (!logged) {
        update.verdict = UpdateVerdict::TooLarge;
        return update;
    }
    update.verdict = UpdateVerdict::Update;
    update.upTo = logged->upTo;
    update.moreFollow = !logged->isComplete;
    update.staleness = update.moreFollow ? unknownStaleness : pending.requestedAt - m_freshAsOf;
    update.changes = std::move(logged->changes);
    return update;
}

// At least one entry, so that each part makes progress.
StoreUpdateMessage UpdateFeed::snapshotPart(const PendingRequest &pending) const
{
    StoreUpdateMessage part;
    part.id = pending.request.id;
    part.verdict = UpdateVerdict::Update;
    part.isSnapshot = true;
    part.upTo = m_log.upTo();
    part.staleness = pending.requestedAt - m_freshAsOf;
    std::size_t bytes = 0;
    for (auto entry = m_entries.upper_bound(*pending.request.snapshotAfter);
         entry != m_entries.end(); ++entry) {
        bytes += entry->first.text().size() + entry->second.value.size();
        part.moreFollow = bytes > m_options.maxSnapshotBytes && !part.changes.empty();
        if (part.moreFollow)
            break;
        part.changes.push_back({ entry->first, entry->second });
    }
    return part;
}

std::vector<UpdateResponse> UpdateFeed::takeDue(MonotonicTime now)
{
    std::vector<UpdateResponse> responses;
    std::vector<PendingRequest> stillPending;
    for (PendingRequest &pending : m_pending) {
        if (std::optional<StoreUpdateMessage> update = responseTo(pending, now))
            responses.push_back({ pending.from, std::move(*update) });
        else
            stillPending.push_back(std::move(pending));
    }
    m_pending = std::move(stillPending);
    return responses;
}

std::optional<MonotonicTime> UpdateFeed::nextDeadline() const
{
    std::optional<MonotonicTime> next;
    for (const PendingRequest &pending : m_pending)
        next = next ? std::min(*next, pending.deadline) : pending.deadline;
    return next;
}

} // namespace ramphinge
