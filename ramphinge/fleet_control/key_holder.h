// Holds one key of the store under a lease, and knows until when it certainly holds it: for a
// daemon's registration, and for the planner's role, which one daemon has at a time.

#pragma once

#include <string>

#include "ramphinge/base/lease_term.h"
#include "ramphinge/base/random.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/observe/decision_log.h"

namespace ramphinge {

struct KeyHolderOptions
{
    StoreKey key;
    std::string value;
    Duration lifetime = std::chrono::seconds(3); // Of the lease.
    // Renewals go out this often; several must fit in the lifetime.
    Duration renewal = std::chrono::seconds(1);
    // Taken off the term, for clocks that run at different rates and answers on their way.
    Duration margin = std::chrono::milliseconds(400);
    // Wait before taking a free key, at random up to this: one daemon gets there first and the
    // others see it.
    Duration contention = std::chrono::milliseconds(300);
    // Wait before that, for a daemon that is to hold the key only if no better one takes it.
    Duration precedence {};
    // Replaces the key if it exists already: it can only be this daemon's own, from before.
    bool replaceExisting = false;
};

// Lives on the event loop.
class KeyHolder
{
public:
    KeyHolder(IoContext &io, const Clock &clock, KeyHolderOptions options, KeyValueStore &store,
              FleetState &fleet, DecisionLog &log);

    // Runs until stop(): takes the key when it is free, renews, notices its loss.
    void run(Yield yield);

    // One round of run(): tries to take the key if it is free, renews it if it is held.
    void round(Yield yield);
    void stop() { m_stopping = true; }

    // Gives the key up at once, for a planned stop. Call after stop().
    void release(Yield yield);

    // Whether this daemon certainly holds the key now.
    bool holds(MonotonicTime now) const { return m_held && m_term.mayAct(now); }

    // The lease that the key is under, for keys that go with it. Only while holds().
    LeaseId lease() const { return m_lease; }

private:
    void tryToTake(Yield yield);
    void renew(Yield yield);
    void lose(const std::string &why);

    IoContext &m_io;
    const Clock &m_clock;
    KeyHolderOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    DecisionLog &m_log;
    Random m_random;
    LeaseId m_lease = noLease;
    Duration m_lifetime {}; // Of m_lease, as the store granted it.
    LeaseTerm m_term;
    bool m_held = false; // The key was written with m_lease, and its loss was not noticed.
    bool m_stopping = false;
};

} // namespace ramphinge
