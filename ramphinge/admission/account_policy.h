// Which client accounts have to yield while a model can't start all requests.

#pragma once

#include "ramphinge/base/ids.h"
#include "ramphinge/base/time.h"

namespace ramphinge {

class AccountPolicy
{
public:
    virtual ~AccountPolicy() = default;

    // Whether the account asks for more than its share of the model while room is short: its
    // requests go last.
    virtual bool isOverShare(const ModelId &model, const AccountId &account,
                             MonotonicTime now) const = 0;
};

} // namespace ramphinge
