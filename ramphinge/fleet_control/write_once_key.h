// Writes a key of the store that never changes once it exists: the secret with which daemons
// authenticate their links to each other, and the mark that some catalog required keys.
//
// Whoever can read the store may open a link: daemons have no other credential for each other, and
// need the store anyway.

#pragma once

#include <functional>
#include <optional>
#include <string>

#include "ramphinge/fleet_control/fleet_state.h"
#include "ramphinge/fleet_control/key_holder.h"
#include "ramphinge/observe/decision_log.h"

namespace ramphinge {

struct WriteOnceKeyOptions
{
    StoreKey key;
    std::string logEvent; // Logged after each attempt to write.
    // The value to write; nothing if the key isn't needed now. Called only while the key is absent.
    std::function<std::optional<std::string>()> value;
};

// Options of the key FleetKeys::linkKey().
WriteOnceKeyOptions linkKeyOptions();

// Options of the key FleetKeys::keyRequirement(). `dispatch` must outlive the writer.
WriteOnceKeyOptions keyRequirementOptions(const DispatchState &dispatch);

// Lives on the event loop.
class WriteOnceKey
{
public:
    WriteOnceKey(IoContext &io, const Clock &clock, WriteOnceKeyOptions options,
                 KeyValueStore &store, FleetState &fleet, const KeyHolder &plannerRole,
                 DecisionLog &log)
        : m_io(io), m_clock(clock), m_options(std::move(options)), m_store(store), m_fleet(fleet),
          m_plannerRole(plannerRole), m_log(log)
    { }

    // Runs until stop().
    void run(Yield yield);

    // One iteration of run(): writes the key if this daemon is the planner and the key is absent.
    void round(Yield yield);
    void stop() { m_stopping = true; }

private:
    IoContext &m_io;
    const Clock &m_clock;
    WriteOnceKeyOptions m_options;
    KeyValueStore &m_store;
    FleetState &m_fleet;
    const KeyHolder &m_plannerRole;
    DecisionLog &m_log;
    bool m_stopping = false;
};

} // namespace ramphinge
