// Acquires one key of the store under a lease, renews it, and tracks until when it is certainly
// held: for a daemon's registration, and for the planner role, which one daemon has at a time.

#pragma once

#include <functional>
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
    // Time between renewals; several must fit in the lifetime.
    Duration renewalInterval = std::chrono::seconds(1);
    // Subtracted from the lifetime, for clock drift and network delay.
    Duration margin = std::chrono::milliseconds(400);
    // Upper bound of the random delay before acquiring a free key, so that one daemon writes it
    // first and the others see it.
    Duration maxAcquireJitter = std::chrono::milliseconds(300);
    // Additional fixed delay, for a daemon that is to hold the key only if no better suited one
    // acquires it.
    Duration acquireDelay {};
    // Replaces an existing key: it can only be left from this daemon's previous process.
    bool replaceExisting = false;
};

// Lives on the event loop.
class KeyHolder
{
public:
    KeyHolder(IoContext &io, const Clock &clock, KeyHolderOptions options, KeyValueStore &store,
              FleetState &fleet, DecisionLog &log);

    // Sets whether this daemon is fit to hold the key: while `isFit` returns false it doesn't
    // acquire the key, and releases it for others.
    void holdOnlyWhile(std::function<bool()> isFit) { m_isFit = std::move(isFit); }

    // Runs until stop(): acquires the key when it is free, renews it, detects its loss.
    void run(Yield yield);

    // One iteration of run(): tries to acquire the key if it is free, renews it if it is held, or
    // releases it if this daemon isn't fit to hold it.
    void round(Yield yield);
    void stop() { m_stopping = true; }

    // Releases the key immediately, for a planned stop. Call after stop().
    void release(Yield yield);

    // Whether this daemon certainly holds the key now.
    bool holds(MonotonicTime now) const { return m_held && m_term.mayAct(now); }

    // The key's lease, for other keys that are to lapse with it. Only while holds().
    LeaseId lease() const { return m_lease; }

private:
    bool isFit() const { return !m_isFit || m_isFit(); }
    void awaitRenewal(Yield yield);
    void tryToAcquire(Yield yield);
    void renew(Yield yield);
    void markLost(const std::string &why);

    IoContext &m_io;
    const Clock &m_clock;
    KeyHolderOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    DecisionLog &m_log;
    Random m_random;
    std::function<bool()> m_isFit; // Empty: always.
    LeaseId m_lease = noLease;
    Duration m_leaseLifetime {}; // Of m_lease, as the store granted it.
    LeaseTerm m_term;
    bool m_held = false; // The key was written with m_lease, and its loss was not detected.
    bool m_stopping = false;
};

} // namespace ramphinge
