// How long ago the daemon's catalog was last confirmed to be the newest one.
//
// Keys that an operator revokes must stop working everywhere, also on a daemon that can't reach the
// store. So a request with a key is admitted only if the catalog was confirmed recently. A
// confirmation is dated by the *start* of the read or watch that brought it, since the store may
// have answered at any later time.
//
//   freshness.confirm(watchStartedAt);
//   if (!freshness.isWithinBound(clock.now()))
//       return refuse();

#pragma once

#include <optional>

#include "ramphinge/base/time.h"

namespace ramphinge {

// Not thread-safe: lives on the request loop.
class CatalogFreshness
{
public:
    // `bound` is the longest time that a revoked key may still be accepted; `margin` is subtracted
    // for the time between this check and the start of the work at an upstream. Without a bound a
    // catalog counts as fresh once it was confirmed.
    CatalogFreshness(std::optional<Duration> bound, Duration margin)
        : m_bound(bound), m_margin(margin)
    { }

    // A read or watch started at `startedAt` showed that the catalog is the newest.
    void confirm(MonotonicTime startedAt)
    {
        if (!m_confirmedAt || *m_confirmedAt < startedAt)
            m_confirmedAt = startedAt;
    }

    // Whether the catalog is fresh enough to admit requests with keys.
    bool isWithinBound(MonotonicTime now) const
    {
        return m_confirmedAt && (!m_bound || now < *m_confirmedAt + *m_bound - m_margin);
    }

    // Time since the last confirmation; nothing if there was none.
    std::optional<Duration> age(MonotonicTime now) const
    {
        if (!m_confirmedAt)
            return std::nullopt;
        return now - *m_confirmedAt;
    }

private:
    std::optional<Duration> m_bound;
    Duration m_margin;
    std::optional<MonotonicTime> m_confirmedAt; // Never moves backwards.
};

} // namespace ramphinge
