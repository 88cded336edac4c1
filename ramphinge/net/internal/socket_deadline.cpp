// Time limits on sockets: see socket_deadline.h.

#include "ramphinge/net/internal/socket_deadline.h"

#include <algorithm>

#include <poll.h>

#include "ramphinge/net/boot_timer.h"

namespace ramphinge {

namespace {

using ErrorCode = boost::system::error_code;

// Until a limit that has passed is checked again. The event loop serves what is ready well before.
// How long a limit is extended at least while data arrives that the event loop is late to read.
constexpr Duration minExtension = std::chrono::milliseconds(200);
constexpr Duration recheckInterval = std::chrono::milliseconds(20);

bool isReady(SocketDeadline::Socket &socket, short events)
{
    if (!socket.is_open())
        return false;
    pollfd polled { socket.native_handle(), events, 0 };
    return ::poll(&polled, 1, 0) > 0;
}

} // namespace

// One wait is pending while there is a limit. A limit that moves to a later time leaves it as it
// is: most limits never pass, and moving a timer with each operation costs more than waking early.
struct SocketDeadline::State : std::enable_shared_from_this<SocketDeadline::State>
{
    explicit State(IoContext &io) : timer(io) { }

    void wakeBy(MonotonicTime time)
    {
        if (wakesAt && *wakesAt <= time)
            return;
        wakesAt = time;
        timer.expires_at(time);
        timer.async_wait([state = weak_from_this(), time](const ErrorCode &ec) {
            const auto self = state.lock();
            if (self && !ec && self->wakesAt == time)
                self->wake();
        });
    }

    void wake()
    {
        wakesAt.reset();
        if (!limit)
            return;
        const MonotonicTime now = BootClock::now();
        if (now < *limit) {
            wakeBy(*limit);
            return;
        }
        const short event = waits == Waits::ForData ? POLLIN : POLLOUT;
        if (!readySince)
            readySince = now;
        const bool isOver = now - *readySince >= std::max(duration, minExtension);
        if (hasExpired || isOver || !isReady(*socket, event))
            endPending();
        else if (waits == Waits::ForRoom)
            setLimit(now, duration); // The peer has made progress.
        wakeBy(std::max(*limit, now + recheckInterval));
    }

    void setLimit(MonotonicTime now, Duration length)
    {
        duration = length;
        limit = now + length;
        readySince.reset();
    }

    // Between two reads of a composed operation there is nothing to cancel: closing ends it later.
    void endPending()
    {
        ErrorCode ignored;
        if (hasExpired)
            socket->close(ignored);
        else
            socket->cancel(ignored);
        hasExpired = true;
    }

    BootTimer timer;
    Socket *socket = nullptr; // Valid while there is a limit.
    Waits waits = Waits::ForData;
    Duration duration {};
    std::optional<MonotonicTime> limit;
    std::optional<MonotonicTime>
        readySince; // The first look after the limit; bounds the extension.
    std::optional<MonotonicTime> wakesAt;
    bool hasExpired = false;
};

SocketDeadline::SocketDeadline(IoContext &io) : m_state(std::make_shared<State>(io)) { }

SocketDeadline::~SocketDeadline() = default;

void SocketDeadline::expireAfter(Duration limit, Waits waits, Socket &socket)
{
    m_state->socket = &socket;
    m_state->waits = waits;
    m_state->hasExpired = false;
    m_state->setLimit(BootClock::now(), limit);
    m_state->wakeBy(*m_state->limit);
}

void SocketDeadline::clear()
{
    m_state->limit.reset();
}

bool SocketDeadline::expired() const
{
    return m_state->hasExpired;
}

bool isReadable(SocketDeadline::Socket &socket)
{
    return isReady(socket, POLLIN);
}

} // namespace ramphinge
