// Changes that are passed on: see change_log.h.

#include "ramphinge/relay/change_log.h"

#include <algorithm>

namespace ramphinge {

void ChangeLog::restart(Revision upTo)
{
    m_changes.clear();
    m_order.clear();
    m_bytes = 0;
    m_since = upTo;
    m_upTo = upTo;
}

std::size_t ChangeLog::sizeOf(const StoreKey &key, const Change &change)
{
    return key.text().size() + (change.stored ? change.stored->value.size() : 0);
}

void ChangeLog::forget(Revision at, const StoreKey &key)
{
    const auto found = m_order.find({ at, key });
    m_bytes -= found->second;
    m_order.erase(found);
    m_changes.erase(key);
}

void ChangeLog::add(const WatchBatch &batch)
{
    for (const StoreChange &change : batch.changes) {
        const auto before = m_changes.find(change.key);
        if (before != m_changes.end())
            forget(before->second.at, change.key);
        // The batch doesn't say when a key vanished. Taken as its end: whoever has a picture of any
        // moment before is told, at worst twice.
        Change newest { change.stored ? change.stored->revision : batch.upTo, change.stored };
        const std::size_t size = sizeOf(change.key, newest);
        m_order[{ newest.at, change.key }] = size;
        m_bytes += size;
        m_changes[change.key] = std::move(newest);
    }
    m_upTo = std::max(m_upTo, batch.upTo);
    while (m_bytes > m_options.mostBytes) {
        const auto [at, key] = m_order.begin()->first;
        m_since = std::max(m_since, at);
        forget(at, key);
    }
}

bool ChangeLog::hasChangesAfter(Revision after) const
{
    return !m_order.empty() && after < m_order.rbegin()->first.first;
}

std::optional<LoggedChanges> ChangeLog::changesAfter(Revision after, std::size_t mostBytes) const
{
    LoggedChanges logged;
    logged.upTo = m_upTo;
    std::size_t bytes = 0;
    std::size_t wholeRevisions = 0; // So many of the changes belong to revisions that are all in.
    Revision present = after;
    const Revision first(after.count() + 1);
    for (auto entry = m_order.lower_bound({ first, StoreKey() }); entry != m_order.end(); ++entry) {
        const auto &[at, key] = entry->first;
        if (present < at) {
            wholeRevisions = logged.changes.size();
            logged.upTo = present;
            present = at;
        }
        bytes += entry->second;
        if (bytes > mostBytes) {
            logged.changes.resize(wholeRevisions);
            logged.reachesEnd = false;
            return wholeRevisions > 0 ? std::optional<LoggedChanges>(std::move(logged))
                                      : std::nullopt;
        }
        logged.changes.push_back({ key, m_changes.at(key).stored });
    }
    logged.upTo = m_upTo;
    return logged;
}

} // namespace ramphinge
