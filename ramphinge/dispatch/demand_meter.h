// How much work the callers ask of each model.
//
// What one daemon sees is a sample, and a small one where there are many daemons: of 24 requests a
// second for a model, one of 71 sees one in three seconds. So what the others see counts too, where
// they tell it. Counted in server time by the engine's formula, so that shares of it are shares of
// the servers. Old work fades.

#pragma once

#include <map>

#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/fleet/model_work.h"

namespace ramphinge {

// Not thread-safe: lives on the event loop.
class DemandMeter
{
public:
    explicit DemandMeter(Duration halfLife) : m_halfLife(halfLife) { }

    void add(const EngineProfile &engine, const ModelId &model, Tokens prompt, Tokens answer,
             MonotonicTime now);

    // What this daemon saw, as of `now`.
    WorkByModel own(MonotonicTime now) const;

    // What the other daemons saw, all told, as of `now`; takes the place of what was told before.
    void setOthers(const WorkByModel &work, MonotonicTime now);

    // The model's share of the work of `engine`'s models, between what the operators expect and
    // what was seen: the more was seen, the more it counts.
    double shareOf(const EngineProfile &engine, const ModelId &model, MonotonicTime now) const;

    // How many of `servers` the work of `engine`'s models keeps busy: near to all of them as long
    // as little was seen. Where nothing is known of the others, each of `daemons` is taken to see
    // as much as this one.
    double busyServers(const EngineProfile &engine, int servers, int daemons,
                       MonotonicTime now) const;

    // The requests a second that a whole replica of the model can take, by the mean of those that
    // were seen; nothing if none were.
    std::optional<RequestRate> rateOfReplica(const EngineProfile &engine, const ModelId &model,
                                             MonotonicTime now) const;

private:
    struct Entry
    {
        ModelWork work;
        MonotonicTime at;
    };

    static ModelWork faded(const Entry &entry, Duration halfLife, MonotonicTime now);
    ModelWork ownOf(const ModelId &model, MonotonicTime now) const;
    ModelWork allOf(const ModelId &model, MonotonicTime now) const;
    ModelWork sumOf(const EngineProfile &engine, MonotonicTime now) const;

    Duration m_halfLife;
    std::map<ModelId, Entry> m_entries;
    std::map<ModelId, Entry> m_others; // As last told; empty if never.
};

} // namespace ramphinge
