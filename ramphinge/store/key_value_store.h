// The platform's key-value service for coroutines on one event loop: compare-and-swap, leases and
// watches, with limited rates and outages.
//
// Errors are typed by what may have happened: ErrorKind::Unavailable and Overloaded say that the
// call had no effect, Unknown that it may have one or get one later, Conflict that a condition did
// not hold, Fenced that the lease is gone, NotFound that a watch's history is no longer there.

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ramphinge/base/result.h"
#include "ramphinge/net/io.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

struct StoreSnapshot
{
    Revision upTo; // Pass as `after` of the next watch.
    std::vector<StoredEntry> entries;
};

// One write of a transaction.
struct StoreWrite
{
    StoreKey key;
    std::string value;
    Revision expected; // absentRevision: the key must not exist.
    LeaseId lease = noLease; // The key vanishes with it.
};

struct GrantedLease
{
    LeaseId lease;
    Duration lifetime {}; // As the store decided.
};

// An answer to a watch that is this much later than the watch was to wait is lost: its connection
// may have gone silent. An answer takes 4 ms, and 240 ms from a store that is sixty times slower.
constexpr Duration watchLateness = std::chrono::milliseconds(600);

// Used on its event loop only. Every call returns within its timeout.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    // All keys below `prefix`. Pages may be of different moments; `upTo` is the first page's, so a
    // watch from there brings whatever changed meanwhile.
    virtual Result<StoreSnapshot> list(const StoreKey &prefix, Yield yield) = 0;

    // Waits up to `wait` for changes below `prefix` after a revision. Fails if there is no answer
    // `watchLateness` after that.
    virtual Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait,
                                     Yield yield) = 0;

    // Writes all or nothing, if every expected revision holds.
    virtual Result<Revision> commit(const std::vector<StoreWrite> &writes, Yield yield) = 0;

    virtual Result<GrantedLease> grantLease(Duration lifetime, Yield yield) = 0;
    virtual Status renewLease(LeaseId lease, Yield yield) = 0;
    virtual Status endLease(LeaseId lease, Yield yield) = 0;
};

} // namespace ramphinge
