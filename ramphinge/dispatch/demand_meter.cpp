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

double DemandMeter::shareOf(const EngineProfile &engine, const ModelId &model,
                            MonotonicTime now) const
{
    double expectedSum = 0;
    double expectedOwn = 0;
    double seenSum = 0;
    double seenOwn = 0;
    double requests = 0;
    for (const ModelProfile &profile : engine.models) {
        const ModelWork work = allOf(profile.model, now);
        expectedSum += profile.share;
        seenSum += work.serverMilliseconds;
        requests += work.requests;
        if (profile.model == model) {
            expectedOwn = profile.share;
            seenOwn = work.serverMilliseconds;
        }
    }
    const double expected = expectedSum > 0 ? expectedOwn / expectedSum : 0;
    const double seen = seenSum > 0 ? seenOwn / seenSum : expected;
    const double trust = requests / (requests + expectationRequests);
    return trust * seen + (1 - trust) * expected;
}

} // namespace ramphinge
