// Admission of requests for one model, where a request misses its objective if it waits in an
// upstream's queue.
//
// A daemon sends a request only when it holds a token of its share (see share_bucket.h). The others
// wait here: first those that can still meet their objective, by class, account and time left, then
// late ones. A late request that could not start before its caller leaves is refused at once, with
// a Retry-After that spreads the returns.
//
//   admission.setRoom(room, now);
//   const AdmissionDecision decision = admission.offer(request, now);
//   while (decision is Wait) decision = admission.poll(request.ticket, now);
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <map>

#include "ramphinge/admission/account_policy.h"
#include "ramphinge/admission/share_bucket.h"
#include "ramphinge/limits/retry_after_schedule.h"

namespace ramphinge {

using AdmissionTicket = Quantity<struct AdmissionTicketTag>;

// A request that asks for admission.
struct AdmissionRequest
{
    AdmissionTicket ticket; // Unique among those that wait; ascending in order of arrival.
    AccountId account; // Empty for none.
    int priority = 5; // 0 is the most urgent.
    MonotonicTime arrival;
    MonotonicTime startBy; // A later start misses the objective.
    MonotonicTime leavesAt; // The caller leaves without a first event; at most `deadline`.
    MonotonicTime deadline;
    bool isReturning = false; // It was refused before, or waited elsewhere.
};

enum class AdmissionOutcome {
    Admitted,
    AdmittedLate, // It will probably miss its objective.
    Waiting,
    Refused, // It can't start before its caller leaves.
};

struct AdmissionDecision
{
    AdmissionOutcome outcome = AdmissionOutcome::Waiting;
    Duration retryAfter {}; // If refused.
};

struct ModelAdmissionOptions
{
    ShareBucketOptions bucket;
    RetryAfterScheduleOptions retryAfter;
    // One of so many tokens is for late requests while others wait, so that they don't starve.
    int lateInterval = 10;
    // One of so many tokens is given in order of arrival, whatever the class and account, so that
    // each gets at least a quarter of what the mean gets.
    int unrankedInterval = 3;
    // While the model has ample room, a request that would be late after this time takes a token in
    // advance: its daemon's share is small, not the model's room.
    Duration borrowBefore = std::chrono::milliseconds(15);
    // Half-life of the measured arrivals and starts.
    Duration rateHalfLife = std::chrono::seconds(1);
    // Most of the time until the deadline that Retry-After may ask for.
    double maxRetryAfterShare = 1.0 / 3;
};

// Not thread-safe: lives on the event loop.
class ModelAdmission
{
public:
    // `accounts` may be null: then no account is over its share. It must outlive this object.
    explicit ModelAdmission(const ModelId &model, const AccountPolicy *accounts = nullptr,
                            ModelAdmissionOptions options = {});

    void setRoom(const ModelRoom &room, MonotonicTime now);

    // Decides about a new request. If it waits, poll() has to be called until it does no more, or
    // remove().
    AdmissionDecision offer(const AdmissionRequest &request, MonotonicTime now);

    // Decides about a waiting request, which must have been offered and not decided.
    AdmissionDecision poll(AdmissionTicket ticket, MonotonicTime now);

    // Forgets a request whose caller has left. A token that it was given, but has not used,
    // returns.
    void remove(AdmissionTicket ticket);

    // An admitted request has ended. To be called once for each.
    void ended() { m_bucket.giveBack(); }

    // When the room was last set.
    MonotonicTime roomSetAt() const { return m_roomSetAt; }
    int waiting() const { return static_cast<int>(m_waiting.size()); }
    const ShareBucket &bucket() const { return m_bucket; }
    // Expected time until a late request starts that is last in the queue.
    Duration expectedLateWait() const;

private:
    struct Entry
    {
        AdmissionRequest request;
        bool isOverShare = false;
    };

    static bool isLate(const AdmissionRequest &request, MonotonicTime now);
    void giveTokens(MonotonicTime now);
    void giveToken(const AdmissionRequest &request, MonotonicTime now);
    const Entry *next(bool lateOnly, bool unranked, MonotonicTime now) const;
    AdmissionDecision decideWaiting(const AdmissionRequest &request, MonotonicTime now);
    int lateAhead(const AdmissionRequest &request, MonotonicTime now) const;
    RequestRate lateRate() const;
    void decayCounts(MonotonicTime now);
    RequestRate rateOf(double decayedCount) const;

    ModelId m_model;
    const AccountPolicy *m_accounts;
    ModelAdmissionOptions m_options;
    ShareBucket m_bucket;
    RetryAfterSchedule m_retryAfter;
    std::map<AdmissionTicket, Entry> m_waiting;
    // Given a token, not polled yet; the value tells whether it was late. Disjoint from m_waiting.
    std::map<AdmissionTicket, bool> m_given;
    std::int64_t m_tokensGiven = 0;
    MonotonicTime m_roomSetAt;
    // Decayed numbers, as of m_decayedAt.
    double m_arrivals = 0; // Requests that were not late.
    double m_starts = 0; // Tokens given.
    MonotonicTime m_decayedAt;
};

} // namespace ramphinge
