// Request admission: see admission.h.

#include "ramphinge/dispatch/admission.h"

#include <algorithm>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

// Picks a service by weight, from a hash of the request id, so that every attempt of one request
// goes to the same service. Returns no service if none has a weight.
ServiceId pickService(const RouteEntry &route, const RequestId &request)
{
    double totalWeight = 0;
    for (const WeightedTarget &target : route.targets)
        totalWeight += target.weight;
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    double point = static_cast<double>(stableHash(request.text())) / hashRange * totalWeight;
    ServiceId picked;
    for (const WeightedTarget &target : route.targets) {
        if (target.weight <= 0)
            continue;
        picked = target.service;
        point -= target.weight;
        if (point < 0)
            break;
    }
    return picked;
}

// Whether the daemon has the time that such requests usually take before it stops. Without
// experience it must have all the time that the request may take.
bool canFinish(const DispatchState &state, const AdmittedRequest &request, MonotonicTime now)
{
    if (!state.draining)
        return true;
    const Duration atMost = request.deadline - now;
    const Duration usual = state.durations.usual(request.service).value_or(atMost);
    return now + std::min(usual, atMost) <= state.answersUntil;
}

} // namespace

std::variant<AdmittedRequest, RefusalReason>
admit(const DispatchState &state, const IncomingRequest &request, MonotonicTime now)
{
    if (!state.catalog)
        return RefusalReason::NoCatalog;
    AdmittedRequest admitted;
    admitted.catalog = state.catalog;
    admitted.route = state.catalog->findRoute(request.host, request.path);
    if (admitted.route == nullptr)
        return RefusalReason::UnknownRoute;
    if (!admitted.route->isPublic) {
        // Checked before the key is rejected: a key that is missing from a stale catalog may have
        // been added since.
        if (state.needsFreshCatalog() && !state.freshness.isWithinBound(now))
            return RefusalReason::StaleCatalog;
        if (state.catalog->requiresKeys()) {
            if (request.key)
                admitted.account = state.catalog->findAccount(*request.key);
            if (admitted.account == nullptr)
                return RefusalReason::UnknownKey;
        }
    }
    admitted.service = pickService(*admitted.route, request.request);
    const Duration callerTimeout = request.callerTimeout.value_or(admitted.route->timeout);
    admitted.deadline = now + std::min(callerTimeout, admitted.route->timeout);
    if (!canFinish(state, admitted, now))
        return RefusalReason::Draining;
    return admitted;
}

} // namespace ramphinge
