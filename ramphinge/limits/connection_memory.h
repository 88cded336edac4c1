// Bounds the memory that the connections of all listening ports make a process hold, together.
//
// Each connection has a reservation for what it holds: its buffers, the request that is read or
// handled, the response that is written. Requests that are being handled are never evicted, since
// they may have been executed; all others are. When the reservations exceed the capacity, the
// connection that has held the most memory for the longest time is evicted: its bytes times its age
// in the present phase. A request that arrives at its sender's pace has held little when it is
// complete, so one beside many that have stalled loses nothing.
//
// A request is refused if it is larger than half of what the requests being handled leave free.
// Large requests are thus refused before small ones, and the last bytes go to the smallest.
//
//   ConnectionMemory::Reservation reservation(memory, connection, port, now);
//   reservation.enter(ConnectionPhase::Receiving, now);
//   while (read(body)) {
//       if (!reservation.resize(body.size(), now))
//           return refused;
//   }
//   if (!reservation.commit(now))
//       return refused;
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>

#include "ramphinge/base/time.h"

namespace ramphinge {

enum class ConnectionPhase {
    Silent, // New: nothing was received.
    Receiving, // A part of a request was received.
    Handling, // A complete request is handled. Not evicted.
    Sending, // A response waits for its caller to read.
    Idle, // Between two requests.
    Closing, // A request was refused, and what its caller still sends is discarded.
};

constexpr std::array<ConnectionPhase, 6> connectionPhases {
    ConnectionPhase::Silent,  ConnectionPhase::Receiving, ConnectionPhase::Handling,
    ConnectionPhase::Sending, ConnectionPhase::Idle,      ConnectionPhase::Closing,
};

struct ConnectionMemoryOptions
{
    std::size_t capacityBytes = 64 * 1024 * 1024;
    // A response is evicted only if its caller has read nothing for so long.
    Duration minSendStall = std::chrono::seconds(2);
    // A connection whose caller has sent nothing yet makes place for another one only after so
    // long: callers send their request as soon as they are connected.
    Duration minSilence = std::chrono::seconds(1);
};

// Not thread-safe: lives on the event loop. Outlives its reservations.
class ConnectionMemory
{
public:
    explicit ConnectionMemory(ConnectionMemoryOptions options) : m_options(options) { }
    ConnectionMemory(const ConnectionMemory &) = delete;
    ConnectionMemory &operator=(const ConnectionMemory &) = delete;

    // A connection as the memory sees it.
    class Owner
    {
    public:
        virtual ~Owner() = default;

        // Frees the buffers, reduces the reservation and ends the connection, after a refusal if a
        // part of a request was received. False if it must not end now, since bytes of a request
        // are waiting to be read.
        virtual bool evict(ConnectionPhase phase) = 0;
    };

    // The connections of one listening port, which compete for its places.
    using PortId = const void *;

    // The memory of one connection, returned by the destructor.
    class Reservation
    {
    public:
        // A connection is silent at first.
        Reservation(ConnectionMemory &memory, Owner &owner, PortId port, MonotonicTime now);
        ~Reservation();
        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

        // Sets what the connection holds. Evicts others to make room; false if there is none, or
        // the request is too large beside those that are handled: the size stays what it was.
        bool resize(std::size_t bytes, MonotonicTime now);

        // Whether a request of that size, which was announced, would be admitted now; otherwise it
        // counts as refused. Evicts responses that aren't read.
        bool admits(std::size_t bytes, MonotonicTime now);

        // resize() for what can't be refused. May exceed the capacity.
        void forceResize(std::size_t bytes, MonotonicTime now);

        // Starts a phase. For that time the connection is not evicted.
        void enter(ConnectionPhase phase, MonotonicTime now, Duration protection = {});

        // The request is complete: enters Handling, or returns false if it must be refused.
        bool commit(MonotonicTime now);

        // The caller has read a part of the response.
        void noteProgress(MonotonicTime now) { m_since = now; }

        ConnectionPhase phase() const { return m_phase; }

    private:
        friend class ConnectionMemory;

        ConnectionMemory &m_memory;
        Owner &m_owner;
        PortId m_port;
        ConnectionPhase m_phase = ConnectionPhase::Silent;
        std::size_t m_bytes = 0;
        MonotonicTime m_since; // Begin of the phase, or of the wait for the caller to read.
        MonotonicTime m_protectedUntil;
        bool m_isEvicted = false; // Since the phase began.
    };

    std::size_t capacity() const { return m_options.capacityBytes; }
    std::size_t usedBytes() const { return m_usedBytes; }
    std::size_t handledBytes() const { return m_handledBytes; }

    // The largest request that is admitted while no other is handled.
    std::size_t largestRequestBytes() const { return m_options.capacityBytes / 2; }

    // Ends a connection of the port so that another one can take its place: one that was refused,
    // else one that has sent nothing, one that is idle beyond its protection, the request that has
    // taken longest to arrive, a response that isn't read. False if all are needed.
    bool makePlace(PortId port, MonotonicTime now);

    std::int64_t evictions(ConnectionPhase phase) const
    {
        return m_evictions.at(static_cast<std::size_t>(phase));
    }
    std::int64_t refusals() const { return m_refusals; }

private:
    bool admits(std::size_t bytes) const;
    // Of the evictable ones that `filter` accepts, the one before all others; null if there is
    // none.
    template <typename Filter, typename Before>
    Reservation *firstEvictable(MonotonicTime now, Filter filter, Before before);
    // The one that has held the most memory for the longest time.
    template <typename Filter> Reservation *largestByteTime(MonotonicTime now, Filter filter);
    bool makeRoom(std::size_t more, const Reservation &requester, MonotonicTime now);
    bool isEvictable(const Reservation &reservation, MonotonicTime now) const;
    bool evict(Reservation &reservation);
    void setBytes(Reservation &reservation, std::size_t bytes);
    bool refuse();

    ConnectionMemoryOptions m_options;
    std::set<Reservation *> m_reservations;
    std::size_t m_usedBytes = 0; // Sum over all reservations.
    std::size_t m_handledBytes = 0; // Sum over those in Handling and Sending.
    std::array<std::int64_t, connectionPhases.size()> m_evictions {}; // By phase.
    std::int64_t m_refusals = 0;
};

const char *toString(ConnectionPhase phase);

} // namespace ramphinge
