// Max-min fair shares between client accounts: see account_shares.h.

#include "ramphinge/admission/account_shares.h"

#include <algorithm>
#include <cmath>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

// What an account asks for, and its weight in the division of a rate.
struct Claim
{
    double demand; // Requests per second.
    double weight; // Invariant: positive.
};

// The level at which the sum of min(demand, level * weight) equals `rate`. Requires that the
// demands sum up to more than `rate`.
double fairLevel(std::vector<Claim> claims, double rate)
{
    std::sort(claims.begin(), claims.end(), [](const Claim &a, const Claim &b) {
        return a.demand / a.weight < b.demand / b.weight;
    });
    double weightLeft = 0;
    for (const Claim &claim : claims)
        weightLeft += claim.weight;
    double level = 0;
    for (const Claim &claim : claims) {
        level = rate / weightLeft;
        if (claim.demand / claim.weight > level)
            return level;
        rate -= claim.demand;
        weightLeft -= claim.weight;
    }
    return level; // Only if rounding lets the demands fit.
}

double decayFactor(Duration age, Duration halfLife)
{
    return std::exp2(-toMilliseconds(age) / toMilliseconds(halfLife));
}

// Share by which a rate with this half-life decays in a short time, per second. One request adds as
// much to the rate, so that a steady rate equals its average.
double decayPerSecond(Duration halfLife)
{
    return std::log(2.0) * 1000 / toMilliseconds(halfLife);
}

} // namespace

AccountShares::Metered AccountShares::advanced(Metered metered, MonotonicTime now) const
{
    const Duration age = std::max(now - metered.at, Duration::zero());
    const double elapsed = toMilliseconds(age) / 1000 * decayPerSecond(m_options.usualHalfLife);
    const double usualFactor = decayFactor(age, m_options.usualHalfLife);
    return { metered.recent * decayFactor(age, m_options.recentHalfLife),
             metered.smoothedOnce * usualFactor,
             (metered.usual + elapsed * metered.smoothedOnce) * usualFactor, metered.at + age };
}

void AccountShares::noteArrival(const ModelId &model, const AccountId &account, MonotonicTime now)
{
    Metered &metered = m_own.emplace(Key(model, account), Metered { 0, 0, 0, now }).first->second;
    metered = advanced(metered, now);
    metered.recent += decayPerSecond(m_options.recentHalfLife);
    metered.smoothedOnce += decayPerSecond(m_options.usualHalfLife);
}

AccountLoads AccountShares::own(MonotonicTime now) const
{
    AccountLoads loads;
    for (const auto &[key, metered] : m_own)
        loads[key] = advanced(metered, now).load();
    return loads;
}

void AccountShares::setOthers(AccountLoads loads, MonotonicTime now)
{
    m_others = std::move(loads);
    m_othersAt = now;
}

std::optional<Duration> AccountShares::othersAge(MonotonicTime now) const
{
    return m_othersAt ? std::optional<Duration>(now - *m_othersAt) : std::nullopt;
}

std::map<AccountId, AccountLoad> AccountShares::total(const ModelId &model, MonotonicTime now) const
{
    std::map<AccountId, AccountLoad> sum;
    const auto first = std::make_pair(model, AccountId());
    for (auto entry = m_own.lower_bound(first); entry != m_own.end(); ++entry) {
        if (entry->first.first != model)
            break;
        sum[entry->first.second] = advanced(entry->second, now).load();
    }
    const std::optional<Duration> age = othersAge(now);
    if (!age || *age > m_options.othersMaxAge)
        return sum;
    for (auto entry = m_others.lower_bound(first); entry != m_others.end(); ++entry) {
        if (entry->first.first != model)
            break;
        AccountLoad &load = sum[entry->first.second];
        load = load + entry->second;
    }
    return sum;
}

std::vector<AccountShare> AccountShares::shares(const ModelId &model, MonotonicTime now) const
{
    std::vector<AccountShare> shares;
    double demand = 0;
    double usual = 0;
    for (const auto &[account, load] : total(model, now)) {
        demand += load.recent.perSecond();
        usual += load.usual.perSecond();
        shares.push_back({ account, load, load.recent, false });
    }
    const auto startRate = m_startRates.find(model);
    if (startRate == m_startRates.end() || demand <= startRate->second.perSecond())
        return shares;
    std::vector<Claim> claims;
    const double equalPart = 1 / static_cast<double>(shares.size());
    for (const AccountShare &share : shares) {
        const double usualPart = usual > 0 ? share.load.usual.perSecond() / usual : 0;
        claims.push_back({ share.load.recent.perSecond(), std::max(equalPart, usualPart) });
    }
    const double level = fairLevel(claims, startRate->second.perSecond());
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const double most = level * claims[i].weight;
        shares[i].isOver = claims[i].demand > most;
        shares[i].share = RequestRate(std::min(claims[i].demand, most));
    }
    return shares;
}

bool AccountShares::isOverShare(const ModelId &model, const AccountId &account,
                                MonotonicTime now) const
{
    const std::vector<AccountShare> all = shares(model, now);
    return std::any_of(all.begin(), all.end(), [&](const AccountShare &share) {
        return share.isOver && share.account == account;
    });
}

std::vector<AccountShareChange> AccountShares::takeChanges(MonotonicTime now)
{
    std::vector<AccountShareChange> changes;
    std::set<Key> over;
    for (const auto &[model, startRate] : m_startRates) {
        for (const AccountShare &share : shares(model, now)) {
            const Key key(model, share.account);
            const bool wasOver = m_over.erase(key) > 0;
            if (share.isOver)
                over.insert(key);
            if (share.isOver != wasOver)
                changes.push_back({ model, share, startRate, othersAge(now) });
        }
    }
    for (const auto &[model, account] : m_over) // Accounts that are not known any more.
        changes.push_back({ model, { account, {}, {}, false }, RequestRate(), othersAge(now) });
    m_over = std::move(over);
    return changes;
}

std::map<ModelId, int> AccountShares::overByModel() const
{
    std::map<ModelId, int> counts;
    for (const auto &[model, rate] : m_startRates)
        counts[model] = 0;
    for (const auto &[model, account] : m_over)
        ++counts[model];
    return counts;
}

void AccountShares::forgetOld(MonotonicTime now)
{
    eraseIf(m_own, [&](const auto &entry) {
        const Metered metered = advanced(entry.second, now);
        return std::max(metered.smoothedOnce, metered.usual) < m_options.minUsual.perSecond();
    });
}

} // namespace ramphinge
