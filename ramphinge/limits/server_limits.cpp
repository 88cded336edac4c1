// Rates that servers state: see server_limits.h.

#include "ramphinge/limits/server_limits.h"

namespace ramphinge {

const char *toString(LimitChange change)
{
    switch (change) {
    case LimitChange::None:
        break;
    case LimitChange::Stated:
        return "stated";
    case LimitChange::Changed:
        return "changed";
    case LimitChange::Ended:
        return "ended";
    }
    return "none";
}

LimitChange ServerLimits::noteAnswer(const HostId &host, std::optional<RequestRate> stated,
                                     MonotonicTime sentAt, MonotonicTime now)
{
    const auto known = m_limits.find(host);
    if (!stated) {
        if (known == m_limits.end() || sentAt <= known->second.statedAt)
            return LimitChange::None;
        m_limits.erase(known);
        return LimitChange::Ended;
    }
    if (known == m_limits.end()) {
        m_limits.emplace(host, Limit { *stated, now });
        return LimitChange::Stated;
    }
    const bool changed = known->second.rate != *stated;
    known->second = { *stated, now };
    return changed ? LimitChange::Changed : LimitChange::None;
}

std::optional<RequestRate> ServerLimits::rateOf(const HostId &host) const
{
    const auto known = m_limits.find(host);
    if (known == m_limits.end())
        return std::nullopt;
    return known->second.rate;
}

} // namespace ramphinge
