// Tells a server process that terminated while it ran a request from a connection that merely
// broke.
//
// A request sees the same in both cases: its connection ends before the response is complete. So
// the server is probed at once. If it responds, only the connection was lost, which is no evidence
// against the request. If nothing listens at its address any more, the process has terminated and
// every request that it was running is suspected. Without the probe, lost responses and reset
// connections would count as terminations and quarantine harmless requests. A server that can't be
// probed (an overloaded one resets new connections) counts as terminated if it leaves the fleet
// view soon after.
//
// One probe serves all requests that lost their connection to a server at the same time. A request
// that was sent after the probe began can't have caused the termination; there are many of these
// where a proxy in front of the server still accepts connections.

#pragma once

#include <functional>
#include <memory>

#include "ramphinge/dispatch/server_probe.h"
#include "ramphinge/dispatch/target_table.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"
#include "ramphinge/quarantine/quarantine.h"
#include "ramphinge/reachability/server_contacts.h"

namespace ramphinge {

struct CrashDetectorOptions
{
    // Of one probe. A live server responds within a few milliseconds, which a busy daemon processes
    // up to 300 ms later; a terminated one refuses the connection at once.
    Duration timeout = std::chrono::milliseconds(400);
    // A server that could not be probed counts as terminated if it leaves the fleet view within
    // this time: its entry expires after three heartbeats of 1.2 s, and daemons learn of that
    // within another 2.6 s.
    Duration departureTimeout = std::chrono::seconds(7);
    // A refused connection proves nothing while this daemon may have lost all servers; longest time
    // until that is known.
    Duration contactTimeout = std::chrono::milliseconds(300);
};

// Not thread-safe: used on the event loop only. Its coroutines refer to the constructor's
// arguments, not to the object, which may be destroyed while they run.
class CrashDetector
{
public:
    CrashDetector(IoContext &io, const Clock &clock, CrashDetectorOptions options,
                  ServerProbe &probe, ServerContacts &contacts, Quarantine &quarantine,
                  DecisionLog &log, Metrics &metrics);

    // Reports that the connection to the server ended before the response to the request, which was
    // sent at `sentAt`, was complete. Returns once the probe has finished and the quarantine has
    // been updated, or after `maxWait`; the caller may have disconnected by then. True if the
    // server is known to have terminated.
    bool connectionEnded(const SuspectRequest &request, const Target &target, MonotonicTime sentAt,
                         Duration maxWait, Yield yield);

    // To be called when the fleet view has changed. `isPresent` tells whether an incarnation of a
    // server is in it.
    void serversChanged(const std::function<bool(const HostId &)> &isPresent);

private:
    struct LivenessCheck;
    struct UnresolvedRequest;
    struct State;

    std::shared_ptr<LivenessCheck> startCheck(const Target &target);

    std::shared_ptr<State> m_state;
};

} // namespace ramphinge
