// The secret for links between daemons: see link_key.h.

#include "ramphinge/fleet_control/link_key.h"

namespace ramphinge {

namespace {

// Until there is a secret, daemons watch the store itself rather than a relay.
constexpr Duration pollInterval = std::chrono::milliseconds(500);

} // namespace

void LinkKeyWriter::run(Yield yield)
{
    while (!m_stopping) {
        round(yield);
        sleepFor(m_io, pollInterval, yield);
    }
}

void LinkKeyWriter::round(Yield yield)
{
    const bool isMissing = m_fleet.synced && m_fleet.daemonKeys.count(FleetKeys::linkKey()) == 0;
    if (!isMissing || !m_plannerRole.holds(m_clock.now()))
        return;
    const std::string secret = m_random.token() + m_random.token();
    const Result<Revision> written =
        m_store.commit({ { FleetKeys::linkKey(), secret, absentRevision } }, yield);
    m_log.write("link_key_written", LogWeight::Belief,
                { { "done", written.ok() },
                  { "why", written.ok() ? std::string() : written.error().message() } });
    if (written.ok())
        m_fleet.recordWrite(FleetKeys::linkKey(), { secret, written.value() });
}

} // namespace ramphinge
