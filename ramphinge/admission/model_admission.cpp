// Admission of requests for one model: see model_admission.h.

#include "ramphinge/admission/model_admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace ramphinge {

namespace {

Duration timeFor(double requests, RequestRate rate)
{
    constexpr double maxSeconds = 60;
    const double seconds = rate.perSecond() > 0 ? requests / rate.perSecond() : maxSeconds;
    return scaled(std::chrono::seconds(1), std::min(maxSeconds, seconds));
}

} // namespace

ModelAdmission::ModelAdmission(const ModelId &model, const AccountPolicy *accounts,
                               ModelAdmissionOptions options)
    : m_model(model), m_accounts(accounts), m_options(options), m_bucket(options.bucket),
      m_retryAfter(options.retryAfter)
{ }

void ModelAdmission::setRoom(const ModelRoom &room, MonotonicTime now)
{
    m_roomSetAt = now;
    m_bucket.setRoom(room, now);
}

bool ModelAdmission::isLate(const AdmissionRequest &request, MonotonicTime now)
{
    return now > request.startBy;
}

AdmissionDecision ModelAdmission::offer(const AdmissionRequest &request, MonotonicTime now)
{
    decayCounts(now);
    if (!isLate(request, now))
        m_arrivals += 1;
    const bool isOverShare =
        m_accounts != nullptr && m_accounts->isOverShare(m_model, request.account, now);
    m_waiting[request.ticket] = { request, isOverShare };
    return poll(request.ticket, now);
}

AdmissionDecision ModelAdmission::poll(AdmissionTicket ticket, MonotonicTime now)
{
    giveTokens(now);
    const auto given = m_given.find(ticket);
    if (given != m_given.end()) {
        const bool wasLate = given->second;
        m_given.erase(given);
        return { wasLate ? AdmissionOutcome::AdmittedLate : AdmissionOutcome::Admitted, {} };
    }
    const auto found = m_waiting.find(ticket);
    if (found == m_waiting.end())
        return { AdmissionOutcome::Refused, m_options.retryAfter.minDelay };
    const AdmissionDecision decision = decideWaiting(found->second.request, now);
    if (decision.outcome == AdmissionOutcome::Refused)
        m_waiting.erase(found);
    return decision;
}

void ModelAdmission::remove(AdmissionTicket ticket)
{
    m_waiting.erase(ticket);
    if (m_given.erase(ticket) > 0)
        m_bucket.giveBack();
}

// A late request gets a token only if the bucket is full, since the next arrival could use it and
// be in time; besides, one token of lateInterval.
void ModelAdmission::giveTokens(MonotonicTime now)
{
    m_bucket.advance(now);
    while (!m_waiting.empty() && m_bucket.tokens() >= 1) {
        const std::int64_t turn = m_tokensGiven + 1;
        const bool isLateTurn = turn % m_options.lateInterval == 0;
        const bool isUnranked = turn % m_options.unrankedInterval == 0;
        const Entry *chosen = isLateTurn ? next(true, false, now) : nullptr;
        if (chosen == nullptr)
            chosen = next(false, isUnranked, now);
        if (chosen == nullptr && m_bucket.isFull())
            chosen = next(true, false, now);
        if (chosen == nullptr)
            break;
        m_bucket.take();
        giveToken(chosen->request, now);
    }
    if (!m_bucket.hasAmpleRoom())
        return;
    while (const Entry *chosen = next(true, true, now + m_options.borrowBefore)) {
        if (!m_bucket.borrow())
            return;
        giveToken(chosen->request, now);
    }
}

void ModelAdmission::giveToken(const AdmissionRequest &request, MonotonicTime now)
{
    ++m_tokensGiven;
    m_starts += 1;
    const AdmissionTicket ticket = request.ticket;
    m_given[ticket] = isLate(request, now);
    m_waiting.erase(ticket);
}

// The request to start next among those that are late, or among those that are not.
const ModelAdmission::Entry *ModelAdmission::next(bool lateOnly, bool unranked,
                                                  MonotonicTime now) const
{
    const auto rank = [&](const Entry &entry) {
        const AdmissionRequest &request = entry.request;
        if (unranked)
            return std::make_tuple(false, 0, false, request.arrival);
        return std::make_tuple(lateOnly && !request.isReturning, request.priority,
                               entry.isOverShare, lateOnly ? request.arrival : request.startBy);
    };
    const Entry *best = nullptr;
    for (const auto &[ticket, entry] : m_waiting) {
        if (isLate(entry.request, now) != lateOnly || entry.request.leavesAt <= now)
            continue;
        if (best == nullptr || rank(entry) < rank(*best))
            best = &entry;
    }
    return best;
}

AdmissionDecision ModelAdmission::decideWaiting(const AdmissionRequest &request, MonotonicTime now)
{
    if (!isLate(request, now) && now < request.leavesAt)
        return { AdmissionOutcome::Waiting, {} };
    // Returning requests go before all other late ones, and are not refused again if the daemon's
    // whole share can start them.
    const RequestRate rate = request.isReturning ? m_bucket.rate() : lateRate();
    const Duration wait = timeFor(lateAhead(request, now) + 1, rate);
    if (now + wait <= request.leavesAt || (now < request.leavesAt && m_bucket.hasAmpleRoom()))
        return { AdmissionOutcome::Waiting, {} };
    const Duration left = std::max(Duration::zero(), request.deadline - now);
    const Duration spread = m_retryAfter.next(lateRate(), now);
    return { AdmissionOutcome::Refused,
             std::min(spread, scaled(left, m_options.maxRetryAfterShare)) };
}

int ModelAdmission::lateAhead(const AdmissionRequest &request, MonotonicTime now) const
{
    int ahead = 0;
    for (const auto &[ticket, entry] : m_waiting) {
        const AdmissionRequest &other = entry.request;
        if (ticket == request.ticket || !isLate(other, now))
            continue;
        const bool isBefore = other.isReturning != request.isReturning
            ? other.isReturning
            : std::make_tuple(other.priority, other.arrival)
                < std::make_tuple(request.priority, request.arrival);
        ahead += isBefore ? 1 : 0;
    }
    return ahead;
}

void ModelAdmission::decayCounts(MonotonicTime now)
{
    const double halfLives =
        toMilliseconds(now - m_decayedAt) / toMilliseconds(m_options.rateHalfLife);
    const double kept = std::exp2(-std::max(0.0, halfLives));
    m_arrivals *= kept;
    m_starts *= kept;
    m_decayedAt = now;
}

// At a steady rate, the decayed count is the rate times this mean lifetime.
RequestRate ModelAdmission::rateOf(double decayedCount) const
{
    const double meanLifetimeSeconds =
        toMilliseconds(m_options.rateHalfLife) / 1000 / std::log(2.0);
    return RequestRate(decayedCount / meanLifetimeSeconds);
}

// What late requests get: their part, and what arrivals leave.
RequestRate ModelAdmission::lateRate() const
{
    // The start rate is an estimate, which the measured starts may exceed.
    const double rate = std::max(m_bucket.rate().perSecond(), rateOf(m_starts).perSecond());
    const double unused = rate - rateOf(m_arrivals).perSecond();
    return RequestRate(std::max(rate / m_options.lateInterval, unused));
}

Duration ModelAdmission::expectedLateWait() const
{
    return timeFor(waiting() + 1, lateRate());
}

} // namespace ramphinge
