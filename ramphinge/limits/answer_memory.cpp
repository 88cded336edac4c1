// Memory of buffered responses: see answer_memory.h.

#include "ramphinge/limits/answer_memory.h"

#include <algorithm>
#include <utility>

namespace ramphinge {

namespace {

// Responses of at most this size are not evicted: what many of them need is bounded by the
// concurrency limits of the servers.
constexpr std::size_t smallBytes = 16 * 1024;
// The usual size follows larger responses at once, and smaller ones in steps of this share.
constexpr std::size_t usualBytesDecay = 16;
constexpr std::size_t maxServices = 4096;

} // namespace

AnswerMemory::Reservation::Reservation(AnswerMemory &memory, ServiceId service,
                                       std::function<void()> onEvicted)
    : m_memory(memory), m_service(std::move(service)), m_onEvicted(std::move(onEvicted))
{ }

AnswerMemory::Reservation::~Reservation()
{
    m_memory.m_evictable.erase(this);
    m_memory.m_usedBytes -= m_bytes;
}

bool AnswerMemory::Reservation::resize(std::size_t bytes)
{
    if (m_isEvicted)
        return false;
    m_memory.m_usedBytes = m_memory.m_usedBytes - m_bytes + bytes;
    m_bytes = bytes;
    if (bytes > smallBytes)
        m_memory.m_evictable.insert(this);
    else
        m_memory.m_evictable.erase(this);
    while (m_memory.m_usedBytes > m_memory.m_capacity && !m_isEvicted) {
        Reservation *const victim = m_memory.largestExcess();
        if (victim == nullptr)
            break;
        m_memory.evict(*victim);
        if (victim != this)
            victim->m_onEvicted();
    }
    return !m_isEvicted;
}

void AnswerMemory::Reservation::complete()
{
    m_memory.m_evictable.erase(this);
    m_memory.noteComplete(m_service, m_bytes);
}

AnswerMemory::Reservation *AnswerMemory::largestExcess() const
{
    const auto excess = [this](const Reservation *reservation) {
        const std::size_t usual = usualBytes(reservation->m_service);
        return reservation->m_bytes - std::min(usual, reservation->m_bytes);
    };
    const auto largest = std::max_element(m_evictable.begin(), m_evictable.end(),
                                          [&excess](const Reservation *a, const Reservation *b) {
                                              return std::make_pair(excess(a), a->m_bytes)
                                                  < std::make_pair(excess(b), b->m_bytes);
                                          });
    return largest == m_evictable.end() ? nullptr : *largest;
}

std::size_t AnswerMemory::usualBytes(const ServiceId &service) const
{
    const auto found = m_usualBytes.find(service);
    return found == m_usualBytes.end() ? smallBytes : found->second;
}

void AnswerMemory::noteComplete(const ServiceId &service, std::size_t bytes)
{
    const auto found = m_usualBytes.find(service);
    if (found != m_usualBytes.end())
        found->second = std::max(bytes, found->second - found->second / usualBytesDecay);
    else if (bytes > smallBytes && m_usualBytes.size() < maxServices)
        m_usualBytes.emplace(service, bytes);
    if (found != m_usualBytes.end() && found->second <= smallBytes)
        m_usualBytes.erase(found);
}

void AnswerMemory::evict(Reservation &reservation)
{
    m_evictable.erase(&reservation);
    m_usedBytes -= std::exchange(reservation.m_bytes, 0);
    reservation.m_isEvicted = true;
    ++m_evictions;
}

} // namespace ramphinge
