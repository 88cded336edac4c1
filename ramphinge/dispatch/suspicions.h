// Replicas that stood still or were not reachable when this daemon sent them a request. The planner
// is told, so that it looks after a lost member seconds before the member's entry lapses.

#pragma once

#include <map>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// Not thread-safe: lives on the event loop.
class Suspicions
{
public:
    // `again`: how long a replica that was noted is not noted anew, while the planner looks.
    explicit Suspicions(Duration again) : m_again(again) { }

    void note(const ReplicaId &replica, MonotonicTime now);

    // What was noted since the last call.
    std::vector<ReplicaId> take();

private:
    Duration m_again;
    std::map<ReplicaId, MonotonicTime> m_notedAt; // Within `m_again`; others are dropped.
    std::vector<ReplicaId> m_pending;
};

} // namespace ramphinge
