// Queue and slots of one model: a request gets a slot when one of the model's replicas has a free
// one and the fair queue selects the request.

#pragma once

#include <map>
#include <memory>

#include "ramphinge/limits/cost_estimate.h"
#include "ramphinge/limits/fair_queue.h"
#include "ramphinge/net/io.h"
#include "ramphinge/routing/replica_table.h"

namespace ramphinge {

// Used on the request loop only.
class ModelPool
{
public:
    ModelPool(IoContext &io, const Clock &clock, ModelId model, ReplicaTable &replicas,
              FairQueueOptions options)
        : m_io(io), m_clock(clock), m_model(std::move(model)), m_replicas(replicas),
          m_queue(options)
    { }

    // Waits for a slot and reserves it. Refuses as soon as the request certainly can't start in
    // time. If the caller disconnects, set `callerGone` and call wake(): the result is then a
    // refusal.
    std::optional<Refusal> acquire(const Ticket &ticket, const bool &callerGone, Yield yield);

    // Corrects the account's charge and starts waiting requests; call it when the slot is free
    // again.
    void release(const AccountId &account, Tokens estimate, Tokens actual);

    // Ends the reservation: the request is now counted at its replica, or has ended.
    void dropReservation() { --m_reserved; }

    // Reserves a slot for a request that is not counted at a replica: before it is sent, or between
    // two attempts.
    void reserveSlot() { ++m_reserved; }

    // Starts as many waiting requests as possible; call it when slots may have become free.
    void startWaiting();

    // Wakes the request that waits with the ticket, after its caller disconnected.
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

    int headroomSlots(int all, MonotonicTime now) const;

    IoContext &m_io;
    const Clock &m_clock;
    ModelId m_model;
    ReplicaTable &m_replicas;
    FairQueue m_queue;
    std::map<TicketNumber, Waiter *> m_waiters; // Invariant: exactly the tickets in m_queue.
    int m_reserved = 0; // Slots given to requests that no replica counts yet.
};

} // namespace ramphinge
