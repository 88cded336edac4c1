// Reports of lost contact to the servers: see contact_reporter.h.

#include "ramphinge/fleet_control/contact_reporter.h"

#include <utility>

namespace ramphinge {

ContactReporter::ContactReporter(IoContext &io, ContactReporterOptions options,
                                 KeyValueStore &store, FleetState &fleet,
                                 const ServerContacts &contacts, const KeyHolder &registration,
                                 const Clock &clock, DecisionLog &log)
    : m_io(io), m_options(std::move(options)), m_store(store), m_fleet(fleet), m_contacts(contacts),
      m_registration(registration), m_clock(clock), m_log(log)
{ }

void ContactReporter::run(Yield yield)
{
    while (!m_stopping) {
        sleepFor(m_io, m_options.pollInterval, yield);
        round(yield);
    }
}

void ContactReporter::round(Yield yield)
{
    const std::set<ServiceId> lost = m_contacts.lost();
    if (lost == m_fleet.lostServices(m_options.daemon) || !m_fleet.storeReachable
        || !m_registration.holds(m_clock.now()))
        return;
    const StoreKey key = FleetKeys::contact(m_options.daemon);
    const auto present = m_fleet.daemonKeys.find(key);
    const Revision expected =
        present == m_fleet.daemonKeys.end() ? absentRevision : present->second.revision;
    const std::string text = serializeLostServices(lost);
    const Result<Revision> written =
        m_store.commit({ { key, text, expected, m_registration.lease() } }, yield);
    m_log.write("server_contact_reported", LogWeight::Belief,
                { { "lost", text },
                  { "done", written.ok() },
                  { "why", written.ok() ? std::string() : written.error().message() } });
    if (written.ok())
        m_fleet.recordWrite(key, { text, written.value() });
}

} // namespace ramphinge
