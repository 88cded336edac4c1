// How much work callers ask of each model: as one daemon sees it, or summed over many.

#pragma once

#include <map>

#include "ramphinge/base/ids.h"

namespace ramphinge {

struct ModelWork
{
    double serverMilliseconds = 0; // Faded.
    double requests = 0; // Faded; how many observations the figure rests on.

    ModelWork &operator+=(const ModelWork &other)
    {
        serverMilliseconds += other.serverMilliseconds;
        requests += other.requests;
        return *this;
    }
};

using WorkByModel = std::map<ModelId, ModelWork>;

} // namespace ramphinge
