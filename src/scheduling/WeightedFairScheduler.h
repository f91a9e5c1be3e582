#pragma once

#include <algorithm>
#include <map>

namespace parsleypaddle {

/// Weighted fairness between flows by virtual time: the flow that has had the least service for its weight is next.
/// A flow that was away gets no credit for it. Pure.
template <typename Key>
class FairShares {
public:
    /// A flow has work again, or its weight changed.
    void activate(const Key& key, double weight)
    {
        Flow& flow = m_flows[key];
        flow.weight = std::max(weight, leastWeight);
        flow.virtualTime = std::max(flow.virtualTime, m_clock);
    }

    /// The flow with the least service among those that `isEligible` accepts; nullptr when there is none.
    template <typename Predicate>
    const Key* next(Predicate isEligible) const
    {
        const Key* best = nullptr;
        double least = 0;
        for (const auto& [key, flow] : m_flows) {
            if (best && flow.virtualTime >= least)
                continue;
            if (!isEligible(key))
                continue;
            best = &key;
            least = flow.virtualTime;
        }
        return best;
    }

    /// A flow was chosen for service of `cost`.
    void serve(const Key& key, double cost)
    {
        Flow& flow = m_flows[key];
        m_clock = std::max(m_clock, flow.virtualTime);
        flow.virtualTime += cost / flow.weight;
    }

    /// The service cost more or less than was charged for it.
    void correct(const Key& key, double difference)
    {
        auto it = m_flows.find(key);
        if (it != m_flows.end())
            it->second.virtualTime += difference / it->second.weight;
    }

    /// Forgets flows that `isIdle` accepts and that owe no service.
    template <typename Predicate>
    void forget(Predicate isIdle)
    {
        for (auto it = m_flows.begin(); it != m_flows.end();) {
            const bool isSettled = it->second.virtualTime <= m_clock && isIdle(it->first);
            it = isSettled ? m_flows.erase(it) : std::next(it);
        }
    }

    size_t size() const { return m_flows.size(); }

private:
    static constexpr double leastWeight = 0.001;

    struct Flow {
        double virtualTime { 0 };
        double weight { 1 };
    };

    std::map<Key, Flow> m_flows;
    double m_clock { 0 };
};

}
