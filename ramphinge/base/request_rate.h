// A rate of requests, as a strong type.

#pragma once

namespace ramphinge {

class RequestRate
{
public:
    constexpr RequestRate() = default;
    // Must be finite and not negative.
    constexpr explicit RequestRate(double perSecond) : m_perSecond(perSecond) { }

    constexpr double perSecond() const { return m_perSecond; }

    friend constexpr bool operator==(RequestRate a, RequestRate b)
    {
        return a.m_perSecond == b.m_perSecond;
    }
    friend constexpr bool operator!=(RequestRate a, RequestRate b) { return !(a == b); }
    friend constexpr bool operator<(RequestRate a, RequestRate b)
    {
        return a.m_perSecond < b.m_perSecond;
    }

private:
    double m_perSecond = 0;
};

} // namespace ramphinge
