#pragma once

#include "scheduling/ScheduledWork.h"
#include "scheduling/WeightedFairScheduler.h"

#include <deque>
#include <map>

namespace parsleypaddle {

/// The waiting work of one workload class, fair between shops and in order of arrival within one.
class ClassQueue {
public:
    void add(const WaitingWork&);

    /// Takes out work that is started, shed or cancelled.
    void remove(const WaitingWork&);

    bool isEmpty() const { return m_shops.empty(); }
    bool has(Eligibility) const;

    /// The work that is next; nullptr when none is eligible.
    const WaitingWork* next(Eligibility) const;

    /// The newest work of the shop that waits with the most for its weight: the first to be shed.
    const WaitingWork* leastDeserving() const;

    void serve(const WaitingWork&);
    void correct(const Work&, Milliseconds difference);

    /// Slot time of all waiting work.
    Milliseconds backlog() const { return m_backlog; }

    /// Slot time that this class is given before new work of `shop` would start, at fair shares.
    Milliseconds backlogAhead(const ShopId&, double weight) const;

private:
    struct ShopQueue {
        std::deque<WaitingWork> shortWork;
        std::deque<WaitingWork> longWork;
        double weight { 1 };
        Milliseconds backlog;

        bool isEmpty() const { return shortWork.empty() && longWork.empty(); }
        const WaitingWork* next(Eligibility) const;
    };

    std::map<ShopId, ShopQueue> m_shops;
    FairShares<ShopId> m_shares;
    Milliseconds m_backlog;
    double m_weights { 0 };
    size_t m_shortWaiting { 0 };
};

}
