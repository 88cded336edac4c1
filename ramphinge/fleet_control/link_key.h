// Writes the shared secret with which daemons authenticate their links to each other.
//
// Whoever can read the store may open a link: daemons have no other credential for each other, and
// need the store anyway. The planner writes the secret once; it never changes.

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
        : m_io(io), m_clock(clock), m_store(store), m_fleet(fleet), m_plannerRole(role), m_log(log),
          m_random(entropySeed())
    { }

    // Runs until stop().
    void run(Yield yield);

    // One iteration of run(): writes the secret if this daemon is the planner and there is none.
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    IoContext &m_io;
    const Clock &m_clock;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    const KeyHolder &m_plannerRole;
    DecisionLog &m_log;
    Random m_random;
    bool m_stopping = false;
};

} // namespace ramphinge
