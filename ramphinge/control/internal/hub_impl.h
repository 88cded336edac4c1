// The hub's state, shared by its parts: wiring and configuration (hub.cpp), links and gossip
// (hub_peers.cpp), upstream hosts and replicas (hub_hosts.cpp), keys (hub_claims.cpp). Internal to
// the control library; lives on the I/O loop.

#pragma once

#include <map>
#include <set>

#include <nlohmann/json.hpp>

#include "ramphinge/control/hub.h"

namespace ramphinge {

constexpr Duration gossipInterval = std::chrono::milliseconds(250);
constexpr Duration serviceInterval = std::chrono::milliseconds(500);
constexpr Duration uneasyStatusInterval = std::chrono::milliseconds(300);
constexpr Duration confirmRepeat = std::chrono::milliseconds(500);
constexpr Duration seedInterval = std::chrono::seconds(1);

// Something that is due every so often.
class Every
{
public:
    explicit Every(Duration interval) : m_interval(interval) { }

    bool due(MonotonicTime now)
    {
        if (now < m_next)
            return false;
        m_next = now + m_interval;
        return true;
    }

    void hasten() { m_next = MonotonicTime(); }
    void setInterval(Duration interval) { m_interval = interval; }

private:
    Duration m_interval;
    MonotonicTime m_next;
};

// A claim that waits for its owner's answer.
struct PendingClaim
{
    explicit PendingClaim(IoContext &io) : signal(io) { }
    Signal signal;
    std::optional<ClaimAnswer> answer;
};

// A claim among the pending ones. It lies on its coroutine's stack, so it is taken out on every
// way.
class PendingClaimEntry
{
public:
    using Table = std::map<CorrelationId, PendingClaim *>;

    PendingClaimEntry(Table &table, const CorrelationId &id, PendingClaim &claim)
        : m_table(table), m_id(id)
    {
        m_table[m_id] = &claim;
    }
    ~PendingClaimEntry() { m_table.erase(m_id); }
    PendingClaimEntry(const PendingClaimEntry &) = delete;
    PendingClaimEntry &operator=(const PendingClaimEntry &) = delete;

private:
    Table &m_table;
    CorrelationId m_id;
};

// Where the copy of an owned slot's memory stands. While it is being dropped nothing is granted:
// the record may still name its holder, who would take over without knowing.
enum class CopyPhase { None, Sending, Recording, Recorded, Dropping };

struct SlotCopy
{
    CopyPhase phase = CopyPhase::None;
    std::int64_t reign = 0;
    DaemonId at;
    MonotonicTime since; // Of the phase, or of the last try in it.
};

struct Hub::Impl
{
    Impl(IoContext &loop, const Clock &time, const Settings &daemonSettings, DaemonRecord record,
         Timeline &events, Metrics &counters, ConfirmationBoard &confirmations, Hub &owner)
        : io(loop), clock(time), settings(daemonSettings), self(std::move(record)),
          timeline(events), metrics(counters), board(confirmations), hub(owner), hosts({}),
          claims(time, {}), prober(loop, time, proberOptions(daemonSettings),
                                   [this](const HostObservation &seen) { onSeen(seen, true); }),
          random(entropySeed())
    {
        view = std::make_shared<StoreView>();
        registration.roster.zone = settings.zone;
    }

    static HostProberOptions proberOptions(const Settings &settings)
    {
        HostProberOptions options;
        options.interval = settings.loadReportInterval;
        return options;
    }

    // --- Time ---
    void run(Yield yield);
    void tick(MonotonicTime now);

    // --- Configuration ---
    void applyNews(const ConfigHolder::News &news);
    void confirmPrepared();
    void reportInForce();

    // --- Peers ---
    void connectPeers();
    bool wantsLink(const DaemonRecord &record) const;
    void sendStatus();
    void forgetPeers(MonotonicTime now);
    StatusMessage statusMessage() const;
    Registration registrationWord(MonotonicTime now) const;
    void onStatus(const DaemonId &from, const StatusMessage &message);
    void gossipLoads(MonotonicTime now);
    void gossipService();
    std::vector<DaemonId> nextPeers(int count, std::size_t &cursor) const;

    // --- Hosts ---
    void onSeen(const HostObservation &seen, bool own);
    void spread(const HostObservation &seen);
    void updateTargets();
    void updateHosts();
    void updateReplicas();
    bool contradicted(const PlannedReplica &planned, MonotonicTime now) const;
    void sendSight();

    // --- Claims ---
    GrantRight grantRight(MonotonicTime now) const;
    ClaimAnswer grant(const SlotId &slot, const ClaimAttempt &attempt, Yield yield);
    bool copyRemembers(const SlotId &slot, const SlotCopy &copy, const ClaimAttempt &attempt,
                       Yield yield);
    void settleOwned(const SlotId &slot, const ClaimAttempt &attempt, ClaimOutcome outcome,
                     std::optional<KeptAnswer> answer);
    void maintainCopies(MonotonicTime now);
    void placeCopy(const SlotId &slot, MonotonicTime now);
    void dropCopy(const SlotId &slot, SlotCopy &copy, MonotonicTime now);
    void onCopyAnswer(const DaemonId &from, const HandoverAckMessage &ack);
    SlotId slotOf(const ClaimKey &key) const;

    void event(EventKind kind, const std::string &detail = "", const ChangeId &change = {});

    IoContext &io;
    const Clock &clock;
    const Settings &settings;
    const DaemonRecord self;
    Timeline &timeline;
    Metrics &metrics;
    ConfirmationBoard &board;
    Hub &hub;
    Gateway *gateway = nullptr;
    HubListener *listener = nullptr;
    std::unique_ptr<PeerNetwork> network;

    StoreViewPtr view;
    RegistrationState registration;
    LeaseId lastLease; // Of the last registration, also after it has ended.
    ConfigHolder config;
    bool confirmed = false; // The prepared change, to its proposer, as far as we know.
    std::map<DaemonId, PeerState> peers; // As last heard.
    HostView hosts;
    ClaimOwner claims;
    HostProber prober;
    Random random;
    std::map<CorrelationId, PendingClaim *> pendingClaims;
    std::int64_t nextCorrelation = 1;
    std::map<DaemonId, std::map<ModelId, std::map<AccountId, Tokens>>> unsentService;
    std::map<SlotId, SlotCopy> copies; // Of owned slots.
    std::map<SlotId, bool> handedOver; // Slots sent to a successor; true when it has said so.
    std::set<ReplicaId> readyReplicas; // As last told the gateway.
    std::set<HostId> downHosts;
    ServingMode lastMode = ServingMode::Refusing;
    PlannerReport planner;
    std::map<HostId, HostObservation> unsaidLoads; // Seen here since peers were last told.
    std::size_t gossipCursor = 0;
    std::size_t serviceCursor = 0;
    Every statusDue { uneasyStatusInterval };
    Every gossipDue { gossipInterval };
    Every serviceDue { serviceInterval };
    Every confirmDue { confirmRepeat };
    Every seedDue { seedInterval };
    bool stopping = false; // Slots are being handed over.
    bool stopped = false;
};

} // namespace ramphinge
