// Tells a server that ended under a request from a connection that was merely cut.
//
// Both look alike to the request: its connection ends before the answer is whole. So the server is
// asked at once. One that answers has lost a connection, which says nothing against the request;
// where nobody listens any more it has ended, and each request that it had is suspected. Without
// the question, lost answers and reset connections would count as ends, and hold back requests that
// did nothing. A server that can't be asked, as one that is full resets new connections, has ended
// if it goes from the picture of the fleet soon after.
//
// One question serves all requests that were cut off at a server at the same time. One that was
// sent only after that had nothing to do with the end: where something before the server still
// accepts connections, there are many of these.

#pragma once

#include <functional>
#include <memory>

#include "ramphinge/dispatch/server_probe.h"
#include "ramphinge/dispatch/target_table.h"
#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"
#include "ramphinge/quarantine/quarantine.h"

namespace ramphinge {

struct CrashWatchOptions
{
    // A live server answers within a few milliseconds, and a busy daemon hears it up to 300 ms
    // later; one that has ended refuses the connection at once.
    Duration timeout = std::chrono::milliseconds(400);
    // How long a server that could not be asked may take to go from the picture: its entry lapses
    // after three heartbeats of 1.2 s, and the news of it come within 2.6 s.
    Duration goesWithin = std::chrono::seconds(7);
};

// Lives on the event loop. What it begins refers to the constructor's arguments, and not to the
// object itself.
class CrashWatch
{
public:
    CrashWatch(IoContext &io, const Clock &clock, CrashWatchOptions options, ServerProbe &probe,
               Quarantine &quarantine, DecisionLog &log, Metrics &metrics);

    // The connection to the server ended under the request, which was sent at `sentAt`. Returns
    // when it is known what that means and the quarantine has been told, or after `patience`; the
    // caller may have gone by then.
    void connectionEnded(const SuspectRequest &request, const Target &target, MonotonicTime sentAt,
                         Duration patience, Yield yield);

    // The picture of the fleet is another. `isThere` says whether a life of a server is in it.
    void serversChanged(const std::function<bool(const HostId &)> &isThere);

private:
    struct Check;
    struct OpenQuestion;
    struct State;

    std::shared_ptr<Check> begin(const Target &target);

    std::shared_ptr<State> m_state;
};

} // namespace ramphinge
