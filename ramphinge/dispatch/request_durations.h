// How long requests of each service usually take, from their arrival to the end of their response.
// A daemon that is about to stop compares it with the time that it has left.

#pragma once

#include <map>
#include <optional>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

class RequestDurations
{
public:
    // A request of the service was answered with success.
    void note(const ServiceId &service, Duration took);

    // The time that most requests of the service take: the smoothed duration and twice its mean
    // deviation. Nothing if none was answered yet.
    std::optional<Duration> usual(const ServiceId &service) const;

private:
    // As in RFC 6298, of round trips.
    struct Estimate
    {
        Duration smoothed {};
        Duration deviation {};
    };

    std::map<ServiceId, Estimate> m_estimates;
};

} // namespace ramphinge
