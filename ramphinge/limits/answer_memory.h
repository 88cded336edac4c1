// Bounds the memory of all responses that a daemon buffers, together.
//
// Each buffered response has a reservation that grows with it. When the reservations exceed the
// capacity, the response that is furthest beyond the usual size of its service is evicted. A small
// response is never evicted, so one without an end costs the others nothing.
//
//   AnswerMemory::Reservation reservation(memory, service, [&call] { call.cancel(); });
//   while (read(body)) {
//       if (!reservation.resize(body.size()))
//           return evicted;
//   }
//   reservation.complete();
//
// Performs no I/O.

#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>

#include "ramphinge/base/ids.h"

namespace ramphinge {

// Not thread-safe: lives on the event loop. Outlives its reservations.
class AnswerMemory
{
public:
    explicit AnswerMemory(std::size_t capacity) : m_capacity(capacity) { }
    AnswerMemory(const AnswerMemory &) = delete;
    AnswerMemory &operator=(const AnswerMemory &) = delete;

    // The memory of one response, returned by the destructor.
    class Reservation
    {
    public:
        // `onEvicted` is called if the response is evicted while another one grows. It ends the
        // response's read, after which the owner releases the memory.
        Reservation(AnswerMemory &memory, ServiceId service, std::function<void()> onEvicted);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        // Sets the size of what is buffered; false if the response is evicted.
        bool resize(std::size_t bytes);

        // The response was received completely. It is not evicted any more.
        void complete();

        bool isEvicted() const { return m_isEvicted; }

    private:
        friend class AnswerMemory;

        AnswerMemory &m_memory;
        ServiceId m_service;
        std::function<void()> m_onEvicted;
        std::size_t m_bytes = 0;
        bool m_isEvicted = false;
    };

    void setCapacity(std::size_t bytes) { m_capacity = bytes; }
    std::size_t capacity() const { return m_capacity; }
    std::size_t usedBytes() const { return m_usedBytes; }
    std::int64_t evictions() const { return m_evictions; }

private:
    Reservation *largestExcess() const;
    std::size_t usualBytes(const ServiceId &service) const;
    void noteComplete(const ServiceId &service, std::size_t bytes);
    void evict(Reservation &reservation);

    std::size_t m_capacity;
    std::size_t m_usedBytes = 0; // Sum over all reservations that are not evicted.
    std::int64_t m_evictions = 0;
    std::set<Reservation *> m_evictable; // Incomplete ones that are not small.
    std::map<ServiceId, std::size_t> m_usualBytes; // Only of services with large responses.
};

} // namespace ramphinge
