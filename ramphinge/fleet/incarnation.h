// One incarnation of a server: the name under which it is addressed, and the start time of its
// process.
//
// A server may restart under the same name. It then has none of its earlier state, and whatever was
// learned of it, ordered from it or planned with it belongs to the earlier incarnation. So servers
// are identified by HostId, which names one incarnation; the name alone is used only on the wire,
// and to find the incarnation that an entry of the store belongs to.
//
//   const HostId host = hostIdOf({ ServerName("i-7"), startedAt });
//   const ServerName name = incarnationOf(host).name; // For the wire.

#pragma once

#include <cstdint>
#include <string>

#include "ramphinge/base/ids.h"

namespace ramphinge {

using ServerName = Id<struct ServerNameTag>; // Stays the same across restarts.
// Unix time in milliseconds; 0 if the server doesn't report it. Of two incarnations under one name
// the later one is valid.
using StartTime = Quantity<struct StartTimeTag>;

struct Incarnation
{
    ServerName name;
    StartTime startedAt;
};

// Identifies one incarnation: equal for equal incarnations only. The bare name if the start time is
// unknown and the name has no '@'.
HostId hostIdOf(const Incarnation &incarnation);

// The inverse of hostIdOf().
Incarnation incarnationOf(const HostId &host);

} // namespace ramphinge
