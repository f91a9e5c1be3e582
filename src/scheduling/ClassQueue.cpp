#include "scheduling/ClassQueue.h"

namespace parsleypaddle {

namespace {

    /// Number of flows above which those of shops without waiting work are erased.
    constexpr size_t idleFlowSweepSize = 256;

}

const ScheduledWork* ClassQueue::ShopQueue::next(Eligibility eligibility) const
{
    if (longWork.empty() || eligibility == Eligibility::ShortOnly)
        return shortWork.empty() ? nullptr : &shortWork.front();
    if (shortWork.empty())
        return &longWork.front();
    return shortWork.front().work.arrived <= longWork.front().work.arrived ? &shortWork.front() : &longWork.front();
}

void ClassQueue::add(const ScheduledWork& scheduled)
{
    auto [it, isNew] = m_shops.try_emplace(scheduled.work.shop);
    ShopQueue& shop = it->second;
    if (isNew) {
        shop.weight = std::max(scheduled.work.shopWeight, 0.001);
        m_totalWeight += shop.weight;
        m_shares.activate(scheduled.work.shop, shop.weight);
    }
    (scheduled.isLong ? shop.longWork : shop.shortWork).push_back(scheduled);
    shop.backlog = shop.backlog + scheduled.cost;
    m_backlog = m_backlog + scheduled.cost;
    m_shortWaiting += scheduled.isLong ? 0 : 1;
}

void ClassQueue::remove(const ScheduledWork& scheduled)
{
    auto found = m_shops.find(scheduled.work.shop);
    if (found == m_shops.end())
        return;
    ShopQueue& shop = found->second;
    auto& queue = scheduled.isLong ? shop.longWork : shop.shortWork;
    auto it = std::find_if(queue.begin(), queue.end(), [&scheduled](const ScheduledWork& each) { return each.work.id == scheduled.work.id; });
    if (it == queue.end())
        return;
    const Milliseconds cost = it->cost;
    m_shortWaiting -= it->isLong ? 0 : 1;
    queue.erase(it);
    shop.backlog = shop.backlog - cost;
    m_backlog = m_backlog - cost;
    if (!shop.isEmpty())
        return;
    m_totalWeight -= shop.weight;
    m_shops.erase(found);
    // Discards the rounding errors that have accumulated in the sums.
    if (m_shops.empty()) {
        m_backlog = {};
        m_totalWeight = 0;
    }
    if (m_shares.size() > idleFlowSweepSize)
        m_shares.eraseIdle([this](const ShopId& id) { return m_shops.count(id) == 0; });
}

bool ClassQueue::hasEligible(Eligibility eligibility) const
{
    return eligibility == Eligibility::Any ? !m_shops.empty() : m_shortWaiting > 0;
}

const ScheduledWork* ClassQueue::next(Eligibility eligibility) const
{
    const ShopId* best = m_shares.next([this, eligibility](const ShopId& id) {
        auto it = m_shops.find(id);
        return it != m_shops.end() && it->second.next(eligibility);
    });
    return best ? m_shops.at(*best).next(eligibility) : nullptr;
}

const ScheduledWork* ClassQueue::shedCandidate() const
{
    const ShopQueue* worst = nullptr;
    for (const auto& [id, shop] : m_shops) {
        if (!worst || shop.backlog.count() / shop.weight > worst->backlog.count() / worst->weight)
            worst = &shop;
    }
    if (!worst)
        return nullptr;
    return worst->longWork.empty() ? &worst->shortWork.back() : &worst->longWork.back();
}

void ClassQueue::charge(const ScheduledWork& scheduled)
{
    m_shares.charge(scheduled.work.shop, scheduled.cost.count());
}

void ClassQueue::adjustCharge(const WorkItem& work, Milliseconds difference)
{
    m_shares.adjustCharge(work.shop, difference.count());
}

Milliseconds ClassQueue::backlogAhead(const ShopId& id, double weight) const
{
    auto it = m_shops.find(id);
    if (it == m_shops.end())
        return Milliseconds(0);
    const double share = std::max(weight, 0.001) / m_totalWeight;
    return std::min(m_backlog, it->second.backlog * (1 / share));
}

}
