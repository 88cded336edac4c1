// What a slot's owner remembers of idempotency keys: who may run a request, and what came of it.
//
// A request that may not be repeated is sent to an upstream only with a grant for its key, and a
// key is granted at most once unless the holder says for certain that nothing was sent. The owner
// grants only keys that no earlier owner can have granted (see KeyStamp and `vouchesSince`).
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

// Account and key together; keys of two accounts never meet.
struct ClaimKey
{
    AccountId account;
    IdempotencyKey key;

    friend bool operator==(const ClaimKey &a, const ClaimKey &b)
    {
        return a.account == b.account && a.key == b.key;
    }
};

// One try of a request under a key.
struct ClaimAttempt
{
    ClaimKey key;
    std::uint64_t fingerprint = 0; // Of the request: the same key must mean the same.
    RequestId claimant; // Unique to the try; only the granted one may give the key back.
};

enum class ClaimVerdict {
    Granted, // Send it, once, before `sendBy`.
    InProgress, // Granted before and not settled: it may be running.
    Ran, // It ran; the answer is given back if it was kept.
    Indeterminate, // It may have run; its answer was lost. It will not be run again.
    CantVouch, // An earlier owner may have granted it.
    KeyReused, // The same key with another request.
    NotOwner, // This process does not own the slot (any more).
};

const char *toString(ClaimVerdict verdict);

enum class ClaimOutcome {
    NotSent, // Certainly not run; the key is free again.
    Ran, // Ran to its end.
    MayHaveRun,
};

// An answer as it can be given again.
struct KeptAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;
};

struct ClaimAnswer
{
    ClaimVerdict verdict = ClaimVerdict::NotOwner;
    Duration sendWithin {}; // Granted: counted by the claimant from before it asked.
    std::optional<KeptAnswer> kept; // Ran.
};

struct ClaimTableOptions
{
    Duration sendWindow = std::chrono::seconds(2); // From the grant to the first byte sent.
    Duration retention = std::chrono::hours(1); // Keys born earlier are refused.
    Duration opaqueHorizon = std::chrono::minutes(10); // Within which callers repeat opaque keys.
    Duration clockSkew = std::chrono::milliseconds(500); // Between any two hosts' wall clocks.
    std::size_t maxEntries = 200'000;
    std::size_t maxKeptBytes = 8 * 1024 * 1024; // Of answers, over the whole table.
    std::size_t maxKeptAnswer = 32 * 1024;
};

// One remembered key, as handed to a successor.
struct ClaimRecord
{
    ClaimAttempt attempt;
    ClaimVerdict state = ClaimVerdict::InProgress; // InProgress, Ran or Indeterminate.
    WallTime at;
};

// Not thread-safe: lives on the control loop.
class ClaimTable
{
public:
    // `vouchesSince`: no other process granted keys of this slot after that time. The epoch time
    // itself means that the slot never had another owner.
    ClaimTable(ClaimTableOptions options, WallTime vouchesSince);

    // `mayActFor`: how long the owner's right to the slot lasts yet; zero if it has ended.
    ClaimAnswer claim(const ClaimAttempt &attempt, Duration mayActFor, const Clock &clock);

    // Settles a granted key. A settlement of an unknown key is kept as what it says, so that one
    // that outlives a change of owner still counts; one of another try than the granted is ignored.
    void settle(const ClaimAttempt &attempt, ClaimOutcome outcome, std::optional<KeptAnswer> answer,
                const Clock &clock);

    // Remembers a grant that the owner is about to give: this table is its copy.
    void remember(const ClaimAttempt &attempt, const Clock &clock);

    // Everything a successor must know.
    std::vector<ClaimRecord> records() const;
    WallTime vouchesSince() const { return m_vouchesSince; }

    // Takes over a predecessor's records, which were frozen before they were sent.
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

    bool vouches(const ClaimKey &key, const Clock &clock) const;
    void forgetOld(const Clock &clock);
    void forgetOldest();
    void keep(Entry &entry, std::optional<KeptAnswer> answer);

    ClaimTableOptions m_options;
    WallTime m_vouchesSince; // Never falls.
    Entries m_entries;
    std::unordered_map<ClaimKey, Entries::iterator, KeyHash> m_index;
    std::size_t m_keptBytes = 0;
};

} // namespace ramphinge
