// One life of a server: the name under which it is addressed, and when that life began.
//
// A server may start again under the name that it had. It then holds and knows nothing of before,
// and whatever was learned of it, ordered from it or planned with it belongs to the earlier life.
// So everything inside keeps servers by HostId, which names one life; the name alone is used only
// where somebody outside is spoken to, and to find out which life an entry of the store is of.
//
//   const HostId host = hostIdOf({ ServerName("i-7"), startedAt });
//   const ServerName name = incarnationOf(host).name; // For the wire.

#pragma once

#include <cstdint>
#include <string>

#include "ramphinge/base/ids.h"

namespace ramphinge {

using ServerName = Id<struct ServerNameTag>; // Stays the same over restarts.
// Unix milliseconds; 0 if the server doesn't say. Of two lives of a name the later one is valid.
using StartTime = Quantity<struct StartTimeTag>;

struct Incarnation
{
    ServerName name;
    StartTime startedAt;
};

// Names one life: equal for equal incarnations only. Just the name if the start is not known.
HostId hostIdOf(const Incarnation &incarnation);

// The inverse of hostIdOf().
Incarnation incarnationOf(const HostId &host);

} // namespace ramphinge
