// Load estimates of models: see demand_meter.h.

#include "ramphinge/dispatch/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace ramphinge {

namespace {

// With so many observed requests, the observed and the configured shares count equally.
constexpr double priorWeightRequests = 60;

// Added to each daemon's observed requests: a share is a ratio of few arrivals otherwise.
constexpr double priorRequestsPerDaemon = 4;

double serverMilliseconds(const EngineProfile &engine, const ModelProfile &model, Tokens prompt,
                          Tokens answer)
{
    const auto promptTokens = static_cast<double>(prompt.count());
    const double prefill = promptTokens / engine.prefillTokensPerSecond * 1000
        + engine.pairMillisecondsPerMillion * promptTokens * promptTokens / 2 / 1e6;
    // A full batch shares each step.
    const double step = engine.stepMilliseconds / engine.slots + engine.perSequenceMilliseconds;
    const double decode = step * static_cast<double>(answer.count());
    return model.timeFactor * model.serversPerReplica * (prefill + decode);
}

// Weight of the observed load, from 0 to 1; the configured load has the rest.
double observationWeight(double requests)
{
    return requests / (requests + priorWeightRequests);
}

} // namespace

ModelWork DemandMeter::decayed(const Entry &entry, Duration halfLife, MonotonicTime now)
{
    const double factor = std::exp2(-toMilliseconds(now - entry.at) / toMilliseconds(halfLife));
    return { entry.work.serverMilliseconds * factor, entry.work.requests * factor };
}

ModelWork DemandMeter::ownWork(const ModelId &model, MonotonicTime now) const
{
    const auto found = m_ownWork.find(model);
    return found == m_ownWork.end() ? ModelWork() : decayed(found->second, m_halfLife, now);
}

ModelWork DemandMeter::totalWork(const ModelId &model, MonotonicTime now) const
{
    ModelWork work = ownWork(model, now);
    const auto others = m_othersWork.find(model);
    if (others != m_othersWork.end())
        work += decayed(others->second, m_halfLife, now);
    return work;
}

WorkByModel DemandMeter::own(MonotonicTime now) const
{
    WorkByModel work;
    for (const auto &[model, entry] : m_ownWork)
        work[model] = decayed(entry, m_halfLife, now);
    return work;
}

void DemandMeter::setOthersWork(const WorkByModel &work, MonotonicTime now)
{
    m_othersWork.clear();
    for (const auto &[model, observed] : work)
        m_othersWork[model] = { observed, now };
}

void DemandMeter::add(const EngineProfile &engine, const ModelId &model, Tokens prompt,
                      Tokens answer, MonotonicTime now)
{
    const ModelProfile *profile = engine.find(model);
    if (profile == nullptr)
        return;
    ModelWork work = ownWork(model, now);
    work.serverMilliseconds += serverMilliseconds(engine, *profile, prompt, answer);
    work.requests += 1;
    m_ownWork[model] = { work, now };
}

ModelWork DemandMeter::engineWork(const EngineProfile &engine, MonotonicTime now) const
{
    ModelWork sum;
    for (const ModelProfile &profile : engine.models)
        sum += totalWork(profile.model, now);
    return sum;
}

double DemandMeter::busyServers(const EngineProfile &engine, int servers, int daemons,
                                MonotonicTime now) const
{
    const ModelWork sum = engineWork(engine, now);
    // At a steady rate, a sum that decays exponentially equals the load of this much time.
    const double meanLifetimeMilliseconds = toMilliseconds(m_halfLife) / std::log(2.0);
    const double observed = sum.serverMilliseconds / meanLifetimeMilliseconds
        * (m_othersWork.empty() ? std::max(1, daemons) : 1);
    const double weight = observationWeight(sum.requests);
    return weight * std::min<double>(observed, servers) + (1 - weight) * servers;
}

std::optional<RequestRate> DemandMeter::rateOfReplica(const EngineProfile &engine,
                                                      const ModelId &model, MonotonicTime now) const
{
    const ModelProfile *profile = engine.find(model);
    const ModelWork work = totalWork(model, now);
    if (profile == nullptr || work.serverMilliseconds <= 0)
        return std::nullopt;
    const double serverMilliseconds = work.serverMilliseconds / work.requests;
    return RequestRate(profile->serversPerReplica * 1000 / serverMilliseconds);
}

double DemandMeter::ownShareOf(const ModelId &model, int daemons, MonotonicTime now) const
{
    const double own = ownWork(model, now).requests + priorRequestsPerDaemon;
    const bool isAlone = daemons <= 1;
    // Until others have reported, they are taken to see as much as this daemon.
    if (isAlone || m_othersWork.count(model) == 0)
        return 1.0 / std::max(1, daemons);
    return std::min(1.0, own / (totalWork(model, now).requests + priorRequestsPerDaemon * daemons));
}

double DemandMeter::shareOf(const EngineProfile &engine, const ModelId &model,
                            MonotonicTime now) const
{
    double expectedSum = 0;
    double expectedOwn = 0;
    for (const ModelProfile &profile : engine.models) {
        expectedSum += profile.share;
        if (profile.model == model)
            expectedOwn = profile.share;
    }
    const ModelWork sum = engineWork(engine, now);
    const double expected = expectedSum > 0 ? expectedOwn / expectedSum : 0;
    const double observed = sum.serverMilliseconds > 0
        ? totalWork(model, now).serverMilliseconds / sum.serverMilliseconds
        : expected;
    const double weight = observationWeight(sum.requests);
    return weight * observed + (1 - weight) * expected;
}

} // namespace ramphinge
