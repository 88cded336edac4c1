// How orders reach upstream servers.

#pragma once

#include "ramphinge/formation/formation_planner.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

// What a server made of an order.
enum class OrderAnswer {
    Begun, // It will be done; may take long.
    Done, // The state already holds, or the order is carried out.
    NotNow, // It does not fit the server's state.
    Superseded, // The server has seen a newer epoch, or another list under the same.
    OtherServer, // Another server has the address now.
    Refused, // Certainly not carried out, for another reason.
    NoListener, // Nobody listens at the server's address any more.
    Unreachable, // No connection was made: the server is gone or cut off. Certainly not sent.
    Withheld, // Not sent: the server has asked for no requests for now.
    Unknown, // May be carried out, also much later.
};

const char *toString(OrderAnswer answer);

class OrderChannel
{
public:
    virtual ~OrderChannel() = default;

    // Sends one order; answers within `timeout`. `fence` grows with each change of planner.
    virtual OrderAnswer send(const UpstreamServer &server, const ServerOrder &order, Epoch fence,
                             Duration timeout, Yield yield) = 0;

    // Whether that very server answers within `timeout`. One that has asked for no requests isn't
    // asked: it answered then.
    virtual bool answers(const UpstreamServer &server, Duration timeout, Yield yield) = 0;
};

} // namespace ramphinge
