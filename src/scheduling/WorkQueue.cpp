#include "scheduling/WorkQueue.h"

#include "base/ResultCode.h"
#include "scheduling/ExecutionSlots.h"
#include "scheduling/OfferedLoad.h"
#include "scheduling/RunTimeEstimator.h"
#include "scheduling/UrgencyQueue.h"

#include <array>

namespace parsleypaddle {

namespace {

    constexpr size_t urgencyCount = 3;
    /// Share of the slot time that each lower urgency receives while a higher one has waiting work, unless that one is
    /// under deadline pressure.
    constexpr double guaranteedShare = 0.05;
    constexpr Milliseconds minRetryAfter { 20 };

    size_t levelOf(Urgency urgency)
    {
        return static_cast<size_t>(urgency);
    }

    /// Strict priority between urgencies, except for a small guaranteed share of the lower ones; weighted fair within one.
    class UrgencyWorkQueue final : public WorkQueue {
    public:
        explicit UrgencyWorkQueue(const WorkQueueSettings& settings) { apply(settings); }

        Admission offer(const WorkItem&, Instant now) override;
        std::vector<WorkId> collectShed(Instant now) override;
        std::optional<WorkId> startNext(Instant now) override;
        void finish(WorkId, Instant now) override;
        void cancel(WorkId) override;
        void setSettings(const WorkQueueSettings& settings) override { apply(settings); }
        size_t waitingCount() const override { return m_waiting.size(); }
        size_t runningCount() const override { return m_slots.running(); }
        WorkQueueCounts counts() const override { return m_counts; }

    private:
        struct Level {
            UrgencyQueue queue;
            /// Load of the work admitted at this level. Rejected work is not counted.
            OfferedLoad offeredLoad;
            /// Slot time in milliseconds that this level has accrued from the guaranteed share and not used yet.
            double credit { 0 };
        };

        void apply(const WorkQueueSettings&);
        void enqueue(const ScheduledWork&, Instant now);
        ScheduledWork withEstimates(const WorkItem&, Instant now) const;
        Milliseconds estimatedWait(const ScheduledWork&, Instant now) const;
        Admission reject(std::string_view why, Milliseconds retryAfter);
        bool shedLowerUrgency(Urgency);
        void shed(WorkId);
        ScheduledWork dequeue(WorkId);
        void shedOverdue(Instant now);
        std::optional<size_t> nextLevel(Eligibility, Instant now) const;
        void creditLowerLevels(size_t level, Milliseconds cost);

        WorkQueueSettings m_settings;
        ExecutionSlots m_slots;
        RunTimeEstimator m_runTimes;
        std::array<Level, urgencyCount> m_levels;
        std::map<WorkId, ScheduledWork> m_waiting;
        std::vector<WorkId> m_shed;
        WorkQueueCounts m_counts;
    };

    void UrgencyWorkQueue::apply(const WorkQueueSettings& settings)
    {
        m_settings = settings;
        m_slots.setSettings(settings);
    }

    Admission UrgencyWorkQueue::offer(const WorkItem& work, Instant now)
    {
        shedOverdue(now);
        const ScheduledWork scheduled = withEstimates(work, now);
        const Milliseconds left = work.deadline - now;
        if (left <= Milliseconds(0))
            return reject("the deadline has already passed", minRetryAfter);
        if (work.isTransactionStep) {
            enqueue(scheduled, now);
            return {};
        }
        const Milliseconds wait = estimatedWait(scheduled, now);
        const Milliseconds estimate = m_runTimes.estimate(work.statement, now).mean;
        // Work without an estimated wait is admitted even if its estimated run time exceeds the time left, because an
        // overestimate is corrected only by running the statement.
        if (wait > Milliseconds(0) && wait + estimate > left)
            return reject("the estimated wait and run time exceed the time left until the deadline", wait + estimate - left);
        if (m_waiting.size() >= m_settings.capacity && !shedLowerUrgency(work.urgency))
            return reject("the work queue of the target is full", std::max(wait, minRetryAfter));
        enqueue(scheduled, now);
        return {};
    }

    void UrgencyWorkQueue::enqueue(const ScheduledWork& scheduled, Instant now)
    {
        Level& level = m_levels[levelOf(scheduled.work.urgency)];
        level.offeredLoad.add(scheduled.cost, now);
        level.queue.add(scheduled);
        m_waiting[scheduled.work.id] = scheduled;
    }

    ScheduledWork UrgencyWorkQueue::withEstimates(const WorkItem& work, Instant now) const
    {
        const RunTimeEstimate estimate = m_runTimes.estimate(work.statement, now);
        ScheduledWork scheduled;
        scheduled.work = work;
        scheduled.cost = estimate.mean;
        scheduled.isLong = estimate.geometricMean > m_settings.longWorkThreshold && !work.isTransactionStep;
        const Milliseconds reserve = std::min(estimate.geometricMean, (work.deadline - work.arrived) * 0.5);
        scheduled.latestStart = work.deadline - reserve;
        return scheduled;
    }

    // Assumes that all waiting work of higher urgency starts first, and that newly arriving work of higher urgency occupies as
    // many slots as its offered load, which leaves out rejected work. At least the guaranteed share of the slots remains.
    // Waiting steps of open transactions are not counted as backlog.
    Milliseconds UrgencyWorkQueue::estimatedWait(const ScheduledWork& scheduled, Instant now) const
    {
        if (m_slots.hasFreeSlot() && m_waiting.empty())
            return Milliseconds(0);
        const size_t own = levelOf(scheduled.work.urgency);
        Milliseconds ahead = m_slots.remainingCost(now) + m_levels[own].queue.backlogAhead(scheduled.work);
        double slots = m_slots.slots();
        for (size_t n = 0; n < own; ++n) {
            ahead = ahead + m_levels[n].queue.backlog();
            slots -= m_levels[n].offeredLoad.busySlots(now);
        }
        slots = std::max(slots, guaranteedShare * m_slots.slots());
        return ahead * (1 / slots);
    }

    Admission UrgencyWorkQueue::reject(std::string_view why, Milliseconds retryAfter)
    {
        ++m_counts.rejected;
        return { makeError(ResultCode::Overloaded, why), std::max(retryAfter, minRetryAfter) };
    }

    bool UrgencyWorkQueue::shedLowerUrgency(Urgency urgency)
    {
        for (size_t n = urgencyCount - 1; n > levelOf(urgency); --n) {
            const ScheduledWork* victim = m_levels[n].queue.shedCandidate();
            if (!victim)
                continue;
            shed(victim->work.id);
            return true;
        }
        return false;
    }

    void UrgencyWorkQueue::shed(WorkId id)
    {
        dequeue(id);
        m_shed.push_back(id);
        ++m_counts.shed;
    }

    ScheduledWork UrgencyWorkQueue::dequeue(WorkId id)
    {
        auto it = m_waiting.find(id);
        ScheduledWork scheduled = std::move(it->second);
        m_waiting.erase(it);
        m_levels[levelOf(scheduled.work.urgency)].queue.remove(scheduled);
        return scheduled;
    }

    void UrgencyWorkQueue::shedOverdue(Instant now)
    {
        for (auto& level : m_levels) {
            while (auto overdue = level.queue.firstOverdue(now))
                shed(*overdue);
        }
    }

    std::vector<WorkId> UrgencyWorkQueue::collectShed(Instant now)
    {
        shedOverdue(now);
        std::vector<WorkId> shed;
        shed.swap(m_shed);
        return shed;
    }

    std::optional<WorkId> UrgencyWorkQueue::startNext(Instant now)
    {
        shedOverdue(now);
        m_counts.overruns += m_slots.reclassifyOverruns(now);
        if (!m_slots.hasFreeSlot())
            return std::nullopt;
        const Eligibility eligibility = m_slots.hasFreeSlotForLongWork() ? Eligibility::Any : Eligibility::ShortOnly;
        const auto level = nextLevel(eligibility, now);
        if (!level)
            return std::nullopt;
        const ScheduledWork scheduled = dequeue(m_levels[*level].queue.next(eligibility)->work.id);
        m_levels[*level].queue.charge(scheduled);
        creditLowerLevels(*level, scheduled.cost);
        m_slots.occupy(scheduled, now);
        ++m_counts.started;
        return scheduled.work.id;
    }

    std::optional<size_t> UrgencyWorkQueue::nextLevel(Eligibility eligibility, Instant now) const
    {
        std::optional<size_t> highest;
        for (size_t n = 0; n < urgencyCount; ++n) {
            const Level& level = m_levels[n];
            if (!level.queue.hasEligible(eligibility))
                continue;
            if (!highest) {
                highest = n;
                if (level.queue.isUnderDeadlinePressure(now))
                    return n;
                continue;
            }
            if (level.credit >= level.queue.next(eligibility)->cost.count())
                return n;
        }
        return highest;
    }

    void UrgencyWorkQueue::creditLowerLevels(size_t served, Milliseconds cost)
    {
        m_levels[served].credit = std::max(0.0, m_levels[served].credit - cost.count());
        for (size_t n = served + 1; n < urgencyCount; ++n) {
            Level& level = m_levels[n];
            level.credit = level.queue.hasEligible(Eligibility::Any) ? level.credit + guaranteedShare * cost.count() : 0;
        }
    }

    void UrgencyWorkQueue::finish(WorkId id, Instant now)
    {
        m_counts.overruns += m_slots.reclassifyOverruns(now);
        const auto finished = m_slots.release(id, now);
        if (!finished)
            return;
        m_runTimes.recordRun(finished->work.statement, finished->duration, now);
        m_levels[levelOf(finished->work.urgency)].queue.adjustCharge(finished->work, finished->duration - finished->cost);
    }

    void UrgencyWorkQueue::cancel(WorkId id)
    {
        if (m_waiting.count(id) > 0)
            dequeue(id);
    }

}

std::unique_ptr<WorkQueue> WorkQueue::create(const WorkQueueSettings& settings)
{
    return std::make_unique<UrgencyWorkQueue>(settings);
}

}
