// Shares of a model's start rate between client accounts, while requests exceed it.
//
// Each daemon meters the requests that arrive at it, by model and account, and receives the sum of
// what the other daemons metered. From both it computes the same shares as the others: max-min
// fair, each account weighted by the greater of an equal part and its usual part of the requests.
// So large accounts keep their part when all accounts ask for more, and an account that suddenly
// asks for far more than usual is limited first. Nothing is kept that a restart would need.
//
//   shares.noteArrival(model, account, now);
//   shares.setStartRates({ { model, rate } });
//   if (shares.isOverShare(model, account, now)) ...
//
// Performs no I/O; the caller passes the time.

#pragma once

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "ramphinge/admission/account_policy.h"
#include "ramphinge/fleet/account_load.h"

namespace ramphinge {

struct AccountSharesOptions
{
    // Of the rate that counts as asked for now: callers need the order to change within a burst of
    // a few seconds.
    Duration recentHalfLife = std::chrono::seconds(1);
    // Of the rate that counts as usual. It is smoothed twice, so that a burst of a few seconds
    // changes it little: after 10 s at ten times the usual rate it has risen by a fifth.
    Duration usualHalfLife = std::chrono::seconds(30);
    // Accounts whose usual rate has fallen below this are dropped: one request in 1000 s.
    RequestRate minUsual = RequestRate(0.001);
    // Others' loads that are older are ignored: eight report intervals of 250 ms.
    Duration othersMaxAge = std::chrono::seconds(2);
};

// One account's share of a model's start rate, with what it was computed from.
struct AccountShare
{
    AccountId account;
    AccountLoad load; // Of all daemons.
    RequestRate share; // Not above the recent rate.
    bool isOver = false; // The recent rate exceeds the share.
};

// An account that has begun or ceased to exceed its share.
struct AccountShareChange
{
    ModelId model;
    AccountShare share;
    RequestRate startRate;
    std::optional<Duration> othersAge; // Of the other daemons' loads; empty if there are none.
};

// Not thread-safe: used on the event loop only.
class AccountShares : public AccountPolicy
{
public:
    explicit AccountShares(AccountSharesOptions options = {}) : m_options(options) { }

    // Counts one request that arrived at this daemon.
    void noteArrival(const ModelId &model, const AccountId &account, MonotonicTime now);

    // The loads that this daemon metered, decayed to `now`.
    AccountLoads own(MonotonicTime now) const;

    // Sets the sum of the other daemons' loads; replaces the previous sum. It counts unchanged
    // until `othersMaxAge`, since requests go on arriving between two reports.
    void setOthers(AccountLoads loads, MonotonicTime now);

    // Sets how many requests a second the replicas of each model can start; replaces the previous
    // rates. Accounts are never over their share of a model without a start rate.
    void setStartRates(std::map<ModelId, RequestRate> rates) { m_startRates = std::move(rates); }
    const std::map<ModelId, RequestRate> &startRates() const { return m_startRates; }

    bool isOverShare(const ModelId &model, const AccountId &account,
                     MonotonicTime now) const override;

    // The shares of all known accounts, by account.
    std::vector<AccountShare> shares(const ModelId &model, MonotonicTime now) const;

    // The accounts that have begun or ceased to exceed their share since the last call.
    std::vector<AccountShareChange> takeChanges(MonotonicTime now);

    // How many accounts of each model with a start rate exceed their share, as of the last call of
    // takeChanges().
    std::map<ModelId, int> overByModel() const;

    // Drops accounts that have sent nothing for long.
    void forgetOld(MonotonicTime now);

private:
    using Key = AccountLoads::key_type;

    // Rates per second, as of `at`.
    struct Metered
    {
        double recent = 0;
        double smoothedOnce = 0; // Input of `usual`.
        double usual = 0;
        MonotonicTime at;

        AccountLoad load() const { return { RequestRate(recent), RequestRate(usual) }; }
    };

    Metered advanced(Metered metered, MonotonicTime now) const;
    // The loads of all daemons for one model.
    std::map<AccountId, AccountLoad> total(const ModelId &model, MonotonicTime now) const;
    std::optional<Duration> othersAge(MonotonicTime now) const;

    AccountSharesOptions m_options;
    std::map<Key, Metered> m_own;
    AccountLoads m_others; // As of m_othersAt.
    std::optional<MonotonicTime> m_othersAt; // Empty if there were none yet.
    std::map<ModelId, RequestRate> m_startRates;
    std::set<Key> m_over; // As last returned by takeChanges().
};

} // namespace ramphinge
