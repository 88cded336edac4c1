// Operators' commands on quarantined requests: see quarantine_operations.h.

#include "ramphinge/fleet_control/quarantine_operations.h"

#include "ramphinge/fleet_control/fleet_state.h"

namespace ramphinge {

namespace {

// Another operator may write the same list concurrently.
constexpr int maxAttempts = 5;

// All reports in the store, and the list of requests that were released before.
struct StoredReports
{
    Quarantine quarantine { QuarantineOptions() };
    CrashReport released;
    Revision releasedRevision = absentRevision;
};

Result<StoredReports> readReports(KeyValueStore &store, Yield yield)
{
    const Result<StoreSnapshot> snapshot = store.list(FleetKeys::crashReportPrefix(), yield);
    if (!snapshot.ok())
        return snapshot.error();
    StoredReports reports;
    for (const StoredEntry &entry : snapshot.value().entries) {
        Result<CrashReport> report = parseCrashReport(entry.stored.value, maxReportedSuspects);
        if (!report.ok())
            continue; // Daemons skip it too.
        if (entry.key == FleetKeys::releasedRequests()) {
            reports.released = report.value();
            reports.releasedRevision = entry.stored.revision;
        }
        reports.quarantine.applyReport(CrashReportSource(entry.key.text()),
                                       std::move(report.value()), {}, {});
    }
    return reports;
}

} // namespace

Result<CrashReport> readQuarantinedRequests(KeyValueStore &store, Yield yield)
{
    const Result<StoredReports> reports = readReports(store, yield);
    if (!reports.ok())
        return reports.error();
    return reports.value().quarantine.quarantined();
}

Status releaseRequest(KeyValueStore &store, const Fingerprint &fingerprint, Yield yield)
{
    Error lastError(ErrorKind::Conflict, "another operator is releasing requests concurrently");
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        Result<StoredReports> reports = readReports(store, yield);
        if (!reports.ok())
            return reports.error();
        const CrashReport held = reports.value().quarantine.quarantined();
        const auto found = held.find(fingerprint);
        if (found == held.end())
            return Error(ErrorKind::NotFound,
                         "no request with this fingerprint is quarantined; see the list of "
                         "quarantined requests");
        CrashRecord record = found->second;
        record.excused.insert(record.ended.begin(), record.ended.end());
        record.ended.clear();
        CrashReport released = reports.value().released;
        released[fingerprint].merge(record);
        const std::string text = serializeCrashReport(
            newestOf(released, maxReportedRequests, maxReportedRequestsPerAccount));
        const Result<Revision> written = store.commit(
            { { FleetKeys::releasedRequests(), text, reports.value().releasedRevision } }, yield);
        if (written.ok())
            return Done {};
        lastError = written.error();
        if (lastError.kind() != ErrorKind::Conflict)
            return lastError;
    }
    return lastError;
}

} // namespace ramphinge
