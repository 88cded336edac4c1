// Memory of the connections of all ports: see connection_memory.h.

#include "ramphinge/limits/connection_memory.h"

#include <algorithm>
#include <tuple>

namespace ramphinge {

namespace {

bool isHandled(ConnectionPhase phase)
{
    return phase == ConnectionPhase::Handling || phase == ConnectionPhase::Sending;
}

// Which phase makes place first; the phases that never do come last.
int placeRank(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::Closing:
        return 0;
    case ConnectionPhase::Silent:
        return 1;
    case ConnectionPhase::Idle:
        return 2;
    case ConnectionPhase::Receiving:
        return 3;
    case ConnectionPhase::Sending:
        return 4;
    case ConnectionPhase::Handling:
        break;
    }
    return 5;
}

} // namespace

ConnectionMemory::Reservation::Reservation(ConnectionMemory &memory, Owner &owner, PortId port,
                                           MonotonicTime now)
    : m_memory(memory), m_owner(owner), m_port(port), m_since(now), m_protectedUntil(now)
{
    m_memory.m_reservations.insert(this);
}

ConnectionMemory::Reservation::~Reservation()
{
    m_memory.setBytes(*this, 0);
    m_memory.m_reservations.erase(this);
}

bool ConnectionMemory::Reservation::resize(std::size_t bytes, MonotonicTime now)
{
    if (bytes > m_bytes) {
        if (m_isEvicted)
            return false;
        if (!isHandled(m_phase) && !admits(bytes, now))
            return false;
        if (!m_memory.makeRoom(bytes - m_bytes, *this, now))
            return m_memory.refuse();
    }
    m_memory.setBytes(*this, bytes);
    return true;
}

void ConnectionMemory::Reservation::forceResize(std::size_t bytes, MonotonicTime now)
{
    if (bytes > m_bytes)
        static_cast<void>(m_memory.makeRoom(bytes - m_bytes, *this, now));
    m_memory.setBytes(*this, bytes);
}

void ConnectionMemory::Reservation::enter(ConnectionPhase phase, MonotonicTime now,
                                          Duration protection)
{
    const std::size_t bytes = m_bytes;
    m_memory.setBytes(*this, 0);
    m_phase = phase;
    m_isEvicted = false;
    m_since = now;
    m_protectedUntil = now + protection;
    m_memory.setBytes(*this, bytes);
}

bool ConnectionMemory::Reservation::commit(MonotonicTime now)
{
    if (m_isEvicted)
        return false;
    if (!admits(m_bytes, now))
        return false;
    enter(ConnectionPhase::Handling, now);
    return true;
}

bool ConnectionMemory::Reservation::admits(std::size_t bytes, MonotonicTime now)
{
    while (!m_memory.admits(bytes)) {
        Reservation *const unread = m_memory.largestByteTime(now, [](const Reservation &other) {
            return other.m_phase == ConnectionPhase::Sending;
        });
        if (unread == nullptr || !m_memory.evict(*unread))
            return m_memory.refuse();
    }
    return true;
}

bool ConnectionMemory::admits(std::size_t bytes) const
{
    const std::size_t free =
        m_options.capacityBytes - std::min(m_handledBytes, m_options.capacityBytes);
    return bytes <= free / 2;
}

void ConnectionMemory::setBytes(Reservation &reservation, std::size_t bytes)
{
    m_usedBytes = m_usedBytes - reservation.m_bytes + bytes;
    if (isHandled(reservation.m_phase))
        m_handledBytes = m_handledBytes - reservation.m_bytes + bytes;
    reservation.m_bytes = bytes;
}

bool ConnectionMemory::refuse()
{
    ++m_refusals;
    return false;
}

bool ConnectionMemory::isEvictable(const Reservation &reservation, MonotonicTime now) const
{
    if (reservation.m_isEvicted || now < reservation.m_protectedUntil)
        return false;
    if (reservation.m_phase == ConnectionPhase::Sending)
        return now - reservation.m_since >= m_options.minSendStall;
    return reservation.m_phase != ConnectionPhase::Handling;
}

template <typename Filter, typename Before>
ConnectionMemory::Reservation *ConnectionMemory::firstEvictable(MonotonicTime now, Filter filter,
                                                                Before before)
{
    Reservation *first = nullptr;
    for (Reservation *reservation : m_reservations) {
        if (isEvictable(*reservation, now) && filter(*reservation)
            && (first == nullptr || before(*reservation, *first)))
            first = reservation;
    }
    return first;
}

template <typename Filter>
ConnectionMemory::Reservation *ConnectionMemory::largestByteTime(MonotonicTime now, Filter filter)
{
    const auto byteTime = [now](const Reservation &reservation) {
        return static_cast<double>(reservation.m_bytes)
            * static_cast<double>((now - reservation.m_since).count());
    };
    return firstEvictable(
        now,
        [&filter](const Reservation &reservation) {
            return reservation.m_bytes > 0 && filter(reservation);
        },
        [&byteTime](const Reservation &a, const Reservation &b) {
            return byteTime(a) > byteTime(b);
        });
}

// Evicts what has held the most memory for the longest time until that much is free. The requester
// takes part: false if it is the one that would be evicted, or nothing else can be.
bool ConnectionMemory::makeRoom(std::size_t more, const Reservation &requester, MonotonicTime now)
{
    std::set<const Reservation *> kept; // Refused to be evicted.
    while (m_usedBytes + more > m_options.capacityBytes) {
        Reservation *const victim = largestByteTime(
            now, [&kept](const Reservation &reservation) { return kept.count(&reservation) == 0; });
        if (victim == nullptr || victim == &requester)
            return false;
        if (!evict(*victim))
            kept.insert(victim);
    }
    return true;
}

bool ConnectionMemory::makePlace(PortId port, MonotonicTime now)
{
    std::set<const Reservation *> kept; // Refused to be evicted.
    const auto isCandidate = [&](const Reservation &reservation) {
        const bool isNew = reservation.m_phase == ConnectionPhase::Silent
            && now - reservation.m_since < m_options.minSilence;
        return reservation.m_port == port && !isNew && kept.count(&reservation) == 0;
    };
    const auto isBefore = [](const Reservation &a, const Reservation &b) {
        return std::make_tuple(placeRank(a.m_phase), a.m_since)
            < std::make_tuple(placeRank(b.m_phase), b.m_since);
    };
    while (true) {
        Reservation *const victim = firstEvictable(now, isCandidate, isBefore);
        if (victim == nullptr)
            return false;
        if (evict(*victim))
            return true;
        kept.insert(victim);
    }
}

bool ConnectionMemory::evict(Reservation &reservation)
{
    const ConnectionPhase phase = reservation.m_phase;
    reservation.m_isEvicted = true; // Entering another phase resets it.
    if (!reservation.m_owner.evict(phase)) {
        reservation.m_isEvicted = false;
        return false;
    }
    ++m_evictions.at(static_cast<std::size_t>(phase));
    return true;
}

const char *toString(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::Silent:
        return "silent";
    case ConnectionPhase::Receiving:
        return "receiving";
    case ConnectionPhase::Handling:
        return "handling";
    case ConnectionPhase::Sending:
        return "sending";
    case ConnectionPhase::Idle:
        return "idle";
    case ConnectionPhase::Closing:
        break;
    }
    return "closing";
}

} // namespace ramphinge
