// Collects the replicas that stalled or were unreachable when this daemon sent them a request. They
// are reported to the planner, which so detects a lost member seconds before its entry expires.

#pragma once

#include <map>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// Not thread-safe: used on the event loop only.
class Suspicions
{
public:
    // A replica is reported at most once per `repeatInterval`: the planner needs time to check it.
    explicit Suspicions(Duration repeatInterval) : m_repeatInterval(repeatInterval) { }

    void note(const ReplicaId &replica, MonotonicTime now);

    // The replicas to report since the last call.
    std::vector<ReplicaId> take();

private:
    Duration m_repeatInterval;
    std::map<ReplicaId, MonotonicTime> m_notedAt; // Older ones than m_repeatInterval are dropped.
    std::vector<ReplicaId> m_pending;
};

} // namespace ramphinge
