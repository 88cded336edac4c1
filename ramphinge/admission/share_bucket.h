// One daemon's share of the requests that a model can run, as a token bucket.
//
// A token comes back when a request of this daemon ends, so what all daemons have in flight stays
// as it is, however old the reported load is. Besides, each daemon adds its part of the slots that
// are free over all daemons, or takes off its part of what exceeds them. The parts of all daemons
// add up to one, so the sum approaches the slots in whatever order reports arrive, and if some are
// lost. Where many daemons share few slots, a part is a fraction of a request; the bucket
// accumulates it.
//
// Performs no I/O; the caller passes the time.

#pragma once

#include "ramphinge/base/request_rate.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// What is known of a model's capacity and load.
struct ModelRoom
{
    double slots = 0; // Requests that its usable targets run at once.
    double inFlight = 0; // Requests of all daemons there; of this daemon if !othersKnown.
    bool othersKnown = false; // Whether the other daemons' load was reported recently.
    MonotonicTime reportedAt; // When it was last reported.
    double demandShare = 1; // This daemon's part of the requests for the model, from 0 to 1.
    int daemons = 1; // That send to the same targets.
    RequestRate startRate; // Requests that it starts with full batches.
};

struct ShareBucketOptions
{
    // Share of the slots that admission fills. A step costs a fixed part and a part per request, so
    // below a full batch nearly as many requests start, and a new one finds a free slot although
    // the known load is outdated.
    double targetFill = 0.9;
    // Within this time, free slots are given out; below the reported load's age.
    Duration horizon = std::chrono::milliseconds(200);
    // Age of the reported load: what was given out within this time may not show in it.
    Duration reportAge = std::chrono::milliseconds(400);
    // Least depth, in requests, while slots are free: arrivals at one daemon come in clumps.
    double calmDepth = 2;
    // Least depth while none are free. Arrivals that find the bucket empty miss their objective, so
    // a depth of one would leave tokens unused between them.
    double fullDepth = 1.5;
    // Without reports, the share approaches an equal part of all daemons with this half-life, and
    // the requests in flight approach the share within this time.
    Duration shareHalfLife = std::chrono::milliseconds(1500);
    // The last reported load is kept for this long after the reports have ended: by then, most of
    // what was in flight has ended.
    Duration reportLifetime = std::chrono::seconds(3);
};

// Not thread-safe.
class ShareBucket
{
public:
    explicit ShareBucket(ShareBucketOptions options = {}) : m_options(options) { }

    // Sets the room from `now` on. Values that are not finite, or negative, are ignored.
    void setRoom(const ModelRoom &room, MonotonicTime now);

    // Adds the tokens that have accumulated until `now`.
    void advance(MonotonicTime now);

    // Takes one token; false if there is none.
    bool take();

    // Takes a token that is not there yet, as many as the bucket holds; false if more were
    // borrowed, or the model has no ample room.
    bool borrow();

    // A request that took a token has ended, or was not sent.
    void giveBack();

    double tokens() const { return m_tokens; }
    // Whether further tokens would be lost.
    bool isFull() const { return m_tokens >= depth(); }
    // Requests that this daemon may start at its share, as long as the room stays as it is.
    RequestRate rate() const;
    // Most tokens that it holds.
    double depth() const;
    // This daemon's part of the model's room, from 0 to 1.
    double share() const { return m_share; }
    const ModelRoom &room() const { return m_room; }
    // Slots below the target fill that are not given out yet, over all daemons; negative if the
    // fill is exceeded.
    double freeSlots() const;
    // Whether the reported load is far below the target fill: what waits, waits for its turn only.
    bool hasAmpleRoom() const;

private:
    double reportedFreeSlots() const;

    ShareBucketOptions m_options;
    ModelRoom m_room;
    bool m_hasRoom = false;
    bool m_keepsReport = false; // The reports have ended; m_room has the last load.
    double m_share = 1;
    double m_tokens = 0; // Invariant: within depth() of 0. Negative: so many ends give none.
    // Free slots that the other daemons have given out, but that the reported load doesn't show.
    double m_unreported = 0;
    MonotonicTime m_advancedAt;
    MonotonicTime m_roomSetAt;
    MonotonicTime m_keptSince; // If m_keepsReport.
};

} // namespace ramphinge
