// A time limit on the operations of one socket.
//
// A busy event loop runs its timers late, after data has arrived that nobody has read yet. So a
// limit that has passed asks the socket before it ends what is pending: an operation that can
// proceed is waiting for the loop, not for the peer.

#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "ramphinge/base/time.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

class SocketDeadline
{
public:
    using Socket = boost::asio::ip::tcp::socket;

    enum class Waits { ForData, ForRoom }; // To read; to write or to be connected.

    explicit SocketDeadline(IoContext &io);
    ~SocketDeadline();
    SocketDeadline(const SocketDeadline &) = delete;
    SocketDeadline &operator=(const SocketDeadline &) = delete;

    // Cancels the operations of `socket` after `limit` unless those of that direction can proceed.
    // They are cancelled again until the next call, in case another one began meanwhile. Replaces
    // the previous limit. `socket` must outlive the limit.
    void expireAfter(Duration limit, Waits waits, Socket &socket);

    void clear();

    // Whether operations were cancelled since the last call of expireAfter().
    bool expired() const;

private:
    struct State;
    std::shared_ptr<State> m_state; // Shared with the pending wait.
};

// Whether the socket has unread data, or its peer has closed it.
bool isReadable(SocketDeadline::Socket &socket);

} // namespace ramphinge
