// Messages between daemons: typed, versioned, encoded as CBOR.
//
// A receiver ignores message types and fields that it does not know, so that daemons of two
// versions can work side by side during a rollout.

#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ramphinge/base/delta.h"
#include "ramphinge/base/result.h"
#include "ramphinge/claims/claim_table.h"
#include "ramphinge/claims/slots.h"
#include "ramphinge/fleet/target_load.h"
#include "ramphinge/limits/fair_queue.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/membership/host_view.h"
#include "ramphinge/membership/peer_state.h"
#include "ramphinge/observe/hybrid_clock.h"
#include "ramphinge/reachability/reachability.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

using CorrelationId = Quantity<struct CorrelationTag>;

// The sender's own state. `state.heardAt` is not sent; the receiver sets it.
struct StatusMessage
{
    PeerState state;
    HybridTime time;
};

// The sender's observations of hosts. They carry ages instead of times, since clocks differ.
struct ObservationsMessage
{
    struct Aged
    {
        HostObservation observation; // madeAt is not sent.
        Duration age;
    };
    std::vector<Aged> observations;
    bool urgent = false; // Sent at once on a change of a host, not in a gossip round.
};

// Tokens that the sender has served each account since its last such message to this receiver.
struct ServiceMessage
{
    ModelId model;
    std::vector<AccountTokens> service;
};

struct ClaimRequestMessage
{
    CorrelationId id;
    SlotId slot;
    ClaimAttempt attempt;
};

struct ClaimReplyMessage
{
    CorrelationId id;
    ClaimAnswer answer;
};

// The outcome of a granted claim, for the owner of its slot.
struct SettleMessage
{
    SlotId slot;
    ClaimAttempt attempt;
    ClaimOutcome outcome = ClaimOutcome::MayHaveRun;
    std::optional<KeptAnswer> answer; // Returned to later attempts with the same key.
};

// A slot's claim records, from an owner that is stopping to its successor. The sender grants no
// more claims for the slot.
struct HandoverMessage
{
    SlotId slot;
    std::int64_t reign = 0; // How many owners the slot has had, the sender included.
    WallTime soleOwnerSince;
    std::vector<ClaimRecord> records;
    bool isCopy = false; // The sender remains the owner; each grant follows as a CopyGrantMessage.
};

struct HandoverAckMessage
{
    SlotId slot;
    std::int64_t reign = 0;
    bool isCopy = false;
};

// A grant that takes effect only when the holder of the copy has recorded and acknowledged it.
struct CopyGrantMessage
{
    CorrelationId id;
    SlotId slot;
    std::int64_t reign = 0;
    ClaimAttempt attempt;
};

struct CopyAckMessage
{
    CorrelationId id;
};

// A daemon's response to a proposed change of configuration.
struct ConfirmMessage
{
    ChangeId change;
    bool accepts = false;
    std::string message; // The reason if it does not accept.
};

// The sender serves with this version of the configuration.
struct InForceMessage
{
    std::int64_t version = 0;
};

// Asks the receiver for its ConfigMessage.
struct ConfigQueryMessage
{
};

// Complete configurations in their stored form.
struct ConfigMessage
{
    std::string accepted;
    std::string prepared; // A confirmed proposal whose outcome the sender doesn't know; or empty.
};

// Requests the store's changes after a revision from a relay, as a long poll.
struct DeltaBase
{
    StoreKey key;
    Revision revision; // Of the value.
};

// A value as it differs from the requester's DeltaBase.
struct StoreDelta
{
    StoreKey key;
    Revision revision; // Of the value that it describes.
    Delta delta;
};

struct StoreUpdateRequestMessage
{
    CorrelationId id;
    Revision after;
    Duration wait {}; // Longest wait for a first change; in whole milliseconds on the wire.
    bool storeLost = false; // The sender can't reach the store itself.
    // Requests a part of a snapshot instead of changes: the entries whose keys follow this one; an
    // empty key stands for the beginning. A relay that doesn't know the field sends changes.
    std::optional<StoreKey> snapshotAfter;
    // A large value that the sender holds: a later one of its key may be sent as a delta.
    std::optional<DeltaBase> deltaBase;
};

enum class UpdateVerdict {
    Update, // All changes after the requested revision, up to `upTo`; there may be none.
    NoView, // The daemon is not a relay, or has just become one and has no view yet.
    StoreLost, // The relay can't reach the store either.
    TooOld, // The relay's change log does not reach back to the requested revision.
    TooLarge, // The changes of one revision exceed what the relay sends in one message.
};

struct StoreUpdateMessage
{
    CorrelationId id; // Of the request.
    UpdateVerdict verdict = UpdateVerdict::NoView;
    Revision upTo;
    // Time from the moment up to which the relay's view holds every change to the arrival of the
    // request; negative if that moment is after the arrival. Whole milliseconds on the wire,
    // rounded up.
    Duration staleness {};
    std::vector<StoreChange> changes; // The newest of each key, in revision order.
    bool moreFollow = false; // There are changes after `upTo`; another request returns them.
    // A part of a snapshot: `changes` are entries in the order of their keys, and `moreFollow` says
    // that there are entries with later keys.
    bool isSnapshot = false;
    std::optional<StoreDelta> delta; // Of a key that isn't among `changes`.
};

// The sender's load, or, from one relay to another, the sum over the sender and its followers.
struct LoadReportMessage
{
    bool isGroupSum = false;
    SharedLoad load;
};

// From a relay to its followers: the sum over all daemons that any relay has reports of.
struct TotalLoadMessage
{
    SharedLoad load;
};

// What is new about servers: what they have said of themselves (their request limits, and that they
// are leaving), and which can be reached.
struct ServerUpdateMessage
{
    ServerUpdate update;
    std::vector<ReachabilityUpdate> reachability;
};

using PeerMessage =
    std::variant<StatusMessage, ObservationsMessage, ServiceMessage, ClaimRequestMessage,
                 ClaimReplyMessage, SettleMessage, HandoverMessage, HandoverAckMessage,
                 ConfirmMessage, InForceMessage, ConfigQueryMessage, ConfigMessage,
                 CopyGrantMessage, CopyAckMessage, StoreUpdateRequestMessage, StoreUpdateMessage,
                 LoadReportMessage, TotalLoadMessage, ServerUpdateMessage>;

std::string encode(const PeerMessage &message);

// `now` converts ages to local times. Errors: InvalidInput for bytes that are not a valid message;
// NotFound for a message type that this version does not know.
Result<PeerMessage> decode(const std::string &bytes, MonotonicTime now);

} // namespace ramphinge
