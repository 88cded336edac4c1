// Sums the loads of daemons: see load_aggregator.h.

#include "ramphinge/relay/load_aggregator.h"

#include <algorithm>

#include "ramphinge/base/erase_if.h"

namespace ramphinge {

namespace {

RequestRate difference(RequestRate total, RequestRate removed)
{
    return RequestRate(std::max(0.0, total.perSecond() - removed.perSecond()));
}

// Accumulates loads, by host, by model and by account.
class LoadAccumulator
{
public:
    void add(const SharedLoad &load)
    {
        for (const TargetLoad &added : load.targetLoads) {
            TargetLoad &target = m_targets[added.host];
            target.host = added.host;
            target.running += added.running;
            target.waitingPrompt += added.waitingPrompt;
        }
        for (const auto &[model, added] : load.work)
            m_work[model] += added;
        for (const auto &[account, added] : load.accounts)
            m_accounts[account] = m_accounts[account] + added;
    }

    void add(const std::vector<SharedLoad> &loads)
    {
        for (const SharedLoad &load : loads)
            add(load);
    }

    // Differences are clamped at zero.
    void subtract(const SharedLoad &load)
    {
        for (const TargetLoad &removed : load.targetLoads) {
            const auto target = m_targets.find(removed.host);
            if (target == m_targets.end())
                continue;
            target->second.running = std::max(0, target->second.running - removed.running);
            target->second.waitingPrompt =
                std::max<std::int64_t>(0, target->second.waitingPrompt - removed.waitingPrompt);
        }
        for (const auto &[model, removed] : load.work) {
            ModelWork &work = m_work[model];
            work.serverMilliseconds =
                std::max(0.0, work.serverMilliseconds - removed.serverMilliseconds);
            work.requests = std::max(0.0, work.requests - removed.requests);
        }
        for (const auto &[account, removed] : load.accounts) {
            const auto found = m_accounts.find(account);
            if (found == m_accounts.end())
                continue;
            found->second = { difference(found->second.recent, removed.recent),
                              difference(found->second.usual, removed.usual) };
        }
    }

    SharedLoad result() const
    {
        SharedLoad load { {}, m_work, m_accounts };
        for (const auto &[host, target] : m_targets)
            load.targetLoads.push_back(target);
        return load;
    }

private:
    std::map<HostId, TargetLoad> m_targets;
    WorkByModel m_work;
    AccountLoads m_accounts;
};

} // namespace

void LoadAggregator::setReport(Reports &reports, const DaemonId &from, SharedLoad load,
                               MonotonicTime now)
{
    if (reports.size() >= m_options.maxReports)
        eraseIf(reports, [&](const auto &entry) {
            return now - entry.second.at > m_options.reportLifetime;
        });
    if (reports.size() >= m_options.maxReports && reports.count(from) == 0)
        return;
    reports[from] = { std::move(load), now };
}

void LoadAggregator::setFollowerLoad(const DaemonId &daemon, SharedLoad load, MonotonicTime now)
{
    setReport(m_followers, daemon, std::move(load), now);
}

void LoadAggregator::setRelayLoad(const DaemonId &relay, SharedLoad load, MonotonicTime now)
{
    setReport(m_relays, relay, std::move(load), now);
}

std::vector<DaemonId> LoadAggregator::followers(MonotonicTime now) const
{
    std::vector<DaemonId> daemons;
    for (const auto &[daemon, report] : m_followers) {
        if (now - report.at <= m_options.reportLifetime)
            daemons.push_back(daemon);
    }
    return daemons;
}

std::vector<SharedLoad> LoadAggregator::freshLoads(const Reports &reports, MonotonicTime now) const
{
    std::vector<SharedLoad> loads;
    for (const auto &[daemon, report] : reports) {
        if (now - report.at <= m_options.reportLifetime)
            loads.push_back(report.load);
    }
    return loads;
}

SharedLoad LoadAggregator::groupSum(const SharedLoad &own, MonotonicTime now) const
{
    LoadAccumulator sum;
    sum.add(own);
    sum.add(freshLoads(m_followers, now));
    return sum.result();
}

SharedLoad LoadAggregator::totalSum(const SharedLoad &own, MonotonicTime now) const
{
    LoadAccumulator sum;
    sum.add(groupSum(own, now));
    sum.add(freshLoads(m_relays, now));
    return sum.result();
}

SharedLoad subtractOwnLoad(const SharedLoad &total, const SharedLoad &own)
{
    LoadAccumulator rest;
    rest.add(total);
    rest.subtract(own);
    return rest.result();
}

} // namespace ramphinge
