#pragma once

#include "scheduling/ClassQueue.h"

#include <deque>
#include <set>

namespace parsleypaddle {

/// The waiting work of one urgency, fair between its classes.
class UrgencyQueue {
public:
    void add(const WaitingWork&);
    void remove(const WaitingWork&);

    bool has(Eligibility) const;
    const WaitingWork* next(Eligibility) const;
    const WaitingWork* leastDeserving() const;

    /// Work was chosen to start: charges it to its class and shop.
    void serve(const WaitingWork&);
    /// Started work took `difference` more than was charged.
    void correct(const Work&, Milliseconds difference);

    Milliseconds backlog() const;
    /// Slot time given to this urgency before `work` would start, at fair shares.
    Milliseconds backlogAhead(const Work&) const;

    /// Whether work that waits has used up half of the time that its deadline leaves.
    bool isPressed(Instant now) const;

    /// The work whose latest start comes first, if that has passed.
    std::optional<WorkId> firstOverdue(Instant now) const;

private:
    struct Deadline {
        Instant latestStart;
        Instant halfway;
        WorkId id;

        friend bool operator<(const Deadline& a, const Deadline& b)
        {
            return a.latestStart != b.latestStart ? a.latestStart < b.latestStart : a.id < b.id;
        }
    };

    static Deadline deadlineOf(const WaitingWork&);

    /// Steps of open transactions, in order of arrival.
    std::deque<WaitingWork> m_continuations;
    std::map<ClassName, ClassQueue> m_classes;
    std::map<ClassName, double> m_weights;
    FairShares<ClassName> m_shares;
    std::set<Deadline> m_deadlines;
};

}
