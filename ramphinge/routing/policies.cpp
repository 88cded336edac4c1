// Routing policies: see policies.h.

#include "ramphinge/routing/policies.h"

#include <algorithm>
#include <limits>

#include "ramphinge/base/hash.h"

namespace ramphinge {

namespace {

// Converts latency between zones to load, to compare replicas of different zones.
constexpr double loadPerMillisecond = 0.05;

bool eligible(const RouteQuery &query, const Candidate &candidate)
{
    const bool tried = std::find(query.exclude.begin(), query.exclude.end(), candidate.replica)
        != query.exclude.end();
    return !tried && candidate.inFlight < candidate.slots;
}

using Indices = std::vector<std::size_t>;

Indices eligibleIndices(const RouteQuery &query, const std::vector<Candidate> &candidates)
{
    Indices indices;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (eligible(query, candidates[i]))
            indices.push_back(i);
    }
    return indices;
}

// Load with the latency to the zone added as if it were load.
double distanceWeightedLoad(const Candidate &candidate)
{
    return candidate.load + toMilliseconds(candidate.zoneLatency) * loadPerMillisecond;
}

std::optional<std::size_t> leastLoaded(const Indices &indices,
                                       const std::vector<Candidate> &candidates)
{
    const auto best = std::min_element(
        indices.begin(), indices.end(), [&candidates](std::size_t a, std::size_t b) {
            const double loadA = distanceWeightedLoad(candidates[a]);
            const double loadB = distanceWeightedLoad(candidates[b]);
            return loadA != loadB ? loadA < loadB : candidates[a].inFlight < candidates[b].inFlight;
        });
    return best == indices.end() ? std::nullopt : std::optional<std::size_t>(*best);
}

class AffinityPolicy : public RoutingPolicy
{
public:
    explicit AffinityPolicy(AffinityOptions options) : m_options(options) { }

    std::optional<std::size_t> choose(const RouteQuery &query,
                                      const std::vector<Candidate> &candidates) override
    {
        const Indices all = eligibleIndices(query, candidates);
        const Indices near = localOrAll(all, candidates);
        if (near.empty() || query.prefix == 0)
            return leastLoaded(near, candidates);
        const std::optional<std::size_t> home = boundedHome(query.prefix, near, candidates);
        return home ? home : leastLoaded(near, candidates);
    }

    const char *name() const override { return "affinity"; }

private:
    // The local zone's replicas below the spill load, or all if there are none.
    Indices localOrAll(const Indices &all, const std::vector<Candidate> &candidates) const
    {
        Indices local;
        for (const std::size_t i : all) {
            if (candidates[i].localZone && candidates[i].load < m_options.spillLoad)
                local.push_back(i);
        }
        return local.empty() ? all : local;
    }

    // The first of the prefix's homes, in hash order, whose load is within the bound.
    std::optional<std::size_t> boundedHome(std::uint64_t prefix, const Indices &near,
                                           const std::vector<Candidate> &candidates) const
    {
        double sum = 0;
        for (const std::size_t i : near)
            sum += candidates[i].load;
        const double mean = sum / static_cast<double>(near.size());
        const double bound = mean * m_options.loadBound + m_options.loadSlack;
        Indices order = near;
        const auto homes = std::min(static_cast<std::size_t>(m_options.homes), order.size());
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(homes),
                          order.end(), [&](std::size_t a, std::size_t b) {
                              return rendezvousScore(prefix, candidates[a].replica.text())
                                  > rendezvousScore(prefix, candidates[b].replica.text());
                          });
        for (std::size_t rank = 0; rank < homes; ++rank) {
            if (candidates[order[rank]].load <= bound)
                return order[rank];
        }
        return std::nullopt;
    }

    AffinityOptions m_options;
};

class RoundRobinPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const RouteQuery &query,
                                      const std::vector<Candidate> &candidates) override
    {
        const Indices all = eligibleIndices(query, candidates);
        if (all.empty())
            return std::nullopt;
        return all[m_next++ % all.size()];
    }

    const char *name() const override { return "round-robin"; }

private:
    std::size_t m_next = 0;
};

class LeastLoadedPolicy : public RoutingPolicy
{
public:
    std::optional<std::size_t> choose(const RouteQuery &query,
                                      const std::vector<Candidate> &candidates) override
    {
        return leastLoaded(eligibleIndices(query, candidates), candidates);
    }

    const char *name() const override { return "least-loaded"; }
};

} // namespace

std::unique_ptr<RoutingPolicy> makeAffinityPolicy(AffinityOptions options)
{
    return std::make_unique<AffinityPolicy>(options);
}

std::unique_ptr<RoutingPolicy> makeRoundRobinPolicy()
{
    return std::make_unique<RoundRobinPolicy>();
}

std::unique_ptr<RoutingPolicy> makeLeastLoadedPolicy()
{
    return std::make_unique<LeastLoadedPolicy>();
}

} // namespace ramphinge
