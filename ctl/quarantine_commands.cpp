// Listing and release of quarantined requests: see quarantine_commands.h.

#include "ctl/quarantine_commands.h"

#include <ctime>
#include <iomanip>
#include <ostream>

#include "platform/kv_client.h"
#include "ramphinge/fleet_control/quarantine_operations.h"

namespace ramphinge {

namespace {

// Runs `body` with a client of the store at `address`, on an event loop of its own.
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

Result<CrashReport> listQuarantinedRequests(const std::string &store)
{
    return withStore<Result<CrashReport>>(store, [](KeyValueStore &client, Yield yield) {
        return readQuarantinedRequests(client, yield);
    });
}

Status releaseQuarantinedRequest(const std::string &store, const std::string &fingerprint)
{
    return withStore<Status>(store, [&](KeyValueStore &client, Yield yield) {
        return releaseRequest(client, Fingerprint(fingerprint), yield);
    });
}

void printQuarantinedRequests(const CrashReport &quarantined, std::ostream &out)
{
    if (quarantined.empty())
        out << "no request or part of a prompt is held back\n";
    for (const auto &[fingerprint, record] : quarantined) {
        const std::time_t seen = toUnixMilliseconds(record.lastSeen) / 1000;
        out << fingerprint;
        if (isOfPromptPart(fingerprint))
            out << "  part of prompts";
        else
            out << "  account " << record.account;
        out << "  route " << record.route << "  last "
            << std::put_time(std::gmtime(&seen), "%F %TZ") << "  servers ended:";
        for (const HostId &host : record.countedCrashes())
            out << ' ' << host;
        out << '\n';
    }
}

std::string quarantinedRequestsAsJson(const CrashReport &quarantined)
{
    return serializeCrashReport(quarantined);
}

} // namespace ramphinge
