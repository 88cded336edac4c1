// A daemon's part in relaying the store's changes within its availability zone. As a relay it
// answers the other daemons' requests; otherwise it requests updates from the relays of its zone.
//
// Links authenticate with a key that the planner writes to the store, so every participant could
// also read the store itself. Until the key is known there are no links, and each daemon reads the
// store. A relay that doesn't respond in time, or can't reach the store, is skipped for a while,
// and the next one is tried.
//
//   RelayNode relays(io, clock, options, log, metrics);
//   relays.setKey(key);             // From the store.
//   relays.setDaemons(daemons, directory); // From the store.
//   sync.useRelays(relays, relays);

#pragma once

#include <functional>
#include <map>
#include <memory>

#include "ramphinge/observe/decision_log.h"
#include "ramphinge/observe/metrics.h"
#include "ramphinge/peers/peer_network.h"
#include "ramphinge/relay/load_aggregator.h"
#include "ramphinge/relay/relay_choice.h"
#include "ramphinge/relay/relay_directory.h"
#include "ramphinge/relay/update_feed.h"
#include "ramphinge/store/update_source.h"

namespace ramphinge {

struct RelayNodeOptions
{
    DaemonRegistration self;
    RelayChoiceOptions choice;
    UpdateFeedOptions feed;
    ChangeLogOptions log;
    // Time for a response beyond the wait that was requested. A response takes 3 ms within a zone,
    // and up to 300 ms if the relay's processor is busy.
    Duration responseGrace = std::chrono::milliseconds(500);
    // Time for one part of a snapshot: hundreds of daemons may request one at the same time.
    Duration snapshotTimeout = std::chrono::seconds(3);
    // A larger snapshot is rejected. The entries of 6,000 servers and 2,000 daemons take 4 MB.
    std::size_t maxSnapshotBytes = 48 * 1024 * 1024;
    // A link is established in a few milliseconds; a machine that is off doesn't respond at all.
    Duration linkTimeout = std::chrono::milliseconds(800);
    // How long one request waits for its link. Without the wait, daemons that all start at once
    // would each read from the store what the relay could send them.
    Duration linkWait = std::chrono::milliseconds(150);
    // How long a relay is skipped that didn't respond or has lost the store.
    Duration relayBackoff = std::chrono::seconds(3);
    // The same for a relay without a view. One that restarts with its followers lists the store
    // within 0.3 s.
    Duration noViewBackoff = std::chrono::milliseconds(250);
    // How long after the last request a reserve acts as a relay.
    Duration reserveActiveTime = std::chrono::seconds(5);
    // Send queue for one follower; if it grows beyond, the link is closed. Holds two of the largest
    // responses: thirty followers that read nothing then take 30 MB of the 160 MB that the smallest
    // machines have.
    std::size_t maxLinkQueueBytes = 1024 * 1024;
    int maxUnprovedLinks = 64; // See PeerNetworkOptions.
    LoadAggregatorOptions loads;
    // Time between two load reports. A replica gets two or three requests in that time, and runs
    // fourteen at once.
    Duration loadInterval = std::chrono::milliseconds(250);
    // Longest sleep of run(): responses are late by this at most if no event wakes it.
    Duration maxIdleWait = std::chrono::seconds(1);
};

// Used on its event loop only.
class RelayNode : public UpdateSource, public ViewListener, private PeerHandler
{
public:
    RelayNode(IoContext &io, const Clock &clock, RelayNodeOptions options, DecisionLog &log,
              Metrics &metrics);

    // Sends responses when they are due, until stop().
    void run(Yield yield);
    void stop() { m_stopping = true; }

    // `own` returns this daemon's load; `onOthers` receives the sum of all other daemons' loads.
    void shareLoads(std::function<SharedLoad()> own,
                    std::function<void(const SharedLoad &)> onOthers);
    // `takeUpdate` returns what servers have newly said of themselves; `onUpdate` receives the
    // updates of other daemons. Updates are sent with each round of runLoads(), by way of the
    // relays; daemons of zones without relays send them to each other.
    void shareServerUpdates(std::function<ServerUpdate()> takeUpdate,
                            std::function<void(const ServerUpdate &)> onUpdate);
    // `takeUpdates` returns what this daemon has newly observed of what can be reached and, if its
    // argument is true, what it has to forward; `onUpdates` receives the updates of other daemons.
    // They take the same way as server updates.
    void
    shareReachability(std::function<std::vector<ReachabilityUpdate>(bool forwards)> takeUpdates,
                      std::function<void(const std::vector<ReachabilityUpdate> &)> onUpdates);
    // Sends what `takeUpdates` returns now. Called by the owner when there is something new, since
    // a round of runLoads() is too late.
    void sendReachability();
    // Calls exchangeLoads() each loadInterval, until stop().
    void runLoads(Yield yield);
    // Sends server updates and loads once.
    void exchangeLoads();

    // Closes all links, so that followers turn to another relay.
    void close();

    // Sets the key of the links. The port is opened once the key and other daemons to link with are
    // known. A later key has no effect on it: existing links were authenticated with the first.
    void setKey(const std::string &key);

    // Sets the registered daemons, including this one, and the relays that the directory in the
    // store names, of all zones. In a zone without any, relays are chosen from the registered
    // daemons.
    void setDaemons(const std::vector<DaemonRegistration> &daemons,
                    const RelayDirectory &directory = {});

    // Whether this daemon serves its view to others; it then reads the store itself.
    // Number of open links to other daemons and from whoever connects.
    int openLinks() const { return m_network == nullptr ? 0 : m_network->openLinks(); }

    bool isRelay() const { return m_role == Role::Relay || isActiveReserve(); }

    bool canAsk(bool storeLost) const override;
    Result<RelayedUpdate> next(Revision after, Duration wait, bool storeLost, Yield yield) override;
    void setDeltaBase(const StoredEntry &entry) override { m_deltaBase = entry; }
    Result<RelayedSnapshot> snapshot(Yield yield) override;

    void viewListed(const StoreSnapshot &listed, MonotonicTime freshAsOf) override;
    void viewAdvanced(const WatchBatch &batch, MonotonicTime freshAsOf) override;
    void viewStopped() override;
    bool wantsListing() const override { return m_updateFeed.wantsListing(); }

private:
    enum class Role { Follower, Reserve, Relay };

    struct Backoff
    {
        MonotonicTime until;
        bool storeLost = false; // The only reason is that the relay can't reach the store.
    };

    struct OutstandingRequest
    {
        CorrelationId id;
        std::optional<StoreUpdateMessage> response;
    };

    void onMessage(const DaemonId &from, const PeerMessage &message) override;
    void onLink(const DaemonId &peer, bool up) override;
    void openLinks();
    void sendLoadsAsRelay(const SharedLoad &own);
    void sendLoadAsFollower(SharedLoad own);
    void sendServerUpdate();
    void broadcast(const ServerUpdateMessage &update);
    void sendToRelay(const ServerUpdateMessage &update);
    // If there is no link, drops the message and starts to connect.
    void sendOrConnect(const DaemonRegistration &daemon, const PeerMessage &message);
    void sendDueResponses();
    bool isActiveReserve() const;
    RelayChoice relaysOf(const ZoneId &zone) const;
    void updateRelays();
    void findOtherDaemons();
    // The first available relay, with a link to it. Errors: Unavailable.
    Result<DaemonRegistration> linkedRelay(bool storeLost, Yield yield);
    // Sends a request to a relay and waits for the response. Errors: Unknown if there is none in
    // time, Unavailable and others if the relay declines.
    Result<StoreUpdateMessage> request(const DaemonRegistration &relay,
                                       StoreUpdateRequestMessage message, Duration timeout,
                                       Yield yield);
    // Errors: InvalidInput.
    Status applyDelta(const StoreDelta &delta, std::vector<StoreChange> &changes);
    Status addPart(const StoreUpdateMessage &part, std::size_t &bytes, StoreSnapshot &snapshot);
    // The first relay that is not in backoff; null if there is none. With `storeLost`, a relay in
    // backoff because it lost the store counts as available.
    const DaemonRegistration *firstAvailableRelay(MonotonicTime now, bool storeLost) const;
    // Connects if needed, and waits up to linkWait. False if there is no link then.
    bool waitForLink(const DaemonRegistration &relay, Yield yield);
    void backOff(const DaemonId &relay, const char *reason, Duration duration,
                 bool storeLost = false);

    IoContext &m_io;
    const Clock &m_clock;
    RelayNodeOptions m_options;
    DecisionLog &m_log;
    Metrics &m_metrics;
    UpdateFeed m_updateFeed;
    std::string m_key; // Of the links; empty until it is known.
    std::unique_ptr<PeerNetwork> m_network; // Null until the port is opened.
    std::vector<DaemonRegistration> m_daemons; // All that are registered.
    RelayDirectory m_directory;
    // The zone's relays in the order in which this daemon tries them, then the reserves.
    std::vector<DaemonRegistration> m_relays;
    Role m_role = Role::Follower;
    std::vector<DaemonRegistration> m_otherRelays; // Of all zones, except this daemon.
    // The daemons of zones without relays, except this daemon.
    std::vector<DaemonRegistration> m_daemonsWithoutRelay;
    DaemonId m_currentRelay; // The relay that sent the last update; empty before.
    LoadAggregator m_loads;
    SharedLoad m_lastReportedLoad; // This daemon's own load, as last sent to its relay.
    std::function<SharedLoad()> m_ownLoad; // Empty: loads are not shared.
    std::function<void(const SharedLoad &)> m_onOthersLoad;
    std::function<ServerUpdate()> m_takeServerUpdate; // Empty: server updates are not sent.
    std::function<void(const ServerUpdate &)> m_onServerUpdate;
    std::function<std::vector<ReachabilityUpdate>(bool forwards)> m_takeReachability; // Or empty.
    std::function<void(const std::vector<ReachabilityUpdate> &)> m_onReachability;
    std::optional<MonotonicTime> m_lastRequestAt; // When a follower last sent a request.
    std::map<DaemonId, Backoff> m_backoffs;
    std::map<DaemonId, MonotonicTime> m_connectingSince; // Relays without a link yet.
    OutstandingRequest m_request; // The latest request of next(); one at a time.
    std::int64_t m_lastRequestId = 0;
    std::optional<StoredEntry> m_deltaBase; // Of the view.
    Signal m_responseSignal; // A response to m_request has arrived, or a link has changed.
    Signal m_feedSignal; // A response of m_updateFeed may be due.
    bool m_stopping = false;
};

} // namespace ramphinge
