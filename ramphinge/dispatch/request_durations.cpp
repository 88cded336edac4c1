// Estimates of durations: see request_durations.h.

#include "ramphinge/dispatch/request_durations.h"

#include <chrono>

namespace ramphinge {

namespace {

constexpr int smoothedShare = 8; // Of which a new duration makes up one.
constexpr int deviationShare = 4;
constexpr int deviations = 2;

} // namespace

void RequestDurations::note(const ServiceId &service, Duration took)
{
    const auto [found, isFirst] = m_estimates.try_emplace(service, Estimate { took, took / 2 });
    if (isFirst)
        return;
    Estimate &estimate = found->second;
    const Duration difference = took - estimate.smoothed;
    estimate.deviation += (std::chrono::abs(difference) - estimate.deviation) / deviationShare;
    estimate.smoothed += difference / smoothedShare;
}

std::optional<Duration> RequestDurations::usual(const ServiceId &service) const
{
    const auto found = m_estimates.find(service);
    if (found == m_estimates.end())
        return std::nullopt;
    return found->second.smoothed + deviations * found->second.deviation;
}

} // namespace ramphinge
