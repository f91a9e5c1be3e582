#pragma once

#include "promotion/Promoter.h"

#include <vector>

namespace parsleypaddle {

/// One attempt to change the primary at one term: fence, wait for the log where that is planned, promote.
/// It ends by itself; destroying it forgets the answers still due.
class ChangeAttempt {
public:
    /// What is to be done, and for which reason.
    struct Plan {
        PromotionCause cause { PromotionCause::PrimarySilent };
        Term term;
        /// The primary of a group in service, which is fenced first; empty when there is none.
        TargetId servingPrimary;
        /// The target to promote if no other holds more of the log; empty leaves the choice open.
        TargetId preferred;
    };

    /// The status of the new primary, or why there is none.
    using Ended = std::function<void(absl::StatusOr<PromotionReport>)>;

    ChangeAttempt(EventLoop&, GroupControl&, const GroupConfiguration&, const PromoterSettings&, const Plan&, Ended);
    ~ChangeAttempt();

    ChangeAttempt(const ChangeAttempt&) = delete;
    ChangeAttempt& operator=(const ChangeAttempt&) = delete;

    void start();

private:
    struct Grant {
        TargetId target;
        TargetStatus status;
    };

    bool isOvertaken() const;
    size_t majority() const { return m_group.targets.size() / 2 + 1; }
    void fence(const TargetId&);
    void fenceOthers();
    void granted(const TargetId&, absl::StatusOr<TargetReply>);
    void awaitLog(const TargetStatus& fencedPrimary, Instant until);
    bool holdsAll(const TargetStatus& fencedPrimary) const;
    void promoteAfter(Milliseconds patience);
    void promoteBest();
    bool isBetter(const Grant&, const Grant&) const;
    void end(absl::StatusOr<PromotionReport>);

    EventLoop& m_loop;
    GroupControl& m_control;
    const GroupConfiguration& m_group;
    PromoterSettings m_settings;
    Plan m_plan;
    Ended m_ended;
    PromotionReport m_report;
    std::vector<Grant> m_grants;
    size_t m_outstanding { 0 };
    bool m_isPreferredOutstanding { false };
    bool m_isPromoting { false };
    TimerId m_timer { TimerId::None };
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) };
};

}
