// Shares of a model's room: see share_bucket.h.

#include "ramphinge/admission/share_bucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ramphinge {

namespace {

// A share of zero would never admit the first request after an idle time.
constexpr double minShare = 1e-4;

// Of the slots; with three quarters of the requests that can be started, more is free.
constexpr double ampleFreeShare = 0.25;

bool isUsable(double value)
{
    return std::isfinite(value) && value >= 0;
}

double seconds(Duration duration)
{
    return toMilliseconds(duration) / 1000;
}

} // namespace

void ShareBucket::setRoom(const ModelRoom &room, MonotonicTime now)
{
    if (!isUsable(room.slots) || !isUsable(room.inFlight) || !isUsable(room.demandShare)
        || !isUsable(room.startRate.perSecond()))
        return;
    const double elapsed = m_hasRoom ? seconds(std::max(Duration::zero(), now - m_roomSetAt)) : 0;
    m_roomSetAt = now;
    // Reports have arrived while nothing asked for the room.
    if (elapsed > seconds(m_options.reportAge))
        m_room.reportedAt = std::max(m_room.reportedAt, room.reportedAt);
    advance(now);
    const double equalShare = 1.0 / std::max(1, room.daemons);
    if (room.othersKnown)
        m_share = std::clamp(room.demandShare, minShare, 1.0);
    else if (!m_hasRoom)
        m_share = equalShare;
    else
        m_share = equalShare
            + (m_share - equalShare) * std::exp2(-elapsed / seconds(m_options.shareHalfLife));
    const bool wasKnown = m_hasRoom && m_room.othersKnown;
    const ModelRoom before = std::exchange(m_room, room);
    const bool keptBefore = m_keepsReport;
    m_keepsReport = !room.othersKnown && wasKnown
        && (!keptBefore || now - m_keptSince < m_options.reportLifetime);
    if (m_keepsReport) {
        // An own request is too little to tell the load of all daemons by.
        m_room.inFlight = before.inFlight;
        m_room.othersKnown = true;
        m_keptSince = keptBefore ? m_keptSince : now;
    } else if (keptBefore) {
        m_unreported = 0; // What it supplements is gone.
    }
    if (!m_hasRoom)
        m_tokens = depth();
    m_hasRoom = true;
    m_tokens = std::min(m_tokens, depth());
}

void ShareBucket::advance(MonotonicTime now)
{
    const double elapsed = seconds(std::max(Duration::zero(), now - m_advancedAt));
    m_advancedAt = std::max(m_advancedAt, now);
    if (!m_hasRoom)
        return;
    const Duration horizon = m_room.othersKnown ? m_options.horizon : m_options.shareHalfLife;
    const double before = m_tokens;
    // The room is set with each request: after an idle time it was that of long ago.
    const double usedTime = std::min(elapsed, seconds(m_options.reportAge));
    const double ownPart = m_share * freeSlots() / seconds(horizon) * usedTime;
    m_tokens = std::clamp(m_tokens + ownPart, -depth(), std::max(before, depth()));
    // Without further reports, nothing that was given out shows.
    if (now - m_room.reportedAt <= 2 * m_options.reportAge)
        m_unreported *= std::exp(-elapsed / seconds(m_options.reportAge));
    // The others are taken to fill their buckets as this one does.
    m_unreported += (m_tokens - before) * (1 - m_share) / m_share;
}

bool ShareBucket::take()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

bool ShareBucket::borrow()
{
    if (!hasAmpleRoom() || m_tokens - 1 < -depth())
        return false;
    m_tokens -= 1;
    return true;
}

void ShareBucket::giveBack()
{
    m_tokens = std::min(depth(), m_tokens + 1);
}

double ShareBucket::reportedFreeSlots() const
{
    const double inFlight = m_room.othersKnown ? m_room.inFlight : m_room.inFlight / m_share;
    return m_options.targetFill * m_room.slots - inFlight;
}

double ShareBucket::freeSlots() const
{
    return reportedFreeSlots() - m_unreported;
}

bool ShareBucket::hasAmpleRoom() const
{
    return reportedFreeSlots() > ampleFreeShare * m_room.slots;
}

RequestRate ShareBucket::rate() const
{
    const double total = m_room.startRate.perSecond() + freeSlots() / seconds(m_options.horizon);
    return RequestRate(m_share * std::max(0.0, total));
}

double ShareBucket::depth() const
{
    const double free = std::max(0.0, freeSlots());
    return std::max(free > 0 ? m_options.calmDepth : m_options.fullDepth, m_share * free);
}

} // namespace ramphinge
