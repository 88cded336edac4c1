// Shares of memory and descriptors: see resource_plan.h.

#include "ramphinge/settings/resource_plan.h"

#include <algorithm>

namespace ramphinge {

namespace {

constexpr double bytesPerMegabyte = 1024.0 * 1024.0;
// The rest is for code, the fleet view, growing strings and the allocator.
constexpr double connectionShareOfMemory = 0.35;
constexpr double answerShareOfMemory = 0.14;
// The rest is for files, the store and proved links.
constexpr double callerShare = 0.6;
constexpr double forwardShare = 0.12;
constexpr double forwardedRequestShare = 0.1;
constexpr double statusShare = 0.01;
constexpr double unprovedLinkShare = 0.04;
constexpr double upstreamShare = 0.16;
// For a balancer or a scraper that opens a connection before it has closed the last one.
constexpr int minStatusConnections = 8;
// For the daemons that follow one relay and start at once.
constexpr int minUnprovedLinks = 16;

int shareOf(int descriptors, double share)
{
    return static_cast<int>(descriptors * share);
}

} // namespace

ResourcePlan planResources(const FleetSettings &settings, std::size_t largestAnswerBytes)
{
    const int descriptors = settings.fileDescriptors;
    ResourcePlan plan;
    plan.connectionMemoryBytes = static_cast<std::size_t>(
        settings.connectionMemoryMb.value_or(settings.memoryMb * connectionShareOfMemory)
        * bytesPerMegabyte);
    plan.answerMemoryBytes = std::max(
        static_cast<std::size_t>(settings.memoryMb * answerShareOfMemory * bytesPerMegabyte),
        largestAnswerBytes);
    plan.callers = shareOf(descriptors, callerShare);
    plan.forwards = shareOf(descriptors, forwardShare);
    plan.forwardedRequests = shareOf(descriptors, forwardedRequestShare);
    plan.status = std::max(minStatusConnections, shareOf(descriptors, statusShare));
    plan.unprovedLinks = std::max(minUnprovedLinks, shareOf(descriptors, unprovedLinkShare));
    plan.upstreams = shareOf(descriptors, upstreamShare);
    return plan;
}

} // namespace ramphinge
