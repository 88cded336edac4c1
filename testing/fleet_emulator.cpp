// Servers that form replicas, on virtual time: see fleet_emulator.h.

#include "testing/fleet_emulator.h"

#include <algorithm>

namespace ramphinge {

namespace {

constexpr Duration rejoinTime = std::chrono::milliseconds(200);
constexpr Duration stall = std::chrono::seconds(6);
// How long requests continue after a replica begins to close.
constexpr Duration closingTime = std::chrono::milliseconds(1500);
constexpr Duration entryLifetime = std::chrono::milliseconds(3600);
constexpr std::int64_t earliestLateMs = 2000;
constexpr std::int64_t lateSpanMs = 10'000;

} // namespace

FleetEmulator::FleetEmulator(ServiceId service, EngineProfile engine, std::uint64_t seed)
    : m_service(std::move(service)), m_engine(std::move(engine)), m_random(seed)
{ }

void FleetEmulator::addServers(int domains, int serversPerDomain)
{
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < serversPerDomain; ++i)
            addServer(domain);
    }
}

void FleetEmulator::addServer(int domain)
{
    Server server;
    server.seen.host = HostId("s" + std::to_string(m_next++));
    server.seen.service = m_service;
    server.seen.domain = DomainId("d" + std::to_string(domain));
    server.seen.zone = ZoneId("z" + std::to_string(domain % 3));
    server.seen.slots = m_engine.slots;
    m_servers[server.seen.host] = server;
}

void FleetEmulator::advance(Duration step)
{
    m_now += step;
    std::vector<LateOrder> due;
    const auto isDue = [this](const LateOrder &late) { return late.at <= m_now; };
    std::copy_if(m_late.begin(), m_late.end(), std::back_inserter(due), isDue);
    m_late.erase(std::remove_if(m_late.begin(), m_late.end(), isDue), m_late.end());
    for (const LateOrder &late : due)
        carryOut(late.order);
    for (auto &[host, server] : m_servers)
        progress(server);
}

void FleetEmulator::progress(Server &server)
{
    if (!server.alive)
        return;
    if (server.staging && m_now >= server.stagedAt) {
        server.seen.stagedModels = { *server.staging };
        server.staging.reset();
    }
    if (server.joinedAt && m_now >= *server.joinedAt) {
        server.joinedAt.reset();
        server.seen.membership->state = MembershipState::Ready;
        server.seen.model = server.lastModel;
        if (server.joinLoads)
            server.seen.stagedModels = { server.lastModel };
        m_everReady[server.seen.membership->replica].insert(server.seen.host);
    }
    if (server.openAt && m_now >= *server.openAt) {
        server.openAt.reset();
        server.seen.membership->state = MembershipState::Open;
        judgeOpen(server);
    }
    if (server.closedAt && m_now >= *server.closedAt) {
        server.closedAt.reset();
        server.seen.membership->state = MembershipState::Ready;
    }
    const bool serving =
        server.seen.membership && server.seen.membership->state == MembershipState::Open;
    if (serving && memberLost(server)) {
        if (!server.brokenAt)
            server.brokenAt = m_now + stall;
        else if (m_now >= *server.brokenAt)
            server.seen.membership->state = MembershipState::Broken;
    } else {
        server.brokenAt.reset();
    }
}

bool FleetEmulator::memberLost(const Server &head) const
{
    const ReplicaMembership &own = *head.seen.membership;
    return std::any_of(head.members.begin(), head.members.end(), [&](const HostId &host) {
        const Server &member = m_servers.at(host);
        return !member.alive || !member.seen.isMemberOf(own.replica, own.epoch);
    });
}

ServerMap FleetEmulator::storeView() const
{
    ServerMap view;
    for (const auto &[host, server] : m_servers) {
        const bool lapsed = server.replaced
            || (server.missingSince && m_now - *server.missingSince >= entryLifetime);
        if (!lapsed)
            view[host] = server.seen;
    }
    return view;
}

OrderAnswer FleetEmulator::order(const ServerOrder &order)
{
    const double fate = m_random.fraction();
    if (fate < m_weather.lateShare) {
        const auto delay =
            Milliseconds(earliestLateMs + static_cast<std::int64_t>(m_random.below(lateSpanMs)));
        m_late.push_back({ order, m_now + delay });
        return OrderAnswer::Unknown;
    }
    if (fate < m_weather.lateShare + m_weather.lostShare)
        return OrderAnswer::Unknown;
    return carryOut(order);
}

Duration FleetEmulator::beginLoad(const ModelProfile &model)
{
    if (m_traffic)
        m_loadStarts.push_back(m_now);
    return m_traffic ? model.loadTime : model.loadTime / 10;
}

OrderAnswer FleetEmulator::carryOut(const ServerOrder &order)
{
    Server *addressed = presentLife(order.host);
    if (addressed == nullptr || !addressed->alive)
        return OrderAnswer::NoListener;
    Server &server = *addressed;
    if (order.kind == OrderKind::Stage) {
        const ModelProfile *model = m_engine.find(order.model);
        server.staging = order.model;
        server.stagedAt = m_now + beginLoad(*model);
        return OrderAnswer::Begun;
    }
    if (order.kind == OrderKind::Join)
        return join(server, order);
    if (!server.seen.isMemberOf(order.replica, order.epoch))
        return order.kind == OrderKind::Leave ? OrderAnswer::Done : OrderAnswer::NotNow;
    if (order.kind == OrderKind::Open)
        return open(server, order);
    if (order.kind == OrderKind::Close) {
        if (server.seen.membership->state != MembershipState::Open)
            return OrderAnswer::Done;
        server.seen.membership->state = MembershipState::Closing;
        server.closedAt = m_now + closingTime;
        return OrderAnswer::Begun;
    }
    server.seen.membership.reset();
    server.seen.model = ModelId();
    server.joinedAt.reset();
    server.openAt.reset();
    server.closedAt.reset();
    return OrderAnswer::Done;
}

OrderAnswer FleetEmulator::join(Server &server, const ServerOrder &order)
{
    if (order.epoch < server.highestEpoch)
        return OrderAnswer::Superseded;
    if (server.seen.isMemberOf(order.replica, order.epoch))
        return server.members == order.members ? OrderAnswer::Done : OrderAnswer::Superseded;
    judgeJoin(server, order);
    const ModelProfile *model = m_engine.find(order.model);
    Duration takes = rejoinTime;
    server.joinLoads = false;
    if (server.lastModel != order.model && server.staging == order.model) {
        takes = server.stagedAt - m_now + model->warmTime; // Waits for the load in progress.
    } else if (server.lastModel != order.model) {
        server.joinLoads = !server.seen.hasStaged(order.model);
        takes = server.joinLoads ? beginLoad(*model) : model->warmTime;
    }
    const ServerName name = incarnationOf(server.seen.host).name;
    const auto rank =
        std::find_if(order.members.begin(), order.members.end(),
                     [&](const HostId &member) { return incarnationOf(member).name == name; });
    server.highestEpoch = order.epoch;
    server.members = order.members;
    server.seen.model = ModelId();
    server.lastModel = order.model;
    server.seen.membership = { order.replica, order.epoch,
                               static_cast<int>(rank - order.members.begin()),
                               MembershipState::Joining };
    server.joinedAt = m_now + takes;
    server.openAt.reset();
    server.closedAt.reset();
    return OrderAnswer::Begun;
}

OrderAnswer FleetEmulator::open(Server &server, const ServerOrder &order)
{
    if (server.seen.membership->state == MembershipState::Open)
        return OrderAnswer::Done;
    if (server.seen.membership->state != MembershipState::Ready
        || incarnationOf(order.host).name != incarnationOf(server.members.front()).name)
        return OrderAnswer::NotNow;
    server.openAt = m_now + m_engine.formationTime;
    return OrderAnswer::Begun;
}

const FleetEmulator::Server *FleetEmulator::headOf(const Server &server) const
{
    if (!server.seen.membership || server.members.empty())
        return nullptr;
    const auto found = m_servers.find(server.members.front());
    return found == m_servers.end() ? nullptr : &found->second;
}

void FleetEmulator::judgeJoin(const Server &server, const ServerOrder &order)
{
    const Server *head = headOf(server);
    if (head == nullptr || !head->alive)
        return;
    const ReplicaMembership &held = *server.seen.membership;
    if (!head->seen.isMemberOf(held.replica, held.epoch))
        return;
    const MembershipState state = head->seen.membership->state;
    if (state == MembershipState::Open || state == MembershipState::Closing)
        m_violations.push_back(server.seen.host.text() + " joined " + order.replica.text()
                               + " while the head of its replica " + held.replica.text()
                               + " served");
}

void FleetEmulator::judgeOpen(const Server &server)
{
    const ReplicaId &replica = server.seen.membership->replica;
    const ModelProfile *model = m_engine.find(server.seen.model);
    const std::set<HostId> &ready = m_everReady[replica];
    const bool whole = static_cast<int>(server.members.size()) == model->serversPerReplica
        && std::all_of(server.members.begin(), server.members.end(),
                       [&ready](const HostId &host) { return ready.count(host) > 0; });
    if (!whole)
        m_violations.push_back(replica.text() + " opened with a member that was never ready");
}

void FleetEmulator::crash(const HostId &host)
{
    Server &server = m_servers.at(host);
    server.alive = false;
    if (!server.missingSince)
        server.missingSince = m_now;
}

// Servers are addressed by name.
FleetEmulator::Server *FleetEmulator::presentLife(const HostId &host)
{
    const ServerName name = incarnationOf(host).name;
    Server *present = nullptr;
    for (auto &[other, server] : m_servers) {
        if (incarnationOf(other).name == name && !server.replaced)
            present = &server;
    }
    return present;
}

HostId FleetEmulator::restart(const HostId &host)
{
    crash(host);
    Server &earlier = m_servers.at(host);
    earlier.replaced = true;
    const Incarnation old = incarnationOf(host);
    Server later;
    later.seen.host = hostIdOf({ old.name, old.startedAt + StartTime(1) });
    later.seen.service = earlier.seen.service;
    later.seen.domain = earlier.seen.domain;
    later.seen.zone = earlier.seen.zone;
    later.seen.slots = earlier.seen.slots;
    later.seen.stagedModels = earlier.seen.stagedModels;
    m_servers[later.seen.host] = later;
    return later.seen.host;
}

void FleetEmulator::cutFromStore(const HostId &host, bool cut)
{
    Server &server = m_servers.at(host);
    if (!server.alive || server.cut == cut)
        return;
    server.cut = cut;
    server.missingSince = cut ? std::optional<MonotonicTime>(m_now) : std::nullopt;
}

void FleetEmulator::drain(const HostId &host)
{
    m_servers.at(host).seen.draining = true;
}

std::vector<HostId> FleetEmulator::liveHosts() const
{
    std::vector<HostId> hosts;
    for (const auto &[host, server] : m_servers) {
        if (server.alive)
            hosts.push_back(host);
    }
    return hosts;
}

int FleetEmulator::openReplicas(const ModelId &model) const
{
    return static_cast<int>(
        std::count_if(m_servers.begin(), m_servers.end(), [&](const auto &entry) {
            const Server &server = entry.second;
            return server.alive && server.seen.model == model && server.seen.membership
                && server.seen.membership->state == MembershipState::Open && !memberLost(server);
        }));
}

int FleetEmulator::mostLoadsWithin(Duration window) const
{
    int most = 0;
    for (const MonotonicTime start : m_loadStarts) {
        const auto within =
            std::count_if(m_loadStarts.begin(), m_loadStarts.end(), [&](MonotonicTime other) {
                return other >= start && other - start < window;
            });
        most = std::max(most, static_cast<int>(within));
    }
    return most;
}

int FleetEmulator::loadsInProgress() const
{
    return static_cast<int>(
        std::count_if(m_servers.begin(), m_servers.end(), [](const auto &entry) {
            const Server &server = entry.second;
            return server.alive && (server.staging || (server.joinedAt && server.joinLoads));
        }));
}

} // namespace ramphinge
