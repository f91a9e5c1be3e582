#include "scheduling/WorkQueue.h"

#include "base/ResultCode.h"
#include "scheduling/ExecutionSlots.h"
#include "scheduling/OfferedLoad.h"
#include "scheduling/OrganisationShares.h"
#include "scheduling/RunTimeEstimator.h"
#include "scheduling/UrgencyQueue.h"

#include <array>

namespace parsleypaddle {

namespace {

    constexpr size_t urgencyCount = 4;
    /// The urgencies of work that is in time, then those of late work.
    constexpr size_t levelCount = 2 * urgencyCount;
    /// Share of the slot time that each lower urgency receives while a higher one has waiting work, unless that one is
    /// under deadline pressure.
    constexpr double guaranteedShare = 0.05;
    constexpr Milliseconds minRetryAfter { 20 };

    /// Late work is refused when work that is in time leaves it less than this share of the slots. The estimate of the load is
    /// not exact enough to tell a smaller share from none.
    constexpr double minSpareShare = 0.05;
    /// How often the wait of late work is estimated again. The estimate visits all classes and organisations with waiting work.
    constexpr Milliseconds lateCheckInterval { 10 };

    size_t levelOf(const ScheduledWork& scheduled)
    {
        return static_cast<size_t>(scheduled.work.urgency) + (scheduled.isLate ? urgencyCount : 0);
    }

    /// Strict priority between urgencies, except for a small guaranteed share of the lower ones; weighted fair within one.
    /// Late work of any urgency runs after all work that is in time, and has no guaranteed share.
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
        double slotsFor(size_t level, Instant now) const;
        Milliseconds backlogAbove(size_t level) const;
        Admission reject(std::string_view why, Milliseconds retryAfter);
        bool shedBelow(size_t level);
        void makeLate(WorkId, Instant now);
        void shedHopeless(Instant now);
        void shed(WorkId);
        ScheduledWork dequeue(WorkId);
        void shedOverdue(Instant now);
        std::optional<size_t> nextLevel(Eligibility, Instant now) const;
        void creditLowerLevels(size_t level, Milliseconds cost);

        WorkQueueSettings m_settings;
        ExecutionSlots m_slots;
        RunTimeEstimator m_runTimes;
        OrganisationShares m_shares;
        std::array<Level, levelCount> m_levels;
        std::map<WorkId, ScheduledWork> m_waiting;
        Instant m_lateCheckedAt;
        std::vector<WorkId> m_shed;
        WorkQueueCounts m_counts;
    };

    void UrgencyWorkQueue::apply(const WorkQueueSettings& settings)
    {
        m_settings = settings;
        m_slots.setSettings(settings);
        m_shares.setSlots(m_slots.slots());
    }

    Admission UrgencyWorkQueue::offer(const WorkItem& work, Instant now)
    {
        shedOverdue(now);
        ScheduledWork scheduled = withEstimates(work, now);
        const Milliseconds left = work.deadline - now;
        if (left <= Milliseconds(0))
            return reject("the deadline has already passed", minRetryAfter);
        if (work.isTransactionStep) {
            enqueue(scheduled, now);
            return {};
        }
        Milliseconds wait = estimatedWait(scheduled, now);
        const Milliseconds estimate = m_runTimes.estimate(work.statement, now).mean;
        const bool isBeyondShare = work.isLimitedToShare && m_shares.isBeyondShare(work.organisation, estimate, now);
        const bool missesObjective = work.objective && (*work.objective <= now || (wait > Milliseconds(0) && now + wait + estimate > *work.objective));
        if (isBeyondShare || missesObjective) {
            scheduled.isLate = true;
            scheduled.latestStart = scheduled.finalStart;
            wait = estimatedWait(scheduled, now);
        }
        // Work without an estimated wait is admitted even if its estimated run time exceeds the time left, because an
        // overestimate is corrected only by running the statement.
        if (wait > Milliseconds(0) && wait + estimate > left)
            return reject("the estimated wait and run time exceed the time left until the deadline", wait + estimate - left);
        if (m_waiting.size() >= m_settings.capacity && !shedBelow(levelOf(scheduled)))
            return reject("the work queue of the target is full", std::max(wait, minRetryAfter));
        enqueue(scheduled, now);
        return {};
    }

    void UrgencyWorkQueue::enqueue(const ScheduledWork& scheduled, Instant now)
    {
        Level& level = m_levels[levelOf(scheduled)];
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
        scheduled.finalStart = work.deadline - reserve;
        const bool hasObjective = work.objective && !work.isTransactionStep;
        scheduled.latestStart = hasObjective ? *work.objective - std::min(reserve, (*work.objective - work.arrived) * 0.5) : scheduled.finalStart;
        return scheduled;
    }

    // Assumes that all waiting work of higher levels starts first, and that newly arriving work of higher levels occupies as
    // many slots as its offered load, which leaves out rejected work. At least the guaranteed share of the slots remains.
    // Waiting steps of open transactions are not counted as backlog.
    Milliseconds UrgencyWorkQueue::estimatedWait(const ScheduledWork& scheduled, Instant now) const
    {
        if (m_slots.hasFreeSlot() && m_waiting.empty())
            return Milliseconds(0);
        const size_t own = levelOf(scheduled);
        const Milliseconds ahead = m_slots.remainingCost(now) + m_levels[own].queue.backlogAhead(scheduled.work) + backlogAbove(own);
        return ahead * (1 / slotsFor(own, now));
    }

    Milliseconds UrgencyWorkQueue::backlogAbove(size_t level) const
    {
        Milliseconds sum;
        for (size_t n = 0; n < level; ++n)
            sum = sum + m_levels[n].queue.backlog();
        return sum;
    }

    double UrgencyWorkQueue::slotsFor(size_t level, Instant now) const
    {
        double slots = m_slots.slots();
        for (size_t n = 0; n < level; ++n)
            slots -= m_levels[n].offeredLoad.busySlots(now);
        return std::max(slots, (level < urgencyCount ? guaranteedShare : minSpareShare) * m_slots.slots());
    }

    Admission UrgencyWorkQueue::reject(std::string_view why, Milliseconds retryAfter)
    {
        ++m_counts.rejected;
        return { makeError(ResultCode::Overloaded, why), std::max(retryAfter, minRetryAfter) };
    }

    bool UrgencyWorkQueue::shedBelow(size_t level)
    {
        for (size_t n = levelCount - 1; n > level; --n) {
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
        m_levels[levelOf(scheduled)].queue.remove(scheduled);
        return scheduled;
    }

    void UrgencyWorkQueue::shedOverdue(Instant now)
    {
        for (auto& level : m_levels) {
            while (auto overdue = level.queue.firstOverdue(now)) {
                if (m_waiting.at(*overdue).finalStart > now)
                    makeLate(*overdue, now);
                else
                    shed(*overdue);
            }
        }
        shedHopeless(now);
    }

    void UrgencyWorkQueue::makeLate(WorkId id, Instant now)
    {
        ScheduledWork scheduled = dequeue(id);
        scheduled.isLate = true;
        scheduled.latestStart = scheduled.finalStart;
        // Its cost is part of the offered load of its first level already.
        m_levels[levelOf(scheduled)].queue.add(scheduled);
        m_waiting[id] = std::move(scheduled);
        m_lateCheckedAt = std::min(m_lateCheckedAt, now - lateCheckInterval);
    }

    // A caller that is refused can still try elsewhere, so late work does not wait for a slot that it will probably not get. What
    // waits longest is kept, because it starts first.
    void UrgencyWorkQueue::shedHopeless(Instant now)
    {
        if (now - m_lateCheckedAt < lateCheckInterval)
            return;
        m_lateCheckedAt = now;
        for (size_t n = levelCount - 1; n >= urgencyCount; --n) {
            UrgencyQueue& queue = m_levels[n].queue;
            while (const ScheduledWork* last = queue.shedCandidate()) {
                const Milliseconds ahead = m_slots.remainingCost(now) + backlogAbove(n) + queue.backlog() - last->cost;
                if (now + ahead * (1 / slotsFor(n, now)) <= last->finalStart)
                    break;
                shed(last->work.id);
            }
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
        m_counts.startedLate += scheduled.isLate ? 1 : 0;
        return scheduled.work.id;
    }

    std::optional<size_t> UrgencyWorkQueue::nextLevel(Eligibility eligibility, Instant now) const
    {
        std::optional<size_t> highest;
        for (size_t n = 0; n < levelCount; ++n) {
            const Level& level = m_levels[n];
            if (!level.queue.hasEligible(eligibility))
                continue;
            if (n >= urgencyCount)
                return highest ? highest : n;
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
        const ScheduledWork& scheduled = finished->scheduled;
        m_runTimes.recordRun(scheduled.work.statement, finished->duration, now);
        m_levels[levelOf(scheduled)].queue.adjustCharge(scheduled.work, finished->duration - scheduled.cost);
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
