// Answers followers' requests for store changes on behalf of a relay: long polls that are held
// until there is a change or their deadline passes.
//
// Pure: no clock, no network. Freshness travels with the response as a staleness: the time between
// the moment up to which the relay's view holds every change and the arrival of the request. The
// follower subtracts it from the time at which it sent the request, which is earlier than the
// arrival. Network delays and pauses of either process therefore only make the view appear older
// than it is, never newer.
//
//   feed.addRequest(from, request, now);
//   for (const UpdateResponse &response : feed.takeDue(now))
//       send(response.to, response.update);

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "ramphinge/peers/message.h"
#include "ramphinge/relay/change_log.h"
#include "ramphinge/relay/value_history.h"
#include "ramphinge/store/key_value_store.h"

namespace ramphinge {

struct UpdateFeedOptions
{
    // Keys and values in one response; the follower requests the rest at once. Bounds how long one
    // response occupies the link of the smallest machine (20 Mbit/s: 160 ms), and the relay's send
    // queue for it.
    std::size_t maxBytes = 400 * 1024;
    // The same for a part of a snapshot. Many daemons that have just started request snapshots at
    // the same time, and share the relay's link.
    std::size_t maxSnapshotBytes = 100 * 1024;
    // Limits the wait that a request asks for.
    Duration maxWait = std::chrono::seconds(5);
    // There is one pending request per daemon; this bounds the memory for requests under many
    // daemon ids.
    std::size_t maxPendingRequests = 1024;
};

struct UpdateResponse
{
    DaemonId to;
    StoreUpdateMessage update;
};

// Staleness of a partial update: high enough that it vouches for no freshness.
constexpr Duration unknownStaleness = std::chrono::hours(24);

// The time up to which a view with `update` holds every change, on the clock of the daemon that
// sent the request at `requestedAt`; `now` at the latest.
MonotonicTime localFreshnessTime(const StoreUpdateMessage &update, MonotonicTime requestedAt,
                                 MonotonicTime now);

// Not thread-safe: used on the event loop only.
class UpdateFeed
{
public:
    UpdateFeed(UpdateFeedOptions options, ChangeLogOptions log) : m_options(options), m_log(log) { }

    // Whether this daemon is a relay now. While it is not, all requests are declined and no changes
    // are logged.
    void setServing(bool serving);

    // The relay's own view was listed anew, advanced by a batch, or lost its store. `freshAsOf` is
    // the time up to which the view holds every change.
    void onListed(const StoreSnapshot &listed, MonotonicTime freshAsOf);
    void onAdvanced(const WatchBatch &batch, MonotonicTime freshAsOf);
    void onStoreLost() { m_storeReachable = false; }

    // Whether snapshots are to be served, and can't be for want of a listing.
    bool wantsListing() const { return m_serving && !m_hasEntries; }

    // A later request of the same daemon replaces the earlier one. A request beyond
    // maxPendingRequests is dropped.
    void addRequest(const DaemonId &from, const StoreUpdateRequestMessage &request,
                    MonotonicTime now);
    void cancelRequest(const DaemonId &from);

    // Removes the requests that can be answered now, and returns their responses.
    std::vector<UpdateResponse> takeDue(MonotonicTime now);

    // The earliest deadline of the pending requests; nullopt without requests.
    std::optional<MonotonicTime> nextDeadline() const;

private:
    struct PendingRequest
    {
        DaemonId from;
        StoreUpdateRequestMessage request;
        MonotonicTime requestedAt;
        MonotonicTime deadline;
    };

    // nullopt while the request has to wait.
    std::optional<StoreUpdateMessage> responseTo(const PendingRequest &pending, MonotonicTime now);
    bool addChanges(const StoreUpdateRequestMessage &request, StoreUpdateMessage &update);
    StoreUpdateMessage snapshotPart(const PendingRequest &pending) const;
    // nullopt if the request can be served.
    std::optional<UpdateVerdict> declineReason(const PendingRequest &pending,
                                               MonotonicTime now) const;

    UpdateFeedOptions m_options;
    ChangeLog m_log;
    ValueHistory m_largeValues; // Empty while this daemon is no relay.
    bool m_serving = false;
    bool m_logStarted = false; // m_log holds every change since its last restart.
    bool m_hasEntries = false; // The store was listed since this daemon serves.
    // The store's contents as of the log's end; empty unless m_hasEntries.
    std::map<StoreKey, StoredValue> m_entries;
    bool m_storeReachable = false; // The last call to the store succeeded.
    MonotonicTime m_freshAsOf; // The view holds every change up to this time.
    std::vector<PendingRequest> m_pending; // Invariant: at most one per daemon.
};

} // namespace ramphinge
