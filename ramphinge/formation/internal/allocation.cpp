// Servers for models: see allocation.h.

#include "ramphinge/formation/internal/allocation.h"

#include <algorithm>
#include <tuple>

namespace ramphinge {

namespace {

// A model without servers takes part in ratios as if it had this many.
constexpr double noServers = 0.25;
// Servers are taken from a model only for one that has less than this part of what the giver has,
// each against its share, if all servers of the new replica are taken: moving servers costs the
// giver's requests a wait. The fewer are taken, the less of a difference is enough: one small
// replica completes the fifteen survivors of a large one.
constexpr double imbalance = 0.7;

// How soon a server could be a ready member: 0 held the model last, 1 has it staged, 2 has to load.
int coldness(const UpstreamServer &server, const ModelId &model)
{
    if (server.lastModel == model)
        return 0;
    return server.isWarmFor(model) ? 1 : 2;
}

bool counts(const PlannedReplica &replica)
{
    return replica.phase == ReplicaPhase::Forming || replica.phase == ReplicaPhase::Ready;
}

} // namespace

bool operator<(const StagingPlan &a, const StagingPlan &b)
{
    return std::tie(a.completes, a.worth) < std::tie(b.completes, b.worth);
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
        m_planned.insert(replica.hosts.begin(), replica.hosts.end());
        if (counts(replica))
            count(replica);
    }
}

void Allocation::count(const PlannedReplica &replica)
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
        const std::optional<ReplicaMembership> &held = server.membership;
        if (held && held->rank == 0 && held->state == MembershipState::Broken)
            m_broken.insert({ held->replica, held->epoch });
    }
    for (const auto &[host, server] : m_input.servers) {
        if (server.service != m_input.service || server.domain.empty())
            continue;
        ++m_total;
        if (!server.draining && m_planned.count(host) == 0 && m_input.unusable.count(host) == 0
            && !isHeldElsewhere(server))
            m_free[server.domain].push_back(&server);
    }
}

// Whether the server is still in a replica, and its head is not known to be broken.
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
    return std::max(noServers, have) / std::max(noServers, shareOf(model.model) * m_total);
}

int Allocation::inZone(const ModelId &model, const ZoneId &zone) const
{
    const auto found = m_serversInZone.find({ model, zone });
    return found == m_serversInZone.end() ? 0 : found->second;
}

std::optional<ReplicaChoice> Allocation::choiceIn(const ModelProfile &model, const DomainId &domain,
                                                  Servers free) const
{
    const auto size = static_cast<std::size_t>(model.serversPerReplica);
    if (size == 0 || free.size() < size)
        return std::nullopt;
    std::stable_sort(free.begin(), free.end(), [&](const auto *a, const auto *b) {
        return coldness(*a, model.model) < coldness(*b, model.model);
    });
    ReplicaChoice choice { &model, domain, {}, 0, ratioOf(model) };
    for (std::size_t i = 0; i < size; ++i) {
        choice.hosts.push_back(free[i]->host);
        choice.loads += coldness(*free[i], model.model) == 2 ? 1 : 0;
    }
    return choice;
}

// The model with the largest replicas, the hardest to place; null if there is no model.
const ModelProfile *Allocation::largest() const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    const auto found = std::max_element(models.begin(), models.end(),
                                        [](const ModelProfile &a, const ModelProfile &b) {
                                            return a.serversPerReplica < b.serversPerReplica;
                                        });
    return found == models.end() ? nullptr : &*found;
}

// Whether the free servers have room for no more of the largest replicas than that model still
// needs.
bool Allocation::isRoomScarce(const ModelProfile &largestModel) const
{
    const int size = std::max(1, largestModel.serversPerReplica);
    int room = 0;
    for (const auto &[domain, free] : m_free)
        room += static_cast<int>(free.size()) / size;
    const auto have = m_serversOf.find(largestModel.model);
    const double missing =
        shareOf(largestModel.model) * m_total - (have == m_serversOf.end() ? 0 : have->second);
    return room * size <= missing;
}

// The best domain for the model: least to load, then the zone that has least of it, then most free
// servers. Before the first request, when the layout as a whole is made, smaller replicas keep out
// of the room that the largest ones still need: in forty domains of 19, replicas of 4 took the room
// of 6 in 40 replicas of 8, and 34 were formed for equal shares. Later free servers are stand-bys
// of the replicas in their domain, and where they are taken matters more.
std::optional<ReplicaChoice> Allocation::bestFor(const ModelProfile &model) const
{
    const ModelProfile *largestModel = largest();
    const int largestSize = std::max(1, largestModel->serversPerReplica);
    const bool keepsOut = m_input.joinsMayLoad && model.serversPerReplica < largestSize
        && isRoomScarce(*largestModel);
    std::optional<ReplicaChoice> best;
    std::tuple<int, int, int, int> bestKey;
    for (const auto &[domain, free] : m_free) {
        std::optional<ReplicaChoice> choice = choiceIn(model, domain, free);
        if (!choice || (choice->loads > 0 && !m_input.joinsMayLoad))
            continue;
        const int servers = static_cast<int>(free.size());
        const int placesLost =
            servers / largestSize - (servers - model.serversPerReplica) / largestSize;
        const std::tuple<int, int, int, int> key { choice->loads,
                                                   inZone(model.model, free.front()->zone),
                                                   keepsOut ? placesLost : 0, -servers };
        if (!best || key < bestKey) {
            best = std::move(choice);
            bestKey = key;
        }
    }
    return best;
}

std::optional<ReplicaChoice> Allocation::bestChoice() const
{
    std::vector<ReplicaChoice> choices;
    for (const ModelProfile &model : m_input.engine.models) {
        std::optional<ReplicaChoice> choice = bestFor(model);
        if (choice)
            choices.push_back(std::move(*choice));
    }
    if (choices.empty())
        return std::nullopt;
    // At equal need the larger replica goes first: it is harder to place.
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
    m_planned.insert(choice.hosts.begin(), choice.hosts.end());
    count(replica);
    m_plan.replicas.push_back(std::move(replica));
}

const ModelProfile *Allocation::neediest() const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    const auto found = std::min_element(
        models.begin(), models.end(),
        [this](const ModelProfile &a, const ModelProfile &b) { return ratioOf(a) < ratioOf(b); });
    return found == models.end() ? nullptr : &*found;
}

// Whether the model has so much more than the needy one that it should give so many servers for a
// replica of it.
bool Allocation::shouldGive(const ModelId &giver, const ModelProfile &needy, int given) const
{
    const ModelProfile *model = m_input.engine.find(giver);
    if (model == nullptr || giver == needy.model)
        return false;
    const double left = m_serversOf.at(giver) - given;
    const double leftRatio = left / std::max(noServers, shareOf(giver) * m_total);
    const double part = std::min(1.0, static_cast<double>(given) / needy.serversPerReplica);
    const double difference = 1 - (1 - imbalance) * part;
    return ratioOf(needy) < difference * ratioOf(*model) && leftRatio > ratioOf(needy);
}

// The servers of a replica, if all are there to stay; else none.
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

// Replicas to drain in the domain so that their servers, the free ones and those that are being
// drained already make a replica of the needy model without a load. Nothing if that can't be had.
std::optional<Allocation::Conversion> Allocation::conversionIn(const DomainId &domain,
                                                               const ModelProfile &needy) const
{
    // What they leave in a moment may save givers.
    if (survivorsAreLeaving(domain))
        return std::nullopt;
    Conversion conversion { domain, {} };
    const auto free = m_free.find(domain);
    Servers servers = free == m_free.end() ? Servers() : free->second;
    Servers givers;
    for (const PlannedReplica &replica : m_plan.replicas) {
        // One conversion at a time in a domain.
        if (replica.domain == domain && isGivingWay(replica))
            return std::nullopt;
    }
    const auto isWarm = [&](const UpstreamServer *server) {
        return server->isWarmFor(needy.model);
    };
    servers.erase(std::remove_if(servers.begin(), servers.end(),
                                 [&](const UpstreamServer *server) { return !isWarm(server); }),
                  servers.end());
    for (const PlannedReplica &replica : m_plan.replicas) {
        if (static_cast<int>(servers.size()) >= needy.serversPerReplica)
            break;
        const int given = conversion.given + static_cast<int>(replica.hosts.size());
        if (replica.domain != domain || replica.phase != ReplicaPhase::Ready
            || !shouldGive(replica.model, needy, given))
            continue;
        const Servers more = serversOf(replica);
        if (more.empty() || !std::all_of(more.begin(), more.end(), isWarm))
            continue;
        conversion.givers.push_back(replica.replica);
        conversion.given = given;
        servers.insert(servers.end(), more.begin(), more.end());
    }
    if (static_cast<int>(servers.size()) < needy.serversPerReplica)
        return std::nullopt;
    return conversion;
}

// Whether a replica that lost a member still holds others; in one domain, or anywhere.
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
                && !isGivingWay(replica) && holds(replica);
        });
}

// Whether the replica ends so that another model gets its servers, all of which stay.
bool Allocation::isGivingWay(const PlannedReplica &replica) const
{
    const bool ends =
        replica.phase == ReplicaPhase::Draining || replica.phase == ReplicaPhase::Broken;
    return ends && !serversOf(replica).empty();
}

// Where replicas are giving way, the free servers wait for the rest: formed into a replica of the
// giver's model, they would have been drained for nothing. What comes is counted for the needy
// model, so that no more is converted than it lacks.
void Allocation::holdConvertingDomains(const ModelProfile &needy)
{
    const auto countWarm = [&needy](const Servers &servers) {
        return static_cast<int>(
            std::count_if(servers.begin(), servers.end(), [&needy](const UpstreamServer *server) {
                return server->isWarmFor(needy.model);
            }));
    };
    std::map<DomainId, int> warm; // Servers that come free.
    for (const PlannedReplica &replica : m_plan.replicas) {
        if (isGivingWay(replica))
            warm[replica.domain] += countWarm(serversOf(replica));
    }
    for (const auto &[domain, servers] : warm) {
        const auto free = m_free.find(domain);
        const int ready = free == m_free.end() ? 0 : countWarm(free->second);
        if (ready >= needy.serversPerReplica || ready + servers < needy.serversPerReplica)
            continue;
        m_serversOf[needy.model] += needy.serversPerReplica;
        m_free.erase(domain);
    }
}

void Allocation::rebalance()
{
    const ModelProfile *needy = neediest();
    if (needy == nullptr)
        return;
    holdConvertingDomains(*needy);
    const bool richer = std::any_of(
        m_input.engine.models.begin(), m_input.engine.models.end(), [&](const ModelProfile &model) {
            return m_serversOf.count(model.model) > 0
                && shouldGive(model.model, *needy, model.serversPerReplica);
        });
    // Servers that are enough already are formed, not converted.
    if (!richer || bestFor(*needy))
        return;
    std::set<DomainId> domains;
    for (const PlannedReplica &replica : m_plan.replicas)
        domains.insert(replica.domain);
    std::optional<Conversion> best;
    for (const DomainId &domain : domains) {
        std::optional<Conversion> conversion = conversionIn(domain, *needy);
        if (conversion && (!best || conversion->given < best->given))
            best = std::move(conversion);
    }
    if (!best)
        return;
    // Survivors elsewhere may make a replica with fewer givers in a moment.
    const bool takesMuch = best->given * 2 > needy->serversPerReplica;
    if (takesMuch && survivorsAreLeaving(std::nullopt))
        return;
    for (PlannedReplica &replica : m_plan.replicas) {
        const auto &givers = best->givers;
        if (std::find(givers.begin(), givers.end(), replica.replica) != givers.end())
            replica.phase = ReplicaPhase::Draining;
    }
    // What is free there waits for the rest.
    m_free.erase(best->domain);
}

// Whether it is warm for the model, or will be once the load in progress is over.
bool Allocation::willHold(const UpstreamServer &server, const ModelId &model) const
{
    const auto loading = m_input.loading.find(server.host);
    return server.isWarmFor(model)
        || (loading != m_input.loading.end() && loading->second == model);
}

bool Allocation::needsAnother(const UpstreamServer &server) const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    return std::none_of(models.begin(), models.end(), [&server](const ModelProfile &model) {
        return model.model != server.lastModel && server.hasStaged(model.model);
    });
}

// Whether the server can form a replica of no model without a load.
bool Allocation::isCold(const UpstreamServer &server) const
{
    const std::vector<ModelProfile> &models = m_input.engine.models;
    return std::none_of(models.begin(), models.end(),
                        [&](const ModelProfile &model) { return willHold(server, model.model); });
}

// What staging the model on cold ones of the idle servers of one domain would bring.
StagingPlan Allocation::stagingFor(const ModelProfile &model, const Servers &idle) const
{
    StagingPlan plan;
    plan.model = &model;
    const auto size = static_cast<std::size_t>(model.serversPerReplica);
    for (const UpstreamServer *server : idle) {
        if (willHold(*server, model.model) && plan.members.size() < size)
            plan.members.push_back(server);
    }
    for (const UpstreamServer *server : idle) {
        if (!willHold(*server, model.model) && isCold(*server) && plan.members.size() < size) {
            plan.members.push_back(server);
            ++plan.loads;
        }
    }
    plan.completes = plan.members.size() == size;
    const double loadTime = plan.loads * toMilliseconds(model.loadTime);
    if (plan.loads > 0)
        plan.worth = static_cast<double>(size) / loadTime / ratioOf(model);
    return plan;
}

// Gives cold idle servers of one domain to models: those first that complete a replica with few
// loads, of a model that lacks servers. What completes none waits for more servers.
void Allocation::stageIdle(Servers idle, std::vector<StagingChoice> &choices)
{
    const auto cold = [this](const UpstreamServer *server) { return isCold(*server); };
    while (std::any_of(idle.begin(), idle.end(), cold)) {
        StagingPlan best;
        for (const ModelProfile &model : m_input.engine.models) {
            StagingPlan plan = stagingFor(model, idle);
            if (plan.loads > 0 && best < plan)
                best = std::move(plan);
        }
        if (best.model == nullptr)
            return;
        for (const UpstreamServer *member : best.members) {
            if (!willHold(*member, best.model->model))
                choices.push_back(
                    { member->host, best.model->model, true, best.completes ? best.worth : 0 });
        }
        m_serversOf[best.model->model] += static_cast<int>(best.members.size());
        const auto isTaken = [&best](const UpstreamServer *server) {
            return std::find(best.members.begin(), best.members.end(), server)
                != best.members.end();
        };
        idle.erase(std::remove_if(idle.begin(), idle.end(), isTaken), idle.end());
    }
}

void Allocation::stageInReplicas(std::vector<StagingChoice> &choices) const
{
    for (const auto &[host, server] : m_input.servers) {
        if (server.service != m_input.service || server.domain.empty() || server.draining)
            continue;
        // A member that joins stages the replica's model by that.
        const PlannedReplica *replica = m_plan.replicaOf(host);
        if (replica == nullptr || replica->phase == ReplicaPhase::Forming)
            continue;
        // A host keeps few models: what is staged already is not pushed out for another.
        if (!needsAnother(server))
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
    Allocation scratch = *this; // What is staged for a model counts for it.
    for (const auto &[domain, idle] : m_free)
        scratch.stageIdle(idle, choices);
    std::stable_sort(
        choices.begin(), choices.end(),
        [](const StagingChoice &a, const StagingChoice &b) { return a.worth > b.worth; });
    stageInReplicas(choices);
    return choices;
}

} // namespace ramphinge
