// What daemons say to each other: typed messages, CBOR on the wire, versioned.
//
// A receiver ignores message types and fields that it does not know, so that daemons of two
// versions can work side by side during a rollout.

#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "ramphinge/base/result.h"
#include "ramphinge/claims/claim_table.h"
#include "ramphinge/claims/slots.h"
#include "ramphinge/fleet/place_load.h"
#include "ramphinge/limits/fair_queue.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/membership/host_view.h"
#include "ramphinge/membership/peer_state.h"
#include "ramphinge/observe/hybrid_clock.h"
#include "ramphinge/store/platform_store.h"

namespace ramphinge {

using CorrelationId = Quantity<struct CorrelationTag>;

// The sender's own state. `heardAt` is set by the receiver.
struct StatusMessage
{
    PeerState state;
    HybridTime time;
};

// What the sender knows of hosts. Ages travel instead of times, since clocks differ.
struct ObservationsMessage
{
    struct Aged
    {
        HostObservation observation; // madeAt is not sent.
        Duration age;
    };
    std::vector<Aged> observations;
    bool urgent = false; // News of a host's health: passed on at once.
};

// Service that the sender gave since it last told this receiver.
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

struct SettleMessage
{
    SlotId slot;
    ClaimAttempt attempt;
    ClaimOutcome outcome = ClaimOutcome::MayHaveRun;
    std::optional<KeptAnswer> answer;
};

// A slot's memory, from an owner that is stopping to its successor. The sender grants nothing more.
struct HandoverMessage
{
    SlotId slot;
    std::int64_t reign = 0; // Of the sender.
    WallTime vouchesSince;
    std::vector<ClaimRecord> records;
    bool isCopy = false; // The owner goes on; each grant follows as a CopyGrantMessage.
};

struct HandoverAckMessage
{
    SlotId slot;
    std::int64_t reign = 0;
    bool isCopy = false;
};

// A grant that the copy's holder must remember before it counts.
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

// The answer of a daemon to a proposed change of configuration.
struct ConfirmMessage
{
    ChangeId change;
    bool accepts = false;
    std::string message; // Why not.
};

// The sender serves this version.
struct InForceMessage
{
    std::int64_t version = 0;
};

struct ConfigQueryMessage
{
};

// Whole configurations in their stored form: the accepted one, and a confirmed proposal whose
// decision the sender does not know, or empty.
struct ConfigMessage
{
    std::string accepted;
    std::string prepared;
};

// Asks a relay for the changes of the store after a revision.
struct StoreUpdateRequestMessage
{
    CorrelationId id;
    Revision after;
    Duration wait {}; // For a first change; in whole milliseconds on the wire.
    bool storeLost = false; // The sender can't reach the store itself.
};

enum class UpdateVerdict {
    Update, // All changes after the asked revision, up to `upTo`; there may be none.
    NoView, // The receiver is no relay, or has just begun to be one.
    StoreLost, // It can't reach the store either.
    TooOld, // Its memory does not reach back to the asked revision.
    TooLarge, // There are more changes than it passes on at once.
};

struct StoreUpdateMessage
{
    CorrelationId id; // Of the question.
    UpdateVerdict verdict = UpdateVerdict::NoView;
    Revision upTo;
    // How long before the question arrived the relay's picture held every change; negative if it
    // held them later. Whole milliseconds on the wire, rounded up.
    Duration staleness {};
    std::vector<StoreChange> changes; // The newest of each key, in order.
    bool moreFollow = false; // There are changes after `upTo`: the next question brings them.
};

// What the sender has under way, or, from one relay to another, the sum over all that follow it.
struct LoadReportMessage
{
    bool ofGroup = false;
    SharedLoad load;
};

// From a relay to those that follow it: the sum over all daemons that any relay knows of.
struct LoadSumMessage
{
    SharedLoad load;
};

// What servers said of themselves, as far as it is news.
struct ServerUpdateMessage
{
    ServerNews update;
};

using PeerMessage =
    std::variant<StatusMessage, ObservationsMessage, ServiceMessage, ClaimRequestMessage,
                 ClaimReplyMessage, SettleMessage, HandoverMessage, HandoverAckMessage,
                 ConfirmMessage, InForceMessage, ConfigQueryMessage, ConfigMessage,
                 CopyGrantMessage, CopyAckMessage, StoreUpdateRequestMessage, StoreUpdateMessage,
                 LoadReportMessage, LoadSumMessage, ServerUpdateMessage>;

std::string encode(const PeerMessage &message);

// `now` turns ages into local times. Errors: InvalidInput for anything that is not a message;
// NotFound for a type that this version does not know.
Result<PeerMessage> decode(const std::string &bytes, MonotonicTime now);

} // namespace ramphinge
