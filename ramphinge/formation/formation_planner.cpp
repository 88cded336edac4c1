// Forming of replicas: see formation_planner.h.

#include "ramphinge/formation/formation_planner.h"

#include <algorithm>
#include <tuple>

namespace ramphinge {

namespace {

// A model without servers takes part in ratios as if it had this many.
constexpr double noServers = 0.25;
// A replica that needs no load is formed first while its model is at most this factor better off
// than the model that lacks most: a load takes some ten times as long as a warm start.
constexpr double warmPreference = 1.6;

const UpstreamServer *find(const FormationInput &input, const HostId &host)
{
    const auto found = input.servers.find(host);
    return found == input.servers.end() ? nullptr : &found->second;
}

bool isMember(const FormationInput &input, const PlannedReplica &replica, const HostId &host)
{
    const UpstreamServer *server = find(input, host);
    return server != nullptr && server->isMemberOf(replica.replica, replica.epoch);
}

bool anyHost(const PlannedReplica &replica, const FormationInput &input,
             bool (*predicate)(const UpstreamServer *))
{
    return std::any_of(replica.hosts.begin(), replica.hosts.end(),
                       [&](const HostId &host) { return predicate(find(input, host)); });
}

bool isMissing(const UpstreamServer *server)
{
    return server == nullptr;
}

bool isLeaving(const UpstreamServer *server)
{
    return server != nullptr && server->draining;
}

bool allReady(const PlannedReplica &replica, const FormationInput &input)
{
    return std::all_of(replica.hosts.begin(), replica.hosts.end(), [&](const HostId &host) {
        return isMember(input, replica, host)
            && find(input, host)->membership->state != MembershipState::Joining;
    });
}

// The head is certainly not serving and never will be: its servers are free.
bool isReleased(const PlannedReplica &replica, const FormationInput &input)
{
    const HostId &headId = replica.hosts.front();
    const UpstreamServer *head = find(input, headId);
    if (head == nullptr)
        return input.maybeAlive.count(headId) == 0;
    if (!isMember(input, replica, headId))
        return true;
    return head->membership->state == MembershipState::Broken;
}

// A member of an opened replica has gone elsewhere: restarted in place, or obeyed somebody else.
bool lostMember(const PlannedReplica &replica, const FormationInput &input)
{
    return std::any_of(replica.hosts.begin(), replica.hosts.end(),
                       [&](const HostId &host) { return !isMember(input, replica, host); });
}

bool headIs(const PlannedReplica &replica, const FormationInput &input, MembershipState state)
{
    const HostId &head = replica.hosts.front();
    return isMember(input, replica, head) && find(input, head)->membership->state == state;
}

// The replica's next phase; nothing if it is over.
std::optional<ReplicaPhase> nextPhase(const PlannedReplica &replica, const FormationInput &input)
{
    const bool failed = input.failed.count(replica.replica) > 0;
    switch (replica.phase) {
    case ReplicaPhase::Forming:
        if (failed || anyHost(replica, input, isMissing) || anyHost(replica, input, isLeaving))
            return std::nullopt;
        return allReady(replica, input) ? ReplicaPhase::Ready : ReplicaPhase::Forming;
    case ReplicaPhase::Ready:
        if (failed || anyHost(replica, input, isMissing) || lostMember(replica, input)
            || headIs(replica, input, MembershipState::Broken))
            return ReplicaPhase::Broken;
        return anyHost(replica, input, isLeaving) ? ReplicaPhase::Draining : ReplicaPhase::Ready;
    case ReplicaPhase::Draining:
        if (failed || anyHost(replica, input, isMissing) || lostMember(replica, input))
            return ReplicaPhase::Broken;
        // Closed: only what is seen after it was open counts, so it is left, not just closed.
        return headIs(replica, input, MembershipState::Ready) ? ReplicaPhase::Broken
                                                              : ReplicaPhase::Draining;
    case ReplicaPhase::Broken:
        if (isReleased(replica, input))
            return std::nullopt;
        return ReplicaPhase::Broken;
    }
    return std::nullopt;
}

// Counts the plan's servers by model, in one zone or over all.
struct ModelCounts
{
    std::map<ModelId, int> all;
    std::map<std::pair<ModelId, ZoneId>, int> byZone;
};

// One way to form a replica.
struct Choice
{
    const ModelProfile *model = nullptr;
    DomainId domain;
    std::vector<HostId> hosts;
    int loads = 0; // Servers that would read the weights from the weight store.
    double ratio = 0; // Of its model: servers it has over servers it should have.
};

// Forms replicas out of free servers, the most wanted first.
class Allocation
{
public:
    Allocation(ReplicaPlan &plan, const FormationInput &input) : m_plan(plan), m_input(input)
    {
        countPlanned();
        collectFree();
    }

    void run()
    {
        int loadsLeft = m_input.loadsAllowed;
        while (const std::optional<Choice> choice = bestChoice(loadsLeft)) {
            form(*choice);
            loadsLeft -= choice->loads;
        }
    }

private:
    void countPlanned()
    {
        for (const PlannedReplica &replica : m_plan.replicas) {
            m_planned.insert(replica.hosts.begin(), replica.hosts.end());
            if (replica.phase == ReplicaPhase::Forming || replica.phase == ReplicaPhase::Ready)
                count(replica);
        }
    }

    void count(const PlannedReplica &replica)
    {
        const int servers = static_cast<int>(replica.hosts.size());
        m_counts.all[replica.model] += servers;
        if (const UpstreamServer *head = find(m_input, replica.hosts.front()))
            m_counts.byZone[{ replica.model, head->zone }] += servers;
    }

    void collectFree()
    {
        for (const auto &[host, server] : m_input.servers) {
            if (server.service != m_input.service || server.domain.empty())
                continue;
            ++m_total;
            if (!server.draining && m_planned.count(host) == 0 && m_input.unusable.count(host) == 0)
                m_free[server.domain].push_back(&server);
        }
    }

    double shareOf(const ModelId &model) const
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

    double ratioOf(const ModelProfile &model) const
    {
        const auto found = m_counts.all.find(model.model);
        const double have = found == m_counts.all.end() ? noServers : found->second;
        return have / std::max(noServers, shareOf(model.model) * m_total);
    }

    int inZone(const ModelId &model, const ZoneId &zone) const
    {
        const auto found = m_counts.byZone.find({ model, zone });
        return found == m_counts.byZone.end() ? 0 : found->second;
    }

    // How soon a server could be a ready member: 0 held it last, 1 has it staged, 2 has to load.
    static int coldness(const UpstreamServer &server, const ModelId &model)
    {
        if (server.model == model)
            return 0;
        return server.hasStaged(model) ? 1 : 2;
    }

    std::optional<Choice> choiceIn(const ModelProfile &model, const DomainId &domain,
                                   std::vector<const UpstreamServer *> free) const
    {
        const auto size = static_cast<std::size_t>(model.serversPerReplica);
        if (size == 0 || free.size() < size)
            return std::nullopt;
        std::stable_sort(free.begin(), free.end(), [&](const auto *a, const auto *b) {
            return coldness(*a, model.model) < coldness(*b, model.model);
        });
        Choice choice { &model, domain, {}, 0, ratioOf(model) };
        for (std::size_t i = 0; i < size; ++i) {
            choice.hosts.push_back(free[i]->host);
            choice.loads += coldness(*free[i], model.model) == 2 ? 1 : 0;
        }
        return choice;
    }

    // The best domain for the model: least to load, then the zone that has least of it, then the
    // domain with most free servers.
    std::optional<Choice> bestFor(const ModelProfile &model, int loadsLeft) const
    {
        std::optional<Choice> best;
        std::tuple<int, int, int> bestKey;
        for (const auto &[domain, free] : m_free) {
            std::optional<Choice> choice = choiceIn(model, domain, free);
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

    std::optional<Choice> bestChoice(int loadsLeft) const
    {
        std::vector<Choice> choices;
        for (const ModelProfile &model : m_input.engine.models) {
            if (std::optional<Choice> choice = bestFor(model, loadsLeft))
                choices.push_back(std::move(*choice));
        }
        if (choices.empty())
            return std::nullopt;
        // At equal need the larger replica goes first: it is harder to place.
        std::sort(choices.begin(), choices.end(), [](const Choice &a, const Choice &b) {
            return a.ratio != b.ratio ? a.ratio < b.ratio : a.hosts.size() > b.hosts.size();
        });
        for (const Choice &choice : choices) {
            if (choice.loads == 0 && choice.ratio <= choices.front().ratio * warmPreference)
                return choice;
        }
        return choices.front();
    }

    void form(const Choice &choice)
    {
        PlannedReplica replica;
        m_plan.epoch += Epoch(1);
        replica.epoch = m_plan.epoch;
        replica.replica = ReplicaId("replica-" + std::to_string(replica.epoch.count()));
        replica.model = choice.model->model;
        replica.domain = choice.domain;
        replica.hosts = choice.hosts;
        std::vector<const UpstreamServer *> &free = m_free[choice.domain];
        free.erase(std::remove_if(free.begin(), free.end(),
                                  [&](const UpstreamServer *server) {
                                      return std::find(choice.hosts.begin(), choice.hosts.end(),
                                                       server->host)
                                          != choice.hosts.end();
                                  }),
                   free.end());
        count(replica);
        m_plan.replicas.push_back(std::move(replica));
    }

    ReplicaPlan &m_plan;
    const FormationInput &m_input;
    std::set<HostId> m_planned;
    ModelCounts m_counts;
    std::map<DomainId, std::vector<const UpstreamServer *>> m_free;
    int m_total = 0; // Servers of the service.
};

bool belongsTo(const PlannedReplica &replica, const FormationInput &input)
{
    return input.engine.find(replica.model) != nullptr;
}

bool needsLoad(const FormationInput &input, const HostId &host, const ModelId &model)
{
    const UpstreamServer *server = find(input, host);
    return server != nullptr && server->model != model && !server->hasStaged(model);
}

void addJoins(const PlannedReplica &replica, const FormationInput &input,
              std::vector<ServerOrder> &orders)
{
    for (const HostId &host : replica.hosts) {
        if (find(input, host) == nullptr || isMember(input, replica, host))
            continue;
        orders.push_back({ OrderKind::Join, host, replica.replica, replica.epoch, replica.model,
                           replica.hosts, needsLoad(input, host, replica.model) });
    }
}

ServerOrder headOrder(OrderKind kind, const PlannedReplica &replica)
{
    return { kind, replica.hosts.front(), replica.replica, replica.epoch, {}, {}, false };
}

} // namespace

const char *toString(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Join:
        return "join";
    case OrderKind::Open:
        return "open";
    case OrderKind::Close:
        return "close";
    case OrderKind::Leave:
        return "leave";
    case OrderKind::Stage:
        return "stage";
    }
    return "leave";
}

bool operator<(const ServerOrder &a, const ServerOrder &b)
{
    return std::tie(a.host, a.replica, a.kind) < std::tie(b.host, b.replica, b.kind);
}

ReplicaPlan nextFormation(const ReplicaPlan &current, const FormationInput &input)
{
    ReplicaPlan next;
    next.epoch = current.epoch;
    for (const PlannedReplica &replica : current.replicas) {
        if (!belongsTo(replica, input)) {
            next.replicas.push_back(replica);
            continue;
        }
        const std::optional<ReplicaPhase> phase = nextPhase(replica, input);
        if (!phase)
            continue;
        next.replicas.push_back(replica);
        next.replicas.back().phase = *phase;
    }
    Allocation(next, input).run();
    return next;
}

std::vector<ServerOrder> ordersFor(const ReplicaPlan &plan, const FormationInput &input)
{
    std::vector<ServerOrder> orders;
    for (const PlannedReplica &replica : plan.replicas) {
        if (!belongsTo(replica, input))
            continue;
        switch (replica.phase) {
        case ReplicaPhase::Forming:
            addJoins(replica, input, orders);
            break;
        case ReplicaPhase::Ready:
            if (headIs(replica, input, MembershipState::Ready))
                orders.push_back(headOrder(OrderKind::Open, replica));
            break;
        case ReplicaPhase::Draining:
            if (headIs(replica, input, MembershipState::Open))
                orders.push_back(headOrder(OrderKind::Close, replica));
            break;
        case ReplicaPhase::Broken:
            if (!isReleased(replica, input))
                orders.push_back(headOrder(OrderKind::Leave, replica));
            break;
        }
    }
    return orders;
}

bool samePlan(const ReplicaPlan &a, const ReplicaPlan &b)
{
    return a.epoch == b.epoch && a.replicas.size() == b.replicas.size()
        && std::equal(a.replicas.begin(), a.replicas.end(), b.replicas.begin(),
                      [](const PlannedReplica &x, const PlannedReplica &y) {
                          return x.replica == y.replica && x.phase == y.phase;
                      });
}

} // namespace ramphinge
