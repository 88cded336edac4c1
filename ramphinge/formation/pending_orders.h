// The orders that a planner stores for its successor, so that the next planner knows what may still
// happen.
//
// - Loads from the weight store, stored before they are ordered: the next planner keeps within the
//   store's rate without waiting until loads that it can't know of would be over.
// - Joins without an answer, stored before their replica is opened: such a join may be carried out
//   seconds later, and bring its server back into a replica that it has left.

#pragma once

#include <map>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"

namespace ramphinge {

struct PendingOrders
{
    std::map<HostId, ModelId> loads; // In progress: the model that each server loads.
    std::map<HostId, ReplicaId> unansweredJoins; // To servers of replicas told to open.

    friend bool operator==(const PendingOrders &a, const PendingOrders &b)
    {
        return a.loads == b.loads && a.unansweredJoins == b.unansweredJoins;
    }
};

std::string serialize(const PendingOrders &pendingOrders);

// Errors: InvalidInput.
Result<PendingOrders> parsePendingOrders(const std::string &text);

} // namespace ramphinge
