// Keeps this daemon registered at the platform: its lease, its registration and its entry in the
// roster.
//
// Rules that majorities depend on (see membership/serving_gate.h):
// - A lease is timed from before the call that granted or renewed it. Once it has expired by the
// own
//   clock it is not renewed any more.
// - After a daemon told peers "unregistered", it registers again only when that has expired there.
// - A daemon counts as registered only after it has read the latest configuration since.
//
// Blocking; used by one actor.

#pragma once

#include <functional>
#include <optional>

#include "ramphinge/base/lease_term.h"
#include "ramphinge/base/random.h"
#include "ramphinge/control/documents.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct RegistrarOptions
{
    DaemonRecord self;
    Duration leaseLength = std::chrono::seconds(5);
    Duration margin = std::chrono::milliseconds(500);
    Duration promise = std::chrono::seconds(1); // As in ServingOptions.
    Duration firstBackoff = std::chrono::milliseconds(100);
    Duration lastBackoff = std::chrono::seconds(5);
};

// The state of the registration; published after each step.
struct RegistrationState
{
    Registration registration = Registration::Rejoining;
    LeaseTerm term;
    LeaseId lease;
    ZoneRoster roster;
    ConfigState config; // As read when it registered.
    Revision configRevision;
};

class Registrar
{
public:
    Registrar(PlatformStore &store, const Clock &clock, RegistrarOptions options,
              std::uint64_t seed);

    // Performs the actions that are due. Returns the resulting state.
    const RegistrationState &step();

    // When step() is due again.
    MonotonicTime nextStep() const { return m_nextStep; }

    const RegistrationState &state() const { return m_state; }

    // Leaves the roster and revokes the lease. Best effort.
    void leave();

private:
    void renew();
    void lose();
    void rejoin();
    bool registerAnew();
    bool writeRegistration(LeaseId lease);
    bool joinRoster();
    void retryLater();

    PlatformStore &m_store;
    const Clock &m_clock;
    RegistrarOptions m_options;
    Random m_random;
    RegistrationState m_state;
    MonotonicTime m_nextStep;
    MonotonicTime m_mayRegisterFrom; // End of the promise.
    Duration m_backoff;
};

} // namespace ramphinge
