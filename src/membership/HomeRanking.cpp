#include "membership/HomeRanking.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace parsleypaddle {

namespace {

    /// What a daemon needs to run one statement for another daemon.
    constexpr double coreSecondsPerStatement = 40e-6;
    constexpr double bytesPerStatement = 400;
    /// Assumed for instances that do not announce their cores: about the middle of the instances in use, 0.12 to 0.5 of a core.
    constexpr double defaultCores = 0.25;
    /// Limits of a capacity, equivalent to 0.01 and 4 cores, so that a wrong setting of one instance does not make it the home of every
    /// group or of none.
    constexpr double minCapacity = 250;
    constexpr double maxCapacity = 100'000;

    uint64_t hashOf(const std::string& text, uint64_t seed)
    {
        return XXH64(text.data(), text.size(), seed);
    }

    // An exponentially distributed value whose rate is the capacity: the instance with the least value is the first, with a
    // probability in proportion to its capacity. Equivalent to the score -w / ln(u), and increasing with the hash.
    double scoreOf(uint64_t hash, double capacity)
    {
        constexpr double hashRange = 18446744073709551616.0;
        return -std::log1p(-static_cast<double>(hash) / hashRange) / capacity;
    }

    std::pair<bool, bool> classOf(const RankingCandidate& candidate)
    {
        return { candidate.entry->isLeaving, candidate.isSilent };
    }

    struct Position {
        double score { 0 };
        /// Decides between equal scores.
        uint64_t hash { 0 };
        const InstanceId* instance { nullptr };

        bool operator<(const Position& other) const { return std::tie(score, hash) < std::tie(other.score, other.hash); }
    };

    Position positionOf(const RankingCandidate& candidate, uint64_t seed)
    {
        const uint64_t hash = hashOf(candidate.entry->instance.value(), seed);
        return { scoreOf(hash, candidate.capacity), hash, &candidate.entry->instance };
    }

    template <typename T>
    void sortFirst(std::vector<T>& values, size_t length)
    {
        const auto end = values.begin() + static_cast<std::ptrdiff_t>(std::min(length, values.size()));
        std::partial_sort(values.begin(), end, values.end());
        values.erase(end, values.end());
    }

}

double capacityOf(const InstanceEntry& entry)
{
    constexpr double bytesPerMegabit = 125'000;
    const double byProcessor = (entry.cores > 0 ? entry.cores : defaultCores) / coreSecondsPerStatement;
    const double byLink = entry.linkMbps > 0 ? entry.linkMbps * bytesPerMegabit / bytesPerStatement : maxCapacity;
    return std::clamp(std::min(byProcessor, byLink), minCapacity, maxCapacity);
}

std::vector<InstanceId> rankByCapacity(const std::vector<RankingCandidate>& candidates, const std::string& key, const FailureDomainId& preferred, size_t length)
{
    const uint64_t seed = hashOf(key, 0);
    std::vector<std::tuple<std::pair<bool, bool>, bool, Position>> order;
    order.reserve(candidates.size());
    for (const auto& it : candidates)
        order.emplace_back(classOf(it), it.entry->failureDomain != preferred, positionOf(it, seed));
    sortFirst(order, length);
    std::vector<InstanceId> instances;
    instances.reserve(order.size());
    for (const auto& it : order)
        instances.push_back(*std::get<Position>(it).instance);
    return instances;
}

std::vector<InstanceId> rankByDomain(const std::vector<RankingCandidate>& candidates, const std::string& key, size_t length)
{
    const uint64_t seed = hashOf(key, 0);
    // By class and by the hash of the domain, which costs less than to compare the names of domains.
    std::map<std::pair<std::pair<bool, bool>, uint64_t>, std::vector<Position>> byDomain;
    for (const auto& it : candidates)
        byDomain[{ classOf(it), hashOf(it.entry->failureDomain.value(), seed) }].push_back(positionOf(it, seed));
    // By class, then by turn, then by the domain's hash.
    std::vector<std::tuple<std::pair<bool, bool>, size_t, uint64_t, const InstanceId*>> order;
    for (auto& [classAndDomain, positions] : byDomain) {
        sortFirst(positions, length);
        for (size_t turn = 0; turn < positions.size(); ++turn)
            order.emplace_back(classAndDomain.first, turn, classAndDomain.second, positions[turn].instance);
    }
    sortFirst(order, length);
    std::vector<InstanceId> instances;
    instances.reserve(order.size());
    for (const auto& it : order)
        instances.push_back(*std::get<const InstanceId*>(it));
    return instances;
}

}
