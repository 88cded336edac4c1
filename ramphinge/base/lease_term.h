// Lease arithmetic: decides, by monotonic time only, whether a lease holder may still act.
//
// A holder counts the lease from *before* it sends the request that acquires or renews it; everyone
// else considers the lease expired only after the platform does. The holder therefore stops first,
// by up to the round trip.
//
//   LeaseTerm term(sentAt, settings.leaseLength, settings.clockMargin);
//   if (!term.mayAct(clock.now()))
//       return stepDown();

#pragma once

#include "ramphinge/base/time.h"

namespace ramphinge {

// The time in which a lease holder may act. Immutable value; safe to share between threads.
class LeaseTerm
{
public:
    // A term that has ended at any time.
    LeaseTerm() = default;

    // `margin` is subtracted from the end, to allow for clocks that run at different rates.
    LeaseTerm(MonotonicTime sentAt, Duration length, Duration margin)
        : m_expiry(sentAt + length - margin)
    { }

    // True until `length - margin` after `sentAt`. Doesn't cover orders that are already in flight.
    bool mayAct(MonotonicTime now) const { return now < m_expiry; }

    // True if an operation that takes at most `duration` ends within the term.
    bool mayFinish(MonotonicTime now, Duration duration) const { return now + duration < m_expiry; }

    MonotonicTime expiry() const { return m_expiry; }

private:
    MonotonicTime m_expiry; // Invariant: not later than the expiry at the platform.
};

} // namespace ramphinge
