// Admission by the servers' statements: see server_gate.h.

#include "ramphinge/limits/server_gate.h"

#include <algorithm>

namespace ramphinge {

void ServerGate::setDaemons(const RegisteredDaemon &self,
                            const std::vector<RegisteredDaemon> &daemons, MonotonicTime now)
{
    m_limits.setDaemons(self, daemons, now);
    m_cold.setDaemons(self, daemons, now);
    m_backoffs.setDaemons(self.daemon, m_limits.daemons());
}

StatementChanges ServerGate::noteAnswer(const ServerLocation &server,
                                        const ServerStatement &statement, MonotonicTime sentAt,
                                        MonotonicTime now)
{
    StatementChanges changes;
    const bool saysNoLimit =
        statement.isAuthentic && statement.unreadable.count(StatementField::RateLimit) == 0;
    if (statement.rateLimit || saysNoLimit)
        changes.limit = m_limits.noteAnswer(server, statement.rateLimit, sentAt, now);
    if (statement.backoff.value_or(Duration::zero()) > Duration::zero())
        changes.backoff = m_backoffs.noteRefusal(server.host, *statement.backoff, now);
    else if (statement.isAuthentic && statement.unreadable.count(StatementField::Backoff) == 0)
        changes.backoff = m_backoffs.noteAnswer(server.host, sentAt);
    changes.isLeaving = statement.isLeaving && m_departures.note(server.host);
    return changes;
}

ServerUpdate ServerGate::takeUpdate(MonotonicTime now)
{
    return { m_limits.takeUpdates(now), m_departures.takeUpdates() };
}

void ServerGate::recordSend(const HostId &host, MonotonicTime now)
{
    m_limits.recordSend(host, now);
    m_backoffs.recordSend(host, now);
    m_cold.recordSend(host, now);
}

std::optional<RequestRate> ServerGate::rateOf(const HostId &host, MonotonicTime now) const
{
    const std::optional<RequestRate> stated = m_limits.rateOf(host, now);
    const std::optional<RequestRate> cold = m_cold.rateOf(host, now);
    if (!stated || !cold)
        return stated ? stated : cold;
    return std::min(*stated, *cold);
}

void ServerGate::forgetOld(const std::function<bool(const HostId &)> &exists, MonotonicTime now)
{
    m_limits.forgetOld(exists, now);
    m_backoffs.forgetOld(exists, now);
    m_departures.forgetOld(exists, now);
}

} // namespace ramphinge
