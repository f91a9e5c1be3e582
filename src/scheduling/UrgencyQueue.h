#pragma once

#include "scheduling/ClassQueue.h"

#include <deque>
#include <set>

namespace parsleypaddle {

/// The waiting work of one urgency: steps of open transactions first, the rest weighted fair between workload classes.
class UrgencyQueue {
public:
    void add(const ScheduledWork&);
    void remove(const ScheduledWork&);

    /// Whether any waiting work is eligible.
    bool hasEligible(Eligibility) const;
    /// The work to start next; nullptr when none is eligible.
    const ScheduledWork* next(Eligibility) const;
    /// The work to shed first, from the class with the largest backlog relative to its weight; nullptr when no class has
    /// waiting work. Steps of open transactions are never candidates.
    const ScheduledWork* shedCandidate() const;

    /// Charges the class and the organisation with the estimated cost of work that is about to start.
    void charge(const ScheduledWork&);
    /// Corrects both charges by the `difference` between actual and estimated cost.
    void adjustCharge(const WorkItem&, Milliseconds difference);

    /// Estimated slot time of the waiting work, without steps of open transactions.
    Milliseconds backlog() const;
    /// Estimated slot time of the waiting work of this urgency that starts before `work`, with ideal fair shares between
    /// classes and organisations. Steps of open transactions are not counted. 0 when the organisation has no waiting work in the class.
    Milliseconds backlogAhead(const WorkItem&) const;

    /// Whether at least half of the time between arrival and latest start has passed for the work whose latest start comes
    /// first.
    bool isUnderDeadlinePressure(Instant now) const;

    /// The work whose latest start comes first, if that time has passed.
    std::optional<WorkId> firstOverdue(Instant now) const;

private:
    struct StartDeadline {
        Instant latestStart;
        /// Midpoint between arrival and latest start.
        Instant halfway;
        WorkId id;

        friend bool operator<(const StartDeadline& a, const StartDeadline& b)
        {
            return a.latestStart != b.latestStart ? a.latestStart < b.latestStart : a.id < b.id;
        }
    };

    static StartDeadline startDeadlineOf(const ScheduledWork&);

    /// Steps of open transactions, in order of arrival.
    std::deque<ScheduledWork> m_transactionSteps;
    std::map<ClassName, ClassQueue> m_classes;
    std::map<ClassName, double> m_weights;
    WeightedFairScheduler<ClassName> m_shares;
    std::set<StartDeadline> m_startDeadlines;
};

}
