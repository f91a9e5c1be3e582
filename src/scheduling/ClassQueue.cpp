#include "scheduling/ClassQueue.h"

namespace parsleypaddle {

namespace {

    /// Flows of shops without work are swept out when there are this many.
    constexpr size_t flowsBeforeSweep = 256;

}

const WaitingWork* ClassQueue::ShopQueue::next(Eligibility eligibility) const
{
    if (longWork.empty() || eligibility == Eligibility::ShortOnly)
        return shortWork.empty() ? nullptr : &shortWork.front();
    if (shortWork.empty())
        return &longWork.front();
    return shortWork.front().work.arrived <= longWork.front().work.arrived ? &shortWork.front() : &longWork.front();
}

void ClassQueue::add(const WaitingWork& waiting)
{
    auto [it, isNew] = m_shops.try_emplace(waiting.work.shop);
    ShopQueue& shop = it->second;
    if (isNew) {
        shop.weight = std::max(waiting.work.shopWeight, 0.001);
        m_weights += shop.weight;
        m_shares.activate(waiting.work.shop, shop.weight);
    }
    (waiting.isLong ? shop.longWork : shop.shortWork).push_back(waiting);
    shop.backlog = shop.backlog + waiting.cost;
    m_backlog = m_backlog + waiting.cost;
    m_shortWaiting += waiting.isLong ? 0 : 1;
}

void ClassQueue::remove(const WaitingWork& waiting)
{
    auto found = m_shops.find(waiting.work.shop);
    if (found == m_shops.end())
        return;
    ShopQueue& shop = found->second;
    auto& queue = waiting.isLong ? shop.longWork : shop.shortWork;
    auto it = std::find_if(queue.begin(), queue.end(), [&waiting](const WaitingWork& each) { return each.work.id == waiting.work.id; });
    if (it == queue.end())
        return;
    const Milliseconds cost = it->cost;
    m_shortWaiting -= it->isLong ? 0 : 1;
    queue.erase(it);
    shop.backlog = shop.backlog - cost;
    m_backlog = m_backlog - cost;
    if (!shop.isEmpty())
        return;
    m_weights -= shop.weight;
    m_shops.erase(found);
    // Sums of fractions drift; an empty queue starts from zero again.
    if (m_shops.empty()) {
        m_backlog = {};
        m_weights = 0;
    }
    if (m_shares.size() > flowsBeforeSweep)
        m_shares.forget([this](const ShopId& id) { return m_shops.count(id) == 0; });
}

bool ClassQueue::has(Eligibility eligibility) const
{
    return eligibility == Eligibility::Any ? !m_shops.empty() : m_shortWaiting > 0;
}

const WaitingWork* ClassQueue::next(Eligibility eligibility) const
{
    const ShopId* best = m_shares.next([this, eligibility](const ShopId& id) {
        auto it = m_shops.find(id);
        return it != m_shops.end() && it->second.next(eligibility);
    });
    return best ? m_shops.at(*best).next(eligibility) : nullptr;
}

const WaitingWork* ClassQueue::leastDeserving() const
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

void ClassQueue::serve(const WaitingWork& waiting)
{
    m_shares.serve(waiting.work.shop, waiting.cost.count());
}

void ClassQueue::correct(const Work& work, Milliseconds difference)
{
    m_shares.correct(work.shop, difference.count());
}

Milliseconds ClassQueue::backlogAhead(const ShopId& id, double weight) const
{
    auto it = m_shops.find(id);
    if (it == m_shops.end())
        return Milliseconds(0);
    const double share = std::max(weight, 0.001) / m_weights;
    return std::min(m_backlog, it->second.backlog * (1 / share));
}

}
