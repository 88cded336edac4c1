// Decides whether a request may be served at all: its route, its key, and whether this daemon may
// still vouch for the key. Pure.

#pragma once

#include <variant>

#include "ramphinge/dispatch/dispatch_state.h"
#include "ramphinge/dispatch/requests.h"

namespace ramphinge {

// A request that may be served. The pointers live as long as `catalog`.
struct AdmittedRequest
{
    CatalogPointer catalog;
    const RouteEntry *route = nullptr;
    const AccountEntry *account = nullptr; // Null on public routes.
    ServiceId service; // The target that the route's weights picked.
    MonotonicTime deadline; // Of the caller or the route, whichever is sooner.

    int priority() const
    {
        return account != nullptr && account->priority ? *account->priority : route->priority;
    }
};

std::variant<AdmittedRequest, RefusalReason>
admit(const DispatchState &state, const IncomingRequest &request, MonotonicTime now);

} // namespace ramphinge
