// Admission of requests: see admission.h.

#include "ramphinge/dispatch/admission.h"

#include <algorithm>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

// The same request id always goes to the same service.
ServiceId pickService(const RouteEntry &route, const RequestId &request)
{
    double sum = 0;
    for (const WeightedTarget &target : route.targets)
        sum += target.weight;
    constexpr double hashRange = 18446744073709551616.0; // 2^64
    double at = static_cast<double>(stableHash(request.text())) / hashRange * sum;
    for (const WeightedTarget &target : route.targets) {
        at -= target.weight;
        if (at < 0)
            return target.service;
    }
    return route.targets.empty() ? ServiceId() : route.targets.back().service;
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
    if (state.catalog->asksForKeys() && !admitted.route->isPublic) {
        if (request.key)
            admitted.account = state.catalog->findAccount(*request.key);
        // A key that is unknown here may be a new one if this daemon has been cut off.
        if (!state.freshness.holds(now))
            return RefusalReason::StaleCatalog;
        if (admitted.account == nullptr)
            return RefusalReason::UnknownKey;
    }
    admitted.service = pickService(*admitted.route, request.request);
    const Duration patience = request.patience.value_or(admitted.route->timeout);
    admitted.deadline = now + std::min(patience, admitted.route->timeout);
    return admitted;
}

} // namespace ramphinge
