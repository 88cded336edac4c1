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
    m_largeValues.clear();
}

void UpdateFeed::onListed(const StoreSnapshot &listed, MonotonicTime freshAsOf)
{
    m_entries.clear();
    m_hasEntries = m_serving;
    for (const StoredEntry &entry : listed.entries) {
        if (!m_serving)
            continue;
        m_entries[entry.key] = entry.stored;
        m_largeValues.add(entry.key, entry.stored);
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
        if (change.stored)
            m_largeValues.add(change.key, *change.stored);
        if (!m_hasEntries)
            continue;
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
                                                         MonotonicTime now)
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
    if (!addChanges(pending.request, update)) {
        update.verdict = UpdateVerdict::TooLarge;
        return update;
    }
    update.verdict = UpdateVerdict::Update;
    update.staleness = update.moreFollow ? unknownStaleness : pending.requestedAt - m_freshAsOf;
    return update;
}

// False if they exceed the size limit.
bool UpdateFeed::addChanges(const StoreUpdateRequestMessage &request, StoreUpdateMessage &update)
{
    const ValueDelta *delta = request.deltaBase
        ? m_largeValues.deltaTo(request.deltaBase->key, request.deltaBase->revision)
        : nullptr;
    const StoreKey deltaKey = delta != nullptr ? request.deltaBase->key : StoreKey();
    std::optional<LoggedChanges> logged =
        m_log.changesAfter(request.after, m_options.maxBytes, deltaKey,
                           delta != nullptr ? delta->delta.encodedBytes() : 0);
    if (!logged)
        return false;
    update.upTo = logged->upTo;
    update.moreFollow = !logged->isComplete;
    update.changes = std::move(logged->changes);
    const auto isDescribed = [&](const StoreChange &change) {
        return delta != nullptr && change.key == deltaKey && change.stored
            && change.stored->revision == delta->revision;
    };
    const auto described = std::find_if(update.changes.begin(), update.changes.end(), isDescribed);
    if (described == update.changes.end())
        return true;
    update.changes.erase(described);
    update.delta = StoreDelta { deltaKey, delta->revision, delta->delta };
    return true;
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
