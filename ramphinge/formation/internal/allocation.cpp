// Servers for models: see allocation.h.

#include "ramphinge/formation/internal/allocation.h"

#include <algorithm>
#include <tuple>

namespace ramphinge {

namespace {

// A model without servers takes part in ratios as if it had this many.
constexpr double noServers = 0.25;
// A replica all of whose servers load is worth as much as a warm one of a model that is better off
// by this part: a load takes some ten times as long as a warm start, and few run at once.
constexpr double loadPenalty = 0.6;
// Servers are taken from a model only for one that has less than this part of what the giver has,
// each against its share: moving servers costs the giver's requests a wait.
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

double ReplicaChoice::cost() const
{
    return ratio * (1 + loadPenalty * loads / static_cast<double>(hosts.size()));
}

Allocation::Allocation(ReplicaPlan &plan, const FormationInput &input)
    : m_plan(plan), m_input(input)
{
    countPlanned();
    collectFree();
}

void Allocation::formReplicas()
{
    int loadsLeft = m_input.loadsAllowed;
    while (const std::optional<ReplicaChoice> choice = bestChoice(loadsLeft)) {
        form(*choice);
        loadsLeft -= choice->loads;
    }
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
    if (!server.membership)
        return false;
    const ReplicaMembership &held = *server.membership;
    return std::none_of(m_input.servers.begin(), m_input.servers.end(), [&held](const auto &entry) {
        const UpstreamServer &other = entry.second;
        return other.isMemberOf(held.replica, held.epoch) && other.membership->rank == 0
            && other.membership->state == MembershipState::Broken;
    });
}

// Whether loads would go to a model that has its part already while another lacks much. They are
// better spent on staging that one.
bool Allocation::wastesLoads(const ReplicaChoice &choice) const
{
    const ModelProfile *needy = neediest();
    return choice.loads > 0 && choice.ratio > 1 && needy != nullptr
        && ratioOf(*needy) < imbalance * choice.ratio;
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

// The best domain for the model: least to load, then the zone that has least of it, then the domain
// with most free servers.
std::optional<ReplicaChoice> Allocation::bestFor(const ModelProfile &model, int loadsLeft) const
{
    std::optional<ReplicaChoice> best;
    std::tuple<int, int, int> bestKey;
    for (const auto &[domain, free] : m_free) {
        std::optional<ReplicaChoice> choice = choiceIn(model, domain, free);
        if (!choice || choice->loads > loadsLeft)
            continue;
        const std::tuple<int, int, int> key { choice->loads,
                                              inZone(model.model, free.front()->zone),
                                              -static_cast<int>(free.size()) };
        if (!best || key < bestKey) {
            best = std::move(choice);
            bestKey = key;
        }
    }
    return best;
}

std::optional<ReplicaChoice> Allocation::bestChoice(int loadsLeft) const
{
    std::vector<ReplicaChoice> choices;
    for (const ModelProfile &model : m_input.engine.models) {
        std::optional<ReplicaChoice> choice = bestFor(model, loadsLeft);
        if (choice && !wastesLoads(*choice))
            choices.push_back(std::move(*choice));
    }
    if (choices.empty())
        return std::nullopt;
    // At equal need the larger replica goes first: it is harder to place.
    const auto before = [](const ReplicaChoice &a, const ReplicaChoice &b) {
        return a.cost() != b.cost() ? a.cost() < b.cost() : a.hosts.size() > b.hosts.size();
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

// Whether the model has so much more than the needy one that it should give servers.
bool Allocation::isRich(const ModelId &giver, const ModelProfile &needy) const
{
    const ModelProfile *model = m_input.engine.find(giver);
    if (model == nullptr || giver == needy.model)
        return false;
    const double left = m_serversOf.at(giver) - model->serversPerReplica;
    const double leftRatio = left / std::max(noServers, shareOf(giver) * m_total);
    return ratioOf(needy) < imbalance * ratioOf(*model) && leftRatio > ratioOf(needy);
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
    Conversion conversion { domain, {} };
    const auto free = m_free.find(domain);
    Servers servers = free == m_free.end() ? Servers() : free->second;
    Servers givers;
    for (const PlannedReplica &replica : m_plan.replicas) {
        if (replica.domain == domain && replica.phase == ReplicaPhase::Draining) {
            const Servers coming = serversOf(replica);
            servers.insert(servers.end(), coming.begin(), coming.end());
        }
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
        if (replica.domain != domain || replica.phase != ReplicaPhase::Ready
            || !isRich(replica.model, needy))
            continue;
        const Servers more = serversOf(replica);
        if (more.empty() || !std::all_of(more.begin(), more.end(), isWarm))
            continue;
        conversion.givers.push_back(replica.replica);
        servers.insert(servers.end(), more.begin(), more.end());
    }
    if (static_cast<int>(servers.size()) < needy.serversPerReplica)
        return std::nullopt;
    return conversion;
}

void Allocation::rebalance()
{
    const ModelProfile *needy = neediest();
    if (needy == nullptr)
        return;
    const bool richer = std::any_of(
        m_input.engine.models.begin(), m_input.engine.models.end(), [&](const ModelProfile &model) {
            return m_serversOf.count(model.model) > 0 && isRich(model.model, *needy);
        });
    // Servers that are enough already are formed, not converted.
    if (!richer || bestFor(*needy, 0))
        return;
    std::set<DomainId> domains;
    for (const PlannedReplica &replica : m_plan.replicas)
        domains.insert(replica.domain);
    std::optional<Conversion> best;
    for (const DomainId &domain : domains) {
        std::optional<Conversion> conversion = conversionIn(domain, *needy);
        if (conversion && (!best || conversion->givers.size() < best->givers.size()))
            best = std::move(conversion);
    }
    if (!best)
        return;
    for (PlannedReplica &replica : m_plan.replicas) {
        const auto &givers = best->givers;
        if (std::find(givers.begin(), givers.end(), replica.replica) != givers.end())
            replica.phase = ReplicaPhase::Draining;
    }
    // What is free there waits for the rest.
    m_free.erase(best->domain);
}

std::map<HostId, ModelId> Allocation::modelsToStage() const
{
    std::map<HostId, ModelId> wanted;
    for (const auto &[host, server] : m_input.servers) {
        if (server.service != m_input.service || server.domain.empty() || server.draining)
            continue;
        // A member that joins stages the replica's model by that.
        const PlannedReplica *replica = m_plan.replicaOf(host);
        if (replica != nullptr && replica->phase == ReplicaPhase::Forming)
            continue;
        const ModelProfile *best = nullptr;
        bool hasAnother = false;
        for (const ModelProfile &model : m_input.engine.models) {
            if (model.model == server.lastModel)
                continue;
            hasAnother = hasAnother || server.hasStaged(model.model);
            if (best == nullptr || ratioOf(model) < ratioOf(*best))
                best = &model;
        }
        // A host keeps few models: what is staged already is not pushed out for another.
        if (best != nullptr && !hasAnother)
            wanted[host] = best->model;
    }
    return wanted;
}

} // namespace ramphinge
