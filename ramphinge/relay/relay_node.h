// A daemon's part in passing the store's changes on within its availability zone: it answers others
// while it is a relay, and asks the zone's relays while it is not.
//
// Links prove a key that the planner writes to the store, so whoever takes part could read the
// store too; until the key is known nobody is linked and everybody asks the store. A relay that
// gives no answer in time, or can't reach the store, is passed over for a while, and the next one
// is asked.
//
//   RelayNode relays(io, clock, options, log, metrics);
//   relays.setKey(key);             // From the store.
//   relays.setDaemons(daemons);     // From the store.
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
#include "ramphinge/relay/update_feed.h"
#include "ramphinge/store/news_source.h"

namespace ramphinge {

struct RelayNodeOptions
{
    RelayCandidate self;
    RelayChoiceOptions choice;
    UpdateFeedOptions feed;
    ChangeLogOptions log;
    // An answer that comes so long after the time that was to be waited is lost: within a zone one
    // takes 3 ms, and up to 300 ms where a relay's processor is busy.
    Duration lateness = std::chrono::milliseconds(500);
    // A link is made in a few milliseconds; a machine that is off doesn't answer at all.
    Duration linkTimeout = std::chrono::milliseconds(800);
    // A question waits for its link for so long: where all daemons start at once, the store would
    // tell each of them what the relay can.
    Duration linkPatience = std::chrono::milliseconds(150);
    // How long a relay is passed over that gave no answer, or had none to give.
    Duration avoidance = std::chrono::seconds(3);
    // The same for one that will have news in a moment.
    Duration shortAvoidance = std::chrono::milliseconds(700);
    // A reserve is a relay for so long after it was asked.
    Duration reserveServes = std::chrono::seconds(5);
    // To one follower; beyond it the link is closed. Two of the largest answers: thirty followers
    // that read nothing then hold 30 MB of the 160 MB that the smallest machines have.
    std::size_t mostQueuedBytes = 1024 * 1024;
    LoadAggregatorOptions loads;
    // Between two reports of what is under way. In that time a replica gets two or three requests
    // of the fourteen that it runs at once.
    Duration loadInterval = std::chrono::milliseconds(250);
    // At the latest so long after their time are answers given, if nothing else happens.
    Duration idle = std::chrono::seconds(1);
};

// Lives on the event loop.
class RelayNode : public NewsSource, public PictureListener, private PeerHandler
{
public:
    RelayNode(IoContext &io, const Clock &clock, RelayNodeOptions options, DecisionLog &log,
              Metrics &metrics);

    // Runs until stop(): gives answers when they are due.
    void run(Yield yield);
    void stop() { m_stopping = true; }

    // What this daemon has under way, and who is to hear what the others have.
    void shareLoads(std::function<SharedLoad()> own,
                    std::function<void(const SharedLoad &)> onOthers);
    // What is news of servers' own statements, and who is to hear the others' news. They go the way
    // of the loads; daemons of zones without relays tell each other, as soon as there is any.
    void shareServerNews(std::function<ServerNews()> takeNews,
                         std::function<void(const ServerNews &)> onNews);
    // Runs until stop(): tells and hears what is under way.
    void runLoads(Yield yield);
    // One round of runLoads().
    void exchangeLoads();

    // Ends all links: those that ask this daemon turn to another one.
    void close();

    // The key of the links, as soon as it is known. The port is opened when there is a key and the
    // zone has relays; a key that comes later is left alone, since links were proved with the
    // first.
    void setKey(const std::string &key);

    // The registered daemons, this one among them.
    void setDaemons(const std::vector<RelayCandidate> &daemons);

    // Whether others follow this daemon's picture: it asks the store itself then.
    bool isRelay() const { return m_rank == Rank::Relay || servesAsReserve(); }

    bool canAsk(bool storeLost) const override;
    Result<RelayedNews> next(Revision after, Duration wait, bool storeLost, Yield yield) override;

    void pictureListed(Revision upTo, MonotonicTime provenAt) override;
    void pictureAdvanced(const WatchBatch &batch, MonotonicTime provenAt) override;
    void pictureStopped() override;

private:
    enum class Rank { Follower, Reserve, Relay };

    struct Avoidance
    {
        MonotonicTime until;
        bool storeLost = false; // Only because it can't reach the store.
    };

    struct Question
    {
        CorrelationId id;
        std::optional<StoreUpdateMessage> answer;
    };

    void onMessage(const DaemonId &from, const PeerMessage &message) override;
    void onLink(const DaemonId &peer, bool up) override;
    void openLinks();
    void tellLoadsAsRelay(const SharedLoad &own);
    void tellLoadAsFollower(SharedLoad own);
    void tellServerNews();
    void tellRelay(const ServerUpdateMessage &update);
    // Calls the daemon if there is no link yet.
    void sendOrCall(const RelayCandidate &daemon, const PeerMessage &message);
    void giveAnswers();
    bool servesAsReserve() const;
    void findOthers(const std::vector<RelayCandidate> &daemons);
    // The first relay that is not passed over now; null if there is none.
    const RelayCandidate *firstRelay(MonotonicTime now, bool storeLost) const;
    // Waits a moment for a link that is being made.
    bool awaitLink(const RelayCandidate &relay, Yield yield);
    Result<RelayedNews> understand(const DaemonId &relay, const StoreUpdateMessage &update,
                                   MonotonicTime requestedAt);
    void avoid(const DaemonId &relay, const char *why, Duration length, bool storeLost = false);

    IoContext &m_io;
    const Clock &m_clock;
    RelayNodeOptions m_options;
    DecisionLog &m_log;
    Metrics &m_metrics;
    UpdateFeed m_updateFeed;
    std::string m_key; // Of the links; empty until it is known.
    std::unique_ptr<PeerNetwork> m_network; // Null until the links are opened.
    // Of the zone, in the order in which this daemon asks them; the reserves last.
    std::vector<RelayCandidate> m_relays;
    Rank m_rank = Rank::Follower;
    std::vector<RelayCandidate> m_otherRelays; // Of all zones, without this daemon.
    std::vector<RelayCandidate> m_unrelayed; // Daemons of zones without relays, without this one.
    DaemonId m_answering; // The relay that answered last.
    LoadAggregator m_loads;
    SharedLoad m_toldLoad; // This daemon's own, as it last told its relay.
    std::function<SharedLoad()> m_ownLoad; // Empty: loads are not shared.
    std::function<void(const SharedLoad &)> m_onOthersLoad;
    std::function<ServerNews()> m_takeServerNews; // Empty: it is not shared.
    std::function<void(const ServerNews &)> m_onServerNews;
    std::optional<MonotonicTime> m_askedAt; // As a reserve, when somebody last did.
    std::map<DaemonId, Avoidance> m_avoided;
    std::map<DaemonId, MonotonicTime> m_diallingSince; // Relays without a link that were called.
    Question m_question; // The present one: there is one at a time.
    std::int64_t m_lastQuestion = 0;
    Signal m_answered; // Of m_question; or a link has changed.
    Signal m_changed; // Something may be due at the desk.
    bool m_stopping = false;
};

} // namespace ramphinge
