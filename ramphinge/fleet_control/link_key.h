// Sees to it that the store holds the secret which daemons prove to each other on their links.
//
// Whoever can read the store may link up: that is the only trust there is between daemons, and they
// need the store anyway. The secret is written once, by the planner, and stays.

#pragma once

#include "ramphinge/base/random.h"
#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/observe/decision_log.h"

namespace ramphinge {

// Lives on the event loop.
class LinkKeyWriter
{
public:
    LinkKeyWriter(IoContext &io, const Clock &clock, KeyValueStore &store, FleetState &fleet,
                  const KeyHolder &role, DecisionLog &log)
        : m_io(io), m_clock(clock), m_store(store), m_fleet(fleet), m_role(role), m_log(log),
          m_random(entropySeed())
    { }

    // Runs until stop().
    void run(Yield yield);

    // One round of run(): writes the secret if this daemon is the planner and there is none.
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    IoContext &m_io;
    const Clock &m_clock;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    const KeyHolder &m_role;
    DecisionLog &m_log;
    Random m_random;
    bool m_stopping = false;
};

} // namespace ramphinge
