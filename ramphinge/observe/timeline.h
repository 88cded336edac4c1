// The time line: what happened in this daemon, in an order that fits other daemons' events.
//
// Kept in memory, newest last, in a bounded ring; the administration API hands it out, and the
// command line tool merges those of all daemons. A file can be had besides, for tests.

#pragma once

#include <deque>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "ramphinge/base/ids.h"
#include "ramphinge/observe/hybrid_clock.h"

namespace ramphinge {

enum class EventKind {
    Started,
    Stopping,
    Stopped,
    RequestReceived,
    RequestSent, // To an upstream; one for each attempt.
    RequestRetried,
    RequestResumed, // A broken stream goes on elsewhere.
    RequestEnded, // The caller got its whole answer.
    RequestRefused, // Told "not run".
    RequestUnknown, // Told "outcome unknown".
    CallerGone,
    LateAnswerDropped,
    ClaimGranted,
    ClaimRefused,
    ServingModeChanged,
    Registered,
    RegistrationLost,
    RoleWon,
    RoleLost,
    ChangeProposed,
    ChangeConfirmed,
    ChangeAccepted,
    ChangeRefused,
    ChangeInForce,
    PlanWritten,
    OrderSent,
    ReplicaReady,
    ReplicaNotReady,
    HostDown,
    HostUp,
    HandoverStep,
};

const char *toString(EventKind kind);

// Empty ids do not concern the event.
struct TimelineEvent
{
    EventKind kind = EventKind::Started;
    RequestId request;
    AccountId account;
    ReplicaId replica;
    HostId host;
    ChangeId change;
    Attempt attempt;
    Epoch epoch;
    std::string detail;

    // Filled in by the time line.
    HybridTime at;
    std::int64_t number = 0;
};

struct TimelineFilter
{
    std::string text; // Matches any id or the detail; empty is everything.
    std::int64_t after = 0; // Event number.
    std::size_t limit = 1000; // The newest so many.
};

// Thread-safe.
class Timeline
{
public:
    // An empty path writes no file.
    Timeline(DaemonId daemon, const Clock &clock, const std::string &path,
             std::size_t capacity = 20'000);

    void record(TimelineEvent event);
    std::vector<TimelineEvent> events(const TimelineFilter &filter) const;
    nlohmann::json toJson(const TimelineEvent &event) const;
    HybridClock &clock() { return m_clock; }

private:
    DaemonId m_daemon;
    HybridClock m_clock;
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<TimelineEvent> m_events; // Invariant: at most m_capacity, ascending numbers.
    std::int64_t m_next = 1;
    std::ofstream m_file;
};

} // namespace ramphinge
