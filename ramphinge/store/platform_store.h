// The platform's key-value service and membership list, as the system sees them.
//
// The service is run by the users: compare-and-swap, leases, watches, limited rates, outages. A
// write may take effect while its answer is lost; such a call returns ErrorKind::Unknown, and the
// caller reads back before it decides. ErrorKind::Unavailable says that the call had no effect.
//
//   Result<Revision> won = store.compareAndSwap(key, value, absentRevision, lease);
//   if (!won.ok() && won.error().kind() == ErrorKind::Unknown)
//       ... read the key and look for our own change id ...

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
    Revision revision; // Of the last write to this key; grows over the whole store.
};

struct StoredEntry
{
    StoreKey key;
    StoredValue stored;
};

// One key's state after a change; no value means that it was erased or its lease lapsed.
struct StoreChange
{
    StoreKey key;
    std::optional<StoredValue> stored;
};

struct WatchBatch
{
    Revision upTo; // Pass as `after` of the next watch.
    bool complete = true; // False if history was lost: list again, then watch from `upTo`.
    std::vector<StoreChange> changes;
    // False if the answer may have been cut short: then it proves nothing about the present, and
    // the next watch brings more at once.
    bool reachesPresent = true;
};

enum class UpstreamKind { Engine, Service };

// One upstream host of the platform's membership list.
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

// Blocking; every function returns within the adapter's timeout. One object per thread unless the
// implementation says otherwise.
class PlatformStore
{
public:
    virtual ~PlatformStore() = default;

    // Nothing if the key is absent.
    virtual Result<std::optional<StoredValue>> read(const StoreKey &key) = 0;
    virtual Result<std::vector<StoredEntry>> list(const StoreKey &prefix) = 0;

    // Writes if the key's revision is `expected` (absentRevision: must not exist). With a lease the
    // key vanishes when the lease lapses. Errors: Conflict, Fenced (no such lease), Unknown,
    // Unavailable.
    virtual Result<Revision> compareAndSwap(const StoreKey &key, const std::string &value,
                                            Revision expected, LeaseId lease) = 0;
    virtual Status erase(const StoreKey &key, Revision expected) = 0;

    virtual Result<LeaseId> grantLease(Duration length) = 0;

    // Fenced if the lease has lapsed.
    virtual Status renewLease(LeaseId lease) = 0;
    virtual Status revokeLease(LeaseId lease) = 0;

    // Waits up to `wait` for changes below `prefix` after a revision.
    virtual Result<WatchBatch> watch(const StoreKey &prefix, Revision after, Duration wait) = 0;

    // Waits up to `wait` for a membership list newer than `after`.
    virtual Result<MemberList> members(Revision after, Duration wait) = 0;

    // Makes the call in progress and all later ones fail at once: for the end of the process. Any
    // thread may call it.
    virtual void interrupt() { }
};

// The current value, or Unavailable with a remedy if the key is absent.
Result<StoredValue> readExisting(PlatformStore &store, const StoreKey &key);

} // namespace ramphinge
