// Estimates how often servers are lost, from the losses seen within a short window: the rate that
// spare servers have to cover until the next load ends.
//
//   estimator.observe(servers, now);     // each pass
//   estimator.perServerSecond(service, servers, now)

#pragma once

#include <deque>

#include "ramphinge/base/time.h"
#include "ramphinge/fleet/fleet_view.h"

namespace ramphinge {

struct LossRateOptions
{
    // Losses are counted for this long: a load takes longer, so what was lost within it has not
    // been replaced yet.
    Duration window = std::chrono::seconds(10);
    // Losses in one domain within this time have a common cause and count once: a domain or a zone
    // that becomes unreachable is no reason to expect the next one to do so.
    Duration correlationWindow = std::chrono::seconds(1);
};

// Not thread-safe: lives on the event loop.
class LossRateEstimator
{
public:
    explicit LossRateEstimator(LossRateOptions options) : m_options(options) { }

    // Servers that disappeared since the last call are lost, unless they were draining. One that
    // comes back is no longer counted.
    void observe(const ServerMap &servers, MonotonicTime now);

    // Losses in one second for each of the service's servers in a domain; 0 if it has none.
    double perServerSecond(const ServiceId &service, const ServerMap &servers,
                           MonotonicTime now) const;

private:
    struct Loss
    {
        HostId host;
        ServiceId service;
        DomainId domain;
        MonotonicTime at;
    };

    struct Present
    {
        ServiceId service;
        DomainId domain;
        bool isDraining = false;
    };

    void add(const HostId &host, const Present &server, MonotonicTime now);

    LossRateOptions m_options;
    std::map<HostId, Present> m_present; // As of the last call of observe().
    std::deque<Loss> m_losses; // In order of time; those outside the window are dropped.
};

} // namespace ramphinge
