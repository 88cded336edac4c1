// Interface to the platform's key-value service and membership list.
//
// The service is operated by the users: it offers compare-and-swap, leases and watches, limits call
// rates and may be unreachable. A write may take effect although its answer is lost; such a call
// returns ErrorKind::Unknown, and the caller reads the key before it goes on.
// ErrorKind::Unavailable means that the call had no effect.
//
//   Result<Revision> won = store.compareAndSwap(key, value, absentRevision, lease);
//   if (!won.ok() && won.error().kind() == ErrorKind::Unknown)
//       ... read the key and compare its value with the one written ...

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

using StoreKey = Id<struct StoreKeyTag>;
using LeaseId = Quantity<struct LeaseIdTag>; // 0 is "no lease".

constexpr Revision absentRevision { 0 };
constexpr LeaseId noLease { 0 };

struct StoredValue
{
    std::string value;
    Revision revision; // Of the last write to this key; revisions increase across the whole store.
};

struct StoredEntry
{
    StoreKey key;
    StoredValue stored;
};

// One key's state after a change; no value if it was deleted or its lease lapsed.
struct StoreChange
{
    StoreKey key;
    std::optional<StoredValue> stored;
};

struct WatchBatch
{
    Revision upTo; // Pass as `after` of the next watch.
    bool complete = true; // False if changes were discarded: list again, then watch from `upTo`.
    std::vector<StoreChange> changes;
    // False if the answer may have been truncated: it then need not hold all changes made by now,
    // and the next watch returns more at once.
    bool reachesPresent = true;
};

enum class UpstreamKind { Engine, Service };

// An upstream's entry in the platform's membership list.
struct Member
{
    HostId host;
    Endpoint endpoint;
    ZoneId zone;
    DomainId domain;
    UpstreamKind kind = UpstreamKind::Engine;
    ServiceId service; // For plain services.
    int accelerators = 8;
    bool live = true;
    bool leaving = false;
};

struct MemberList
{
    Revision revision;
    std::vector<Member> members;
};

// Blocking; every function returns within the implementation's timeout, watches within that plus
// their wait. One object per thread unless the implementation says otherwise.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    // No value if the key is absent.
    virtual Result<std::optional<StoredValue>> read(const StoreKey &key) = 0;
    virtual Result<std::vector<StoredEntry>> list(const StoreKey &prefix) = 0;

    // Writes if the key's revision is `expected` (absentRevision: must not exist). With a lease,
    // the key is deleted when the lease lapses. Errors: Conflict, Fenced (no such lease), Unknown,
    // Unavailable.
    virtual Result<Revision> compareAndSwap(const StoreKey &key, const std::string &value,
                                            Revision expected, LeaseId lease) = 0;
    virtual Status erase(const StoreKey &key, Revision expected) = 0;

    virtual Result<LeaseId> grantLease(Duration lifetime) = 0;

    // Fenced if the lease has lapsed.
    virtual Status renewLease(LeaseId lease) = 0;
    virtual Status revokeLease(LeaseId lease) = 0;

    // Waits up to `wait` for changes below `prefix` after a revision.
    virtual Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait) = 0;

    // Waits up to `wait` for a membership list newer than `after`.
    virtual Result<MemberList> members(Revision after, Duration wait) = 0;

    // Makes the call in progress and all later ones fail at once, for shutting down. Thread-safe.
    virtual void interrupt() { }
};

// The key's current value. Errors: NotFound if the key is absent, and those of read().
Result<StoredValue> readExisting(PlatformStore &store, const StoreKey &key);

} // namespace ramphinge
