// Store changes that a daemon receives from a relay (a daemon that watches the store for others),
// and the notifications about a relay's own view from which it serves them.

#pragma once

#include "ramphinge/base/result.h"
#include "ramphinge/net/io.h"
#include "ramphinge/store/key_value_store.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct RelayedUpdate
{
    WatchBatch batch;
    // A view to which the batch is applied holds every change up to this time at least, on the
    // requester's clock. May be too early, never too late.
    MonotonicTime freshAsOf;
};

// A relay's view, as of the first of the parts in which it was sent; a request for the changes
// after snapshot.upTo returns what changed meanwhile.
struct RelayedSnapshot
{
    StoreSnapshot snapshot;
    MonotonicTime freshAsOf; // As in RelayedUpdate.
};

// Used on its event loop only.
class UpdateSource
{
public:
    virtual ~UpdateSource() = default;

    // Whether there is a relay to ask; `storeLost` as in next().
    virtual bool canAsk(bool storeLost) const = 0;

    // Waits up to `wait` for changes after a revision. `storeLost` says that the requester can't
    // reach the store itself; a relay that can't reach it either then answers only when it can
    // again or `wait` is over. Errors: Unavailable (no link, or the relay has no current view),
    // NotFound (the relay's history does not reach back to the revision), Overloaded (one change
    // exceeds the size limit of a relayed answer), Unknown (no answer in time).
    virtual Result<RelayedUpdate> next(Revision after, Duration wait, bool storeLost,
                                       Yield yield) = 0;

    // A large value that the view holds: next() may then receive a later one as a delta.
    virtual void setDeltaBase(const StoredEntry &entry) = 0;

    // The whole view of a relay, for a daemon that has none or whose view is too old for changes.
    // Errors: as next(), and InvalidInput for a snapshot that can't be one.
    virtual Result<RelayedSnapshot> snapshot(Yield yield) = 0;
};

// Is notified of changes to the view of a daemon that watches the store itself.
class ViewListener
{
public:
    virtual ~ViewListener() = default;

    // The view was listed anew from the store: it holds all changes made by `freshAsOf`.
    virtual void viewListed(const StoreSnapshot &listed, MonotonicTime freshAsOf) = 0;
    // The view holds every change up to batch.upTo, and all made by `freshAsOf`.
    virtual void viewAdvanced(const WatchBatch &batch, MonotonicTime freshAsOf) = 0;
    // The store can't be reached, or the view misses changes and will be listed anew.
    virtual void viewStopped() = 0;
    // Whether the store should be listed though the view is current: a relay sends snapshots, and
    // the view doesn't keep the entries' bytes.
    virtual bool wantsListing() const = 0;
};

} // namespace ramphinge
