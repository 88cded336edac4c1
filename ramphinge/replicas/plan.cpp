// Replica plans: see plan.h.

#include "ramphinge/replicas/plan.h"

#include <algorithm>
#include <set>
#include <stdexcept>

#include <nlohmann/json.hpp>

#include "ramphinge/base/json.h"

namespace ramphinge {

using Json = nlohmann::json;

namespace {

const std::vector<ReplicaPhase> allPhases { ReplicaPhase::Forming, ReplicaPhase::Ready,
                                            ReplicaPhase::Draining, ReplicaPhase::Broken };

ReplicaPhase phaseOf(const std::string &text)
{
    const auto found =
        std::find_if(allPhases.begin(), allPhases.end(),
                     [&text](ReplicaPhase phase) { return text == toString(phase); });
    return found == allPhases.end() ? ReplicaPhase::Broken : *found;
}

// Larger epochs are mistakes: each new plan must have a greater one.
constexpr std::int64_t maxEpoch = std::int64_t { 1 } << 53;

Epoch epochOf(const Json &object)
{
    const Json &epoch = object.at("epoch");
    if (!epoch.is_number_integer() || epoch < 0 || epoch > maxEpoch)
        throw std::out_of_range("an epoch is no count");
    return Epoch(epoch.get<std::int64_t>());
}

} // namespace

const char *toString(ReplicaPhase phase)
{
    switch (phase) {
    case ReplicaPhase::Forming:
        return "forming";
    case ReplicaPhase::Ready:
        return "ready";
    case ReplicaPhase::Draining:
        return "draining";
    case ReplicaPhase::Broken:
        return "broken";
    }
    return "broken";
}

const PlannedReplica *ReplicaPlan::find(const ReplicaId &replica) const
{
    for (const PlannedReplica &planned : replicas) {
        if (planned.replica == replica)
            return &planned;
    }
    return nullptr;
}

const PlannedReplica *ReplicaPlan::replicaOf(const HostId &host) const
{
    for (const PlannedReplica &planned : replicas) {
        if (std::find(planned.hosts.begin(), planned.hosts.end(), host) != planned.hosts.end())
            return &planned;
    }
    return nullptr;
}

Status checkPlan(const ReplicaPlan &plan)
{
    std::set<HostId> hosts;
    std::set<ReplicaId> replicas;
    for (const PlannedReplica &planned : plan.replicas) {
        if (!replicas.insert(planned.replica).second || planned.epoch > plan.epoch
            || planned.hosts.empty())
            return Error(ErrorKind::Internal,
                         "replica " + planned.replica.text()
                             + " appears twice, has no host, or has a newer epoch than the plan;"
                               " the plan is not used");
        for (const HostId &host : planned.hosts) {
            if (!hosts.insert(host).second)
                return Error(ErrorKind::Internal,
                             "host " + host.text()
                                 + " is planned for two replicas; the plan is not used");
        }
    }
    return Done {};
}

std::string serialize(const ReplicaPlan &plan)
{
    Json replicas = Json::array();
    for (const PlannedReplica &planned : plan.replicas) {
        Json hosts = Json::array();
        for (const HostId &host : planned.hosts)
            hosts.push_back(host.text());
        replicas.push_back({ { "replica", planned.replica.text() },
                             { "model", planned.model.text() },
                             { "domain", planned.domain.text() },
                             { "epoch", planned.epoch.count() },
                             { "phase", toString(planned.phase) },
                             { "surplus", planned.surplus },
                             { "hosts", hosts } });
    }
    return Json { { "epoch", plan.epoch.count() }, { "replicas", replicas } }.dump();
}

Result<ReplicaPlan> parsePlan(const std::string &text)
{
    const Result<Json> document = parseJson(text);
    if (!document.ok())
        return Error(ErrorKind::InvalidInput,
                     "a stored plan is damaged: " + document.error().message());
    try {
        const Json &json = document.value();
        ReplicaPlan plan;
        plan.epoch = epochOf(json);
        for (const Json &entry : json.at("replicas")) {
            PlannedReplica planned;
            planned.replica = ReplicaId(entry.at("replica").get<std::string>());
            planned.model = ModelId(entry.at("model").get<std::string>());
            planned.domain = DomainId(entry.at("domain").get<std::string>());
            planned.epoch = epochOf(entry);
            planned.phase = phaseOf(entry.at("phase").get<std::string>());
            planned.surplus = entry.value("surplus", false);
            for (const Json &host : entry.at("hosts"))
                planned.hosts.emplace_back(host.get<std::string>());
            plan.replicas.push_back(std::move(planned));
        }
        if (const Status valid = checkPlan(plan); !valid.ok())
            return Error(ErrorKind::InvalidInput, valid.error().message());
        return plan;
    } catch (const std::exception &e) {
        return Error(ErrorKind::InvalidInput, std::string("a stored plan is damaged: ") + e.what());
    }
}

} // namespace ramphinge
