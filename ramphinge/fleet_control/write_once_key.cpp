// Keys that are written once: see write_once_key.h.

#include "ramphinge/fleet_control/write_once_key.h"

#include "ramphinge/base/random.h"

namespace ramphinge {

namespace {

// Until there is a link key, daemons watch the store itself rather than a relay.
constexpr Duration pollInterval = std::chrono::milliseconds(500);

} // namespace

WriteOnceKeyOptions linkKeyOptions()
{
    const auto secret = [random = Random(entropySeed())]() mutable {
        const std::string first = random.token();
        return std::optional<std::string>(first + random.token());
    };
    return { FleetKeys::linkKey(), "link_key_written", secret };
}

WriteOnceKeyOptions keyRequirementOptions(const DispatchState &dispatch)
{
    const auto mark = [&dispatch] {
        return dispatch.hasRequiredKeys ? std::optional<std::string>("1") : std::nullopt;
    };
    return { FleetKeys::keyRequirement(), "key_requirement_written", mark };
}

void WriteOnceKey::run(Yield yield)
{
    while (!m_stopping) {
        round(yield);
        sleepFor(m_io, pollInterval, yield);
    }
}

void WriteOnceKey::round(Yield yield)
{
    const bool isMissing = m_fleet.synced && m_fleet.daemonKeys.count(m_options.key) == 0;
    if (!isMissing || !m_plannerRole.holds(m_clock.now()))
        return;
    const std::optional<std::string> value = m_options.value();
    if (!value)
        return;
    const Result<Revision> written =
        m_store.commit({ { m_options.key, *value, absentRevision } }, yield);
    m_log.write(m_options.logEvent.c_str(), LogWeight::Belief,
                { { "done", written.ok() },
                  { "why", written.ok() ? std::string() : written.error().message() } });
    if (written.ok())
        m_fleet.recordWrite(m_options.key, { *value, written.value() });
}

} // namespace ramphinge
