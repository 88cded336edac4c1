// An emulator of servers that form replicas on orders, on virtual time: late and unanswered orders,
// crashes, restarts, servers that are cut off from the store while they serve. It judges at each
// step what must hold, from what the servers really do, not from what the planner believes.
//
//   FleetEmulator fleet(profile, seed);
//   fleet.addServers(domains, serversPerDomain);
//   fleet.advance(step);              // servers make progress, late orders are carried out
//   const ServerMap seen = fleet.storeView();
//   fleet.order(order);               // what the planner sends
//   for (const std::string &violation : fleet.violations()) ...

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ramphinge/base/random.h"
#include "ramphinge/formation/order_channel.h"

namespace ramphinge {

struct FleetWeather
{
    double lateShare = 0; // Of the orders: no answer, carried out 2 to 12 s later.
    double lostShare = 0; // Of the orders: never arrive, no answer.
};

class FleetEmulator
{
public:
    FleetEmulator(ServiceId service, EngineProfile engine, std::uint64_t seed);

    void addServers(int domains, int serversPerDomain);
    void addServer(int domain);
    void setWeather(FleetWeather weather) { m_weather = weather; }
    // Until then loads take a tenth of their time.
    void startTraffic() { m_traffic = true; }

    void advance(Duration step);
    MonotonicTime now() const { return m_now; }

    // The servers' entries as the store has them: those of dead and cut-off servers lapse.
    ServerMap storeView() const;

    OrderAnswer order(const ServerOrder &order);

    // The server ends for good.
    void crash(const HostId &host);
    // The server starts again under its name: empty but for what is staged on its host. Its entry
    // never vanishes, and late orders to the earlier life reach this one. Returns the new life.
    HostId restart(const HostId &host);
    // The server loses the store, or is back; it serves and takes orders all the same.
    void cutFromStore(const HostId &host, bool cut);
    void drain(const HostId &host);

    std::vector<HostId> liveHosts() const;
    int openReplicas(const ModelId &model) const;
    int loadsInProgress() const;
    // The most loads that began within one span of that length, since traffic started.
    int mostLoadsWithin(Duration window) const;

    // What broke a promise so far: a server in two replicas, a replica opened in part, loads beyond
    // the rate.
    const std::vector<std::string> &violations() const { return m_violations; }

private:
    struct Server
    {
        UpstreamServer seen; // Without the entry's lag.
        Epoch highestEpoch;
        std::vector<HostId> members; // Of the present replica.
        std::optional<MonotonicTime> joinedAt; // When a join under way ends.
        bool joinLoads = false;
        std::optional<MonotonicTime> openAt;
        std::optional<MonotonicTime> closedAt; // Head: when its last request has ended.
        std::optional<ModelId> staging;
        MonotonicTime stagedAt;
        std::optional<MonotonicTime> missingSince; // From the store.
        std::optional<MonotonicTime> brokenAt; // Head: when it gives up on a missing member.
        bool alive = true;
        bool cut = false;
        bool replaced = false; // A later life of the same name has its entry.
        ModelId lastModel; // Of its last replica in this life.
    };
    struct LateOrder
    {
        ServerOrder order;
        MonotonicTime at;
    };

    // Begins a load; how long it takes.
    Duration beginLoad(const ModelProfile &model);
    OrderAnswer carryOut(const ServerOrder &order);
    OrderAnswer join(Server &server, const ServerOrder &order);
    OrderAnswer open(Server &server, const ServerOrder &order);
    void progress(Server &server);
    void judgeJoin(const Server &server, const ServerOrder &order);
    void judgeOpen(const Server &server);
    Server *presentLife(const HostId &host);
    const Server *headOf(const Server &server) const;
    bool memberLost(const Server &head) const;

    ServiceId m_service;
    EngineProfile m_engine;
    Random m_random;
    FleetWeather m_weather;
    bool m_traffic = false;
    std::vector<MonotonicTime> m_loadStarts; // Since traffic started.
    MonotonicTime m_now { std::chrono::seconds(1000) };
    std::map<HostId, Server> m_servers;
    std::vector<LateOrder> m_late;
    std::map<ReplicaId, std::set<HostId>> m_everReady;
    std::vector<std::string> m_violations;
    int m_next = 0;
};

} // namespace ramphinge
