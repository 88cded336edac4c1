// How much work callers ask of each model: as seen by one daemon, or summed over many.

#pragma once

#include <map>

#include "ramphinge/base/ids.h"

namespace ramphinge {

struct ModelWork
{
    double serverMilliseconds = 0; // Server time that the work takes; decayed.
    double requests = 0; // Number of observations behind the figure; decayed.

    ModelWork &operator+=(const ModelWork &other)
    {
        serverMilliseconds += other.serverMilliseconds;
        requests += other.requests;
        return *this;
    }
};

using WorkByModel = std::map<ModelId, ModelWork>;

} // namespace ramphinge
