// Pseudorandom numbers: see random.h.

#include "ramphinge/base/random.h"

#include <array>
#include <cstdio>

namespace ramphinge {

std::uint64_t Random::below(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

double Random::fraction()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine);
}

Duration Random::exponential(Duration mean)
{
    const double factor = std::exponential_distribution<double>(1.0)(m_engine);
    return Duration(static_cast<std::int64_t>(static_cast<double>(mean.count()) * factor));
}

Duration Random::jittered(Duration base, double spread)
{
    const double factor = 1.0 + spread * fraction();
    return Duration(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

std::string Random::token()
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(next()));
    return text.data();
}

std::uint64_t entropySeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace ramphinge
