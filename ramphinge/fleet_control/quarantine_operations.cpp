// Operators' commands on quarantined requests: see quarantine_operations.h.

#include "ramphinge/fleet_control/quarantine_operations.h"

#include "ramphinge/fleet_control/fleet_state.h"

namespace ramphinge {

namespace {

// Another operator may write the same list concurrently.
constexpr int mostTries = 5;

// All reports in the store, and the list of requests that were released before.
struct StoredReports
{
    Quarantine quarantine { QuarantineOptions() };
    CrashReport released;
    Revision releasedRevision = absentRevision;
};

Result<StoredReports> readReports(KeyValueStore &store, Yield yield)
{
    const Result<StoreSnapshot> snapshot = store.list(FleetKeys::crashPrefix(), yield);
    if (!snapshot.ok())
        return snapshot.error();
    StoredReports reports;
    for (const StoredEntry &entry : snapshot.value().entries) {
        Result<CrashReport> report = parseCrashReport(entry.stored.value, mostReported);
        if (!report.ok())
            continue; // Daemons skip it too.
        if (entry.key == FleetKeys::releasedRequests()) {
            reports.released = report.value();
            reports.releasedRevision = entry.stored.revision;
        }
        reports.quarantine.hear(CrashReportSource(entry.key.text()), std::move(report.value()), {});
    }
    return reports;
}

} // namespace

Result<CrashReport> readHeldRequests(KeyValueStore &store, Yield yield)
{
    const Result<StoredReports> reports = readReports(store, yield);
    if (!reports.ok())
        return reports.error();
    return reports.value().quarantine.held();
}

Status releaseRequest(KeyValueStore &store, const RequestFingerprint &fingerprint, Yield yield)
{
    Error last(ErrorKind::Conflict, "somebody else releases requests at the same time");
    for (int tries = 0; tries < mostTries; ++tries) {
        Result<StoredReports> reports = readReports(store, yield);
        if (!reports.ok())
            return reports.error();
        const CrashReport held = reports.value().quarantine.held();
        const auto found = held.find(fingerprint);
        if (found == held.end())
            return Error(ErrorKind::NotFound,
                         "no request with this fingerprint is held back; see the list");
        CrashRecord record = found->second;
        record.excused.insert(record.ended.begin(), record.ended.end());
        record.ended.clear();
        CrashReport released = reports.value().released;
        released[fingerprint].unite(record);
        const std::string text =
            serializeCrashReport(newestOf(released, mostReported, mostReportedOfAccount));
        const Result<Revision> written = store.commit(
            { { FleetKeys::releasedRequests(), text, reports.value().releasedRevision } }, yield);
        if (written.ok())
            return Done {};
        last = written.error();
        if (last.kind() != ErrorKind::Conflict)
            return last;
    }
    return last;
}

} // namespace ramphinge
