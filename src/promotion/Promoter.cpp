#include "promotion/Promoter.h"

#include "promotion/FailureDetector.h"
#include "promotion/PromotionAttempt.h"

#include <algorithm>
#include <random>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds checkInterval { 25 };
    constexpr Milliseconds maximumBackoff { 3000 };
    constexpr Milliseconds firstCommitRetryInterval { 250 };
    const OrganisationId promotionOrganisation("parsleypaddle-promotion");
    constexpr uint32_t maximumBackoffDoublings { 4 };

    class GroupPromoter final : public Promoter {
    public:
        GroupPromoter(EventLoop&, GroupControl&, const GroupConfiguration&, const PromoterSettings&);
        ~GroupPromoter() override { m_loop.cancel(m_timer); }

        void setRank(std::optional<uint32_t> rank) override { m_rank = rank; }
        void replacePrimary() override;
        void onPromoted(PromotedCallback promoted) override { m_promoted = std::move(promoted); }

    private:
        void scheduleCheck();
        void check();
        bool isRankDelayOver(const FailureDetector::DueChange&) const;
        void startChange(PromotionCause);
        void startAttempt(PromotionAttempt::Plan);
        Term nextTerm() const;
        TargetId bestReplica() const;
        void attemptEnded(const absl::StatusOr<PromotionReport>&);
        void backOff();
        bool isTermWithoutCommit() const;
        void checkFirstCommit();
        void writeFirstCommit();

        EventLoop& m_loop;
        GroupControl& m_control;
        GroupConfiguration m_group;
        PromoterSettings m_settings;
        FailureDetector m_detector;
        std::mt19937_64 m_random;
        std::optional<uint32_t> m_rank;
        PromotedCallback m_promoted;
        std::unique_ptr<PromotionAttempt> m_attempt;
        bool m_isChangeRequested { false };
        uint32_t m_failures { 0 };
        Instant m_nextAttemptAt;
        std::optional<Instant> m_withoutCommitSince;
        Instant m_nextFirstCommitAt;
        TimerId m_timer { TimerId::None };
    };

    GroupPromoter::GroupPromoter(EventLoop& loop, GroupControl& control, const GroupConfiguration& group, const PromoterSettings& settings)
        : m_loop(loop)
        , m_control(control)
        , m_group(group)
        , m_settings(settings)
        , m_detector(settings)
        , m_random(settings.seed)
    {
        scheduleCheck();
    }

    void GroupPromoter::scheduleCheck()
    {
        m_timer = m_loop.after(checkInterval, [this] {
            check();
            scheduleCheck();
        });
    }

    void GroupPromoter::check()
    {
        checkFirstCommit();
        const auto change = m_detector.evaluate(m_control.view(), m_loop.now());
        if (!change)
            m_failures = 0;
        if (m_attempt || m_loop.now() < m_nextAttemptAt)
            return;
        if (change && m_rank && isRankDelayOver(*change))
            startChange(change->cause);
        else if (m_isChangeRequested)
            startChange(PromotionCause::Planned);
    }

    bool GroupPromoter::isRankDelayOver(const FailureDetector::DueChange& change) const
    {
        return m_loop.now() - change.dueSince >= m_settings.rankDelay * *m_rank;
    }

    void GroupPromoter::replacePrimary()
    {
        m_isChangeRequested = true;
        check();
    }

    void GroupPromoter::startChange(PromotionCause cause)
    {
        PromotionAttempt::Plan plan;
        plan.cause = cause;
        plan.term = nextTerm();
        if (cause == PromotionCause::Planned) {
            plan.currentPrimary = m_control.view().primary;
            plan.preferred = bestReplica();
            m_isChangeRequested = false;
            if (plan.currentPrimary.isEmpty() || plan.preferred.isEmpty())
                return;
        }
        if (cause == PromotionCause::TargetOnLaterTerm) {
            plan.currentPrimary = m_control.view().primary;
            plan.preferred = plan.currentPrimary;
        }
        startAttempt(std::move(plan));
    }

    void GroupPromoter::startAttempt(PromotionAttempt::Plan plan)
    {
        m_attempt = std::make_unique<PromotionAttempt>(m_loop, m_control, m_group, m_settings, plan, [this](const auto& result) { attemptEnded(result); });
        m_attempt->start();
    }

    Term GroupPromoter::nextTerm() const
    {
        Term latest = m_control.view().term;
        for (const auto& it : m_control.view().targets)
            latest = std::max(latest, it.status.term);
        return latest.next();
    }

    TargetId GroupPromoter::bestReplica() const
    {
        const GroupView& view = m_control.view();
        const TargetView* best = nullptr;
        for (const auto& it : view.targets) {
            const bool isEligible = it.target != view.primary && !it.isSuspect && !it.status.isLeaving && it.status.term == view.term;
            if (isEligible && (!best || it.status.position > best->status.position))
                best = &it;
        }
        return best ? best->target : TargetId();
    }

    bool GroupPromoter::isTermWithoutCommit() const
    {
        const GroupView& view = m_control.view();
        const TargetView* primary = view.find(view.primary);
        return primary && primary->status.position > LogPosition() && primary->status.logTerm < view.term;
    }

    // Commits of older terms are safe only once a commit of the new term follows them: until then a target whose log ends
    // in a term in between could still be promoted over the targets that hold them. Unless a client writes first, the
    // promoter makes this commit.
    void GroupPromoter::checkFirstCommit()
    {
        if (!m_rank || !isTermWithoutCommit()) {
            m_withoutCommitSince.reset();
            return;
        }
        const Instant now = m_loop.now();
        if (!m_withoutCommitSince)
            m_withoutCommitSince = now;
        if (now - *m_withoutCommitSince < m_settings.rankDelay * *m_rank || now < m_nextFirstCommitAt)
            return;
        m_nextFirstCommitAt = now + firstCommitRetryInterval;
        writeFirstCommit();
    }

    void GroupPromoter::writeFirstCommit()
    {
        const GroupView& view = m_control.view();
        TargetBatch batch;
        batch.operation = TargetOperation::Settle;
        batch.term = view.term;
        batch.ledgerKey = { promotionOrganisation, RequestId("term-" + std::to_string(view.term.value())), view.term.value() };
        m_control.run(view.primary, batch, [](const absl::StatusOr<TargetReply>&) {});
    }

    // This runs in a callback of the attempt, so the attempt is destroyed in a later task of the event loop.
    void GroupPromoter::attemptEnded(const absl::StatusOr<PromotionReport>& result)
    {
        std::shared_ptr<PromotionAttempt> finished = std::move(m_attempt);
        m_loop.after(Milliseconds(0), [finished] { (void)finished; });
        if (!result.ok()) {
            backOff();
            return;
        }
        m_failures = 0;
        checkFirstCommit();
        if (m_promoted)
            m_promoted(*result);
    }

    void GroupPromoter::backOff()
    {
        const uint32_t doublings = std::min(m_failures, maximumBackoffDoublings);
        ++m_failures;
        const double factor = static_cast<double>(1U << doublings) * std::uniform_real_distribution<double>(0.2, 1)(m_random);
        m_nextAttemptAt = m_loop.now() + std::min(m_settings.rankDelay * factor, maximumBackoff);
    }

}

std::unique_ptr<Promoter> Promoter::create(EventLoop& loop, GroupControl& control, const GroupConfiguration& group, const PromoterSettings& settings)
{
    return std::make_unique<GroupPromoter>(loop, control, group, settings);
}

}
