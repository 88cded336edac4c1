// Reports to the other daemons, through the store, of which services this daemon reaches no server,
// so that they forward no such requests to it: one key a daemon, under the lease of the daemon's
// registration.

#pragma once

#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/observe/decision_log.h"

namespace ramphinge {

struct ContactReporterOptions
{
    DaemonId daemon;
    Duration pollInterval = std::chrono::milliseconds(100);
};

// Lives on the event loop.
class ContactReporter
{
public:
    ContactReporter(IoContext &io, ContactReporterOptions options, KeyValueStore &store,
                    FleetState &fleet, const ServerContacts &contacts,
                    const KeyHolder &registration, const Clock &clock, DecisionLog &log);

    // Runs until stop().
    void run(Yield yield);

    // One iteration of run(): writes the key if it differs from the present state. A daemon that
    // has never lost contact writes none.
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    IoContext &m_io;
    ContactReporterOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    const ServerContacts &m_contacts;
    const KeyHolder &m_registration;
    const Clock &m_clock;
    DecisionLog &m_log;
    bool m_stopping = false;
};

} // namespace ramphinge
