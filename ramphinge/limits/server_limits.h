// The rates that servers state in their answers as the most that they accept, from all daemons
// together.
//
//   ServerLimits limits;
//   limits.noteAnswer(host, rate, sentAt, now);
//
// Pure: no clock, no network.

#pragma once

#include <map>
#include <optional>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

enum class LimitChange { None, Stated, Changed, Ended };

const char *toString(LimitChange change);

// Not thread-safe: lives on the event loop.
class ServerLimits
{
public:
    // An answer to a request that was sent at `sentAt`; `stated` is nothing if it states no rate.
    // A limit ends with an answer without one to a request that was sent after the last statement:
    // answers on different connections may overtake each other.
    LimitChange noteAnswer(const HostId &host, std::optional<RequestRate> stated,
                           MonotonicTime sentAt, MonotonicTime now);

    // What the server accepts; nothing if it states no limit.
    std::optional<RequestRate> rateOf(const HostId &host) const;

    std::size_t size() const { return m_limits.size(); }

private:
    struct Limit
    {
        RequestRate rate;
        MonotonicTime statedAt; // When an answer last stated it.
    };

    std::map<HostId, Limit> m_limits;
};

} // namespace ramphinge
