// Versions of large values: see value_history.h.

#include "ramphinge/relay/value_history.h"

#include <algorithm>

namespace ramphinge {

namespace {

constexpr std::size_t minLargeBytes = 32 * 1024; // Smaller values are sent whole.
constexpr std::size_t maxVersions = 3; // Of a key; followers ask at least every few seconds.
constexpr std::size_t maxKeys = 2;

} // namespace

void ValueHistory::add(const StoreKey &key, const StoredValue &value)
{
    if (m_values.count(key) == 0) {
        if (value.value.size() < minLargeBytes)
            return;
        // The largest values stay: another writer's must not take the place of the catalog.
        const auto smallest =
            std::min_element(m_values.begin(), m_values.end(), [](const auto &a, const auto &b) {
                return a.second.values.back().value.size() < b.second.values.back().value.size();
            });
        if (m_values.size() >= maxKeys) {
            if (smallest->second.values.back().value.size() >= value.value.size())
                return;
            m_values.erase(smallest);
        }
    }
    Versions &versions = m_values[key];
    if (!versions.values.empty() && value.revision <= versions.values.back().revision)
        return;
    versions.deltas.clear();
    versions.values.push_back(value);
    if (versions.values.size() > maxVersions)
        versions.values.pop_front();
}

const ValueDelta *ValueHistory::deltaTo(const StoreKey &key, Revision base)
{
    const auto found = m_values.find(key);
    if (found == m_values.end())
        return nullptr;
    Versions &versions = found->second;
    const StoredValue &newest = versions.values.back();
    const auto version =
        std::find_if(versions.values.begin(), versions.values.end(),
                     [base](const StoredValue &value) { return value.revision == base; });
    if (version == versions.values.end() || newest.revision == base)
        return nullptr;
    const auto [entry, isNew] = versions.deltas.emplace(base, std::nullopt);
    if (isNew) {
        Delta delta = makeDelta(version->value, newest.value);
        if (delta.encodedBytes() < newest.value.size() / 2)
            entry->second = ValueDelta { newest.revision, std::move(delta) };
    }
    return entry->second ? &*entry->second : nullptr;
}

} // namespace ramphinge
