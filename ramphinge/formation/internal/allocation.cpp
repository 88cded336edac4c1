// Allocation of servers to models: see allocation.h.

#include "ramphinge/formation/internal/allocation.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace ramphinge {

namespace {

// Lower bound of both sides of a model's ratio, in servers, so that models without servers or share
// have a finite ratio above 0.
constexpr double ratioFloorServers = 0.25;
// If all servers of a new replica are taken from donors, its model must have less than this
// fraction of the donor's ratio: moving servers delays the donor's requests. The fewer are taken,
// the smaller a difference is enough: one small replica completes the fifteen survivors of a large
// one.
constexpr double donationThreshold = 0.7;

// Lower bound of the expected rate of losses, per server and second: without one, a fleet that has
// lost nothing yet would have no reason to stage its spares.
constexpr double minLossRate = 1.0 / 600;

// Probability that more than `count` events occur where `mean` are expected, by a Poisson
// distribution.
double probabilityOfMoreThan(int count, double mean)
{
    double term = std::exp(-mean);
    double sum = term;
    for (int i = 1; i <= count; ++i) {
        term *= mean / i;
        sum += term;
    }
    return std::max(0.0, 1 - sum);
}

// How long a server takes to become a ready member: 0 held the model last, 1 has it staged, 2 has
// to load it.
int startCost(const UpstreamServer &server, const ModelId &model)
{
    if (server.lastModel == model)
        return 0;
    return server.isWarmFor(model) ? 1 : 2;
}

bool isFormingOrReady(const PlannedReplica &replica)
{
    return replica.phase == ReplicaPhase::Forming || replica.phase == ReplicaPhase::Ready;
}

} // namespace

bool operator<(const StagingPlan &a, const StagingPlan &b)
{
    return std::tie(a.completesReplica, a.benefit) < std::tie(b.completesReplica, b.benefit);
}

Allocation::Allocation(ReplicaPlan &plan, const FormationInput &input)
    : m_plan(plan), m_input(input)
{
    countPlanned();
    collectFree();
}

void Allocation::formReplicas()
{
    while (const std::optional<ReplicaChoice> choice = bestChoice())
        form(*choice);
}

void Allocation::countPlanned()
{
    for (const PlannedReplica &replica : m_plan.replicas) {
        m_plannedHosts.insert(replica.hosts.begin(), replica.hosts.end());
        if (isFormingOrReady(replica))
            addToCounts(replica);
    }
}

void Allocation::addToCounts(const PlannedReplica &replica)
{
    const int servers = static_cast<int>(replica.hosts.size());
    m_serversOf[replica.model] += servers;
    const auto head = m_input.servers.find(replica.hosts.front());
    if (head != m_input.servers.end())
        m_serversInZone[{ replica.model, head->second.zone }] += servers;
}

void Allocation::collectFree()
{
    for (const auto &[host, server] : m_input.servers) {
        const std::optional<ReplicaMembership> &reported = server.membership;
        if (reported && reported->rank == 0 && reported->state == MembershipState::Broken)
            m_broken.insert({ reported->replica, reported->epoch });
    }
    for (const auto &[host, server] : m_input.servers) {
        if (server.service != m_input.service || server.domain.empty())
            continue;
        ++m_serviceServers;
        if (!server.draining && m_plannedHosts.count(host) == 0 && m_input.unusable.count(host) == 0
            && !isHeldElsewhere(server))
            m_free[server.domain].push_back(&server);
    }
}

// Whether the server is still in a replica whose head isn't known to be broken.
bool Allocation::isHeldElsewhere(const UpstreamServer &server) const
{
    return server.membership
        && m_broken.count({ server.membership->replica, server.membership->epoch }) == 0;
}

double Allocation::shareOf(const ModelId &model) const
{
    double sum = 0;
    double own = 0;
    for (const ModelDemand &demand : m_input.demand) {
        sum += demand.share;
        if (demand.model == model)
            own = demand.share;
    }
    return sum > 0 ? own / sum : 0;
}

double Allocation::ratioOf(const ModelProfile &model) const
{
    const auto found = m_serversOf.find(model.model);
    const double have = found == m_serversOf.end() ? 0 : found->second;
    return std::max(ratioFloorServers, have)
        / std::max(ratioFloorServers, shareOf(model.model) * m_serviceServers);
}

int Allocation::serversInZone(const ModelId &model, const ZoneId &zone) const
{
    const auto found = m_serversInZone.find({ model, zone });
    return found == m_serversInZone.end() ? 0 : found->second;
}

std::optional<ReplicaChoice> Allocation::choiceInDomain(const ModelProfile &model,
                                                        const DomainId &domain, Servers free) const
{
    const auto size = static_cast<std::size_t>(model.serversPerReplica);
    if (size == 0 || free.size() < size)
        return std::nullopt;
    std::stable_sort(free.begin(), free.end(), [&](const auto *a, const auto *b) {
        return startCost(*a, model.model) < startCost(*b, model.model);
    });
    ReplicaChoice choice { &model, domain, {}, 0, ratioOf(model) };
    for (std::size_t i = 0; i < size; ++i) {
        choice.hosts.push_back(free[i]->host);
        choice.loads += startCost(*free[i], model.model) == 2 ? 1 : 0;
    }
    return choice;
}

// The model with the largest replicas, which are the hardest to place; null if there is no model.
const ModelProfile *Allocation::modelWithLargestReplicas() const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    const auto found = std::max_element(models.begin(), models.end(),
                                        [](const ModelProfile &a, const ModelProfile &b) {
                                            return a.serversPerReplica < b.serversPerReplica;
                                        });
    return found == models.end() ? nullptr : &*found;
}

// Whether the free servers have room for no more of the largest replicas than their model still
// needs.
bool Allocation::isRoomScarce(const ModelProfile &largestModel) const
{
    const int size = std::max(1, largestModel.serversPerReplica);
    int room = 0;
    for (const auto &[domain, free] : m_free)
        room += static_cast<int>(free.size()) / size;
    const auto have = m_serversOf.find(largestModel.model);
    const double missing = shareOf(largestModel.model) * m_serviceServers
        - (have == m_serversOf.end() ? 0 : have->second);
    return room * size <= missing;
}

// The best domain for the model: fewest loads, then the zone with the fewest of its servers, then
// most free servers. Before the first request, when the whole layout is made, smaller replicas
// avoid the room that the largest ones still need: in forty domains of 19, replicas of 4 took the
// room of 6 in 40 replicas of 8, and 34 were formed for equal shares. Later on free servers are
// spares for the replicas in their domain, and which domain they are taken from matters more.
std::optional<ReplicaChoice> Allocation::bestChoiceFor(const ModelProfile &model) const
{
    const ModelProfile *largestModel = modelWithLargestReplicas();
    const int largestSize = std::max(1, largestModel->serversPerReplica);
    const bool avoidsLargeReplicaRoom = m_input.joinsMayLoad
        && model.serversPerReplica < largestSize && isRoomScarce(*largestModel);
    std::optional<ReplicaChoice> best;
    std::tuple<int, int, int, int> bestRank;
    for (const auto &[domain, free] : m_free) {
        std::optional<ReplicaChoice> choice = choiceInDomain(model, domain, free);
        if (!choice || (choice->loads > 0 && !m_input.joinsMayLoad))
            continue;
        const int servers = static_cast<int>(free.size());
        const int largeReplicasLost =
            servers / largestSize - (servers - model.serversPerReplica) / largestSize;
        const std::tuple<int, int, int, int> key { choice->loads,
                                                   serversInZone(model.model, free.front()->zone),
                                                   avoidsLargeReplicaRoom ? largeReplicasLost : 0,
                                                   -servers };
        if (!best || key < bestRank) {
            best = std::move(choice);
            bestRank = key;
        }
    }
    return best;
}

std::optional<ReplicaChoice> Allocation::bestChoice() const
{
    std::vector<ReplicaChoice> choices;
    for (const ModelProfile &model : m_input.engine.models) {
        std::optional<ReplicaChoice> choice = bestChoiceFor(model);
        if (choice)
            choices.push_back(std::move(*choice));
    }
    if (choices.empty())
        return std::nullopt;
    // At equal ratios the larger replica goes first: it is harder to place.
    const auto before = [](const ReplicaChoice &a, const ReplicaChoice &b) {
        return a.ratio != b.ratio ? a.ratio < b.ratio : a.hosts.size() > b.hosts.size();
    };
    return *std::min_element(choices.begin(), choices.end(), before);
}

void Allocation::form(const ReplicaChoice &choice)
{
    PlannedReplica replica;
    m_plan.epoch += Epoch(1);
    replica.epoch = m_plan.epoch;
    replica.replica = ReplicaId("replica-" + std::to_string(replica.epoch.count()));
    replica.model = choice.model->model;
    replica.domain = choice.domain;
    replica.hosts = choice.hosts;
    Servers &free = m_free[choice.domain];
    const auto isUsed = [&](const UpstreamServer *server) {
        return std::find(choice.hosts.begin(), choice.hosts.end(), server->host)
            != choice.hosts.end();
    };
    free.erase(std::remove_if(free.begin(), free.end(), isUsed), free.end());
    m_plannedHosts.insert(choice.hosts.begin(), choice.hosts.end());
    addToCounts(replica);
    m_plan.replicas.push_back(std::move(replica));
}

const ModelProfile *Allocation::mostUnderserved() const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    const auto found = std::min_element(
        models.begin(), models.end(),
        [this](const ModelProfile &a, const ModelProfile &b) { return ratioOf(a) < ratioOf(b); });
    return found == models.end() ? nullptr : &*found;
}

// Whether the donor's ratio is so far above the underserved model's that it should give up
// `donated` servers for a replica of it.
bool Allocation::shouldDonate(const ModelId &donor, const ModelProfile &underserved,
                              int donated) const
{
    const ModelProfile *model = m_input.engine.find(donor);
    if (model == nullptr || donor == underserved.model)
        return false;
    const double remainingServers = m_serversOf.at(donor) - donated;
    const double remainingRatio =
        remainingServers / std::max(ratioFloorServers, shareOf(donor) * m_serviceServers);
    const double donatedPart =
        std::min(1.0, static_cast<double>(donated) / underserved.serversPerReplica);
    const double ratioThreshold = 1 - (1 - donationThreshold) * donatedPart;
    return ratioOf(underserved) < ratioThreshold * ratioOf(*model)
        && remainingRatio > ratioOf(underserved);
}

// The servers of a replica; empty if one of them is missing or draining.
Allocation::Servers Allocation::serversOf(const PlannedReplica &replica) const
{
    Servers servers;
    for (const HostId &host : replica.hosts) {
        const auto found = m_input.servers.find(host);
        if (found == m_input.servers.end() || found->second.draining)
            return {};
        servers.push_back(&found->second);
    }
    return servers;
}

// The replicas to drain in the domain so that their servers and the free ones make a replica of the
// underserved model without a load. Nothing if that isn't possible.
std::optional<Allocation::Conversion>
Allocation::conversionIn(const DomainId &domain, const ModelProfile &underserved) const
{
    // Servers that survivors free in a moment may save donors.
    if (survivorsAreLeaving(domain))
        return std::nullopt;
    Conversion conversion { domain, {} };
    const auto free = m_free.find(domain);
    Servers servers = free == m_free.end() ? Servers() : free->second;
    Servers donors;
    for (const PlannedReplica &replica : m_plan.replicas) {
        // One conversion at a time in a domain.
        if (replica.domain == domain && isDonating(replica))
            return std::nullopt;
    }
    const auto isWarm = [&](const UpstreamServer *server) {
        return server->isWarmFor(underserved.model);
    };
    servers.erase(std::remove_if(servers.begin(), servers.end(),
                                 [&](const UpstreamServer *server) { return !isWarm(server); }),
                  servers.end());
    for (const PlannedReplica &replica : m_plan.replicas) {
        if (static_cast<int>(servers.size()) >= underserved.serversPerReplica)
            break;
        const int donated = conversion.donated + static_cast<int>(replica.hosts.size());
        if (replica.domain != domain || replica.phase != ReplicaPhase::Ready
            || !shouldDonate(replica.model, underserved, donated))
            continue;
        const Servers donorServers = serversOf(replica);
        if (donorServers.empty() || !std::all_of(donorServers.begin(), donorServers.end(), isWarm))
            continue;
        conversion.donors.push_back(replica.replica);
        conversion.donated = donated;
        servers.insert(servers.end(), donorServers.begin(), donorServers.end());
    }
    if (static_cast<int>(servers.size()) < underserved.serversPerReplica)
        return std::nullopt;
    return conversion;
}

// Whether a replica that lost a member still holds others, in one domain or in any.
bool Allocation::survivorsAreLeaving(const std::optional<DomainId> &domain) const
{
    const auto holds = [this](const PlannedReplica &replica) {
        return std::any_of(replica.hosts.begin(), replica.hosts.end(), [&](const HostId &host) {
            const auto found = m_input.servers.find(host);
            return found != m_input.servers.end()
                && found->second.isMemberOf(replica.replica, replica.epoch);
        });
    };
    return std::any_of(
        m_plan.replicas.begin(), m_plan.replicas.end(), [&](const PlannedReplica &replica) {
            return replica.phase == ReplicaPhase::Broken && (!domain || replica.domain == *domain)
                && !isDonating(replica) && holds(replica);
        });
}

// Whether the replica drains or dissolves while all of its servers stay, so that another model gets
// them.
bool Allocation::isDonating(const PlannedReplica &replica) const
{
    const bool ends =
        replica.phase == ReplicaPhase::Draining || replica.phase == ReplicaPhase::Broken;
    return ends && !serversOf(replica).empty();
}

// Reserves the free servers of domains in which donors drain: formed into a replica of the donor's
// model, they would have been drained for nothing. Counts the coming replica for the underserved
// model, so that no more is converted than it lacks.
void Allocation::reserveConvertingDomains(const ModelProfile &underserved)
{
    const auto countWarm = [&underserved](const Servers &servers) {
        return static_cast<int>(std::count_if(servers.begin(), servers.end(),
                                              [&underserved](const UpstreamServer *server) {
                                                  return server->isWarmFor(underserved.model);
                                              }));
    };
    std::map<DomainId, int> warm; // Warm servers about to be free.
    for (const PlannedReplica &replica : m_plan.replicas) {
        if (isDonating(replica))
            warm[replica.domain] += countWarm(serversOf(replica));
    }
    for (const auto &[domain, servers] : warm) {
        const auto free = m_free.find(domain);
        const int ready = free == m_free.end() ? 0 : countWarm(free->second);
        if (ready >= underserved.serversPerReplica
            || ready + servers < underserved.serversPerReplica)
            continue;
        m_serversOf[underserved.model] += underserved.serversPerReplica;
        m_free.erase(domain);
    }
}

void Allocation::rebalance()
{
    const ModelProfile *underserved = mostUnderserved();
    if (underserved == nullptr)
        return;
    reserveConvertingDomains(*underserved);
    const bool anyDonor = std::any_of(
        m_input.engine.models.begin(), m_input.engine.models.end(), [&](const ModelProfile &model) {
            return m_serversOf.count(model.model) > 0
                && shouldDonate(model.model, *underserved, model.serversPerReplica);
        });
    // If the free servers are enough for a replica, formReplicas() forms it without a conversion.
    if (!anyDonor || bestChoiceFor(*underserved))
        return;
    std::set<DomainId> domains;
    for (const PlannedReplica &replica : m_plan.replicas)
        domains.insert(replica.domain);
    std::optional<Conversion> best;
    for (const DomainId &domain : domains) {
        std::optional<Conversion> conversion = conversionIn(domain, *underserved);
        if (conversion && (!best || conversion->donated < best->donated))
            best = std::move(conversion);
    }
    if (!best)
        return;
    // Survivors elsewhere may soon allow a replica with fewer donors.
    const bool takesMostFromDonors = best->donated * 2 > underserved->serversPerReplica;
    if (takesMostFromDonors && survivorsAreLeaving(std::nullopt))
        return;
    for (PlannedReplica &replica : m_plan.replicas) {
        const auto &donors = best->donors;
        if (std::find(donors.begin(), donors.end(), replica.replica) != donors.end())
            replica.phase = ReplicaPhase::Draining;
    }
    // The free servers there are reserved for the conversion.
    m_free.erase(best->domain);
}

// Whether the server is warm for the model, or will be once the load in progress is over.
bool Allocation::willBeWarm(const UpstreamServer &server, const ModelId &model) const
{
    const auto loading = m_input.loading.find(server.host);
    return server.isWarmFor(model)
        || (loading != m_input.loading.end() && loading->second == model);
}

bool Allocation::hasNoAlternateModel(const UpstreamServer &server) const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    return std::none_of(models.begin(), models.end(), [&server](const ModelProfile &model) {
        return model.model != server.lastModel && server.hasStaged(model.model);
    });
}

// Whether the server can't join a replica of any model without a load.
bool Allocation::isCold(const UpstreamServer &server) const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    return std::none_of(models.begin(), models.end(),
                        [&](const ModelProfile &model) { return willBeWarm(server, model.model); });
}

// Whether no replica of the domain drains or is broken: until then its servers may complete a
// replica together with the idle ones.
bool Allocation::isSettled(const DomainId &domain) const
{
    return std::none_of(m_plan.replicas.begin(), m_plan.replicas.end(),
                        [&domain](const PlannedReplica &replica) {
                            return replica.domain == domain && !isFormingOrReady(replica);
                        });
}

// Whether an idle server that is warm for other models may load this one, which ends that.
// Survivors of a replica of a more underserved model stay as they are: one more server completes
// them.
bool Allocation::mayRestage(const UpstreamServer &server, const ModelProfile &model,
                            const Servers &idle) const
{
    if (m_input.loading.count(server.host) > 0)
        return false;
    const std::vector<ModelProfile> &models = m_input.engine.models;
    return std::all_of(models.begin(), models.end(), [&](const ModelProfile &held) {
        if (held.model == model.model || !server.isWarmFor(held.model))
            return true;
        const auto warm = std::count_if(idle.begin(), idle.end(), [&](const auto *other) {
            return willBeWarm(*other, held.model);
        });
        return warm * 2 < held.serversPerReplica || ratioOf(held) > ratioOf(model);
    });
}

// The plan to stage the model on idle servers of one domain: on cold ones, and if it `restages`,
// also on those that are warm for another model, where that completes a replica.
StagingPlan Allocation::stagingFor(const ModelProfile &model, const Servers &idle,
                                   bool restages) const
{
    StagingPlan plan;
    plan.model = &model;
    const auto size = static_cast<std::size_t>(model.serversPerReplica);
    for (const UpstreamServer *server : idle) {
        if (willBeWarm(*server, model.model) && plan.members.size() < size)
            plan.members.push_back(server);
    }
    for (const UpstreamServer *server : idle) {
        if (!willBeWarm(*server, model.model) && isCold(*server) && plan.members.size() < size) {
            plan.members.push_back(server);
            ++plan.loads;
        }
    }
    Servers restaged;
    for (const UpstreamServer *server : idle) {
        if (restages && plan.members.size() + restaged.size() < size
            && !willBeWarm(*server, model.model) && !isCold(*server)
            && mayRestage(*server, model, idle))
            restaged.push_back(server);
    }
    if (plan.members.size() + restaged.size() == size) {
        plan.members.insert(plan.members.end(), restaged.begin(), restaged.end());
        plan.loads += static_cast<int>(restaged.size());
    }
    plan.completesReplica = plan.members.size() == size;
    const double loadTime = plan.loads * toMilliseconds(model.loadTime);
    if (plan.loads > 0)
        plan.benefit = static_cast<double>(size) / loadTime / ratioOf(model);
    return plan;
}

// Removes idle servers that become a replica once the loads in progress end.
void Allocation::removeCompleting(Servers &idle) const
{
    for (const ModelProfile &model : m_input.engine.models) {
        const StagingPlan plan = stagingFor(model, idle, false);
        const bool anyLoads = std::any_of(plan.members.begin(), plan.members.end(),
                                          [this](const UpstreamServer *server) {
                                              return m_input.loading.count(server->host) > 0;
                                          });
        if (!plan.completesReplica || plan.loads > 0 || !anyLoads)
            continue;
        const auto isMember = [&plan](const UpstreamServer *server) {
            return std::find(plan.members.begin(), plan.members.end(), server)
                != plan.members.end();
        };
        idle.erase(std::remove_if(idle.begin(), idle.end(), isMember), idle.end());
    }
}

// Assigns models to the cold idle servers of one domain: first those that complete a replica with
// few loads, of a model below its share. Choices that complete no replica come after all that do;
// with a forecast of losses they are spares. With one, servers that are warm for a model of which
// they complete no replica are staged anew where they complete one of another.
void Allocation::stageIdle(const DomainId &domain, Servers idle,
                           std::vector<StagingChoice> &choices)
{
    const bool restages = m_input.losses && isSettled(domain);
    if (restages)
        removeCompleting(idle);
    while (true) {
        StagingPlan best;
        for (const ModelProfile &model : m_input.engine.models) {
            StagingPlan plan = stagingFor(model, idle, restages);
            if (plan.loads > 0 && best < plan)
                best = std::move(plan);
        }
        if (best.model == nullptr)
            return;
        if (m_input.losses && !best.completesReplica) {
            stageSpares(domain, idle, choices);
            return;
        }
        for (const UpstreamServer *member : best.members) {
            if (!willBeWarm(*member, best.model->model))
                choices.push_back({ member->host, best.model->model, true,
                                    best.completesReplica ? best.benefit : 0 });
        }
        m_serversOf[best.model->model] += static_cast<int>(best.members.size());
        const auto isTaken = [&best](const UpstreamServer *server) {
            return std::find(best.members.begin(), best.members.end(), server)
                != best.members.end();
        };
        idle.erase(std::remove_if(idle.begin(), idle.end(), isTaken), idle.end());
    }
}

// Servers in Forming and Ready replicas of the model in the domain.
int Allocation::membersIn(const DomainId &domain, const ModelId &model) const
{
    int members = 0;
    for (const PlannedReplica &replica : m_plan.replicas) {
        if (replica.domain == domain && replica.model == model && isFormingOrReady(replica))
            members += static_cast<int>(replica.hosts.size());
    }
    return members;
}

// Servers that one more spare of the model is expected to keep serving in the domain, over the
// model's ratio: those of a replica, if more members are lost within the time of a load than there
// are spares.
double Allocation::benefitOfSpare(const DomainId &domain, const ModelProfile &model,
                                  int spares) const
{
    const double lossRate = std::max(minLossRate, m_input.losses->perServerSecond);
    const double expectedLosses =
        membersIn(domain, model.model) * lossRate * toMilliseconds(model.loadTime) / 1000;
    return model.serversPerReplica * probabilityOfMoreThan(spares, expectedLosses) / ratioOf(model);
}

// Assigns models to the cold ones of the idle servers, which complete no replica.
void Allocation::stageSpares(const DomainId &domain, const Servers &idle,
                             std::vector<StagingChoice> &choices) const
{
    std::map<ModelId, int> spares;
    for (const ModelProfile &model : m_input.engine.models) {
        spares[model.model] = static_cast<int>(
            std::count_if(idle.begin(), idle.end(), [&](const UpstreamServer *server) {
                return willBeWarm(*server, model.model);
            }));
    }
    const auto benefit = [&](const ModelProfile &model) {
        return benefitOfSpare(domain, model, spares[model.model]);
    };
    const std::vector<ModelProfile> &models = m_input.engine.models;
    for (const UpstreamServer *server : idle) {
        if (!isCold(*server))
            continue;
        const auto best = std::max_element(
            models.begin(), models.end(),
            [&](const ModelProfile &a, const ModelProfile &b) { return benefit(a) < benefit(b); });
        choices.push_back({ server->host, best->model, true, 0 });
        ++spares[best->model];
    }
}

std::vector<PreloadChoice> Allocation::modelsToPreload() const
{
    std::vector<PreloadChoice> choices;
    if (!m_input.losses)
        return choices;
    for (const auto &[domain, idle] : m_free) {
        if (!isSettled(domain))
            continue;
        for (const UpstreamServer *server : idle) {
            if (m_input.loading.count(server->host) > 0 || membersIn(domain, server->lastModel) > 0)
                continue;
            for (const ModelId &model : server->stagedModels) {
                if (membersIn(domain, model) > 0) {
                    choices.push_back({ server->host, model });
                    break;
                }
            }
        }
    }
    return choices;
}

void Allocation::stageInReplicas(std::vector<StagingChoice> &choices) const
{
    for (const auto &[host, server] : m_input.servers) {
        if (server.service != m_input.service || server.domain.empty() || server.draining)
            continue;
        // Joining stages the replica's model on the member.
        const PlannedReplica *replica = m_plan.replicaOf(host);
        if (replica == nullptr || replica->phase == ReplicaPhase::Forming)
            continue;
        // A host keeps few models: don't evict a staged model for another.
        if (!hasNoAlternateModel(server))
            continue;
        const ModelProfile *best = nullptr;
        for (const ModelProfile &model : m_input.engine.models) {
            if (model.model != server.lastModel
                && (best == nullptr || ratioOf(model) < ratioOf(*best)))
                best = &model;
        }
        if (best != nullptr)
            choices.push_back({ host, best->model, false, 0 });
    }
}

std::vector<StagingChoice> Allocation::modelsToStage() const
{
    std::vector<StagingChoice> choices;
    Allocation scratch = *this; // Counts staged servers for their model.
    for (const auto &[domain, idle] : m_free)
        scratch.stageIdle(domain, idle, choices);
    std::stable_sort(
        choices.begin(), choices.end(),
        [](const StagingChoice &a, const StagingChoice &b) { return a.benefit > b.benefit; });
    stageInReplicas(choices);
    return choices;
}

} // namespace ramphinge
