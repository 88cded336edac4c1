// Pseudorandom numbers from a seed, so that a run can be repeated. Other sources of randomness
// aren't used.

#pragma once

#include <cstdint>
#include <random>
#include <string>

#include "ramphinge/base/time.h"

namespace ramphinge {

// Not thread-safe: use one per thread or component.
class Random
{
public:
    explicit Random(std::uint64_t seed) : m_engine(seed) { }

    std::uint64_t next() { return m_engine(); }

    // Uniform in [0, bound); `bound` must be positive.
    std::uint64_t below(std::uint64_t bound);

    // Uniform in [0, 1).
    double fraction();

    // Exponentially distributed with the given mean, as the interval between Poisson arrivals.
    Duration exponential(Duration mean);

    // `base` times a random factor in [1, 1 + spread): keeps timers of many processes from
    // coinciding.
    Duration jittered(Duration base, double spread);

    // 16 hex digits, for request and change ids.
    std::string token();

private:
    std::mt19937_64 m_engine;
};

// A seed from the machine's entropy, for processes without a configured seed.
std::uint64_t entropySeed();

} // namespace ramphinge
