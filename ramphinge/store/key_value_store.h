// The platform's key-value service for coroutines on one event loop: compare-and-swap, leases and
// watches. The service limits call rates and may be unreachable.
//
// The kind of an error says what may have happened: Unavailable and Overloaded mean that the call
// had no effect, Unknown that it may have had one or may have one later, Conflict that an expected
// revision did not match, Fenced that the lease no longer exists, NotFound that the history a watch
// needs has been discarded.

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
    LeaseId lease = noLease; // The key is deleted when it ends.
};

struct GrantedLease
{
    LeaseId lease;
    Duration lifetime {}; // As chosen by the store.
};

// How long after its wait a watch may still be answered; then it fails, since its connection may be
// dead without having been closed. An answer takes 4 ms, and 240 ms from a store that is sixty
// times slower.
constexpr Duration maxWatchLateness = std::chrono::milliseconds(600);

// Used on its event loop only. Every call returns within its timeout.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    // All keys below `prefix`. Pages may be read at different revisions; `upTo` is the revision of
    // the first page, so a watch from there returns all changes made in between.
    virtual Result<StoreSnapshot> list(const StoreKey &prefix, Yield yield) = 0;

    // The same, but possibly as of some seconds ago, for a tenth of the price and outside of the
    // limit on the rate of calls.
    virtual Result<StoreSnapshot> listPossiblyOld(const StoreKey &prefix, Yield yield) = 0;

    // Waits up to `wait` for changes below `prefix` after a revision. Fails if there is no answer
    // within `maxWatchLateness` after `wait`.
    virtual Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait,
                                     Yield yield) = 0;

    // Applies all writes atomically if every expected revision matches, otherwise none.
    virtual Result<Revision> commit(const std::vector<StoreWrite> &writes, Yield yield) = 0;

    virtual Result<GrantedLease> grantLease(Duration lifetime, Yield yield) = 0;
    virtual Status renewLease(LeaseId lease, Yield yield) = 0;
    virtual Status revokeLease(LeaseId lease, Yield yield) = 0;
};

} // namespace ramphinge
