#include "scheduling/ClassQueue.h"

namespace parsleypaddle {

namespace {

    /// Number of flows above which those of organisations without waiting work are erased.
    constexpr size_t idleFlowSweepSize = 256;

}

const ScheduledWork* ClassQueue::OrganisationQueue::next(Eligibility eligibility) const
{
    if (longWork.empty() || eligibility == Eligibility::ShortOnly)
        return shortWork.empty() ? nullptr : &shortWork.front();
    if (shortWork.empty())
        return &longWork.front();
    return shortWork.front().work.arrived <= longWork.front().work.arrived ? &shortWork.front() : &longWork.front();
}

void ClassQueue::add(const ScheduledWork& scheduled)
{
    auto [it, isNew] = m_organisations.try_emplace(scheduled.work.organisation);
    OrganisationQueue& organisation = it->second;
    if (isNew) {
        organisation.weight = std::max(scheduled.work.organisationWeight, 0.001);
        m_totalWeight += organisation.weight;
        m_shares.activate(scheduled.work.organisation, organisation.weight);
    }
    (scheduled.isLong ? organisation.longWork : organisation.shortWork).push_back(scheduled);
    organisation.backlog = organisation.backlog + scheduled.cost;
    m_backlog = m_backlog + scheduled.cost;
    m_shortWaiting += scheduled.isLong ? 0 : 1;
}

void ClassQueue::remove(const ScheduledWork& scheduled)
{
    auto found = m_organisations.find(scheduled.work.organisation);
    if (found == m_organisations.end())
        return;
    OrganisationQueue& organisation = found->second;
    auto& queue = scheduled.isLong ? organisation.longWork : organisation.shortWork;
    auto it = std::find_if(queue.begin(), queue.end(), [&scheduled](const ScheduledWork& each) { return each.work.id == scheduled.work.id; });
    if (it == queue.end())
        return;
    const Milliseconds cost = it->cost;
    m_shortWaiting -= it->isLong ? 0 : 1;
    queue.erase(it);
    organisation.backlog = organisation.backlog - cost;
    m_backlog = m_backlog - cost;
    if (!organisation.isEmpty())
        return;
    m_totalWeight -= organisation.weight;
    m_organisations.erase(found);
    // Discards the rounding errors that have accumulated in the sums.
    if (m_organisations.empty()) {
        m_backlog = {};
        m_totalWeight = 0;
    }
    if (m_shares.size() > idleFlowSweepSize)
        m_shares.eraseIdle([this](const OrganisationId& id) { return m_organisations.count(id) == 0; });
}

bool ClassQueue::hasEligible(Eligibility eligibility) const
{
    return eligibility == Eligibility::Any ? !m_organisations.empty() : m_shortWaiting > 0;
}

const ScheduledWork* ClassQueue::next(Eligibility eligibility) const
{
    const OrganisationId* best = m_shares.next([this, eligibility](const OrganisationId& id) {
        auto it = m_organisations.find(id);
        return it != m_organisations.end() && it->second.next(eligibility);
    });
    return best ? m_organisations.at(*best).next(eligibility) : nullptr;
}

const ScheduledWork* ClassQueue::shedCandidate() const
{
    const OrganisationQueue* worst = nullptr;
    for (const auto& [id, organisation] : m_organisations) {
        if (!worst || organisation.backlog.count() / organisation.weight > worst->backlog.count() / worst->weight)
            worst = &organisation;
    }
    if (!worst)
        return nullptr;
    return worst->longWork.empty() ? &worst->shortWork.back() : &worst->longWork.back();
}

void ClassQueue::charge(const ScheduledWork& scheduled)
{
    m_shares.charge(scheduled.work.organisation, scheduled.cost.count());
}

void ClassQueue::adjustCharge(const WorkItem& work, Milliseconds difference)
{
    m_shares.adjustCharge(work.organisation, difference.count());
}

Milliseconds ClassQueue::backlogAhead(const OrganisationId& id, double weight) const
{
    auto it = m_organisations.find(id);
    if (it == m_organisations.end())
        return Milliseconds(0);
    const double share = std::max(weight, 0.001) / m_totalWeight;
    return std::min(m_backlog, it->second.backlog * (1 / share));
}

}
