// Waiting and places for one model's requests: a request gets a place when a replica has room and
// the fair queue says it is its account's turn.

#pragma once

#include <map>
#include <memory>

#include "ramphinge/limits/cost_estimate.h"
#include "ramphinge/limits/fair_queue.h"
#include "ramphinge/net/io.h"
#include "ramphinge/routing/replica_table.h"

namespace ramphinge {

// Lives on the request loop.
class ModelPool
{
public:
    ModelPool(IoContext &io, const Clock &clock, ModelId model, ReplicaTable &replicas,
              FairQueueOptions options)
        : m_io(io), m_clock(clock), m_model(std::move(model)), m_replicas(replicas),
          m_queue(options)
    { }

    // Waits for a place. A refusal is given as soon as it is certain. `callerGone` may become true
    // meanwhile, with wake() called: then the result is a refusal that nobody reads.
    std::optional<Refusal> acquire(const Ticket &ticket, const bool &callerGone, Yield yield);

    // Gives the place back and corrects the account's charge.
    void release(const AccountId &account, Tokens estimate, Tokens actual);

    // The place is now held by a request counted at its replica, and no longer reserved here.
    void began() { --m_reserved; }

    // The request was not sent to any replica after all, or is between two of them.
    void reserveAgain() { ++m_reserved; }

    // Starts whoever can be started: call when places may have become free.
    void pump();

    // Wakes the ticket's waiter, whose caller has gone.
    void wake(TicketNumber ticket);

    FairQueue &queue() { return m_queue; }
    const ModelId &model() const { return m_model; }

private:
    struct Waiter
    {
        explicit Waiter(IoContext &io) : signal(io) { }
        Signal signal;
        bool started = false;
    };

    int keptPlaces(int all, MonotonicTime now) const;

    IoContext &m_io;
    const Clock &m_clock;
    ModelId m_model;
    ReplicaTable &m_replicas;
    FairQueue m_queue;
    std::map<TicketNumber, Waiter *> m_waiters; // Invariant: exactly the tickets in m_queue.
    int m_reserved = 0; // Places given out whose requests no replica counts yet.
};

} // namespace ramphinge
