#include "scheduling/WorkQueue.h"

#include "base/ResultCode.h"
#include "scheduling/ExecutionSlots.h"
#include "scheduling/OfferedLoad.h"
#include "scheduling/RunTimeEstimator.h"
#include "scheduling/UrgencyQueue.h"

#include <array>

namespace parsleypaddle {

namespace {

    constexpr size_t urgencies = 3;
    /// Part of the slots that each lower urgency is given while a higher one has work, unless that one is pressed.
    constexpr double guaranteedShare = 0.05;
    constexpr Milliseconds leastRetryAfter { 20 };

    size_t levelOf(Urgency urgency)
    {
        return static_cast<size_t>(urgency);
    }

    /// Strict between urgencies but for a small guaranteed share, fair within one.
    class UrgencyWorkQueue final : public WorkQueue {
    public:
        explicit UrgencyWorkQueue(const WorkQueueSettings& settings) { apply(settings); }

        Admission offer(const Work&, Instant now) override;
        std::vector<WorkId> takeShed(Instant now) override;
        std::optional<WorkId> start(Instant now) override;
        void finish(WorkId, Instant now) override;
        void cancel(WorkId) override;
        void setSettings(const WorkQueueSettings& settings) override { apply(settings); }
        size_t waiting() const override { return m_waiting.size(); }
        size_t running() const override { return m_slots.running(); }
        WorkQueueCounts counts() const override { return m_counts; }

    private:
        struct Level {
            UrgencyQueue queue;
            DemandMeter demand;
            /// Slot time owed to this level from the guaranteed share.
            double credit { 0 };
        };

        void apply(const WorkQueueSettings&);
        void take(const WaitingWork&, Instant now);
        WaitingWork describe(const Work&, Instant now) const;
        Milliseconds estimatedWait(const WaitingWork&, Instant now) const;
        Admission refuse(std::string_view why, Milliseconds retryAfter);
        bool makeRoom(Urgency);
        void shed(WorkId);
        WaitingWork takeOut(WorkId);
        void shedOverdue(Instant now);
        std::optional<size_t> nextLevel(Eligibility, Instant now) const;
        void creditLower(size_t level, Milliseconds cost);

        WorkQueueSettings m_settings;
        SlotUse m_slots;
        RunTimeModel m_runTimes;
        std::array<Level, urgencies> m_levels;
        std::map<WorkId, WaitingWork> m_waiting;
        std::vector<WorkId> m_shed;
        WorkQueueCounts m_counts;
    };

    void UrgencyWorkQueue::apply(const WorkQueueSettings& settings)
    {
        m_settings = settings;
        m_slots.setSettings(settings);
    }

    Admission UrgencyWorkQueue::offer(const Work& work, Instant now)
    {
        shedOverdue(now);
        const WaitingWork waiting = describe(work, now);
        const Milliseconds left = work.deadline - now;
        if (left <= Milliseconds(0))
            return refuse("the deadline has passed", leastRetryAfter);
        if (work.isContinuation) {
            take(waiting, now);
            return {};
        }
        const Milliseconds wait = estimatedWait(waiting, now);
        const Milliseconds estimate = m_runTimes.estimate(work.statement, now).mean;
        // Work that finds the target free is let through whatever its estimate, which is how a wrong one is mended.
        if (wait > Milliseconds(0) && wait + estimate > left)
            return refuse("the work ahead would take it past its deadline", wait + estimate - left);
        if (m_waiting.size() >= m_settings.capacity && !makeRoom(work.urgency))
            return refuse("too much work waits", std::max(wait, leastRetryAfter));
        take(waiting, now);
        return {};
    }

    void UrgencyWorkQueue::take(const WaitingWork& waiting, Instant now)
    {
        Level& level = m_levels[levelOf(waiting.work.urgency)];
        level.demand.add(waiting.cost, now);
        level.queue.add(waiting);
        m_waiting[waiting.work.id] = waiting;
    }

    WaitingWork UrgencyWorkQueue::describe(const Work& work, Instant now) const
    {
        const RunTimeEstimate estimate = m_runTimes.estimate(work.statement, now);
        WaitingWork waiting;
        waiting.work = work;
        waiting.cost = estimate.mean;
        waiting.isLong = estimate.typical > m_settings.longWork && !work.isContinuation;
        const Milliseconds reserve = std::min(estimate.typical, (work.deadline - work.arrived) * 0.5);
        waiting.latestStart = work.deadline - reserve;
        return waiting;
    }

    // All more urgent work that waits goes first, and what keeps coming of it takes its part of the slots meanwhile.
    Milliseconds UrgencyWorkQueue::estimatedWait(const WaitingWork& waiting, Instant now) const
    {
        if (m_slots.isFree() && m_waiting.empty())
            return Milliseconds(0);
        const size_t own = levelOf(waiting.work.urgency);
        Milliseconds ahead = m_slots.remaining(now) + m_levels[own].queue.backlogAhead(waiting.work);
        double slots = m_slots.slots();
        for (size_t n = 0; n < own; ++n) {
            ahead = ahead + m_levels[n].queue.backlog();
            slots -= m_levels[n].demand.slots(now);
        }
        slots = std::max(slots, guaranteedShare * m_slots.slots());
        return ahead * (1 / slots);
    }

    Admission UrgencyWorkQueue::refuse(std::string_view why, Milliseconds retryAfter)
    {
        ++m_counts.refused;
        return { makeError(ResultCode::Overloaded, why), std::max(retryAfter, leastRetryAfter) };
    }

    bool UrgencyWorkQueue::makeRoom(Urgency urgency)
    {
        for (size_t n = urgencies - 1; n > levelOf(urgency); --n) {
            const WaitingWork* victim = m_levels[n].queue.leastDeserving();
            if (!victim)
                continue;
            shed(victim->work.id);
            return true;
        }
        return false;
    }

    void UrgencyWorkQueue::shed(WorkId id)
    {
        takeOut(id);
        m_shed.push_back(id);
        ++m_counts.shed;
    }

    WaitingWork UrgencyWorkQueue::takeOut(WorkId id)
    {
        auto it = m_waiting.find(id);
        WaitingWork waiting = std::move(it->second);
        m_waiting.erase(it);
        m_levels[levelOf(waiting.work.urgency)].queue.remove(waiting);
        return waiting;
    }

    void UrgencyWorkQueue::shedOverdue(Instant now)
    {
        for (auto& level : m_levels) {
            while (auto overdue = level.queue.firstOverdue(now))
                shed(*overdue);
        }
    }

    std::vector<WorkId> UrgencyWorkQueue::takeShed(Instant now)
    {
        shedOverdue(now);
        std::vector<WorkId> shed;
        shed.swap(m_shed);
        return shed;
    }

    std::optional<WorkId> UrgencyWorkQueue::start(Instant now)
    {
        shedOverdue(now);
        m_counts.overran += m_slots.reclassify(now);
        if (!m_slots.isFree())
            return std::nullopt;
        const Eligibility eligibility = m_slots.mayStartLong() ? Eligibility::Any : Eligibility::ShortOnly;
        const auto level = nextLevel(eligibility, now);
        if (!level)
            return std::nullopt;
        const WaitingWork waiting = takeOut(m_levels[*level].queue.next(eligibility)->work.id);
        m_levels[*level].queue.serve(waiting);
        creditLower(*level, waiting.cost);
        m_slots.start(waiting, now);
        ++m_counts.started;
        return waiting.work.id;
    }

    std::optional<size_t> UrgencyWorkQueue::nextLevel(Eligibility eligibility, Instant now) const
    {
        std::optional<size_t> highest;
        for (size_t n = 0; n < urgencies; ++n) {
            const Level& level = m_levels[n];
            if (!level.queue.has(eligibility))
                continue;
            if (!highest) {
                highest = n;
                if (level.queue.isPressed(now))
                    return n;
                continue;
            }
            if (level.credit >= level.queue.next(eligibility)->cost.count())
                return n;
        }
        return highest;
    }

    void UrgencyWorkQueue::creditLower(size_t served, Milliseconds cost)
    {
        m_levels[served].credit = std::max(0.0, m_levels[served].credit - cost.count());
        for (size_t n = served + 1; n < urgencies; ++n) {
            Level& level = m_levels[n];
            level.credit = level.queue.has(Eligibility::Any) ? level.credit + guaranteedShare * cost.count() : 0;
        }
    }

    void UrgencyWorkQueue::finish(WorkId id, Instant now)
    {
        m_counts.overran += m_slots.reclassify(now);
        const auto ended = m_slots.finish(id, now);
        if (!ended)
            return;
        m_runTimes.learn(ended->work.statement, ended->took, now);
        m_levels[levelOf(ended->work.urgency)].queue.correct(ended->work, ended->took - ended->cost);
    }

    void UrgencyWorkQueue::cancel(WorkId id)
    {
        if (m_waiting.count(id) > 0)
            takeOut(id);
    }

}

std::unique_ptr<WorkQueue> WorkQueue::create(const WorkQueueSettings& settings)
{
    return std::make_unique<UrgencyWorkQueue>(settings);
}

}
