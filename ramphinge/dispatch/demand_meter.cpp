// Work asked of each model: see demand_meter.h.

#include "ramphinge/dispatch/demand_meter.h"

#include <cmath>

namespace ramphinge {

namespace {

// So many requests count as much as the operators' expectation.
constexpr double expectationRequests = 60;

double serverMilliseconds(const EngineProfile &engine, const ModelProfile &model, Tokens prompt,
                          Tokens answer)
{
    const auto read = static_cast<double>(prompt.count());
    const double reading = read / engine.prefillTokensPerSecond * 1000
        + engine.pairMillisecondsPerMillion * read * read / 2 / 1e6;
    // A full batch shares each step.
    const double step = engine.stepMilliseconds / engine.slots + engine.perSequenceMilliseconds;
    const double writing = step * static_cast<double>(answer.count());
    return model.pace * model.serversPerReplica * (reading + writing);
}

// How much what was seen counts, against what the operators expect.
double trustIn(double requests)
{
    return requests / (requests + expectationRequests);
}

} // namespace

ModelWork DemandMeter::faded(const Entry &entry, Duration halfLife, MonotonicTime now)
{
    const double factor = std::exp2(-toMilliseconds(now - entry.at) / toMilliseconds(halfLife));
    return { entry.work.serverMilliseconds * factor, entry.work.requests * factor };
}

ModelWork DemandMeter::ownOf(const ModelId &model, MonotonicTime now) const
{
    const auto found = m_entries.find(model);
    return found == m_entries.end() ? ModelWork() : faded(found->second, m_halfLife, now);
}

ModelWork DemandMeter::allOf(const ModelId &model, MonotonicTime now) const
{
    ModelWork work = ownOf(model, now);
    const auto others = m_others.find(model);
    if (others != m_others.end())
        work += faded(others->second, m_halfLife, now);
    return work;
}

WorkByModel DemandMeter::own(MonotonicTime now) const
{
    WorkByModel work;
    for (const auto &[model, entry] : m_entries)
        work[model] = faded(entry, m_halfLife, now);
    return work;
}

void DemandMeter::setOthers(const WorkByModel &work, MonotonicTime now)
{
    m_others.clear();
    for (const auto &[model, seen] : work)
        m_others[model] = { seen, now };
}

void DemandMeter::add(const EngineProfile &engine, const ModelId &model, Tokens prompt,
                      Tokens answer, MonotonicTime now)
{
    const ModelProfile *profile = engine.find(model);
    if (profile == nullptr)
        return;
    ModelWork work = ownOf(model, now);
    work.serverMilliseconds += serverMilliseconds(engine, *profile, prompt, answer);
    work.requests += 1;
    m_entries[model] = { work, now };
}

ModelWork DemandMeter::sumOf(const EngineProfile &engine, MonotonicTime now) const
{
    ModelWork sum;
    for (const ModelProfile &profile : engine.models)
        sum += allOf(profile.model, now);
    return sum;
}

double DemandMeter::busyServers(const EngineProfile &engine, int servers, int daemons,
                                MonotonicTime now) const
{
    const ModelWork sum = sumOf(engine, now);
    // What fades by half in a half-life has been asked for in this time at the present rate.
    const double memory = toMilliseconds(m_halfLife) / std::log(2.0);
    const double seen =
        sum.serverMilliseconds / memory * (m_others.empty() ? std::max(1, daemons) : 1);
    const double trust = trustIn(sum.requests);
    return trust * std::min<double>(seen, servers) + (1 - trust) * servers;
}

std::optional<RequestRate> DemandMeter::rateOfReplica(const EngineProfile &engine,
                                                      const ModelId &model, MonotonicTime now) const
{
    const ModelProfile *profile = engine.find(model);
    const ModelWork work = allOf(model, now);
    if (profile == nullptr || work.serverMilliseconds <= 0)
        return std::nullopt;
    const double serverMilliseconds = work.serverMilliseconds / work.requests;
    return RequestRate(profile->serversPerReplica * 1000 / serverMilliseconds);
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
    const ModelWork sum = sumOf(engine, now);
    const double expected = expectedSum > 0 ? expectedOwn / expectedSum : 0;
    const double seen = sum.serverMilliseconds > 0
        ? allOf(model, now).serverMilliseconds / sum.serverMilliseconds
        : expected;
    const double trust = trustIn(sum.requests);
    return trust * seen + (1 - trust) * expected;
}

} // namespace ramphinge
