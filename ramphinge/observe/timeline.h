// Timeline of this daemon's events, ordered by hybrid time so that it can be merged with those of
// other daemons.
//
// Kept in memory, newest last, in a bounded queue; the administration API serves it, and the
// command line tool merges those of all daemons. It can also be written to a file, for tests.

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
    RequestResumed, // A broken stream continues on another upstream.
    RequestEnded, // The caller got its complete answer.
    RequestRefused, // The caller was told that it was not executed.
    RequestUnknown, // The caller was told that its outcome is unknown.
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

// Ids that don't concern the event are empty.
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

    // Set by Timeline::record().
    HybridTime at;
    std::int64_t number = 0;
};

struct TimelineFilter
{
    std::string text; // Part of an id or the detail, or the event's name; empty matches everything.
    std::int64_t after = 0; // Only events with a higher number.
    std::size_t limit = 1000; // Maximum number of events; the newest are returned.
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
