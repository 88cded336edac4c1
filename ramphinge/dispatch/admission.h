// Request admission: finds the route, authenticates the key, and checks that the catalog is fresh
// enough to trust the key. A pure function of its arguments.

#pragma once

#include <variant>

#include "ramphinge/dispatch/dispatch_state.h"
#include "ramphinge/dispatch/requests.h"

namespace ramphinge {

// A request that may be served. `route` and `account` point into `catalog`.
struct AdmittedRequest
{
    CatalogPointer catalog;
    const RouteEntry *route = nullptr;
    const AccountEntry *account = nullptr; // Null on public routes.
    ServiceId service; // Chosen among the route's weighted targets.
    MonotonicTime deadline; // The caller's or the route's, whichever is sooner.

    int priority() const
    {
        return account != nullptr && account->priority ? *account->priority : route->priority;
    }
};

// Returns the reason if the request has to be refused.
std::variant<AdmittedRequest, RefusalReason>
admit(const DispatchState &state, const IncomingRequest &request, MonotonicTime now);

} // namespace ramphinge
