// Probes the upstream hosts that are assigned to this daemon and reports the observations.

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
    // Consecutive failed probes until a host counts as down; the probe after the first failure is
    // sent immediately.
    int missesUntilDown = 2;
};

class HostProber
{
public:
    HostProber(IoContext &io, const Clock &clock, HostProberOptions options,
               std::function<void(const HostObservation &)> onSeen);

    // Sets the hosts to probe; replaces the previous ones.
    void setTargets(const std::vector<Member> &targets);

    void stop();

    // Bytes of requests and responses so far, for the budget of control traffic.
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

// Parses a host's response to a probe that was sent at `madeAt`. nullopt if it is invalid.
std::optional<HostObservation> parseLoad(const HostId &host, const std::string &body,
                                         MonotonicTime madeAt);

} // namespace ramphinge
