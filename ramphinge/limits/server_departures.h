// Remembers the servers that said in an answer that they leave: they are sent no request any more
// in that life, whatever their entries in the store say later.
//
// Pure: no clock, no network.

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

struct ServerDeparturesOptions
{
    // The other daemons are told so often, for links that were being made.
    int tellings = 3;
    std::size_t mostToldAtOnce = 200; // Of some 20 bytes each.
    // Of a server that is no longer in the fleet; an entry that lapsed may come back.
    Duration goneMemory = std::chrono::minutes(10);
    std::size_t mostServers = 16 * 1024;
};

// Not thread-safe: lives on the event loop.
class ServerDepartures
{
public:
    explicit ServerDepartures(ServerDeparturesOptions options = {}) : m_options(options) { }

    // The server said so, to this daemon or another one. True if it was not known.
    bool note(const HostId &host);

    bool isLeaving(const HostId &host) const { return m_leaving.count(host) > 0; }

    // Whom the other daemons are to be told of now, as many as may be.
    std::vector<HostId> takeNews();

    void forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now);

    bool empty() const { return m_leaving.empty(); }
    std::vector<HostId> servers() const;

private:
    struct Departure
    {
        int tellings = 0; // That are left.
        std::optional<MonotonicTime> missingSince; // When the server was first not in the fleet.
    };

    ServerDeparturesOptions m_options;
    std::map<HostId, Departure> m_leaving;
};

} // namespace ramphinge
