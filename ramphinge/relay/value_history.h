// The last versions of large values, and the deltas between them: what a relay needs to send a
// follower only what differs from the version that it holds.

#pragma once

#include <deque>
#include <map>
#include <optional>

#include "ramphinge/base/delta.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct ValueDelta
{
    Revision revision; // Of the value that it describes.
    Delta delta;
};

// Not thread-safe: used on the event loop only.
class ValueHistory
{
public:
    // Ignored if the value is small or not newer than the last one of its key.
    void add(const StoreKey &key, const StoredValue &value);

    // From the version of that revision to the newest one; null if that version isn't known, is the
    // newest one, or has little in common with it. Valid until the next call of a member.
    const ValueDelta *deltaTo(const StoreKey &key, Revision base);

    void clear() { m_values.clear(); }

private:
    struct Versions
    {
        std::deque<StoredValue> values; // The newest one last.
        std::map<Revision, std::optional<ValueDelta>> deltas; // To the newest one, by their base.
    };

    std::map<StoreKey, Versions> m_values;
};

} // namespace ramphinge
