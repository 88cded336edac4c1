// Where the gateway asks for the right to run a request that must not run twice.

#pragma once

#include "ramphinge/claims/claim_table.h"
#include "ramphinge/net/io.h"

namespace ramphinge {

class ClaimService
{
public:
    virtual ~ClaimService() = default;

    // Asks the key's owner, wherever it is. Errors: Unavailable if it can't be reached; the request
    // may then have been granted to an earlier try, but this one was certainly not granted anything
    // that will be used.
    virtual Result<ClaimAnswer> claim(const ClaimAttempt &attempt, Yield yield) = 0;

    // Tells the owner what came of a grant. Best effort: without it the key stays "in progress".
    virtual void settle(const ClaimAttempt &attempt, ClaimOutcome outcome,
                        std::optional<KeptAnswer> answer) = 0;

    // A new stamped key for a caller.
    virtual IdempotencyKey makeKey() = 0;
};

} // namespace ramphinge
