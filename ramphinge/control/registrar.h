// Keeps this daemon registered at the platform: its lease, its registration, its place in the
// roster.
//
// The rules that make majorities sound (see membership/serving_gate.h):
// - A lease is counted from before the call that won or renewed it. Once it has ended by the own
//   clock it is not renewed any more.
// - After having told peers "unregistered", a new registration waits until that word is forgotten.
// - A daemon counts itself registered only after it has read the newest configuration since.
//
// Blocking; belongs to one actor. The clock's and the store's users never wait for it.

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

// Where the daemon stands; published after each step.
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

    // Does what is due. Returns the state after it.
    const RegistrationState &step();

    // When step() has something to do again.
    MonotonicTime nextStep() const { return m_nextStep; }

    const RegistrationState &state() const { return m_state; }

    // Leaves the roster and gives the lease back. Best effort.
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
