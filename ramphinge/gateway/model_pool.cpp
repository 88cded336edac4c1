// Queue and slots of one model: see model_pool.h.

#include "ramphinge/gateway/model_pool.h"

namespace ramphinge {

std::optional<Refusal> ModelPool::acquire(const Ticket &ticket, const bool &callerGone, Yield yield)
{
    if (std::optional<Refusal> refused = m_queue.offer(ticket, m_clock.now()))
        return refused;
    Waiter waiter(m_io);
    m_waiters[ticket.number] = &waiter;
    startWaiting();
    while (!waiter.started && !callerGone && m_clock.now() < ticket.startBy)
        waiter.signal.wait(ticket.startBy - m_clock.now(), yield);
    if (waiter.started)
        return std::nullopt;
    m_waiters.erase(ticket.number);
    m_queue.remove(ticket.number);
    return Refusal { Error(ErrorKind::Overloaded,
                           "no place became free in time; come back after the time given"),
                     std::chrono::seconds(1) };
}

void ModelPool::release(const AccountId &account, Tokens estimate, Tokens actual)
{
    m_queue.settle(account, estimate, actual, m_clock.now());
    startWaiting();
}

void ModelPool::startWaiting()
{
    if (!m_queue.hasWaiting())
        return;
    const MonotonicTime now = m_clock.now();
    const SlotCount slots = m_replicas.slotCount(m_model, now);
    const int headroom = headroomSlots(slots.all, now);
    for (int free = slots.free - m_reserved; free > 0; --free) {
        const std::optional<Ticket> ticket = m_queue.pop(
            now, free > headroom ? FairQueue::Admit::All : FairQueue::Admit::NotBacklogged);
        if (!ticket)
            return;
        const auto waiter = m_waiters.find(ticket->number);
        waiter->second->started = true;
        waiter->second->signal.notify();
        m_waiters.erase(waiter);
        ++m_reserved;
    }
}

// Running requests are not preempted, so an account within its share would have to wait for a
// request to end whenever another account has filled all slots. Some slots are therefore reserved
// for accounts without a backlog.
int ModelPool::headroomSlots(int all, MonotonicTime now) const
{
    constexpr double headroomShare = 0.125;
    if (m_queue.recentAccounts(now) < 2)
        return 0;
    return static_cast<int>(headroomShare * all);
}

void ModelPool::wake(TicketNumber ticket)
{
    const auto waiter = m_waiters.find(ticket);
    if (waiter != m_waiters.end())
        waiter->second->signal.notify();
}

} // namespace ramphinge
