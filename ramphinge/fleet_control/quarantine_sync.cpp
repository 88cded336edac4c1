// Replication of the quarantine through the store: see quarantine_sync.h.

#include "ramphinge/fleet_control/quarantine_sync.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

CrashReportSource sourceOf(const StoreKey &key)
{
    return CrashReportSource(key.text());
}

bool isCrashReportKey(const StoreKey &key)
{
    const std::string prefix = FleetKeys::crashReportPrefix().text();
    return key.text().compare(0, prefix.size(), prefix) == 0;
}

} // namespace

QuarantineSync::QuarantineSync(IoContext &io, QuarantineSyncOptions options, KeyValueStore &store,
                               FleetState &fleet, Quarantine &quarantine, const KeyHolder &role,
                               const Clock &clock, DecisionLog &log)
    : m_io(io), m_options(std::move(options)), m_store(store), m_fleet(fleet),
      m_quarantine(quarantine), m_plannerRole(role), m_clock(clock), m_log(log)
{ }

void QuarantineSync::run(Yield yield)
{
    while (!m_stopping) {
        sleepFor(m_io, m_options.pollInterval, yield);
        round(yield);
    }
}

void QuarantineSync::round(Yield yield)
{
    if (m_clock.now() >= m_nextExpiryAt) {
        m_quarantine.expire(m_clock.now());
        m_nextExpiryAt = m_clock.now() + m_options.expiryInterval;
    }
    m_quarantine.advance(m_clock.now());
    publish(yield);
    persistQuarantined(yield);
    logQuarantineChanges();
}

void QuarantineSync::applyStoredReports()
{
    if (!m_fleet.synced)
        return;
    const StoreKey own = FleetKeys::crashReport(m_options.daemon);
    for (auto entry = m_fleet.daemonKeys.lower_bound(FleetKeys::crashReportPrefix());
         entry != m_fleet.daemonKeys.end() && isCrashReportKey(entry->first); ++entry) {
        if (entry->first == own && m_ownReportRestored)
            continue; // Written by this process itself.
        applyStoredReport(entry->first, entry->second);
    }
    const bool ownLapsed = m_ownReportRestored && m_fleet.daemonKeys.count(own) == 0;
    if (ownLapsed && !m_quarantine.own().empty())
        m_publishedVersion = 0; // It lapsed with its lease; what is still valid is published again.
    m_ownReportRestored = true;
    eraseIf(m_appliedRevisions, [this](const auto &applied) {
        const bool isGone = m_fleet.daemonKeys.count(applied.first) == 0;
        if (isGone)
            m_quarantine.removeReport(sourceOf(applied.first));
        return isGone;
    });
    logQuarantineChanges();
}

void QuarantineSync::applyStoredReport(const StoreKey &key, const StoredValue &stored)
{
    const auto applied = m_appliedRevisions.find(key);
    if (applied != m_appliedRevisions.end() && applied->second == stored.revision)
        return;
    m_appliedRevisions[key] = stored.revision;
    Result<CrashReport> report = parseCrashReport(stored.value, maxReportedSuspects);
    if (!report.ok()) {
        ++m_fleet.unreadableEntries;
        m_log.write("crash_report_unreadable", LogWeight::Failure,
                    { { "key", key.text() }, { "why", report.error().message() } });
        return;
    }
    if (key == FleetKeys::crashReport(m_options.daemon))
        m_quarantine.adopt(report.value(), m_clock.now());
    else
        m_quarantine.applyReport(sourceOf(key), std::move(report.value()), m_clock.now(),
                                 m_clock.wallNow());
}

void QuarantineSync::publish(Yield yield)
{
    const std::uint64_t version = m_quarantine.ownVersion();
    const MonotonicTime now = m_clock.now();
    if (!m_ownReportRestored || version == m_publishedVersion || now < m_nextReportWriteAt
        || !m_fleet.storeReachable)
        return;
    const bool hasAdditions =
        m_quarantine.ownAddedVersion() > m_publishedVersion || m_publishedVersion == 0;
    if (!hasAdditions && now - m_reportWrittenAt < m_options.removalReportSpacing)
        return;
    const StoreKey key = FleetKeys::crashReport(m_options.daemon);
    if (m_quarantine.own().empty() && m_fleet.daemonKeys.count(key) == 0) {
        m_publishedVersion = version;
        return;
    }
    m_nextReportWriteAt = now + m_options.minReportSpacing;
    if (!ensureLease(yield))
        return;
    const std::string text = serializeCrashReport(m_quarantine.own());
    const Status written = write(key, text, m_lease, yield);
    if (written.ok()) {
        m_publishedVersion = version;
        m_reportWrittenAt = now;
    } else if (written.error().kind() == ErrorKind::Fenced) {
        m_lease = noLease;
    }
}

// Grants a new lease instead of renewing: reports are written rarely, and each write restarts the
// lifetime of the report.
bool QuarantineSync::ensureLease(Yield yield)
{
    const MonotonicTime now = m_clock.now();
    const bool isFresh =
        m_lease != noLease && now - m_leaseGrantedAt < m_options.reportLeaseDuration / 2;
    if (isFresh)
        return true;
    const Result<GrantedLease> granted = m_store.grantLease(m_options.reportLeaseDuration, yield);
    if (!granted.ok()) {
        m_log.write("crash_report_not_written", LogWeight::Failure,
                    { { "why", granted.error().message() } });
        return false;
    }
    m_lease = granted.value().lease;
    m_leaseGrantedAt = now;
    return true;
}

Status QuarantineSync::write(const StoreKey &key, const std::string &text, LeaseId lease,
                             Yield yield)
{
    const auto present = m_fleet.daemonKeys.find(key);
    const Revision expected =
        present == m_fleet.daemonKeys.end() ? absentRevision : present->second.revision;
    const Result<Revision> written = m_store.commit({ { key, text, expected, lease } }, yield);
    m_log.write("crash_report_written", LogWeight::Belief,
                { { "key", key.text() },
                  { "bytes", text.size() },
                  { "done", written.ok() },
                  { "why", written.ok() ? std::string() : written.error().message() } });
    if (!written.ok())
        return written.error();
    m_fleet.recordWrite(key, { text, written.value() });
    return Done {};
}

// Without this document a request would leave the quarantine ten minutes after the daemons that
// observed its crashes have stopped.
void QuarantineSync::persistQuarantined(Yield yield)
{
    const MonotonicTime now = m_clock.now();
    if (!m_ownReportRestored || now < m_nextHeldCheckAt || !m_plannerRole.holds(now)
        || !m_fleet.storeReachable)
        return;
    m_nextHeldCheckAt = now + m_options.plannerCheckInterval;
    const StoreKey key = FleetKeys::heldRequests();
    const auto present = m_fleet.daemonKeys.find(key);
    CrashReport quarantined =
        newestOf(m_quarantine.quarantined(), maxReportedRequests, maxReportedRequestsPerAccount);
    for (auto &[fingerprint, record] : quarantined)
        record.interruptedRequests = 0; // Readers add up what the daemons that saw them report.
    const std::string text = serializeCrashReport(quarantined);
    const std::string emptyText = serializeCrashReport({});
    const std::string &presentText =
        present == m_fleet.daemonKeys.end() ? emptyText : present->second.value;
    if (text == presentText)
        return;
    if (write(key, text, noLease, yield).ok())
        applyStoredReports();
}

void QuarantineSync::logQuarantineChanges()
{
    if (m_loggedVersion == m_quarantine.version())
        return;
    m_loggedVersion = m_quarantine.version();
    const CrashReport held = m_quarantine.quarantined();
    for (const auto &[fingerprint, record] : held) {
        if (m_quarantinedSince.emplace(fingerprint, m_clock.now()).second)
            m_log.write("request_quarantined", LogWeight::Belief,
                        { { "fingerprint", fingerprint.text() },
                          { "account", record.account.text() },
                          { "route", record.route },
                          { "is_prompt_part", isOfPromptPart(fingerprint) },
                          { "interrupted_requests", record.interruptedRequests },
                          { "servers_ended", record.crashCount() } });
    }
    eraseIf(m_quarantinedSince, [&](const auto &entry) {
        const bool isReleased = held.count(entry.first) == 0;
        if (isReleased)
            m_log.write("request_let_go", LogWeight::Belief,
                        { { "fingerprint", entry.first.text() } });
        return isReleased;
    });
}

Result<CrashReport> QuarantineSync::triedRequests() const
{
    const auto present = m_fleet.daemonKeys.find(FleetKeys::triedRequests());
    if (present == m_fleet.daemonKeys.end())
        return CrashReport();
    return parseCrashReport(present->second.value, maxReportedSuspects);
}

// Grants no trial if the list of tried requests can't be read or is full for the account: without
// an entry in it a request might be tried repeatedly.
bool QuarantineSync::grantTrial(const Fingerprint &fingerprint, Yield yield)
{
    const auto since = m_quarantinedSince.find(fingerprint);
    const bool isTrialDue =
        since != m_quarantinedSince.end() && m_clock.now() - since->second >= m_options.trialDelay;
    if (!isTrialDue || m_trialPending || !m_ownReportRestored || !m_fleet.storeReachable)
        return false;
    Result<CrashReport> tried = triedRequests();
    if (!tried.ok() || tried.value().count(fingerprint) > 0)
        return false;
    const WallTime now = m_clock.wallNow();
    eraseIf(tried.value(), [&](const auto &entry) {
        return now - entry.second.lastSeen >= m_options.triedRetention;
    });
    CrashRecord record;
    record.account = m_quarantine.quarantined()[fingerprint].account;
    record.lastSeen = now;
    tried.value()[fingerprint] = record;
    if (newestOf(tried.value(), maxReportedRequests, maxReportedRequestsPerAccount).size()
        < tried.value().size())
        return false;
    m_trialPending = true;
    const Status written =
        write(FleetKeys::triedRequests(), serializeCrashReport(tried.value()), noLease, yield);
    m_trialPending = false;
    if (written.ok())
        m_log.write("request_on_trial", LogWeight::Belief,
                    { { "fingerprint", fingerprint.text() } });
    return written.ok();
}

} // namespace ramphinge
