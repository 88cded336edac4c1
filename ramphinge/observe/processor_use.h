// Processor time that the process uses.

#pragma once

#include "ramphinge/base/time.h"

namespace ramphinge {

// Not thread-safe.
class ProcessorUse
{
public:
    // Cores that the process, with all its threads, used on average since the last call; 0 at the
    // first one.
    double coresSinceLast(MonotonicTime now);

private:
    MonotonicTime m_lastAt;
    Duration m_lastUsed {}; // Since the process's start.
};

} // namespace ramphinge
