// Replica planning: see planner.h. PlanningPass::run() lists the steps in order.

#include "ramphinge/replicas/planner.h"

#include <algorithm>
#include <map>
#include <set>

namespace ramphinge {

namespace {

using HostMap = std::map<HostId, HostState>;
using Baseline = PlannerOptions::Baseline;

const HostState *stateOf(const HostMap &hosts, const HostId &host)
{
    const auto found = hosts.find(host);
    return found == hosts.end() ? nullptr : &found->second;
}

bool confirms(const HostState *state, const PlannedReplica &planned, int rank)
{
    return state != nullptr && state->replica == planned.replica && state->epoch == planned.epoch
        && state->rank == rank && state->loaded;
}

HostMap mapOf(const PlannerInput &input)
{
    HostMap hosts;
    for (const HostState &state : input.hosts)
        hosts[state.host] = state;
    return hosts;
}

// One planning pass over a copy of the plan; records whether the copy changed.
class PlanningPass
{
public:
    PlanningPass(const ReplicaPlan &current, const PlannerInput &input,
                 const PlannerOptions &options)
        : m_input(input), m_options(options), m_hosts(mapOf(input)), m_plan(current),
          m_nextEpoch(current.epoch + Epoch(1))
    {
        m_needs = input.needs;
        std::stable_sort(
            m_needs.begin(), m_needs.end(),
            [](const ReplicaNeed &a, const ReplicaNeed &b) { return a.importance > b.importance; });
    }

    ReplicaPlan run()
    {
        markBroken();
        if (m_options.baseline == Baseline::RebuildAll && hasBroken())
            dissolveAll();
        promoteReady();
        drainLeaving();
        removeDrained();
        retireUnneeded();
        repairBroken();
        formMissing();
        if (m_options.objective == Objective::StrandedAccelerators
            && m_options.baseline == Baseline::None)
            formSurplus();
        if (m_changed)
            m_plan.epoch = m_nextEpoch;
        return m_plan;
    }

private:
    void setPhase(PlannedReplica &planned, ReplicaPhase phase)
    {
        m_changed = m_changed || planned.phase != phase;
        planned.phase = phase;
    }

    bool hasMissingHost(const PlannedReplica &planned) const
    {
        return std::any_of(planned.hosts.begin(), planned.hosts.end(), [this](const HostId &host) {
            return stateOf(m_hosts, host) == nullptr;
        });
    }

    bool hasLeavingHost(const PlannedReplica &planned) const
    {
        return std::any_of(planned.hosts.begin(), planned.hosts.end(), [this](const HostId &host) {
            const HostState *state = stateOf(m_hosts, host);
            return state != nullptr && state->leaving;
        });
    }

    bool allConfirm(const PlannedReplica &planned) const
    {
        for (std::size_t rank = 0; rank < planned.hosts.size(); ++rank) {
            if (!confirms(stateOf(m_hosts, planned.hosts[rank]), planned, static_cast<int>(rank)))
                return false;
        }
        return true;
    }

    // A replica with a missing host, or a ready one with a host whose state differs from the plan,
    // can't serve.
    void markBroken()
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            const bool contradicted = planned.phase == ReplicaPhase::Ready && !allConfirm(planned);
            if (hasMissingHost(planned) || contradicted)
                setPhase(planned, ReplicaPhase::Broken);
        }
    }

    bool hasBroken() const
    {
        return std::any_of(
            m_plan.replicas.begin(), m_plan.replicas.end(),
            [](const PlannedReplica &planned) { return planned.phase == ReplicaPhase::Broken; });
    }

    void dissolveAll()
    {
        m_changed = m_changed || !m_plan.replicas.empty();
        m_plan.replicas.clear();
    }

    void promoteReady()
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            if (planned.phase == ReplicaPhase::Forming && allConfirm(planned))
                setPhase(planned, ReplicaPhase::Ready);
        }
    }

    void drainLeaving()
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            if (!hasLeavingHost(planned) || planned.phase == ReplicaPhase::Broken)
                continue;
            setPhase(planned, ReplicaPhase::Draining);
        }
    }

    bool hasDrained(const PlannedReplica &planned) const
    {
        const HostState *head = stateOf(m_hosts, planned.hosts.front());
        return head == nullptr || head->idle || head->replica != planned.replica;
    }

    void removeDrained()
    {
        eraseIf([this](const PlannedReplica &planned) {
            return planned.phase == ReplicaPhase::Draining && hasDrained(planned);
        });
    }

    template <typename Predicate> void eraseIf(Predicate predicate)
    {
        const auto kept = std::remove_if(m_plan.replicas.begin(), m_plan.replicas.end(), predicate);
        m_changed = m_changed || kept != m_plan.replicas.end();
        m_plan.replicas.erase(kept, m_plan.replicas.end());
    }

    const ReplicaNeed *needOf(const ModelId &model) const
    {
        for (const ReplicaNeed &need : m_needs) {
            if (need.model == model)
                return &need;
        }
        return nullptr;
    }

    // When there are too many replicas, those with the lowest priority are removed first.
    static int retentionPriority(const PlannedReplica &planned)
    {
        switch (planned.phase) {
        case ReplicaPhase::Ready:
            return 3;
        case ReplicaPhase::Forming:
            return 2;
        case ReplicaPhase::Broken:
            return 1;
        case ReplicaPhase::Draining:
            return 0;
        }
        return 0;
    }

    void retireUnneeded()
    {
        std::map<ModelId, std::vector<PlannedReplica *>> byModel;
        for (PlannedReplica &planned : m_plan.replicas) {
            if (planned.phase != ReplicaPhase::Draining && !planned.surplus)
                byModel[planned.model].push_back(&planned);
        }
        for (auto &[model, replicas] : byModel) {
            const ReplicaNeed *need = needOf(model);
            const std::size_t demanded =
                need == nullptr ? 0 : static_cast<std::size_t>(need->count);
            std::stable_sort(replicas.begin(), replicas.end(),
                             [](const PlannedReplica *a, const PlannedReplica *b) {
                                 return retentionPriority(*a) > retentionPriority(*b);
                             });
            for (std::size_t i = demanded; i < replicas.size(); ++i)
                retire(*replicas[i]);
        }
        for (PlannedReplica &planned : m_plan.replicas) {
            const ReplicaNeed *need = needOf(planned.model);
            const bool resized =
                need != nullptr && static_cast<int>(planned.hosts.size()) != need->hostsPerReplica;
            if (resized || (planned.surplus && need == nullptr))
                retire(planned);
        }
        eraseIf([](const PlannedReplica &planned) { return planned.hosts.empty(); });
    }

    // Drains ready replicas; others have no requests and are removed at once.
    void retire(PlannedReplica &planned)
    {
        if (planned.phase == ReplicaPhase::Ready || planned.phase == ReplicaPhase::Draining) {
            setPhase(planned, ReplicaPhase::Draining);
            return;
        }
        planned.hosts.clear();
        m_changed = true;
    }

    std::set<HostId> freeHosts() const
    {
        std::set<HostId> free;
        for (const auto &[host, state] : m_hosts) {
            if (!state.leaving)
                free.insert(host);
        }
        for (const PlannedReplica &planned : m_plan.replicas) {
            for (const HostId &host : planned.hosts)
                free.erase(host);
        }
        return free;
    }

    std::vector<HostId> freeIn(const DomainId &domain) const
    {
        std::vector<HostId> hosts;
        for (const HostId &host : freeHosts()) {
            if (m_hosts.at(host).domain == domain)
                hosts.push_back(host);
        }
        return hosts;
    }

    int loadingHosts() const
    {
        int loading = 0;
        for (const PlannedReplica &planned : m_plan.replicas) {
            if (planned.phase != ReplicaPhase::Forming)
                continue;
            for (std::size_t rank = 0; rank < planned.hosts.size(); ++rank) {
                const HostState *state = stateOf(m_hosts, planned.hosts[rank]);
                if (!confirms(state, planned, static_cast<int>(rank)))
                    ++loading;
            }
        }
        return loading;
    }

    bool canLoad(int hosts) const
    {
        const int loading = loadingHosts();
        return loading == 0 || loading + hosts <= m_options.maxLoadingHosts;
    }

    // Moves hosts that have loaded the model to the front: they need not load it again.
    void moveLoadedToFront(std::vector<HostId> &hosts, const ModelId &model) const
    {
        std::stable_partition(hosts.begin(), hosts.end(), [&](const HostId &host) {
            const HostState &state = m_hosts.at(host);
            return state.loaded && state.model == model;
        });
    }

    void beginForming(PlannedReplica &planned)
    {
        planned.phase = ReplicaPhase::Forming;
        planned.epoch = m_nextEpoch;
        m_changed = true;
    }

    void repairBroken()
    {
        std::vector<ReplicaId> broken;
        for (const PlannedReplica &planned : m_plan.replicas) {
            if (planned.phase == ReplicaPhase::Broken)
                broken.push_back(planned.replica);
        }
        std::stable_sort(broken.begin(), broken.end(),
                         [this](const ReplicaId &a, const ReplicaId &b) {
                             return importanceOf(*find(a)) > importanceOf(*find(b));
                         });
        for (const ReplicaId &replica : broken)
            repair(replica);
    }

    PlannedReplica *find(const ReplicaId &replica)
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            if (planned.replica == replica)
                return &planned;
        }
        return nullptr;
    }

    int importanceOf(const PlannedReplica &planned) const
    {
        const ReplicaNeed *need = needOf(planned.model);
        return planned.surplus || need == nullptr ? -1 : need->importance;
    }

    void repair(const ReplicaId &replica)
    {
        PlannedReplica *planned = find(replica);
        if (planned == nullptr)
            return; // It was removed to give its hosts to another replica.
        const auto isUnavailable = [this](const HostId &host) {
            const HostState *state = stateOf(m_hosts, host);
            return state == nullptr || state->leaving;
        };
        const auto missing = static_cast<int>(
            std::count_if(planned->hosts.begin(), planned->hosts.end(), isUnavailable));
        if (missing == 0) {
            beginForming(*planned); // Its host is back; all hosts must join the group again.
            return;
        }
        if (m_options.baseline == Baseline::NeverMove || !canLoad(missing))
            return;
        if (missing == static_cast<int>(planned->hosts.size())) {
            remove(replica); // No host is left; formMissing() forms it elsewhere.
            return;
        }
        std::vector<HostId> spares = freeIn(planned->domain);
        moveLoadedToFront(spares, planned->model);
        if (static_cast<int>(spares.size()) < missing)
            takeHostsOfLessImportant(*planned, missing - static_cast<int>(spares.size()), spares);
        planned = find(replica);
        if (static_cast<int>(spares.size()) >= missing) {
            substitute(*planned, spares);
            return;
        }
        if (planned->surplus || canFormElsewhere(*planned)
            || (m_options.objective == Objective::StrandedAccelerators
                && wouldCompleteAnother(*planned, missing)))
            remove(replica);
    }

    void substitute(PlannedReplica &planned, const std::vector<HostId> &spares)
    {
        std::size_t next = 0;
        for (HostId &host : planned.hosts) {
            const HostState *state = stateOf(m_hosts, host);
            if (state == nullptr || state->leaving)
                host = spares[next++];
        }
        beginForming(planned);
    }

    // Takes the hosts of the least important replica of the domain. As that replica is then down,
    // it must be less important than the replica to repair.
    void takeHostsOfLessImportant(const PlannedReplica &recipient, int count,
                                  std::vector<HostId> &spares)
    {
        const int recipientImportance = importanceOf(recipient);
        PlannedReplica *donor = nullptr;
        for (PlannedReplica &planned : m_plan.replicas) {
            const bool isCandidate = planned.replica != recipient.replica
                && planned.domain == recipient.domain && planned.phase != ReplicaPhase::Draining
                && importanceOf(planned) < recipientImportance
                && liveHosts(planned).size() >= static_cast<std::size_t>(count);
            if (isCandidate && (donor == nullptr || importanceOf(planned) < importanceOf(*donor)))
                donor = &planned;
        }
        if (donor == nullptr)
            return;
        // A ready donor drains first; its hosts become available when they are idle.
        if (donor->phase == ReplicaPhase::Ready) {
            setPhase(*donor, ReplicaPhase::Draining);
            return;
        }
        const std::vector<HostId> hosts = liveHosts(*donor);
        spares.insert(spares.end(), hosts.begin(), hosts.end());
        remove(donor->replica);
    }

    std::vector<HostId> liveHosts(const PlannedReplica &planned) const
    {
        std::vector<HostId> live;
        for (const HostId &host : planned.hosts) {
            const HostState *state = stateOf(m_hosts, host);
            if (state != nullptr && !state->leaving)
                live.push_back(host);
        }
        return live;
    }

    bool canFormElsewhere(const PlannedReplica &planned) const
    {
        for (const DomainId &domain : domains()) {
            if (domain != planned.domain && freeIn(domain).size() >= planned.hosts.size())
                return true;
        }
        return false;
    }

    // Whether the hosts of this replica would complete another broken replica of its domain.
    bool wouldCompleteAnother(const PlannedReplica &planned, int missing) const
    {
        for (const PlannedReplica &other : m_plan.replicas) {
            const bool candidate = other.replica != planned.replica
                && other.domain == planned.domain && other.phase == ReplicaPhase::Broken;
            if (!candidate)
                continue;
            const std::size_t missingHosts = other.hosts.size() - liveHosts(other).size();
            if (missingHosts <= static_cast<std::size_t>(missing)
                && missingHosts <= liveHosts(planned).size())
                return true;
        }
        return false;
    }

    void remove(const ReplicaId &replica)
    {
        eraseIf([&replica](const PlannedReplica &planned) { return planned.replica == replica; });
    }

    std::set<DomainId> domains() const
    {
        std::set<DomainId> all;
        for (const auto &[host, state] : m_hosts)
            all.insert(state.domain);
        return all;
    }

    // Best fit: hosts of the domain with the fewest sufficient free hosts, so that large
    // groups of free hosts remain for large replicas. Prefers hosts of it that have loaded the
    // model.
    std::vector<HostId> findHostsFor(const ReplicaNeed &need) const
    {
        std::vector<HostId> best;
        for (const DomainId &domain : domains()) {
            std::vector<HostId> free = freeIn(domain);
            if (static_cast<int>(free.size()) < need.hostsPerReplica)
                continue;
            if (best.empty() || free.size() < best.size())
                best = std::move(free);
        }
        moveLoadedToFront(best, need.model);
        if (!best.empty())
            best.resize(static_cast<std::size_t>(need.hostsPerReplica));
        return best;
    }

    int activeCount(const ModelId &model) const
    {
        return static_cast<int>(std::count_if(m_plan.replicas.begin(), m_plan.replicas.end(),
                                              [&model](const PlannedReplica &planned) {
                                                  return planned.model == model && !planned.surplus
                                                      && planned.phase != ReplicaPhase::Draining;
                                              }));
    }

    void formMissing()
    {
        for (const ReplicaNeed &need : m_needs) {
            adoptSurplus(need);
            while (activeCount(need.model) < need.count && canLoad(need.hostsPerReplica)) {
                if (!form(need, false))
                    break;
            }
            if (activeCount(need.model) < need.count)
                retireSurplusFor(need);
        }
    }

    // Counts surplus replicas of the demanded model as demanded ones.
    void adoptSurplus(const ReplicaNeed &need)
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            if (activeCount(need.model) >= need.count)
                return;
            if (planned.surplus && planned.model == need.model
                && planned.phase != ReplicaPhase::Draining) {
                planned.surplus = false;
                m_changed = true;
            }
        }
    }

    // Retires one surplus replica whose hosts would make its domain's free hosts sufficient.
    void retireSurplusFor(const ReplicaNeed &need)
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            if (planned.phase == ReplicaPhase::Draining)
                return; // A draining replica frees hosts soon.
        }
        for (PlannedReplica &planned : m_plan.replicas) {
            const std::size_t availableHosts =
                freeIn(planned.domain).size() + liveHosts(planned).size();
            if (planned.surplus
                && availableHosts >= static_cast<std::size_t>(need.hostsPerReplica)) {
                retire(planned);
                break;
            }
        }
        eraseIf([](const PlannedReplica &planned) { return planned.hosts.empty(); });
    }

    // Forms replicas of free hosts, for the most important model that fits.
    void formSurplus()
    {
        bool formed = true;
        while (formed) {
            formed = false;
            for (const ReplicaNeed &need : m_needs) {
                if (need.count > 0 && canLoad(need.hostsPerReplica) && form(need, true)) {
                    formed = true;
                    break;
                }
            }
        }
    }

    bool form(const ReplicaNeed &need, bool surplus)
    {
        const std::vector<HostId> hosts = findHostsFor(need);
        if (hosts.empty())
            return false;
        PlannedReplica planned;
        planned.replica = unusedId(need.model);
        planned.model = need.model;
        planned.domain = m_hosts.at(hosts.front()).domain;
        planned.surplus = surplus;
        planned.hosts = hosts;
        beginForming(planned);
        m_plan.replicas.push_back(std::move(planned));
        return true;
    }

    ReplicaId unusedId(const ModelId &model)
    {
        for (int number = 1;; ++number) {
            ReplicaId id(model.text() + "/" + m_input.zone.text() + "/" + std::to_string(number));
            if (m_plan.find(id) == nullptr)
                return id;
        }
    }

    const PlannerInput &m_input;
    const PlannerOptions &m_options;
    HostMap m_hosts;
    ReplicaPlan m_plan;
    Epoch m_nextEpoch;
    std::vector<ReplicaNeed> m_needs;
    bool m_changed = false;
};

HostOrder orderOf(const PlannedReplica &planned, std::size_t rank)
{
    HostOrder order { planned.hosts[rank],    planned.replica, planned.epoch,
                      static_cast<int>(rank), planned.model,   {} };
    if (rank == 0)
        order.peers.assign(planned.hosts.begin() + 1, planned.hosts.end());
    return order;
}

} // namespace

ReplicaPlan nextPlan(const ReplicaPlan &current, const PlannerInput &input,
                     const PlannerOptions &options)
{
    return PlanningPass(current, input, options).run();
}

std::vector<HostOrder> ordersFor(const ReplicaPlan &plan, const PlannerInput &input)
{
    const HostMap hosts = mapOf(input);
    std::vector<HostOrder> orders;
    std::set<HostId> planned;
    for (const PlannedReplica &replica : plan.replicas) {
        planned.insert(replica.hosts.begin(), replica.hosts.end());
        if (replica.phase != ReplicaPhase::Forming)
            continue;
        for (std::size_t rank = 0; rank < replica.hosts.size(); ++rank) {
            const HostState *state = stateOf(hosts, replica.hosts[rank]);
            const bool joined = state != nullptr && state->replica == replica.replica
                && state->epoch == replica.epoch && state->rank == static_cast<int>(rank);
            if (state != nullptr && !joined)
                orders.push_back(orderOf(replica, rank));
        }
    }
    for (const auto &[host, state] : hosts) {
        if (planned.count(host) == 0 && !state.replica.empty())
            orders.push_back({ host, ReplicaId(), plan.epoch, -1, state.model, {} });
    }
    return orders;
}

bool allHostsConfirm(const PlannedReplica &planned, const PlannerInput &input)
{
    const HostMap hosts = mapOf(input);
    for (std::size_t rank = 0; rank < planned.hosts.size(); ++rank) {
        if (!confirms(stateOf(hosts, planned.hosts[rank]), planned, static_cast<int>(rank)))
            return false;
    }
    return true;
}

PlanQuality qualityOf(const ReplicaPlan &plan, const PlannerInput &input)
{
    PlanQuality quality;
    const HostMap hosts = mapOf(input);
    std::set<HostId> serving;
    std::map<ModelId, int> ready;
    for (const PlannedReplica &planned : plan.replicas) {
        if (planned.phase != ReplicaPhase::Ready || !allHostsConfirm(planned, input))
            continue;
        serving.insert(planned.hosts.begin(), planned.hosts.end());
        ++ready[planned.model];
    }
    for (const auto &[host, state] : hosts)
        quality.strandedHosts += serving.count(host) == 0 ? 1 : 0;
    for (const ReplicaNeed &need : input.needs)
        quality.replicasDown += std::max(0, need.count - ready[need.model]);
    return quality;
}

} // namespace ramphinge
