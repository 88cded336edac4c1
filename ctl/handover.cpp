// The steps of a handover: see handover.h and docs/design/migration.md.

#include "ctl/handover.h"

#include <thread>

namespace ramphinge {

namespace {

using Json = nlohmann::json;
using StepCallback = std::function<void(const std::string &)>;

constexpr Duration drainPollInterval = std::chrono::milliseconds(200);

struct Side
{
    AdminClient &client;
    std::string phase;
    std::int64_t epoch = 0;
};

Status readHolding(Side &side, const std::string &account)
{
    const Result<Json> holding =
        side.client.callAny("GET", "/admin/v1/holding?account=" + percentEncoded(account));
    if (!holding.ok())
        return holding.error();
    side.phase = holding.value().value("phase", "");
    side.epoch = holding.value().value("epoch", std::int64_t { 0 });
    return Done {};
}

std::int64_t nowMilliseconds()
{
    return toUnixMilliseconds(SystemClock().wallNow());
}

// Changes one holding in the side's accepted configuration. Fails if it was changed concurrently.
Status changeHolding(Side &side, const std::string &account, const std::string &phase,
                     std::int64_t epoch, std::int64_t since)
{
    const Result<Json> current = side.client.callAny("GET", "/admin/v1/config");
    if (!current.ok())
        return current.error();
    Json document = current.value().at("document");
    Json holdings = Json::array();
    std::int64_t currentSince = 0;
    for (const Json &holding : document.value("holdings", Json::array())) {
        if (holding.value("account", "") == account)
            currentSince = holding.value("sinceMs", std::int64_t { 0 });
        else
            holdings.push_back(holding);
    }
    holdings.push_back({ { "account", account },
                         { "phase", phase },
                         { "epoch", epoch },
                         { "sinceMs", since != 0 ? since : currentSince } });
    document["holdings"] = holdings;
    const Result<Json> applied = side.client.callAny(
        "POST", "/admin/v1/apply",
        { { "document", document }, { "expectedVersion", current.value().at("version") } });
    if (!applied.ok())
        return applied.error();
    side.phase = phase;
    side.epoch = epoch;
    if (applied.value().at("notYetInForce").empty())
        return Done {};
    return Error(ErrorKind::Unavailable,
                 "the change is accepted, but not in force on "
                     + applied.value().at("notYetInForce").dump() + " yet; run this again");
}

// Waits until no daemon of the side has a request of the account in progress.
Status awaitIdle(Side &side, const std::string &account, Duration limit,
                 const StepCallback &reportStep)
{
    const auto until = BootClock::now() + limit;
    while (true) {
        std::int64_t inProgress = 0;
        for (const Endpoint &server : side.client.servers()) {
            const Result<Json> holding = side.client.call(
                server, "GET", "/admin/v1/holding?account=" + percentEncoded(account));
            if (!holding.ok())
                return Error(ErrorKind::Unavailable,
                             toString(server)
                                 + " didn't report whether it has requests in progress ("
                                 + holding.error().message() + "); name only daemons that run");
            inProgress += holding.value().value("inProgress", std::int64_t { 0 });
        }
        if (inProgress == 0)
            return Done {};
        if (BootClock::now() >= until)
            return Error(ErrorKind::DeadlineExceeded,
                         std::to_string(inProgress)
                             + " requests are still in progress; run this "
                               "again, or with --abort to go back");
        reportStep("waiting for " + std::to_string(inProgress) + " requests in progress");
        std::this_thread::sleep_for(drainPollInterval);
    }
}

Status abortHandover(Side &from, const std::string &account, const StepCallback &reportStep)
{
    if (from.phase == "here") {
        reportStep("nothing to abort: the source side holds the account");
        return Done {};
    }
    if (from.phase == "there")
        return Error(ErrorKind::Conflict,
                     "the source side has released the account already; finish the handover, "
                     "then hand it back");
    reportStep("source side: draining -> here");
    return changeHolding(from, account, "here", from.epoch + 1, 0);
}

} // namespace

Status handOver(AdminClient &fromClient, AdminClient &toClient, const HandoverRequest &request,
                const StepCallback &reportStep)
{
    Side from { fromClient, {}, 0 };
    Side to { toClient, {}, 0 };
    for (Side *side : { &from, &to }) {
        if (const Status seen = readHolding(*side, request.account); !seen.ok())
            return seen;
    }
    if (request.abort)
        return abortHandover(from, request.account, reportStep);
    if (to.phase == "here" && from.phase == "there") {
        reportStep("the handover is complete");
        return Done {};
    }
    // The destination side must have declared the account without holding it.
    if (to.phase != "there")
        return Error(
            ErrorKind::Conflict,
            "the destination side must declare the account with phase \"there\" first; it has \""
                + to.phase + "\"");
    if (from.phase == "here") {
        reportStep("source side: here -> draining");
        const std::int64_t epoch = std::max(from.epoch, to.epoch) + 1;
        // The epoch grows by one with each handover: a destination side whose epoch is higher held
        // the account more recently.
        if (epoch != from.epoch + 1)
            return Error(ErrorKind::Conflict,
                         "the destination side's epoch is ahead; the source side is "
                         "not the last holder");
        const Status done = changeHolding(from, request.account, "draining", epoch, 0);
        if (!done.ok())
            return done;
    }
    if (from.phase == "draining") {
        const Status idle = awaitIdle(from, request.account, request.drainLimit, reportStep);
        if (!idle.ok())
            return idle;
        reportStep("source side: draining -> there (irreversible from here on)");
        const Status done = changeHolding(from, request.account, "there", from.epoch, 0);
        if (!done.ok())
            return done;
    }
    reportStep("destination side: there -> here");
    const Status done = changeHolding(to, request.account, "here", from.epoch, nowMilliseconds());
    if (done.ok())
        reportStep("the handover is complete");
    return done;
}

} // namespace ramphinge
