// A slot owner's table of idempotency keys: which attempt may send its request, and the outcome.
//
// A request that may not be retried is sent to an upstream only with a grant for its key. A key is
// granted at most once, unless the claimant reports that nothing was sent. The owner grants only
// keys that no earlier owner can have granted (see KeyStamp and `soleOwnerSince`).
//
//   ClaimAnswer answer = table.claim(attempt, mayActFor, clock);
//   if (answer.verdict == ClaimVerdict::Granted) ...send within answer.sendWithin...
//   table.settle(attempt, ClaimOutcome::Ran, keptAnswer, clock);

#pragma once

#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

#include "ramphinge/base/ids.h"
#include "ramphinge/base/result.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

// An idempotency key within an account: the same key of two accounts is two keys.
struct ClaimKey
{
    AccountId account;
    IdempotencyKey key;

    friend bool operator==(const ClaimKey &a, const ClaimKey &b)
    {
        return a.account == b.account && a.key == b.key;
    }
};

// One attempt to run a request under a key.
struct ClaimAttempt
{
    ClaimKey key;
    std::uint64_t fingerprint = 0; // Hash of the request; must be the same for each use of a key.
    RequestId claimant; // Unique to the attempt; only the granted attempt may settle the key.
};

enum class ClaimVerdict {
    Granted, // The request may be sent once, within `sendWithin`.
    InProgress, // Granted before and not settled; may be running.
    Ran, // Ran to its end; the answer is returned if it was kept.
    Indeterminate, // May have run, and its answer was lost; won't be run again.
    CantVouch, // An earlier owner may have granted it.
    KeyReused, // The key was used for another request.
    NotOwner, // This process doesn't own the slot, or not any more.
};

const char *toString(ClaimVerdict verdict);

enum class ClaimOutcome {
    NotSent, // Did not run; the key can be granted again.
    Ran, // Ran to its end.
    MayHaveRun,
};

// A stored answer, to be returned to retries.
struct KeptAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::NotOwner;
    Duration sendWithin {}; // If Granted: counted from the moment before the claimant asked.
    std::optional<KeptAnswer> kept; // If Ran.
};

struct ClaimTableOptions
{
    Duration sendWindow = std::chrono::seconds(2); // From asking for a grant to the first byte.
    Duration retention = std::chrono::hours(1); // Stamped keys older than this are refused.
    // Callers retry opaque keys within this time.
    Duration opaqueKeyRetryWindow = std::chrono::minutes(10);
    Duration clockSkew = std::chrono::milliseconds(500); // Maximum, between any two hosts.
    std::size_t maxEntries = 200'000;
    std::size_t maxKeptBytes = 8 * 1024 * 1024; // Bodies of kept answers, whole table.
    std::size_t maxKeptAnswerBytes = 32 * 1024;
};

// The state of a key, as handed over to the slot's next owner.
struct ClaimRecord
{
    ClaimAttempt attempt;
    ClaimVerdict state = ClaimVerdict::InProgress; // InProgress, Ran or Indeterminate.
    WallTime at; // When the key was recorded.
};

// Not thread-safe: used on the control loop.
class ClaimTable
{
public:
    // `soleOwnerSince`: no other process granted keys of this slot after that time. The default
    // value means that the slot never had another owner.
    ClaimTable(ClaimTableOptions options, WallTime soleOwnerSince);

    // `mayActFor`: remaining time for which the caller owns the slot; zero if it doesn't.
    ClaimAnswer claim(const ClaimAttempt &attempt, Duration mayActFor, const Clock &clock);

    // Records the outcome of a granted attempt. An outcome for an unknown key is stored (unless
    // NotSent), so that it isn't lost when the owner changes. An outcome of another attempt than
    // the granted one is ignored.
    void settle(const ClaimAttempt &attempt, ClaimOutcome outcome, std::optional<KeptAnswer> answer,
                const Clock &clock);

    // For a copy of the owner's table: records a grant that the owner is about to give.
    void recordGrant(const ClaimAttempt &attempt, const Clock &clock);

    // All keys, for the next owner.
    std::vector<ClaimRecord> records() const;
    WallTime soleOwnerSince() const { return m_soleOwnerSince; }

    // Adds the records of the previous owner, which stopped granting before it sent them.
    void adopt(const std::vector<ClaimRecord> &records);

    std::size_t size() const { return m_entries.size(); }

private:
    struct KeyHash
    {
        std::size_t operator()(const ClaimKey &key) const;
    };
    struct Entry
    {
        ClaimRecord record;
        std::optional<KeptAnswer> answer;
    };
    using Entries = std::list<Entry>; // Oldest first.

    // Whether no owner, including this one, can have granted a key that isn't in the table.
    bool isKnownUngranted(const ClaimKey &key, const Clock &clock) const;
    void removeExpired(const Clock &clock);
    void removeOldest();
    void keep(Entry &entry, std::optional<KeptAnswer> answer);

    ClaimTableOptions m_options;
    WallTime m_soleOwnerSince; // Never decreases.
    Entries m_entries;
    std::unordered_map<ClaimKey, Entries::iterator, KeyHash> m_index;
    std::size_t m_answerBytes = 0;
};

} // namespace ramphinge
