#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <map>
#include <memory>
#include <set>
#include <utility>

namespace parsleypaddle {

/// Kind of statement, whose usual delay is known: its database, and whether only the primary can run it.
using StatementKind = std::pair<DatabaseId, bool>;

/// How slow the homes of one group are compared with each other, from the answers that one daemon gets. The delay of an answer is
/// taken as the product of the usual delay of its kind of statement and the slowness of its home, so that the few statements which
/// a daemon sends are evidence for all kinds. Reads no clock: callers pass the time.
class HomeDelays {
public:
    /// A statement that a home has not answered yet. Ends with the lifetime of this object, which may exceed that of HomeDelays.
    class Outstanding {
    public:
        Outstanding(std::weak_ptr<std::multiset<Instant>>, Instant);
        ~Outstanding();
        Outstanding(const Outstanding&) = delete;
        Outstanding& operator=(const Outstanding&) = delete;

    private:
        std::weak_ptr<std::multiset<Instant>> m_home;
        Instant m_since;
    };

    /// Records that a statement was sent.
    std::unique_ptr<Outstanding> recordSent(const InstanceId& home, Instant now);
    /// Records a statement that the home ran and answered after `delay`.
    void recordAnswer(const StatementKind&, const InstanceId& home, Milliseconds delay, Instant now);

    /// Expected delay of a statement at the home; `fallback`: the usual delay of a kind that was not answered yet.
    Milliseconds expectedDelay(const StatementKind&, const InstanceId& home, Milliseconds fallback, Instant now) const;

private:
    struct Home {
        double slowness { 1 };
        Instant updatedAt;
        /// When the statements that wait for an answer were sent.
        std::shared_ptr<std::multiset<Instant>> outstanding { std::make_shared<std::multiset<Instant>>() };

        double slownessAt(Instant now) const;
    };

    std::map<StatementKind, Milliseconds> m_usual;
    std::map<InstanceId, Home> m_homes;
};

}
