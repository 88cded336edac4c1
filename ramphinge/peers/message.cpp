// The codec of peer messages: see message.h. Each message is a CBOR map with "v", "t" and fields.

#include "ramphinge/peers/message.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace ramphinge {

namespace {

using Json = nlohmann::json;

constexpr int protocolVersion = 1;
constexpr std::size_t maxNestingDepth = 16;

// Checks CBOR bytes before the library's recursive parser reads them, and rejects what no message
// contains: deep nesting, items of indefinite length and tags. It neither recurses nor uses the
// library's callbacks: the library parses the chunks of an indefinite-length string recursively
// before it calls back, and 2 MB of them crashed the daemon with signal 11.
class CborValidator
{
public:
    explicit CborValidator(std::string_view bytes) : m_unread(bytes) { }

    // Whether the bytes are exactly one item without rejected parts.
    bool isValid()
    {
        m_remainingItems = { 1 };
        while (!m_remainingItems.empty()) {
            if (m_remainingItems.back() == 0) {
                m_remainingItems.pop_back();
                continue;
            }
            --m_remainingItems.back();
            if (!skipItem())
                return false;
        }
        return m_unread.empty();
    }

private:
    enum Major { Bytes = 2, Text = 3, Array = 4, Map = 5, Tag = 6 };

    // Skips the head of an item, and the content of a string.
    bool skipItem()
    {
        if (m_unread.empty())
            return false;
        const auto first = static_cast<unsigned char>(m_unread.front());
        m_unread.remove_prefix(1);
        const std::optional<std::uint64_t> argument = readArgument(first & 31U);
        if (!argument)
            return false;
        switch (first >> 5U) {
        case Bytes:
        case Text:
            return skip(*argument);
        case Array:
            return enterContainer(*argument);
        case Map: // Two items per entry.
            return *argument <= m_unread.size() && enterContainer(*argument * 2);
        case Tag:
            return false;
        default: // Numbers and simple values consist of their argument only.
            return true;
        }
    }

    // nullopt for an indefinite length, or if bytes are missing.
    std::optional<std::uint64_t> readArgument(unsigned int code)
    {
        constexpr unsigned int firstMultiByte = 24;
        constexpr unsigned int lastMultiByte = 27;
        if (code < firstMultiByte)
            return code;
        const std::size_t size = std::size_t(1) << (code - firstMultiByte);
        if (code > lastMultiByte || m_unread.size() < size)
            return std::nullopt;
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < size; ++i)
            value = value << 8U | static_cast<unsigned char>(m_unread[i]);
        m_unread.remove_prefix(size);
        return value;
    }

    bool skip(std::uint64_t size)
    {
        if (size > m_unread.size())
            return false;
        m_unread.remove_prefix(size);
        return true;
    }

    // Each item takes at least one byte, so more items than bytes are an error.
    bool enterContainer(std::uint64_t items)
    {
        if (items > m_unread.size() || m_remainingItems.size() > maxNestingDepth)
            return false;
        m_remainingItems.push_back(items);
        return true;
    }

    std::string_view m_unread;
    // Number of items still to read in each open container, the innermost last.
    std::vector<std::uint64_t> m_remainingItems;
};

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

// Limit of any time in a message, positive or negative. A count that is too large for a Duration
// would overflow to an arbitrary value.
constexpr std::int64_t maxMilliseconds = 24LL * 60 * 60 * 1000;
// Limit of any amount of work in a message, in server milliseconds or requests: one day of 10,000
// servers is 8.64e11 server milliseconds.
constexpr double maxWork = 1e12;

Duration durationFrom(const Json &json, std::int64_t minMilliseconds = -maxMilliseconds)
{
    return Milliseconds(std::clamp(json.get<std::int64_t>(), minMilliseconds, maxMilliseconds));
}

Json endpointJson(const Endpoint &endpoint)
{
    return Json::array({ endpoint.address, endpoint.port });
}

Endpoint endpointFrom(const Json &json)
{
    return { json.at(0).get<std::string>(), json.at(1).get<std::uint16_t>() };
}

Json slotJson(const SlotId &slot)
{
    return Json::array({ slot.zone.text(), slot.number.count() });
}

SlotId slotFrom(const Json &json)
{
    return { ZoneId(json.at(0).get<std::string>()), SlotNumber(json.at(1).get<int>()) };
}

Json attemptJson(const ClaimAttempt &attempt)
{
    return Json::array({ attempt.key.account.text(), attempt.key.key.text(), attempt.fingerprint,
                         attempt.claimant.text() });
}

ClaimAttempt attemptFrom(const Json &json)
{
    return { { AccountId(json.at(0).get<std::string>()),
               IdempotencyKey(json.at(1).get<std::string>()) },
             json.at(2).get<std::uint64_t>(),
             RequestId(json.at(3).get<std::string>()) };
}

Json keptAnswerJson(const std::optional<KeptAnswer> &kept)
{
    if (!kept)
        return nullptr;
    return Json::array({ kept->status, kept->contentType, kept->body });
}

std::optional<KeptAnswer> keptAnswerFrom(const Json &json)
{
    if (!json.is_array())
        return std::nullopt;
    return KeptAnswer { json.at(0).get<int>(), json.at(1).get<std::string>(),
                        json.at(2).get<std::string>() };
}

template <typename Enum> Enum enumFrom(const Json &json, Enum last)
{
    const int number = json.get<int>();
    if (number < 0 || number > static_cast<int>(last))
        throw std::out_of_range("unknown enum value");
    return static_cast<Enum>(number);
}

// nameOf(), writeFields() and readFields() have one overload per message type.

const char *nameOf(const StatusMessage &)
{
    return "status";
}
const char *nameOf(const ObservationsMessage &)
{
    return "hosts";
}
const char *nameOf(const ServiceMessage &)
{
    return "service";
}
const char *nameOf(const ClaimRequestMessage &)
{
    return "claim";
}
const char *nameOf(const ClaimReplyMessage &)
{
    return "claimed";
}
const char *nameOf(const SettleMessage &)
{
    return "settle";
}
const char *nameOf(const HandoverMessage &)
{
    return "handover";
}
const char *nameOf(const HandoverAckMessage &)
{
    return "handed";
}
const char *nameOf(const CopyGrantMessage &)
{
    return "copy";
}
const char *nameOf(const CopyAckMessage &)
{
    return "copied";
}
const char *nameOf(const StoreUpdateRequestMessage &)
{
    return "news?";
}
const char *nameOf(const StoreUpdateMessage &)
{
    return "news";
}
const char *nameOf(const LoadReportMessage &)
{
    return "load";
}
const char *nameOf(const TotalLoadMessage &)
{
    return "loads";
}
const char *nameOf(const ServerUpdateMessage &)
{
    return "limits";
}
const char *nameOf(const ConfirmMessage &)
{
    return "confirm";
}
const char *nameOf(const InForceMessage &)
{
    return "inforce";
}
const char *nameOf(const ConfigQueryMessage &)
{
    return "config?";
}
const char *nameOf(const ConfigMessage &)
{
    return "config";
}

void writeFields(const StatusMessage &message, Json &json)
{
    const PeerState &state = message.state;
    json["d"] = state.daemon.text();
    json["z"] = state.zone.text();
    json["p"] = endpointJson(state.peers);
    json["a"] = endpointJson(state.administration);
    json["i"] = state.incarnation;
    json["r"] = static_cast<int>(state.registration);
    json["c"] = state.configVersion;
    json["e"] = state.preparedVersion;
    json["h"] = Json::array({ message.time.wallMilliseconds, message.time.counter });
}

void readFields(StatusMessage &message, const Json &json, MonotonicTime now)
{
    PeerState &state = message.state;
    state.daemon = DaemonId(json.at("d").get<std::string>());
    state.zone = ZoneId(json.at("z").get<std::string>());
    state.peers = endpointFrom(json.at("p"));
    state.administration = endpointFrom(json.at("a"));
    state.incarnation = json.at("i").get<std::string>();
    state.registration = enumFrom(json.at("r"), Registration::Rejoining);
    state.configVersion = json.at("c").get<std::int64_t>();
    state.preparedVersion = json.at("e").get<std::int64_t>();
    state.heardAt = now;
    message.time = { json.at("h").at(0).get<std::int64_t>(),
                     json.at("h").at(1).get<std::int64_t>() };
}

void writeFields(const ObservationsMessage &message, Json &json)
{
    Json list = Json::array();
    for (const ObservationsMessage::Aged &aged : message.observations) {
        const HostObservation &seen = aged.observation;
        if (!seen.answers) {
            list.push_back(Json::array({ seen.host.text(), milliseconds(aged.age), false }));
            continue;
        }
        list.push_back(Json::array({ seen.host.text(), milliseconds(aged.age), true,
                                     seen.incarnation, seen.replica.text(), seen.epoch.count(),
                                     seen.rank, seen.loaded, seen.whole, seen.model.text(),
                                     seen.running, seen.waiting, seen.maxBatch }));
    }
    json["o"] = std::move(list);
    json["u"] = message.urgent;
}

void readFields(ObservationsMessage &message, const Json &json, MonotonicTime now)
{
    message.urgent = json.at("u").get<bool>();
    for (const Json &entry : json.at("o")) {
        ObservationsMessage::Aged aged;
        HostObservation &seen = aged.observation;
        seen.host = HostId(entry.at(0).get<std::string>());
        aged.age = durationFrom(entry.at(1), 0);
        seen.madeAt = now - aged.age;
        seen.answers = entry.at(2).get<bool>();
        if (seen.answers) {
            seen.incarnation = entry.at(3).get<std::string>();
            seen.replica = ReplicaId(entry.at(4).get<std::string>());
            seen.epoch = Epoch(entry.at(5).get<std::int64_t>());
            seen.rank = entry.at(6).get<int>();
            seen.loaded = entry.at(7).get<bool>();
            seen.whole = entry.at(8).get<bool>();
            seen.model = ModelId(entry.at(9).get<std::string>());
            seen.running = entry.at(10).get<int>();
            seen.waiting = entry.at(11).get<int>();
            seen.maxBatch = entry.at(12).get<int>();
        }
        message.observations.push_back(std::move(aged));
    }
}

void writeFields(const ServiceMessage &message, Json &json)
{
    json["m"] = message.model.text();
    Json list = Json::array();
    for (const AccountTokens &service : message.service)
        list.push_back(Json::array({ service.account.text(), service.tokens.count() }));
    json["s"] = std::move(list);
}

void readFields(ServiceMessage &message, const Json &json, MonotonicTime)
{
    message.model = ModelId(json.at("m").get<std::string>());
    for (const Json &entry : json.at("s"))
        message.service.push_back(
            { AccountId(entry.at(0).get<std::string>()), Tokens(entry.at(1).get<std::int64_t>()) });
}

void writeFields(const ClaimRequestMessage &message, Json &json)
{
    json["n"] = message.id.count();
    json["s"] = slotJson(message.slot);
    json["k"] = attemptJson(message.attempt);
}

void readFields(ClaimRequestMessage &message, const Json &json, MonotonicTime)
{
    message.id = CorrelationId(json.at("n").get<std::int64_t>());
    message.slot = slotFrom(json.at("s"));
    message.attempt = attemptFrom(json.at("k"));
}

void writeFields(const ClaimReplyMessage &message, Json &json)
{
    json["n"] = message.id.count();
    json["a"] = static_cast<int>(message.answer.verdict);
    json["w"] = milliseconds(message.answer.sendWithin);
    json["b"] = keptAnswerJson(message.answer.kept);
}

void readFields(ClaimReplyMessage &message, const Json &json, MonotonicTime)
{
    message.id = CorrelationId(json.at("n").get<std::int64_t>());
    message.answer.verdict = enumFrom(json.at("a"), ClaimVerdict::NotOwner);
    message.answer.sendWithin = durationFrom(json.at("w"));
    message.answer.kept = keptAnswerFrom(json.at("b"));
}

void writeFields(const SettleMessage &message, Json &json)
{
    json["s"] = slotJson(message.slot);
    json["k"] = attemptJson(message.attempt);
    json["o"] = static_cast<int>(message.outcome);
    json["b"] = keptAnswerJson(message.answer);
}

void readFields(SettleMessage &message, const Json &json, MonotonicTime)
{
    message.slot = slotFrom(json.at("s"));
    message.attempt = attemptFrom(json.at("k"));
    message.outcome = enumFrom(json.at("o"), ClaimOutcome::MayHaveRun);
    message.answer = keptAnswerFrom(json.at("b"));
}

void writeFields(const HandoverMessage &message, Json &json)
{
    json["s"] = slotJson(message.slot);
    json["g"] = message.reign;
    json["w"] = toUnixMilliseconds(message.soleOwnerSince);
    json["y"] = message.isCopy;
    Json list = Json::array();
    for (const ClaimRecord &record : message.records)
        list.push_back(Json::array({ attemptJson(record.attempt), static_cast<int>(record.state),
                                     toUnixMilliseconds(record.at) }));
    json["r"] = std::move(list);
}

void readFields(HandoverMessage &message, const Json &json, MonotonicTime)
{
    message.slot = slotFrom(json.at("s"));
    message.reign = json.at("g").get<std::int64_t>();
    message.soleOwnerSince = fromUnixMilliseconds(json.at("w").get<std::int64_t>());
    message.isCopy = json.at("y").get<bool>();
    for (const Json &entry : json.at("r")) {
        ClaimRecord record;
        record.attempt = attemptFrom(entry.at(0));
        record.state = enumFrom(entry.at(1), ClaimVerdict::NotOwner);
        record.at = fromUnixMilliseconds(entry.at(2).get<std::int64_t>());
        message.records.push_back(std::move(record));
    }
}

void writeFields(const HandoverAckMessage &message, Json &json)
{
    json["s"] = slotJson(message.slot);
    json["g"] = message.reign;
    json["y"] = message.isCopy;
}

void readFields(HandoverAckMessage &message, const Json &json, MonotonicTime)
{
    message.slot = slotFrom(json.at("s"));
    message.reign = json.at("g").get<std::int64_t>();
    message.isCopy = json.at("y").get<bool>();
}

void writeFields(const CopyGrantMessage &message, Json &json)
{
    json["n"] = message.id.count();
    json["s"] = slotJson(message.slot);
    json["g"] = message.reign;
    json["k"] = attemptJson(message.attempt);
}

void readFields(CopyGrantMessage &message, const Json &json, MonotonicTime)
{
    message.id = CorrelationId(json.at("n").get<std::int64_t>());
    message.slot = slotFrom(json.at("s"));
    message.reign = json.at("g").get<std::int64_t>();
    message.attempt = attemptFrom(json.at("k"));
}

void writeFields(const CopyAckMessage &message, Json &json)
{
    json["n"] = message.id.count();
}

void readFields(CopyAckMessage &message, const Json &json, MonotonicTime)
{
    message.id = CorrelationId(json.at("n").get<std::int64_t>());
}

void writeFields(const ConfirmMessage &message, Json &json)
{
    json["c"] = message.change.text();
    json["y"] = message.accepts;
    json["m"] = message.message;
}

void readFields(ConfirmMessage &message, const Json &json, MonotonicTime)
{
    message.change = ChangeId(json.at("c").get<std::string>());
    message.accepts = json.at("y").get<bool>();
    message.message = json.at("m").get<std::string>();
}

void writeFields(const InForceMessage &message, Json &json)
{
    json["c"] = message.version;
}

void readFields(InForceMessage &message, const Json &json, MonotonicTime)
{
    message.version = json.at("c").get<std::int64_t>();
}

void writeFields(const ConfigQueryMessage &, Json &) { }

void readFields(ConfigQueryMessage &, const Json &, MonotonicTime) { }

void writeFields(const ConfigMessage &message, Json &json)
{
    json["c"] = message.accepted;
    json["e"] = message.prepared;
}

void readFields(ConfigMessage &message, const Json &json, MonotonicTime)
{
    message.accepted = json.at("c").get<std::string>();
    message.prepared = json.at("e").get<std::string>();
}

void writeFields(const StoreUpdateRequestMessage &message, Json &json)
{
    json["n"] = message.id.count();
    json["a"] = message.after.count();
    json["w"] = milliseconds(message.wait);
    json["l"] = message.storeLost;
    if (message.snapshotAfter)
        json["s"] = message.snapshotAfter->text();
    if (message.deltaBase)
        json["b"] =
            Json::array({ message.deltaBase->key.text(), message.deltaBase->revision.count() });
}

void readFields(StoreUpdateRequestMessage &message, const Json &json, MonotonicTime)
{
    message.id = CorrelationId(json.at("n").get<std::int64_t>());
    message.after = Revision(json.at("a").get<std::int64_t>());
    message.wait = durationFrom(json.at("w"));
    message.storeLost = json.at("l").get<bool>();
    if (const auto after = json.find("s"); after != json.end())
        message.snapshotAfter = StoreKey(after->get<std::string>());
    if (const auto base = json.find("b"); base != json.end())
        message.deltaBase = { StoreKey(base->at(0).get<std::string>()),
                              Revision(base->at(1).get<std::int64_t>()) };
}

Json binaryJson(const std::string &bytes)
{
    return Json::binary(Json::binary_t::container_type(bytes.begin(), bytes.end()));
}

std::string bytesFrom(const Json &json)
{
    const Json::binary_t &bytes = json.get_binary();
    return { bytes.begin(), bytes.end() };
}

// Ranges of the base are pairs, the rest is bytes.
Json deltaJson(const StoreDelta &delta)
{
    Json segments = Json::array();
    for (const DeltaSegment &segment : delta.delta.segments) {
        if (segment.length > 0)
            segments.push_back(Json::array({ segment.offset, segment.length }));
        else
            segments.push_back(binaryJson(segment.literal));
    }
    return Json::array(
        { delta.key.text(), delta.revision.count(), delta.delta.targetHash, std::move(segments) });
}

StoreDelta deltaFrom(const Json &json)
{
    StoreDelta delta { StoreKey(json.at(0).get<std::string>()),
                       Revision(json.at(1).get<std::int64_t>()),
                       {} };
    delta.delta.targetHash = json.at(2).get<std::uint64_t>();
    for (const Json &segment : json.at(3)) {
        if (segment.is_array())
            delta.delta.segments.push_back(
                { segment.at(0).get<std::size_t>(), segment.at(1).get<std::size_t>(), {} });
        else
            delta.delta.segments.push_back({ 0, 0, bytesFrom(segment) });
    }
    return delta;
}

// A deleted key has neither revision nor value.
Json changeJson(const StoreChange &change)
{
    Json json = Json::array({ change.key.text() });
    if (change.stored) {
        json.push_back(change.stored->revision.count());
        json.push_back(binaryJson(change.stored->value));
    }
    return json;
}

StoreChange changeFrom(const Json &json)
{
    StoreChange change { StoreKey(json.at(0).get<std::string>()), std::nullopt };
    if (json.size() > 1)
        change.stored = { bytesFrom(json.at(2)), Revision(json.at(1).get<std::int64_t>()) };
    return change;
}

void writeFields(const StoreUpdateMessage &message, Json &json)
{
    json["n"] = message.id.count();
    json["r"] = static_cast<int>(message.verdict);
    json["u"] = message.upTo.count();
    json["b"] = std::chrono::ceil<Milliseconds>(message.staleness).count();
    Json list = Json::array();
    for (const StoreChange &change : message.changes)
        list.push_back(changeJson(change));
    json["c"] = std::move(list);
    if (message.moreFollow)
        json["m"] = true;
    if (message.isSnapshot)
        json["s"] = true;
    if (message.delta)
        json["d"] = deltaJson(*message.delta);
}

void readFields(StoreUpdateMessage &message, const Json &json, MonotonicTime)
{
    message.id = CorrelationId(json.at("n").get<std::int64_t>());
    message.verdict = enumFrom(json.at("r"), UpdateVerdict::TooLarge);
    message.upTo = Revision(json.at("u").get<std::int64_t>());
    message.staleness = durationFrom(json.at("b"));
    for (const Json &change : json.at("c"))
        message.changes.push_back(changeFrom(change));
    message.moreFollow = json.value("m", false);
    message.isSnapshot = json.value("s", false);
    if (const auto delta = json.find("d"); delta != json.end())
        message.delta = deltaFrom(*delta);
}

Json targetsJson(const TargetLoads &places)
{
    Json list = Json::array();
    for (const TargetLoad &target : places)
        list.push_back(Json::array({ target.host.text(), target.running, target.waitingPrompt }));
    return list;
}

TargetLoads targetsFrom(const Json &json)
{
    TargetLoads places;
    for (const Json &entry : json)
        places.push_back({ HostId(entry.at(0).get<std::string>()), entry.at(1).get<int>(),
                           entry.at(2).get<std::int64_t>() });
    return places;
}

void writeLoad(const SharedLoad &load, Json &json)
{
    json["p"] = targetsJson(load.targetLoads);
    Json work = Json::array();
    for (const auto &[model, requested] : load.work)
        work.push_back(
            Json::array({ model.text(), requested.serverMilliseconds, requested.requests }));
    json["w"] = std::move(work);
    if (load.accounts.empty())
        return;
    Json accounts = Json::array();
    for (const auto &[key, rates] : largestAccountLoads(load.accounts))
        accounts.push_back(Json::array({ key.first.text(), key.second.text(),
                                         rates.recent.perSecond(), rates.usual.perSecond() }));
    json["a"] = std::move(accounts);
}

// Replaces a non-finite amount by 0 and clamps the others; NaN or infinity would persist in every
// sum.
double workFrom(const Json &json)
{
    const auto amount = json.get<double>();
    return std::isfinite(amount) ? std::clamp(amount, 0.0, maxWork) : 0;
}

// Throws for what no sender can have measured.
RequestRate rateFrom(const Json &json)
{
    const auto perSecond = json.get<double>();
    if (!std::isfinite(perSecond) || perSecond < 0 || perSecond > maxWork)
        throw std::out_of_range("a rate is negative, too large or not finite");
    return RequestRate(perSecond);
}

AccountLoads accountsFrom(const Json &json)
{
    if (json.size() > maxAccountLoads)
        throw std::out_of_range("too many accounts");
    AccountLoads accounts;
    for (const Json &entry : json) {
        const AccountLoads::key_type key { ModelId(entry.at(0).get<std::string>()),
                                           AccountId(entry.at(1).get<std::string>()) };
        const AccountLoad load { rateFrom(entry.at(2)), rateFrom(entry.at(3)) };
        if (!accounts.emplace(key, load).second)
            throw std::invalid_argument("an account is listed twice");
    }
    return accounts;
}

SharedLoad loadFrom(const Json &json)
{
    SharedLoad load;
    load.targetLoads = targetsFrom(json.at("p"));
    const Json work = json.value("w", Json::array());
    for (const Json &entry : work)
        load.work[ModelId(entry.at(0).get<std::string>())] = { workFrom(entry.at(1)),
                                                               workFrom(entry.at(2)) };
    load.accounts = accountsFrom(json.value("a", Json::array()));
    return load;
}

void writeFields(const LoadReportMessage &message, Json &json)
{
    json["g"] = message.isGroupSum;
    writeLoad(message.load, json);
}

void readFields(LoadReportMessage &message, const Json &json, MonotonicTime)
{
    message.isGroupSum = json.at("g").get<bool>();
    message.load = loadFrom(json);
}

void writeFields(const TotalLoadMessage &message, Json &json)
{
    writeLoad(message.load, json);
}

void readFields(TotalLoadMessage &message, const Json &json, MonotonicTime)
{
    message.load = loadFrom(json);
}

void writeFields(const ServerUpdateMessage &message, Json &json)
{
    Json list = Json::array();
    for (const ServerLimitUpdate &update : message.update.limits) {
        const Json rate = update.rate ? Json(update.rate->perSecond()) : Json();
        list.push_back(Json::array({ update.server.host.text(), update.server.zone.text(), rate,
                                     milliseconds(update.age) }));
    }
    json["l"] = std::move(list);
    Json leaving = Json::array();
    for (const HostId &host : message.update.leaving)
        leaving.push_back(host.text());
    json["v"] = std::move(leaving);
    if (message.reachability.empty())
        return;
    Json reachability = Json::array();
    for (const ReachabilityUpdate &update : message.reachability)
        reachability.push_back(Json::array(
            { update.observer.text(), update.host.text(), update.scope == ReachabilityScope::Zone,
              update.isReachable, milliseconds(update.age), update.hops }));
    json["r"] = std::move(reachability);
}

// Skips entries with a negative or non-finite rate, so that they are not forwarded.
void readFields(ServerUpdateMessage &message, const Json &json, MonotonicTime)
{
    for (const Json &entry : json.at("l")) {
        ServerLimitUpdate update;
        update.server = { HostId(entry.at(0).get<std::string>()),
                          ZoneId(entry.at(1).get<std::string>()) };
        update.age = durationFrom(entry.at(3), 0);
        if (!entry.at(2).is_null()) {
            const auto rate = entry.at(2).get<double>();
            if (!std::isfinite(rate) || rate < 0)
                continue;
            update.rate = RequestRate(rate);
        }
        message.update.limits.push_back(std::move(update));
    }
    const Json leaving = json.value("v", Json::array());
    for (const Json &host : leaving)
        message.update.leaving.emplace_back(host.get<std::string>());
    const Json reachability = json.value("r", Json::array());
    for (const Json &entry : reachability) {
        ReachabilityUpdate update;
        update.observer = ZoneId(entry.at(0).get<std::string>());
        update.host = HostId(entry.at(1).get<std::string>());
        update.scope = entry.at(2).get<bool>() ? ReachabilityScope::Zone : ReachabilityScope::Host;
        update.isReachable = entry.at(3).get<bool>();
        update.age = durationFrom(entry.at(4));
        update.hops = entry.at(5).get<int>();
        message.reachability.push_back(std::move(update));
    }
}

template <std::size_t Index = 0>
Result<PeerMessage> decodeAs(const std::string &name, const Json &json, MonotonicTime now)
{
    if constexpr (Index == std::variant_size_v<PeerMessage>) {
        return Error(ErrorKind::NotFound, "message type " + name + " is unknown to this version");
    } else {
        std::variant_alternative_t<Index, PeerMessage> message;
        if (name != nameOf(message))
            return decodeAs<Index + 1>(name, json, now);
        readFields(message, json, now);
        return PeerMessage(std::move(message));
    }
}

} // namespace

std::string encode(const PeerMessage &message)
{
    Json json { { "v", protocolVersion } };
    std::visit(
        [&json](const auto &alternative) {
            json["t"] = nameOf(alternative);
            writeFields(alternative, json);
        },
        message);
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Result<PeerMessage> decode(const std::string &bytes, MonotonicTime now)
{
    if (!CborValidator(bytes).isValid())
        return Error(ErrorKind::InvalidInput, "invalid CBOR, or unsupported items or nesting");
    const Json json = Json::from_cbor(bytes, true, false);
    try {
        return decodeAs(json.at("t").get<std::string>(), json, now);
    } catch (const std::exception &e) {
        return Error(ErrorKind::InvalidInput, std::string("invalid peer message: ") + e.what());
    }
}

} // namespace ramphinge
