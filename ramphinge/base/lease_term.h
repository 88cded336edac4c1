// Lease arithmetic: decides, from monotonic time alone, whether a holder may still act.
//
// A holder counts its lease from *before* it sent the request that won or renewed it; everyone else
// counts from after they saw it lapse. The two differ by the round trip, always to the safe side.
//
//   LeaseTerm term(sentAt, settings.leaseLength, settings.clockMargin);
//   if (!term.mayAct(clock.now()))
//       return stepDown();

#pragma once

#include "ramphinge/base/time.h"

namespace ramphinge {

// The span in which a lease holder may act. Immutable value; safe to share between threads.
class LeaseTerm
{
public:
    // A term that has always been over.
    LeaseTerm() = default;

    // `margin` is taken off the end, for clocks that run at different rates.
    LeaseTerm(MonotonicTime sentAt, Duration length, Duration margin)
        : m_expiry(sentAt + length - margin)
    { }

    // True until `length - margin` after `sentAt`. Says nothing about orders already in flight.
    bool mayAct(MonotonicTime now) const { return now < m_expiry; }

    // True if an act that takes at most `duration` also ends inside the term.
    bool mayFinish(MonotonicTime now, Duration duration) const { return now + duration < m_expiry; }

    MonotonicTime expiry() const { return m_expiry; }

private:
    MonotonicTime m_expiry; // Invariant: never later than the platform's own expiry.
};

} // namespace ramphinge
