#include "scheduling/UrgencyQueue.h"

namespace parsleypaddle {

UrgencyQueue::StartDeadline UrgencyQueue::startDeadlineOf(const ScheduledWork& scheduled)
{
    const Milliseconds allowance = scheduled.latestStart - scheduled.work.arrived;
    return { scheduled.latestStart, scheduled.work.arrived + allowance * 0.5, scheduled.work.id };
}

void UrgencyQueue::add(const ScheduledWork& scheduled)
{
    m_startDeadlines.insert(startDeadlineOf(scheduled));
    if (scheduled.work.isTransactionStep) {
        m_transactionSteps.push_back(scheduled);
        return;
    }
    const ClassName& name = scheduled.work.workload;
    ClassQueue& queue = m_classes[name];
    if (queue.isEmpty())
        m_shares.activate(name, scheduled.work.classWeight);
    m_weights[name] = std::max(scheduled.work.classWeight, 0.001);
    queue.add(scheduled);
}

void UrgencyQueue::remove(const ScheduledWork& scheduled)
{
    m_startDeadlines.erase(startDeadlineOf(scheduled));
    if (scheduled.work.isTransactionStep) {
        auto isSame = [id = scheduled.work.id](const ScheduledWork& it) { return it.work.id == id; };
        m_transactionSteps.erase(std::find_if(m_transactionSteps.begin(), m_transactionSteps.end(), isSame));
        return;
    }
    m_classes[scheduled.work.workload].remove(scheduled);
}

bool UrgencyQueue::hasEligible(Eligibility eligibility) const
{
    if (!m_transactionSteps.empty())
        return true;
    return std::any_of(m_classes.begin(), m_classes.end(), [eligibility](const auto& it) { return it.second.hasEligible(eligibility); });
}

const ScheduledWork* UrgencyQueue::next(Eligibility eligibility) const
{
    if (!m_transactionSteps.empty())
        return &m_transactionSteps.front();
    const ClassName* best = m_shares.next([this, eligibility](const ClassName& name) {
        auto it = m_classes.find(name);
        return it != m_classes.end() && it->second.hasEligible(eligibility);
    });
    return best ? m_classes.at(*best).next(eligibility) : nullptr;
}

const ScheduledWork* UrgencyQueue::shedCandidate() const
{
    const ClassQueue* worst = nullptr;
    double largest = -1;
    for (const auto& [name, queue] : m_classes) {
        const double weightedBacklog = queue.backlog().count() / m_weights.at(name);
        if (queue.isEmpty() || weightedBacklog <= largest)
            continue;
        worst = &queue;
        largest = weightedBacklog;
    }
    return worst ? worst->shedCandidate() : nullptr;
}

void UrgencyQueue::charge(const ScheduledWork& scheduled)
{
    if (scheduled.work.isTransactionStep)
        return;
    m_shares.charge(scheduled.work.workload, scheduled.cost.count());
    m_classes[scheduled.work.workload].charge(scheduled);
}

void UrgencyQueue::adjustCharge(const WorkItem& work, Milliseconds difference)
{
    if (work.isTransactionStep)
        return;
    m_shares.adjustCharge(work.workload, difference.count());
    m_classes[work.workload].adjustCharge(work, difference);
}

Milliseconds UrgencyQueue::backlog() const
{
    Milliseconds sum;
    for (const auto& it : m_classes)
        sum = sum + it.second.backlog();
    return sum;
}

// With ideal fair shares, a class receives slot time in proportion to its weight. Its own backlog ahead of `work`, divided
// by its share, is then the slot time that all classes receive before `work` starts. It is limited to the backlog of all
// classes, because a class with little waiting work does not use its whole share.
Milliseconds UrgencyQueue::backlogAhead(const WorkItem& work) const
{
    auto it = m_classes.find(work.workload);
    if (it == m_classes.end() || it->second.isEmpty())
        return Milliseconds(0);
    double weights = 0;
    for (const auto& [name, queue] : m_classes)
        weights += queue.isEmpty() ? 0 : m_weights.at(name);
    const double share = m_weights.at(work.workload) / weights;
    return std::min(backlog(), it->second.backlogAhead(work.organisation, work.organisationWeight) * (1 / share));
}

bool UrgencyQueue::isUnderDeadlinePressure(Instant now) const
{
    return !m_startDeadlines.empty() && m_startDeadlines.begin()->halfway <= now;
}

std::optional<WorkId> UrgencyQueue::firstOverdue(Instant now) const
{
    if (m_startDeadlines.empty() || m_startDeadlines.begin()->latestStart > now)
        return std::nullopt;
    return m_startDeadlines.begin()->id;
}

}
