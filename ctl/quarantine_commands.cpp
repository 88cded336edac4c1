// Requests that are held back, for operators: see quarantine_commands.h.

#include "ctl/quarantine_commands.h"

#include <ctime>
#include <iomanip>
#include <ostream>

#include "platform/kv_client.h"
#include "ramphinge/fleet_control/quarantine_operations.h"

namespace ramphinge {

namespace {

// Calls `body` with the store at `address`, on a loop of its own.
template <typename Outcome, typename Body> Outcome withStore(const std::string &address, Body body)
{
    const Result<Endpoint> endpoint = parseEndpoint(address);
    if (!endpoint.ok())
        return Error(ErrorKind::InvalidInput,
                     "say where the platform's store is, with --store: "
                         + endpoint.error().message());
    IoContext io(1);
    platform::KvClientOptions options;
    options.address = endpoint.value();
    platform::KvClient store(io, options);
    Outcome outcome = Error(ErrorKind::Unknown, "interrupted");
    spawnCoroutine(io, [&](Yield yield) { outcome = body(store, yield); });
    runLoop(io);
    return outcome;
}

} // namespace

Result<CrashReport> heldRequests(const std::string &store)
{
    return withStore<Result<CrashReport>>(
        store, [](KeyValueStore &opened, Yield yield) { return readHeldRequests(opened, yield); });
}

Status releaseHeldRequest(const std::string &store, const std::string &fingerprint)
{
    return withStore<Status>(store, [&](KeyValueStore &opened, Yield yield) {
        return releaseRequest(opened, RequestFingerprint(fingerprint), yield);
    });
}

void printHeldRequests(const CrashReport &held, std::ostream &out)
{
    if (held.empty())
        out << "no request is held back\n";
    for (const auto &[fingerprint, record] : held) {
        const std::time_t seen = toUnixMilliseconds(record.lastSeen) / 1000;
        out << fingerprint << "  account " << record.account << "  route " << record.route
            << "  last " << std::put_time(std::gmtime(&seen), "%F %TZ") << "  servers ended:";
        for (const HostId &host : record.counting())
            out << ' ' << host;
        out << '\n';
    }
}

std::string heldRequestsAsJson(const CrashReport &held)
{
    return serializeCrashReport(held);
}

} // namespace ramphinge
