// Looks at the upstream hosts that fall to this daemon, and says what it saw.

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "ramphinge/membership/host_view.h"
#include "ramphinge/net/http_client.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

struct HostProberOptions
{
    Duration interval = std::chrono::milliseconds(200);
    Duration timeout = std::chrono::milliseconds(250);
    // Missed looks in a row until a host counts as down; after the first, the next comes at once.
    int missesUntilDown = 2;
};

class HostProber
{
public:
    HostProber(IoContext &io, const Clock &clock, HostProberOptions options,
               std::function<void(const HostObservation &)> onSeen);

    // Starts and stops looking so that exactly these are looked at.
    void setTargets(const std::vector<Member> &targets);

    void stop();

    // Bytes of requests and answers so far, for the budget of control traffic.
    std::int64_t bytes() const { return m_bytes; }
    std::size_t targets() const { return m_targets.size(); }

private:
    void watch(const HostId &host, std::int64_t generation, Yield yield);
    bool look(const Member &member, Yield yield);

    struct Target
    {
        Member member;
        std::int64_t generation = 0;
    };

    IoContext &m_io;
    const Clock &m_clock;
    HostProberOptions m_options;
    std::function<void(const HostObservation &)> m_onSeen;
    std::unique_ptr<HttpClient> m_client;
    std::map<HostId, Target> m_targets;
    std::int64_t m_nextGeneration = 1;
    std::int64_t m_bytes = 0;
    bool m_stopped = false;
};

// Reads a host's answer to a look. `madeAt` is when the look began. Nothing if it makes no sense.
std::optional<HostObservation> parseLoad(const HostId &host, const std::string &body,
                                         MonotonicTime madeAt);

} // namespace ramphinge
