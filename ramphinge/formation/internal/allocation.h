// Allocates free servers to the models that are furthest below their share, and converts replicas
// of models above their share for a model far below it.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "ramphinge/formation/formation_planner.h"

namespace ramphinge {

// A candidate replica.
struct ReplicaChoice
{
    const ModelProfile *model = nullptr;
    DomainId domain;
    std::vector<HostId> hosts;
    int loads = 0; // Members that would read the weights from the weight store.
    double ratio = 0; // Of the model: servers it has over servers it should have.
};

// A model to stage on a server's own storage.
struct StagingChoice
{
    HostId host;
    ModelId model;
    bool isIdle = false; // In no replica: serves nobody until the model is staged.
    double benefit = 0; // Of the StagingPlan; 0 if that completes no replica.
};

// A spare server to preload with a model that it has staged.
struct PreloadChoice
{
    HostId host;
    ModelId model;
};

// Idle servers of one domain that could become a replica of one model, some of them after a load.
struct StagingPlan
{
    const ModelProfile *model = nullptr;
    std::vector<const UpstreamServer *> members; // Warm ones first, then those that load.
    int loads = 0;
    bool completesReplica = false; // The members make a whole replica.
    // Servers that will serve per millisecond of loading, over the model's ratio: the further the
    // model is below its share, the higher.
    double benefit = 0;

    // Orders plans that complete no replica first, then by benefit.
    friend bool operator<(const StagingPlan &a, const StagingPlan &b);
};

// One allocation pass over a plan. `plan` and `input` must outlive it.
class Allocation
{
public:
    Allocation(ReplicaPlan &plan, const FormationInput &input);

    // Forms replicas out of free servers, those of the most underserved model first.
    void formReplicas();

    // Drains replicas of models above their share where their servers, with the free ones, make a
    // replica of a model far below its share, without a load. The free servers of that domain are
    // reserved for it. Call before formReplicas().
    void rebalance();

    // What to stage, in order of benefit. Servers in no replica come first, so that they complete
    // replicas of the most underserved models; then those in a replica, which can switch to another
    // model quickly once it is staged.
    std::vector<StagingChoice> modelsToStage() const;

    // Spare servers to preload: with a model of their domain that they have staged, unless they
    // were in a replica of one of its models before. None without a forecast of losses.
    std::vector<PreloadChoice> modelsToPreload() const;

private:
    using Servers = std::vector<const UpstreamServer *>;

    // Donor replicas that drain so that another model gets their servers.
    struct Conversion
    {
        DomainId domain;
        std::vector<ReplicaId> donors;
        int donated = 0; // Servers of the donors.
    };

    void countPlanned();
    void addToCounts(const PlannedReplica &replica);
    void collectFree();
    const ModelProfile *modelWithLargestReplicas() const;
    bool isRoomScarce(const ModelProfile &largestModel) const;
    bool isHeldElsewhere(const UpstreamServer &server) const;
    double shareOf(const ModelId &model) const;
    double ratioOf(const ModelProfile &model) const;
    int serversInZone(const ModelId &model, const ZoneId &zone) const;
    std::optional<ReplicaChoice> choiceInDomain(const ModelProfile &model, const DomainId &domain,
                                                Servers free) const;
    std::optional<ReplicaChoice> bestChoiceFor(const ModelProfile &model) const;
    std::optional<ReplicaChoice> bestChoice() const;
    void form(const ReplicaChoice &choice);
    const ModelProfile *mostUnderserved() const;
    bool shouldDonate(const ModelId &donor, const ModelProfile &underserved, int donated) const;
    Servers serversOf(const PlannedReplica &replica) const;
    bool survivorsAreLeaving(const std::optional<DomainId> &domain) const;
    bool isDonating(const PlannedReplica &replica) const;
    void reserveConvertingDomains(const ModelProfile &underserved);
    std::optional<Conversion> conversionIn(const DomainId &domain,
                                           const ModelProfile &underserved) const;
    void stageIdle(const DomainId &domain, Servers idle, std::vector<StagingChoice> &choices);
    void stageSpares(const DomainId &domain, const Servers &idle,
                     std::vector<StagingChoice> &choices) const;
    int membersIn(const DomainId &domain, const ModelId &model) const;
    double benefitOfSpare(const DomainId &domain, const ModelProfile &model, int spares) const;
    bool isSettled(const DomainId &domain) const;
    bool mayRestage(const UpstreamServer &server, const ModelProfile &model,
                    const Servers &idle) const;
    void removeCompleting(Servers &idle) const;
    void stageInReplicas(std::vector<StagingChoice> &choices) const;
    bool hasNoAlternateModel(const UpstreamServer &server) const;
    bool isCold(const UpstreamServer &server) const;
    StagingPlan stagingFor(const ModelProfile &model, const Servers &idle, bool restages) const;
    bool willBeWarm(const UpstreamServer &server, const ModelId &model) const;

    ReplicaPlan &m_plan;
    const FormationInput &m_input;
    std::set<std::pair<ReplicaId, Epoch>> m_broken; // Replicas whose heads are known to be broken.
    std::set<HostId> m_plannedHosts;
    std::map<ModelId, int> m_serversOf; // In Forming and Ready replicas.
    std::map<std::pair<ModelId, ZoneId>, int> m_serversInZone;
    std::map<DomainId, Servers> m_free;
    int m_serviceServers = 0; // Servers of the service.
};

} // namespace ramphinge
