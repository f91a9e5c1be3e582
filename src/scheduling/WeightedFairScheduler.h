#pragma once

#include <algorithm>
#include <map>

namespace parsleypaddle {

/// Weighted fair queueing between flows by virtual time: the flow that has received the least service relative to its
/// weight is next. A flow gains no credit for the time in which it was idle.
template <typename Key>
class WeightedFairScheduler {
public:
    /// Registers a flow that has work again, or updates its weight.
    void activate(const Key& key, double weight)
    {
        Flow& flow = m_flows[key];
        flow.weight = std::max(weight, minWeight);
        flow.virtualTime = std::max(flow.virtualTime, m_virtualTime);
    }

    /// The flow with the lowest virtual time among those that `isEligible` accepts; nullptr when there is none.
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

    /// Charges a flow for service of the estimated `cost`.
    void charge(const Key& key, double cost)
    {
        Flow& flow = m_flows[key];
        m_virtualTime = std::max(m_virtualTime, flow.virtualTime);
        flow.virtualTime += cost / flow.weight;
    }

    /// Corrects a flow's charge by the `difference` between actual and estimated cost, which may be negative.
    void adjustCharge(const Key& key, double difference)
    {
        auto it = m_flows.find(key);
        if (it != m_flows.end())
            it->second.virtualTime += difference / it->second.weight;
    }

    /// Erases the flows that `isIdle` accepts and whose virtual time is not ahead of the scheduler's. activate() would set
    /// such a flow to the scheduler's virtual time anyway, so nothing is lost.
    template <typename Predicate>
    void eraseIdle(Predicate isIdle)
    {
        for (auto it = m_flows.begin(); it != m_flows.end();) {
            const bool isErasable = it->second.virtualTime <= m_virtualTime && isIdle(it->first);
            it = isErasable ? m_flows.erase(it) : std::next(it);
        }
    }

    size_t size() const { return m_flows.size(); }

private:
    static constexpr double minWeight = 0.001;

    struct Flow {
        double virtualTime { 0 };
        double weight { 1 };
    };

    std::map<Key, Flow> m_flows;
    /// Highest virtual time at which a flow was charged. Flows that become active start at this time or later.
    double m_virtualTime { 0 };
};

}
