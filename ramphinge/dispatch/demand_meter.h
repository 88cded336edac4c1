// Estimates the load that callers put on each model.
//
// One daemon sees only a sample of the requests, and a small one where there are many daemons: of
// 24 requests a second for a model, each of 71 daemons sees one in three seconds. So the estimate
// includes what the other daemons report. Load is measured in server time by the engine's cost
// model, so that a share of the load is a share of the servers. It decays exponentially.

#pragma once

#include <map>

#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/fleet/model_work.h"

namespace ramphinge {

// Not thread-safe: used on the event loop only.
class DemandMeter
{
public:
    explicit DemandMeter(Duration halfLife) : m_halfLife(halfLife) { }

    // Counts one request of `prompt` and at most `answer` tokens. Models that the engine does not
    // have are ignored.
    void add(const EngineProfile &engine, const ModelId &model, Tokens prompt, Tokens answer,
             MonotonicTime now);

    // The load that this daemon saw, decayed to `now`.
    WorkByModel own(MonotonicTime now) const;

    // Sets the sum of the load that the other daemons saw, as of `now`; replaces the previous sum.
    void setOthersWork(const WorkByModel &work, MonotonicTime now);

    // The model's share of the load of `engine`'s models: a weighted mean of the configured and the
    // observed share. The more requests were observed, the more the observed share counts.
    double shareOf(const EngineProfile &engine, const ModelId &model, MonotonicTime now) const;

    // The part of the requests for the model that reach this daemon, from 0 to 1. While few were
    // observed, it is close to an equal part of all `daemons`; the parts of all daemons add up to
    // about one.
    double ownShareOf(const ModelId &model, int daemons, MonotonicTime now) const;

    // How many of `servers` the load of `engine`'s models keeps busy: close to all of them while
    // few requests were observed. Without reports of other daemons, each of `daemons` is assumed to
    // see as much as this one.
    double busyServers(const EngineProfile &engine, int servers, int daemons,
                       MonotonicTime now) const;

    // The rate of requests that one replica of the model can serve, by the mean cost of the
    // observed ones; nothing if none were observed.
    std::optional<RequestRate> rateOfReplica(const EngineProfile &engine, const ModelId &model,
                                             MonotonicTime now) const;

private:
    struct Entry
    {
        ModelWork work;
        MonotonicTime at;
    };

    static ModelWork decayed(const Entry &entry, Duration halfLife, MonotonicTime now);
    ModelWork ownWork(const ModelId &model, MonotonicTime now) const;
    ModelWork totalWork(const ModelId &model, MonotonicTime now) const;
    ModelWork engineWork(const EngineProfile &engine, MonotonicTime now) const;

    Duration m_halfLife;
    std::map<ModelId, Entry> m_ownWork;
    std::map<ModelId, Entry> m_othersWork; // As last reported; empty if never.
};

} // namespace ramphinge
