// What a planner writes down of its orders, so that the next planner knows what may still happen.
//
// - Loads from the weight store, written before they are ordered: the next planner keeps to the
//   store's rate without waiting until loads that it knows nothing of would be over.
// - Joins without an answer, written before their replica is opened: such a join may be carried out
//   seconds later, and bring its server back into a replica that it has left.

#pragma once

#include <map>
#include <string>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"

namespace ramphinge {

struct OrderLedger
{
    std::map<HostId, ModelId> loads; // In progress: which model each server loads.
    std::map<HostId, ReplicaId> unansweredJoins; // Sent lately to servers of opened replicas.

    friend bool operator==(const OrderLedger &a, const OrderLedger &b)
    {
        return a.loads == b.loads && a.unansweredJoins == b.unansweredJoins;
    }
};

std::string serialize(const OrderLedger &ledger);

// Errors: InvalidInput.
Result<OrderLedger> parseLedger(const std::string &text);

} // namespace ramphinge
