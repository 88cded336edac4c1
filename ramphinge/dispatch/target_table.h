// Where requests can go, and how soon each place would answer: plain servers and the heads of open
// replicas, with what this daemon has seen of them.
//
// A place's expected time comes from the engine's published formula (or, for plain servers, from
// the service's mean), from own requests in flight there, and from how far it was off before. The
// last part fades, so that a place which was slow or failed is tried again.
//
//   table.rebuild(fleet, plan, *catalog, now);
//   if (const Target *target = table.choose(query, now)) ...

#pragma once

#include <map>
#include <set>
#include <vector>

#include "ramphinge/base/random.h"
#include "ramphinge/catalog/service_catalog.h"
#include "ramphinge/dispatch/placing.h"
#include "ramphinge/dispatch/urgency.h"
#include "ramphinge/fleet/fleet_view.h"
#include "ramphinge/fleet/place_load.h"
#include "ramphinge/limits/server_gate.h"
#include "ramphinge/replicas/plan.h"

namespace ramphinge {

// One place that takes requests.
struct Target
{
    HostId host; // The server, or a replica's head.
    Endpoint endpoint;
    ZoneId zone;
    ServiceId service;
    ReplicaId replica; // Empty for plain servers.
    ModelId model;
    int slots = 1; // Requests that run there at once.

    ServerAddress address() const { return { host, endpoint, zone, service }; }
};

struct TargetQuery
{
    ServiceId service;
    ModelId model; // Empty for plain services.
    Tokens promptTokens;
    std::set<HostId> exclude; // Already tried.
    const ServerGate *gate = nullptr; // Places that it doesn't admit now are left out.
};

struct TargetTableOptions
{
    ZoneId ownZone;
    // Added to the expected time of a place in another zone. From the brief's 1.4 ms one way and
    // the price of bytes between zones; own zone's load is also better known.
    Duration zonePenalty = std::chrono::milliseconds(15);
    // Half-life of what is remembered against a place.
    Duration memory = std::chrono::seconds(4);
    // A place with streams under way from which nothing came for so many of its usual pauses is
    // taken to stand still, but not sooner than the first figure and not later than the second.
    // Streams bring something every pass: 40 ms apart at a small model, and up to 300 ms where a
    // large one reads many prompts meanwhile.
    double standstillPauses = 4;
    Duration shortestStandstill = std::chrono::milliseconds(200);
    Duration longestStandstill = std::chrono::milliseconds(450);
    // How long a place gets nothing after it could not be reached; doubles with each repeat.
    Duration avoidance = std::chrono::milliseconds(800);
    Duration longestAvoidance = std::chrono::seconds(6);
    // How long what others have under way counts after it was told: for six reports of 250 ms,
    // about as long as a request lasts. Then own requests stand for all again.
    Duration othersLoadLasts = std::chrono::milliseconds(1500);
    PlacingOptions placing;
};

// Not thread-safe: lives on the request loop.
class TargetTable
{
public:
    TargetTable(TargetTableOptions options, std::uint64_t seed);

    // Takes over the places that exist now; what is known of those that stay is kept. The head of
    // another replica than before is a new place.
    void rebuild(const FleetView &fleet, const ReplicaPlan &plan, const ServiceCatalog &catalog);

    // How many daemons send to the same places: own requests in flight are that part of all.
    void setSharers(int daemons) { m_sharers = std::max(1, daemons); }

    // What the other daemons have under way, all told; takes the place of what was told before.
    void setOthersLoad(const PlaceLoads &loads, MonotonicTime now);
    // What this daemon has under way; places where nothing is are left out.
    PlaceLoads ownLoad() const;

    // The place with the least expected time, or, of a model's places while the others' load is
    // known, the better of two that were drawn by their room; null if there is none that is not
    // excluded.
    const Target *choose(const TargetQuery &query, MonotonicTime now);

    // All places that could serve the query.
    std::vector<HostId> candidates(const TargetQuery &query, MonotonicTime now) const;

    // How long until the first event or the answer at `host`, by the formula and what was seen, for
    // a request that goes before the late ones.
    Duration expectedTime(const HostId &host, Tokens prompt, MonotonicTime now) const;

    // A request was sent; its prompt counts until began() or ended().
    void sent(const HostId &host, Tokens prompt, Urgency urgency = Urgency::InTime);
    // The first event or the answer's head came after `took`; `expected` as it was before sending.
    // Nothing is learned from late requests, which wait for all others.
    void began(const HostId &host, Tokens prompt, Duration took, Duration expected,
               MonotonicTime now, Urgency urgency = Urgency::InTime);
    // The request is over, whether or not it began.
    void ended(const HostId &host, Tokens prompt, bool hadBegun, Urgency urgency = Urgency::InTime);

    // Something arrived from the place.
    void progressed(const HostId &host, MonotonicTime now);
    // How long without anything from the place means that it stands still.
    Duration standstillOf(const HostId &host) const;
    // When something last arrived; long ago if never.
    MonotonicTime lastProgress(const HostId &host) const;

    void succeeded(const HostId &host, MonotonicTime now);
    // It answered, but not usefully.
    void failed(const HostId &host, MonotonicTime now);
    // It was not reachable, refused, or stands still: gets nothing for a while.
    void avoid(const HostId &host, MonotonicTime now);

    bool knows(const HostId &host) const { return m_targets.count(host) > 0; }
    // Whether anything that was seen of the place is kept.
    bool remembers(const HostId &host) const { return m_records.count(host) > 0; }
    std::size_t size() const { return m_targets.size(); }
    int inFlight(const HostId &host) const;
    // Own requests there that have begun and not ended.
    int streamsUnderWay(const HostId &host) const;

    // Endpoints that have left since the last call.
    std::vector<Endpoint> takeDropped();

private:
    struct Record
    {
        int inFlight = 0; // Invariant: sent() minus ended().
        int begun = 0; // Of those, the ones that have begun.
        int lateWaiting = 0; // Late ones that have not begun.
        std::int64_t pendingPrompt = 0; // Tokens of requests in time that have not begun.
        double slowness = 1; // Actual over expected time, smoothed.
        double success = 1; // Share of requests that went well, smoothed.
        MonotonicTime judgedAt; // When the two above were last changed.
        MonotonicTime progressAt;
        double pause = 0; // Milliseconds between two passes, smoothed; 0 before any was seen.
        MonotonicTime avoidUntil;
        Duration avoidance {};
    };

    void addPlain(const UpstreamServer &server);
    void addReplicas(const FleetView &fleet, const ReplicaPlan &plan,
                     const ServiceCatalog &catalog);
    static void forgetLearned(Record &record);
    // Where to note what was seen of a place; null if it has left and nothing is under way there.
    Record *recordToNote(const HostId &host);
    void noteDropped(const FleetView &fleet);
    const Target *chooseByRoom(const TargetQuery &query, MonotonicTime now);
    static bool isCandidate(const Target &target, const TargetQuery &query, MonotonicTime now);
    // Requests in time that run or wait there, of all daemons.
    double runningAt(const Target &target, const Record &record, MonotonicTime now) const;
    bool knowsOthers(MonotonicTime now) const;
    double formulaMilliseconds(const Target &target, const Record &record, Tokens prompt,
                               MonotonicTime now) const;
    double score(const Target &target, Tokens prompt, MonotonicTime now) const;
    double faded(double value, const Record &record, MonotonicTime now) const;
    Duration standstillOf(const Record &record) const;
    bool standsStill(const Record &record, MonotonicTime now) const;
    static void wait(Record &record, Tokens prompt, Urgency urgency, int change);
    void judge(Record &record, double slowness, double success, MonotonicTime now);

    TargetTableOptions m_options;
    Random m_random;
    int m_sharers = 1;
    std::map<HostId, PlaceLoad> m_others; // As last told.
    std::optional<MonotonicTime> m_othersAt; // When; nothing if never.
    std::map<HostId, Target> m_targets;
    std::map<HostId, Record> m_records; // Also of places with requests in flight that have left.
    std::map<ServiceId, EngineProfile> m_engines;
    std::map<ServiceId, double> m_plainMean; // Milliseconds, smoothed.
    // What first events take beyond the formula, which leaves out the engine's own overhead.
    std::map<ModelId, double> m_overhead; // Milliseconds, smoothed.
    // Servers in the view that were places since they came, also if they are none at present.
    std::map<HostId, Endpoint> m_used;
    std::vector<Endpoint> m_dropped; // Of servers of m_used that have left the view.
};

} // namespace ramphinge
