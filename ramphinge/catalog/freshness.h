// How long ago the daemon last had proof that its catalog is the newest one.
//
// Keys that an operator takes away must stop working everywhere, also on a daemon that can't reach
// the store. So a request with a key is admitted only on proof that is young enough. The proof is
// dated by the *start* of the read or watch that brought it: the store answered at some later time.
//
//   freshness.prove(watchStartedAt);
//   if (!freshness.holds(clock.now()))
//       return refuse();

#pragma once

#include <optional>

#include "ramphinge/base/time.h"

namespace ramphinge {

// Not thread-safe: lives on the request loop.
class Freshness
{
public:
    // `bound` is the longest time that a removed key may still be accepted; `margin` is taken off
    // for the time between the check here and the start of the work at an upstream. No bound: a
    // catalog holds until a newer one is known.
    Freshness(std::optional<Duration> bound, Duration margin) : m_bound(bound), m_margin(margin) { }

    // A read or watch begun at `startedAt` showed that the catalog is the newest.
    void prove(MonotonicTime startedAt)
    {
        if (!m_proof || *m_proof < startedAt)
            m_proof = startedAt;
    }

    bool holds(MonotonicTime now) const
    {
        return m_proof && (!m_bound || now < *m_proof + *m_bound - m_margin);
    }

    // Age of the proof; nothing if there never was one.
    std::optional<Duration> age(MonotonicTime now) const
    {
        if (!m_proof)
            return std::nullopt;
        return now - *m_proof;
    }

private:
    std::optional<Duration> m_bound;
    Duration m_margin;
    std::optional<MonotonicTime> m_proof; // Never moves back.
};

} // namespace ramphinge
