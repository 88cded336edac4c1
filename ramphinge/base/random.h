// Seeded randomness, the one source in a process, so that a run can be repeated.

#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "ramphinge/base/time.h"

namespace ramphinge {

// Not thread-safe: one per thread or actor.
class Random
{
public:
    explicit Random(std::uint64_t seed) : m_engine(seed) { }

    std::uint64_t next() { return m_engine(); }

    // Uniform in [0, bound); `bound` must be positive.
    std::uint64_t below(std::uint64_t bound);

    // Uniform in [0, 1).
    double fraction();

    // Exponentially distributed with the given mean: the gap between Poisson arrivals.
    Duration exponential(Duration mean);

    // `base` plus up to `spread` of it (0.2 is up to 20 % more): keeps timers of a fleet apart.
    Duration jittered(Duration base, double spread);

    // 16 hex digits, for request and change ids.
    std::string token();

private:
    std::mt19937_64 m_engine;
};

// A seed from the machine's entropy, for processes that were given none.
std::uint64_t entropySeed();

} // namespace ramphinge
