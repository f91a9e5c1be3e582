#include "scheduling/UrgencyQueue.h"

namespace parsleypaddle {

UrgencyQueue::Deadline UrgencyQueue::deadlineOf(const WaitingWork& waiting)
{
    const Milliseconds allowance = waiting.latestStart - waiting.work.arrived;
    return { waiting.latestStart, waiting.work.arrived + allowance * 0.5, waiting.work.id };
}

void UrgencyQueue::add(const WaitingWork& waiting)
{
    m_deadlines.insert(deadlineOf(waiting));
    if (waiting.work.isContinuation) {
        m_continuations.push_back(waiting);
        return;
    }
    const ClassName& name = waiting.work.workload;
    ClassQueue& queue = m_classes[name];
    if (queue.isEmpty())
        m_shares.activate(name, waiting.work.classWeight);
    m_weights[name] = std::max(waiting.work.classWeight, 0.001);
    queue.add(waiting);
}

void UrgencyQueue::remove(const WaitingWork& waiting)
{
    m_deadlines.erase(deadlineOf(waiting));
    if (waiting.work.isContinuation) {
        auto isSame = [id = waiting.work.id](const WaitingWork& it) { return it.work.id == id; };
        m_continuations.erase(std::find_if(m_continuations.begin(), m_continuations.end(), isSame));
        return;
    }
    m_classes[waiting.work.workload].remove(waiting);
}

bool UrgencyQueue::has(Eligibility eligibility) const
{
    if (!m_continuations.empty())
        return true;
    return std::any_of(m_classes.begin(), m_classes.end(), [eligibility](const auto& it) { return it.second.has(eligibility); });
}

const WaitingWork* UrgencyQueue::next(Eligibility eligibility) const
{
    if (!m_continuations.empty())
        return &m_continuations.front();
    const ClassName* best = m_shares.next([this, eligibility](const ClassName& name) {
        auto it = m_classes.find(name);
        return it != m_classes.end() && it->second.has(eligibility);
    });
    return best ? m_classes.at(*best).next(eligibility) : nullptr;
}

const WaitingWork* UrgencyQueue::leastDeserving() const
{
    const ClassQueue* worst = nullptr;
    double most = -1;
    for (const auto& [name, queue] : m_classes) {
        const double owed = queue.backlog().count() / m_weights.at(name);
        if (queue.isEmpty() || owed <= most)
            continue;
        worst = &queue;
        most = owed;
    }
    return worst ? worst->leastDeserving() : nullptr;
}

void UrgencyQueue::serve(const WaitingWork& waiting)
{
    if (waiting.work.isContinuation)
        return;
    m_shares.serve(waiting.work.workload, waiting.cost.count());
    m_classes[waiting.work.workload].serve(waiting);
}

void UrgencyQueue::correct(const Work& work, Milliseconds difference)
{
    if (work.isContinuation)
        return;
    m_shares.correct(work.workload, difference.count());
    m_classes[work.workload].correct(work, difference);
}

Milliseconds UrgencyQueue::backlog() const
{
    Milliseconds sum;
    for (const auto& it : m_classes)
        sum = sum + it.second.backlog();
    return sum;
}

// A class gets at least its weight's part of what is served, so its own backlog ahead, stretched by that part,
// bounds the wait; the whole backlog bounds it too.
Milliseconds UrgencyQueue::backlogAhead(const Work& work) const
{
    auto it = m_classes.find(work.workload);
    if (it == m_classes.end() || it->second.isEmpty())
        return Milliseconds(0);
    double weights = 0;
    for (const auto& [name, queue] : m_classes)
        weights += queue.isEmpty() ? 0 : m_weights.at(name);
    const double share = m_weights.at(work.workload) / weights;
    return std::min(backlog(), it->second.backlogAhead(work.shop, work.shopWeight) * (1 / share));
}

bool UrgencyQueue::isPressed(Instant now) const
{
    return !m_deadlines.empty() && m_deadlines.begin()->halfway <= now;
}

std::optional<WorkId> UrgencyQueue::firstOverdue(Instant now) const
{
    if (m_deadlines.empty() || m_deadlines.begin()->latestStart > now)
        return std::nullopt;
    return m_deadlines.begin()->id;
}

}
