// A bounded log of the store's latest changes: see change_log.h.

#include "ramphinge/relay/change_log.h"

#include <algorithm>

namespace ramphinge {

void ChangeLog::restart(Revision upTo)
{
    m_changes.clear();
    m_sizeByRevision.clear();
    m_bytes = 0;
    m_startsAfter = upTo;
    m_upTo = upTo;
}

std::size_t ChangeLog::sizeOf(const StoreKey &key, const Change &change)
{
    return key.text().size() + (change.stored ? change.stored->value.size() : 0);
}

void ChangeLog::discard(Revision at, const StoreKey &key)
{
    const auto found = m_sizeByRevision.find({ at, key });
    m_bytes -= found->second;
    m_sizeByRevision.erase(found);
    m_changes.erase(key);
}

void ChangeLog::add(const WatchBatch &batch)
{
    for (const StoreChange &change : batch.changes) {
        const auto existing = m_changes.find(change.key);
        if (existing != m_changes.end())
            discard(existing->second.at, change.key);
        // A batch doesn't carry the revision of a deletion. The batch's end revision is used, so
        // that every daemon with an older view gets the deletion, at worst twice.
        Change newest { change.stored ? change.stored->revision : batch.upTo, change.stored };
        const std::size_t size = sizeOf(change.key, newest);
        m_sizeByRevision[{ newest.at, change.key }] = size;
        m_bytes += size;
        m_changes[change.key] = std::move(newest);
    }
    m_upTo = std::max(m_upTo, batch.upTo);
    while (m_bytes > m_options.maxBytes) {
        const auto [at, key] = m_sizeByRevision.begin()->first;
        m_startsAfter = std::max(m_startsAfter, at);
        discard(at, key);
    }
}

bool ChangeLog::hasChangesAfter(Revision after) const
{
    return !m_sizeByRevision.empty() && after < m_sizeByRevision.rbegin()->first.first;
}

std::optional<LoggedChanges> ChangeLog::changesAfter(Revision after, std::size_t maxBytes,
                                                     const StoreKey &deltaKey,
                                                     std::size_t deltaBytes) const
{
    LoggedChanges logged;
    logged.upTo = m_upTo;
    std::size_t bytes = 0;
    std::size_t completeChanges = 0; // Leading changes whose revisions are included completely.
    Revision currentRevision = after;
    const Revision first(after.count() + 1);
    for (auto entry = m_sizeByRevision.lower_bound({ first, StoreKey() });
         entry != m_sizeByRevision.end(); ++entry) {
        const auto &[at, key] = entry->first;
        if (currentRevision < at) {
            completeChanges = logged.changes.size();
            logged.upTo = currentRevision;
            currentRevision = at;
        }
        bytes += key == deltaKey ? deltaBytes : entry->second;
        if (bytes > maxBytes) {
            logged.changes.resize(completeChanges);
            logged.isComplete = false;
            return completeChanges > 0 ? std::optional<LoggedChanges>(std::move(logged))
                                       : std::nullopt;
        }
        logged.changes.push_back({ key, m_changes.at(key).stored });
    }
    logged.upTo = m_upTo;
    return logged;
}

} // namespace ramphinge
