// Gives free servers to the models that lack them most, and takes servers from models that have
// more than their part for one that has much less.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ramphinge/formation/formation_planner.h"

namespace ramphinge {

// One way to form a replica.
struct ReplicaChoice
{
    const ModelProfile *model = nullptr;
    DomainId domain;
    std::vector<HostId> hosts;
    int loads = 0; // Servers that would read the weights from the weight store.
    double ratio = 0; // Of its model: servers it has over servers it should have.

    // What is formed first: the model that lacks most, and what needs few loads.
    double cost() const;
};

// One pass over a plan. `plan` and `input` must outlive it.
class Allocation
{
public:
    Allocation(ReplicaPlan &plan, const FormationInput &input);

    // Forms replicas out of free servers, the most wanted first.
    void formReplicas();

    // Lets replicas of a model that has more than its part drain where their servers, with the free
    // ones, make a replica of a model that has much less, without a load. The free servers of that
    // domain are kept for it. Call before formReplicas().
    void rebalance();

    // For servers that have none staged besides the model that they hold, the one to stage: the one
    // that lacks most.
    std::map<HostId, ModelId> modelsToStage() const;

private:
    using Servers = std::vector<const UpstreamServer *>;

    // Replicas that drain for the sake of another model.
    struct Conversion
    {
        DomainId domain;
        std::vector<ReplicaId> givers;
    };

    void countPlanned();
    void count(const PlannedReplica &replica);
    void collectFree();
    bool isHeldElsewhere(const UpstreamServer &server) const;
    double shareOf(const ModelId &model) const;
    double ratioOf(const ModelProfile &model) const;
    int inZone(const ModelId &model, const ZoneId &zone) const;
    std::optional<ReplicaChoice> choiceIn(const ModelProfile &model, const DomainId &domain,
                                          Servers free) const;
    std::optional<ReplicaChoice> bestFor(const ModelProfile &model, int loadsLeft) const;
    std::optional<ReplicaChoice> bestChoice(int loadsLeft) const;
    bool wastesLoads(const ReplicaChoice &choice) const;
    void form(const ReplicaChoice &choice);
    const ModelProfile *neediest() const;
    bool isRich(const ModelId &giver, const ModelProfile &needy) const;
    Servers serversOf(const PlannedReplica &replica) const;
    std::optional<Conversion> conversionIn(const DomainId &domain, const ModelProfile &needy) const;

    ReplicaPlan &m_plan;
    const FormationInput &m_input;
    std::set<HostId> m_planned;
    std::map<ModelId, int> m_serversOf; // Of forming and ready replicas.
    std::map<std::pair<ModelId, ZoneId>, int> m_serversInZone;
    std::map<DomainId, Servers> m_free;
    int m_total = 0; // Servers of the service.
};

} // namespace ramphinge
