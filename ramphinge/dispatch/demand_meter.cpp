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

ModelWork DemandMeter::faded(const ModelId &model, MonotonicTime now) const
{
    const auto found = m_entries.find(model);
    if (found == m_entries.end())
        return {};
    const double factor =
        std::exp2(-toMilliseconds(now - found->second.at) / toMilliseconds(m_halfLife));
    const ModelWork &work = found->second.work;
    return { work.serverMilliseconds * factor, work.requests * factor };
}

void DemandMeter::add(const EngineProfile &engine, const ModelId &model, Tokens prompt,
                      Tokens answer, MonotonicTime now)
{
    const ModelProfile *profile = engine.find(model);
    if (profile == nullptr)
        return;
    ModelWork work = faded(model, now);
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
        const ModelWork work = faded(profile.model, now);
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
