// Replica planning: see planner.h. The order of the steps below is the order in which a plan
// changes.

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

// One planning pass. Works on a copy of the plan and remembers whether it changed.
class Pass
{
public:
    Pass(const ReplicaPlan &current, const PlannerInput &input, const PlannerOptions &options)
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
        dropDrained();
        dropUnwanted();
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

    // A replica that lacks a host, or one of whose hosts is no more what the plan says, can't
    // serve.
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

    void dropDrained()
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

    // How much a replica counts: broken ones go first when there are too many.
    static int keepRank(const PlannedReplica &planned)
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

    void dropUnwanted()
    {
        std::map<ModelId, std::vector<PlannedReplica *>> byModel;
        for (PlannedReplica &planned : m_plan.replicas) {
            if (planned.phase != ReplicaPhase::Draining && !planned.surplus)
                byModel[planned.model].push_back(&planned);
        }
        for (auto &[model, replicas] : byModel) {
            const ReplicaNeed *need = needOf(model);
            const std::size_t wanted = need == nullptr ? 0 : static_cast<std::size_t>(need->count);
            std::stable_sort(replicas.begin(), replicas.end(),
                             [](const PlannedReplica *a, const PlannedReplica *b) {
                                 return keepRank(*a) > keepRank(*b);
                             });
            for (std::size_t i = wanted; i < replicas.size(); ++i)
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

    // Ready replicas drain; others hold no request and go at once.
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

    bool mayLoad(int hosts) const
    {
        const int loading = loadingHosts();
        return loading == 0 || loading + hosts <= m_options.maxLoadingHosts;
    }

    // Hosts that already hold the model first: they need not load it again.
    void preferLoaded(std::vector<HostId> &hosts, const ModelId &model) const
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
            return; // It has given its hosts to another meanwhile.
        const auto gone = [this](const HostId &host) {
            const HostState *state = stateOf(m_hosts, host);
            return state == nullptr || state->leaving;
        };
        const auto missing =
            static_cast<int>(std::count_if(planned->hosts.begin(), planned->hosts.end(), gone));
        if (missing == 0) {
            beginForming(*planned); // Its host came back; the group must be joined anew.
            return;
        }
        if (m_options.baseline == Baseline::NeverMove || !mayLoad(missing))
            return;
        if (missing == static_cast<int>(planned->hosts.size())) {
            drop(replica); // Nothing is left to repair; formMissing looks for a place.
            return;
        }
        std::vector<HostId> spares = freeIn(planned->domain);
        preferLoaded(spares, planned->model);
        if (static_cast<int>(spares.size()) < missing)
            borrow(*planned, missing - static_cast<int>(spares.size()), spares);
        planned = find(replica);
        if (static_cast<int>(spares.size()) >= missing) {
            substitute(*planned, spares);
            return;
        }
        if (planned->surplus || canFormElsewhere(*planned)
            || (m_options.objective == Objective::StrandedAccelerators
                && helpsOthers(*planned, missing)))
            drop(replica);
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

    // Takes hosts of the least important replica of the domain that is worth less than this one.
    // That replica is down from then on, so it pays only if it matters less.
    void borrow(const PlannedReplica &taker, int count, std::vector<HostId> &spares)
    {
        const int worth = importanceOf(taker);
        PlannedReplica *giver = nullptr;
        for (PlannedReplica &planned : m_plan.replicas) {
            const bool fit = planned.replica != taker.replica && planned.domain == taker.domain
                && planned.phase != ReplicaPhase::Draining && importanceOf(planned) < worth
                && liveHosts(planned).size() >= static_cast<std::size_t>(count);
            if (fit && (giver == nullptr || importanceOf(planned) < importanceOf(*giver)))
                giver = &planned;
        }
        if (giver == nullptr)
            return;
        // A serving giver drains first; the taker gets its hosts once they are idle.
        if (giver->phase == ReplicaPhase::Ready) {
            setPhase(*giver, ReplicaPhase::Draining);
            return;
        }
        const std::vector<HostId> hosts = liveHosts(*giver);
        spares.insert(spares.end(), hosts.begin(), hosts.end());
        drop(giver->replica);
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

    // Whether giving up this replica's hosts would complete another broken one of its domain.
    bool helpsOthers(const PlannedReplica &planned, int missing) const
    {
        for (const PlannedReplica &other : m_plan.replicas) {
            const bool candidate = other.replica != planned.replica
                && other.domain == planned.domain && other.phase == ReplicaPhase::Broken;
            if (!candidate)
                continue;
            const std::size_t lacking = other.hosts.size() - liveHosts(other).size();
            if (lacking <= static_cast<std::size_t>(missing)
                && lacking <= liveHosts(planned).size())
                return true;
        }
        return false;
    }

    void drop(const ReplicaId &replica)
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

    // The domain whose free hosts fit most tightly, so that large gaps stay for large replicas; one
    // that holds the model already is taken first.
    std::vector<HostId> placeFor(const ReplicaNeed &need) const
    {
        std::vector<HostId> best;
        for (const DomainId &domain : domains()) {
            std::vector<HostId> free = freeIn(domain);
            if (static_cast<int>(free.size()) < need.hostsPerReplica)
                continue;
            if (best.empty() || free.size() < best.size())
                best = std::move(free);
        }
        preferLoaded(best, need.model);
        if (!best.empty())
            best.resize(static_cast<std::size_t>(need.hostsPerReplica));
        return best;
    }

    int presentCount(const ModelId &model) const
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
            while (presentCount(need.model) < need.count && mayLoad(need.hostsPerReplica)) {
                if (!form(need, false))
                    break;
            }
            if (presentCount(need.model) < need.count)
                freeSurplusFor(need);
        }
    }

    // A surplus replica of the wanted model simply becomes a wanted one.
    void adoptSurplus(const ReplicaNeed &need)
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            if (presentCount(need.model) >= need.count)
                return;
            if (planned.surplus && planned.model == need.model
                && planned.phase != ReplicaPhase::Draining) {
                planned.surplus = false;
                m_changed = true;
            }
        }
    }

    // Drains one surplus replica in a domain where that makes room.
    void freeSurplusFor(const ReplicaNeed &need)
    {
        for (PlannedReplica &planned : m_plan.replicas) {
            if (planned.phase == ReplicaPhase::Draining)
                return; // Room is on its way.
        }
        for (PlannedReplica &planned : m_plan.replicas) {
            const std::size_t room = freeIn(planned.domain).size() + liveHosts(planned).size();
            if (planned.surplus && room >= static_cast<std::size_t>(need.hostsPerReplica)) {
                retire(planned);
                break;
            }
        }
        eraseIf([](const PlannedReplica &planned) { return planned.hosts.empty(); });
    }

    // Idle hosts serve whichever model has the fewest replicas for its importance.
    void formSurplus()
    {
        bool formed = true;
        while (formed) {
            formed = false;
            for (const ReplicaNeed &need : m_needs) {
                if (need.count > 0 && mayLoad(need.hostsPerReplica) && form(need, true)) {
                    formed = true;
                    break;
                }
            }
        }
    }

    bool form(const ReplicaNeed &need, bool surplus)
    {
        const std::vector<HostId> hosts = placeFor(need);
        if (hosts.empty())
            return false;
        PlannedReplica planned;
        planned.replica = freshName(need.model);
        planned.model = need.model;
        planned.domain = m_hosts.at(hosts.front()).domain;
        planned.surplus = surplus;
        planned.hosts = hosts;
        beginForming(planned);
        m_plan.replicas.push_back(std::move(planned));
        return true;
    }

    ReplicaId freshName(const ModelId &model)
    {
        for (int number = 1;; ++number) {
            ReplicaId name(model.text() + "/" + m_input.zone.text() + "/" + std::to_string(number));
            if (m_plan.find(name) == nullptr)
                return name;
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
    return Pass(current, input, options).run();
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
