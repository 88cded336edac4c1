// Lets a request that is held back be sent once more, to find out whether it is harmful at all.

#pragma once

#include "ramphinge/net/io.h"
#include "ramphinge/quarantine/fingerprint.h"

namespace ramphinge {

class TrialGranter
{
public:
    virtual ~TrialGranter() = default;

    // True if the caller, and nobody else at any daemon, may send the request to one server now.
    virtual bool grantTrial(const RequestFingerprint &fingerprint, Yield yield) = 0;
};

} // namespace ramphinge
