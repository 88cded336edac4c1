// How much work the callers ask of each model, as this daemon sees it: a sample of the whole.
//
// Counted in server time by the engine's formula, so that shares of it are shares of the servers.
// Old work fades.

#pragma once

#include <map>

#include "ramphinge/base/time.h"
#include "ramphinge/catalog/service_catalog.h"

namespace ramphinge {

struct ModelWork
{
    double serverMilliseconds = 0; // Faded.
    double requests = 0; // Faded; how many observations the figure rests on.
};

// Not thread-safe: lives on the event loop.
class DemandMeter
{
public:
    explicit DemandMeter(Duration halfLife) : m_halfLife(halfLife) { }

    void add(const EngineProfile &engine, const ModelId &model, Tokens prompt, Tokens answer,
             MonotonicTime now);

    // The model's share of the work of `engine`'s models, between what the operators expect and
    // what was seen: the more was seen, the more it counts.
    double shareOf(const EngineProfile &engine, const ModelId &model, MonotonicTime now) const;

private:
    struct Entry
    {
        ModelWork work;
        MonotonicTime at;
    };

    ModelWork faded(const ModelId &model, MonotonicTime now) const;

    Duration m_halfLife;
    std::map<ModelId, Entry> m_entries;
};

} // namespace ramphinge
