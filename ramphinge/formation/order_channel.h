// The interface over which the planner sends orders to upstream servers and probes them.

#pragma once

#include "ramphinge/formation/formation_planner.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

// What became of an order.
enum class OrderAnswer {
    Begun, // The server has started to carry it out; may take long.
    Done, // Carried out, or nothing was left to do.
    NotNow, // The server's present state doesn't allow it; worth a retry.
    Superseded, // The server has seen a newer epoch, or other members under the same epoch.
    OtherServer, // Another server has the address now.
    Refused, // Not carried out, for another reason.
    NoListener, // The server's address refuses connections.
    Unreachable, // No connection was made: the server is gone or partitioned. Not sent.
    Withheld, // Not sent: the server has asked for no requests at present.
    Unknown, // No answer: it may be carried out, even seconds later.
};

const char *toString(OrderAnswer answer);

class OrderChannel
{
public:
    virtual ~OrderChannel() = default;

    // Sends one order and returns within `timeout`. `fence` is the planner's fencing token: it
    // grows with each change of planner.
    virtual OrderAnswer send(const UpstreamServer &server, const ServerOrder &order, Epoch fence,
                             Duration timeout, Yield yield) = 0;

    // Probes the server: whether this very incarnation answers on a new connection within
    // `timeout`, since kept ones may live on while no new ones can be made. A server that has asked
    // for no requests isn't probed: it is known to answer.
    virtual bool answers(const UpstreamServer &server, Duration timeout, Yield yield) = 0;
};

} // namespace ramphinge
