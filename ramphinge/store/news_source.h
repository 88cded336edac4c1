// Changes of the store's keys that come by way of another daemon, and what a daemon tells of its
// own picture so that it can pass changes on.

#pragma once

#include "ramphinge/base/result.h"
#include "ramphinge/net/io.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct RelayedNews
{
    WatchBatch batch;
    // With the batch a picture holds every change up to this moment, on the asking side's clock.
    // Not later than true.
    MonotonicTime provenAt;
};

// Used on its event loop only.
class NewsSource
{
public:
    virtual ~NewsSource() = default;

    // Whether there is anybody to ask; `storeLost` as below.
    virtual bool canAsk(bool storeLost) const = 0;

    // Waits up to `wait` for changes after a revision. `storeLost` says that the asking side can't
    // reach the store itself: then a relay that can't either is waited for too. Errors: Unavailable
    // (no link, or the relay has no picture of its own now), NotFound (its memory does not reach
    // back), Overloaded (one change is larger than what is passed on), Unknown (no answer in time).
    virtual Result<RelayedNews> next(Revision after, Duration wait, bool storeLost,
                                     Yield yield) = 0;
};

// Follows the picture of a daemon that asks the store itself.
class PictureListener
{
public:
    virtual ~PictureListener() = default;

    // The picture was made anew: it holds all up to `upTo`, as of `provenAt`.
    virtual void pictureListed(Revision upTo, MonotonicTime provenAt) = 0;
    // It holds every change up to batch.upTo, and all there were at `provenAt`.
    virtual void pictureAdvanced(const WatchBatch &batch, MonotonicTime provenAt) = 0;
    // The store can't be reached, or the picture has a gap and will be made anew.
    virtual void pictureStopped() = 0;
};

} // namespace ramphinge
