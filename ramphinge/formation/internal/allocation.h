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
};

// A model to put on a server's own storage.
struct StagingChoice
{
    HostId host;
    ModelId model;
    bool isIdle = false; // The server is in no replica: until it is staged it serves nobody.
    double worth = 0; // Servers that will serve for each millisecond of loading, by need.
};

// Idle servers of one domain that could become a replica, some of them after a load.
struct StagingPlan
{
    const ModelProfile *model = nullptr;
    std::vector<const UpstreamServer *> members; // The warm ones, then those that load.
    int loads = 0;
    bool completes = false; // They are enough for a replica.
    double worth = 0;

    // Less useful.
    friend bool operator<(const StagingPlan &a, const StagingPlan &b);
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

    // What to stage, the most useful first. Servers in no replica come first, so that they complete
    // replicas of the models that lack most; then those in a replica, which can serve another model
    // soon once they have it staged.
    std::vector<StagingChoice> modelsToStage() const;

private:
    using Servers = std::vector<const UpstreamServer *>;

    // Replicas that drain for the sake of another model.
    struct Conversion
    {
        DomainId domain;
        std::vector<ReplicaId> givers;
        int given = 0; // Servers of the givers.
    };

    void countPlanned();
    void count(const PlannedReplica &replica);
    void collectFree();
    const ModelProfile *largest() const;
    bool isRoomScarce(const ModelProfile &largestModel) const;
    bool isHeldElsewhere(const UpstreamServer &server) const;
    double shareOf(const ModelId &model) const;
    double ratioOf(const ModelProfile &model) const;
    int inZone(const ModelId &model, const ZoneId &zone) const;
    std::optional<ReplicaChoice> choiceIn(const ModelProfile &model, const DomainId &domain,
                                          Servers free) const;
    std::optional<ReplicaChoice> bestFor(const ModelProfile &model) const;
    std::optional<ReplicaChoice> bestChoice() const;
    void form(const ReplicaChoice &choice);
    const ModelProfile *neediest() const;
    bool shouldGive(const ModelId &giver, const ModelProfile &needy, int given) const;
    Servers serversOf(const PlannedReplica &replica) const;
    bool survivorsAreLeaving(const std::optional<DomainId> &domain) const;
    bool isGivingWay(const PlannedReplica &replica) const;
    void holdConvertingDomains(const ModelProfile &needy);
    std::optional<Conversion> conversionIn(const DomainId &domain, const ModelProfile &needy) const;
    void stageIdle(Servers idle, std::vector<StagingChoice> &choices);
    void stageInReplicas(std::vector<StagingChoice> &choices) const;
    bool needsAnother(const UpstreamServer &server) const;
    bool isCold(const UpstreamServer &server) const;
    StagingPlan stagingFor(const ModelProfile &model, const Servers &idle) const;
    bool willHold(const UpstreamServer &server, const ModelId &model) const;

    ReplicaPlan &m_plan;
    const FormationInput &m_input;
    std::set<std::pair<ReplicaId, Epoch>> m_broken; // Replicas whose heads are known to be broken.
    std::set<HostId> m_planned;
    std::map<ModelId, int> m_serversOf; // Of forming and ready replicas.
    std::map<std::pair<ModelId, ZoneId>, int> m_serversInZone;
    std::map<DomainId, Servers> m_free;
    int m_total = 0; // Servers of the service.
};

} // namespace ramphinge
