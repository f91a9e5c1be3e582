#pragma once

#include "scheduling/ScheduledWork.h"
#include "scheduling/WeightedFairScheduler.h"

#include <deque>
#include <map>

namespace parsleypaddle {

/// The waiting work of one workload class: weighted fair between organisations, in order of arrival among the eligible work of an
/// organisation.
class ClassQueue {
public:
    void add(const ScheduledWork&);

    /// Removes work that is started, shed or cancelled.
    void remove(const ScheduledWork&);

    bool isEmpty() const { return m_organisations.empty(); }
    /// Whether any waiting work is eligible.
    bool hasEligible(Eligibility) const;

    /// The work to start next; nullptr when none is eligible.
    const ScheduledWork* next(Eligibility) const;

    /// The work to shed first: of the organisation with the largest backlog relative to its weight, the newest long work or, if it
    /// has none, the newest short work. nullptr when the queue is empty.
    const ScheduledWork* shedCandidate() const;

    /// Charges the organisation with the estimated cost of work that is about to start.
    void charge(const ScheduledWork&);
    /// Corrects the organisation's charge by the `difference` between actual and estimated cost.
    void adjustCharge(const WorkItem&, Milliseconds difference);

    /// Estimated slot time of all waiting work.
    Milliseconds backlog() const { return m_backlog; }

    /// Estimated slot time of the waiting work of this class that starts before new work of the organisation, with ideal fair shares
    /// between the organisations that have waiting work. 0 when none of the organisation's work waits.
    Milliseconds backlogAhead(const OrganisationId&, double weight) const;

private:
    struct OrganisationQueue {
        std::deque<ScheduledWork> shortWork;
        std::deque<ScheduledWork> longWork;
        double weight { 1 };
        Milliseconds backlog;

        bool isEmpty() const { return shortWork.empty() && longWork.empty(); }
        const ScheduledWork* next(Eligibility) const;
    };

    std::map<OrganisationId, OrganisationQueue> m_organisations;
    WeightedFairScheduler<OrganisationId> m_shares;
    Milliseconds m_backlog;
    double m_totalWeight { 0 };
    size_t m_shortWaiting { 0 };
};

}
