// Interface by which the gateway claims the idempotency key of a request that must not run twice.

#pragma once

#include "ramphinge/claims/claim_table.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

class ClaimService
{
public:
    virtual ~ClaimService() = default;

    // Asks the key's owner, on whichever daemon it is. Errors: Unavailable if the owner can't be
    // reached; an earlier try may then have been granted the key, and a grant to this one must not
    // be used.
    virtual Result<ClaimAnswer> claim(const ClaimAttempt &attempt, Yield yield) = 0;

    // Reports the outcome of a granted claim to the owner. Best effort: if the report is lost, the
    // key stays InProgress.
    virtual void settle(const ClaimAttempt &attempt, ClaimOutcome outcome,
                        std::optional<KeptAnswer> answer) = 0;

    // A new key with a stamp (see key_stamp.h), for a caller to use.
    virtual IdempotencyKey makeKey() = 0;
};

} // namespace ramphinge
