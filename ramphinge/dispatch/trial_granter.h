// Interface for granting a trial of what is quarantined: one request with it is sent to one server
// to find out whether it crashes servers at all.

#pragma once

#include "ramphinge/net/io.h"
#include "ramphinge/quarantine/fingerprint.h"

namespace ramphinge {

class TrialGranter
{
public:
    virtual ~TrialGranter() = default;

    // `fingerprint` is of a request, or of a part of its prompt. True if the calling coroutine may
    // send the request to one server now. No other caller at any daemon is granted the same trial.
    virtual bool grantTrial(const Fingerprint &fingerprint, Yield yield) = 0;
};

} // namespace ramphinge
