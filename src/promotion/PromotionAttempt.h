#pragma once

#include "promotion/Promoter.h"

#include <vector>

namespace parsleypaddle {

/// One attempt to promote a target to primary at one term: fences a majority, in a planned change waits for the preferred
/// target to catch up, and promotes. It ends with success, an error or a timeout; answers that arrive after that, or after
/// its destruction, are ignored.
class PromotionAttempt {
public:
    /// The term of the attempt, its cause, which target is fenced first, and which is preferred for promotion.
    struct Plan {
        PromotionCause cause { PromotionCause::PrimarySilent };
        Term term;
        /// The primary, if it still serves. It is fenced before the other targets; if empty, all are fenced at once.
        TargetId currentPrimary;
        /// Promoted if it grants the term in time and no other fenced target has a more complete log. Empty for no preference.
        TargetId preferred;
    };

    /// Receives the report of the promotion, or the error that ended the attempt.
    using Done = std::function<void(absl::StatusOr<PromotionReport>)>;

    PromotionAttempt(EventLoop&, GroupControl&, const GroupConfiguration&, const PromoterSettings&, const Plan&, Done);
    ~PromotionAttempt();

    PromotionAttempt(const PromotionAttempt&) = delete;
    PromotionAttempt& operator=(const PromotionAttempt&) = delete;

    void start();

private:
    struct Grant {
        TargetId target;
        TargetStatus status;
    };

    bool isTermSuperseded() const;
    size_t majority() const { return m_group.targets.size() / 2 + 1; }
    void fence(const TargetId&);
    void fenceOthers();
    void fenceAnswered(const TargetId&, absl::StatusOr<TargetReply>);
    void awaitCatchUp(const TargetStatus& fencedPrimary, Instant until);
    bool hasCaughtUp(const TargetStatus& fencedPrimary) const;
    void promoteAfter(Milliseconds delay);
    void promoteBest();
    bool isBetter(const Grant&, const Grant&) const;
    void end(absl::StatusOr<PromotionReport>);

    EventLoop& m_loop;
    GroupControl& m_control;
    const GroupConfiguration& m_group;
    PromoterSettings m_settings;
    Plan m_plan;
    Done m_done;
    PromotionReport m_report;
    std::vector<Grant> m_grants;
    size_t m_pendingFences { 0 };
    bool m_isPreferredPending { false };
    bool m_isPromoting { false };
    TimerId m_timer { TimerId::None };
    std::shared_ptr<int> m_alive { std::make_shared<int>(0) };
};

}
