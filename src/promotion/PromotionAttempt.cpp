#include "promotion/PromotionAttempt.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <tuple>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds catchUpCheckInterval { 2 };
    /// How long the promotion waits for the preferred target's grant once a majority has granted the term.
    constexpr Milliseconds preferredTargetTimeout { 100 };

    TargetBatch batchOf(TargetOperation operation, Term term)
    {
        TargetBatch batch;
        batch.operation = operation;
        batch.term = term;
        return batch;
    }

}

PromotionAttempt::PromotionAttempt(EventLoop& loop, GroupControl& control, const GroupConfiguration& group, const PromoterSettings& settings, const Plan& plan, Done done)
    : m_loop(loop)
    , m_control(control)
    , m_group(group)
    , m_settings(settings)
    , m_plan(plan)
    , m_done(std::move(done))
    , m_isPreferredPending(!m_plan.preferred.isEmpty())
{
    m_report.database = group.database;
    m_report.cause = plan.cause;
    m_report.term = plan.term;
    m_report.startedAt = loop.now();
    const TargetView* primary = control.view().find(control.view().primary);
    m_report.primaryLastAnswerAt = primary ? primary->lastAnswerAt : loop.now();
}

PromotionAttempt::~PromotionAttempt()
{
    m_loop.cancel(m_timer);
}

void PromotionAttempt::start()
{
    m_timer = m_loop.after(m_settings.fenceTimeout + m_settings.catchUpTimeout, [this] {
        m_timer = TimerId::None;
        end(makeError(ResultCode::TargetSilent, "no target confirmed its promotion within the time limit of the attempt (fence timeout plus catch-up timeout)"));
    });
    if (m_plan.currentPrimary.isEmpty())
        fenceOthers();
    else
        fence(m_plan.currentPrimary);
}

bool PromotionAttempt::isTermSuperseded() const
{
    return m_control.view().term >= m_plan.term;
}

void PromotionAttempt::fence(const TargetId& target)
{
    ++m_pendingFences;
    std::weak_ptr<int> alive = m_alive;
    m_control.run(target, batchOf(TargetOperation::Fence, m_plan.term), [this, alive, target](absl::StatusOr<TargetReply> reply) {
        if (!alive.expired())
            fenceAnswered(target, std::move(reply));
    });
}

void PromotionAttempt::fenceOthers()
{
    // Fences can be answered during the loop. One extra pending fence keeps the attempt from failing for too few grants
    // before all fences are sent.
    ++m_pendingFences;
    std::weak_ptr<int> alive = m_alive;
    for (const auto& it : m_group.targets) {
        if (it.id != m_plan.currentPrimary)
            fence(it.id);
        if (alive.expired())
            return;
    }
    --m_pendingFences;
}

void PromotionAttempt::fenceAnswered(const TargetId& target, absl::StatusOr<TargetReply> reply)
{
    --m_pendingFences;
    m_isPreferredPending = m_isPreferredPending && target != m_plan.preferred;
    if (m_isPromoting)
        return;
    if (isTermSuperseded()) {
        end(makeError(ResultCode::TermChanged, "another target became primary at this term or a later one"));
        return;
    }
    if (reply.ok())
        m_grants.push_back({ target, reply->status });
    if (target == m_plan.currentPrimary) {
        if (reply.ok())
            awaitCatchUp(reply->status, m_loop.now() + m_settings.catchUpTimeout);
        else
            end(reply.status());
        return;
    }
    if (m_grants.size() >= majority() && !m_isPreferredPending)
        promoteBest();
    else if (m_grants.size() == majority())
        promoteAfter(preferredTargetTimeout);
    else if (m_grants.size() + m_pendingFences < majority())
        end(makeError(ResultCode::TermChanged, "too few targets granted the term for a majority; the others refused it or did not answer"));
}

// A fenced primary commits nothing more. The other targets replicate the rest of its log until they are fenced too, if they can reach it.
void PromotionAttempt::awaitCatchUp(const TargetStatus& fencedPrimary, Instant until)
{
    if (hasCaughtUp(fencedPrimary) || m_loop.now() >= until) {
        fenceOthers();
        return;
    }
    std::weak_ptr<int> alive = m_alive;
    const TargetBatch query = batchOf(TargetOperation::Status, Term());
    m_control.run(m_plan.preferred, query, [](const absl::StatusOr<TargetReply>&) {});
    m_loop.after(catchUpCheckInterval, [this, alive, fencedPrimary, until] {
        if (!alive.expired())
            awaitCatchUp(fencedPrimary, until);
    });
}

bool PromotionAttempt::hasCaughtUp(const TargetStatus& fencedPrimary) const
{
    const TargetView* next = m_control.view().find(m_plan.preferred);
    if (!next || m_plan.preferred == m_plan.currentPrimary)
        return true;
    return next->status.logTerm == fencedPrimary.logTerm && next->status.position >= fencedPrimary.position;
}

void PromotionAttempt::promoteAfter(Milliseconds delay)
{
    std::weak_ptr<int> alive = m_alive;
    m_loop.after(delay, [this, alive] {
        if (!alive.expired() && !m_isPromoting)
            promoteBest();
    });
}

bool PromotionAttempt::isBetter(const Grant& a, const Grant& b) const
{
    const auto key = [this](const Grant& it) {
        return std::make_tuple(it.status.logTerm, it.status.position, it.target == m_plan.preferred, !it.status.isLeaving);
    };
    return key(a) > key(b);
}

// If the answer to the promotion is lost, the target may still have become primary, so no other target is promoted at this term.
void PromotionAttempt::promoteBest()
{
    m_isPromoting = true;
    m_report.fencedAt = m_loop.now();
    const Grant best = *std::max_element(m_grants.begin(), m_grants.end(), [this](const Grant& a, const Grant& b) { return isBetter(b, a); });
    m_report.primary = best.target;
    std::weak_ptr<int> alive = m_alive;
    m_control.run(best.target, batchOf(TargetOperation::Promote, m_plan.term), [this, alive](const absl::StatusOr<TargetReply>& reply) {
        if (alive.expired())
            return;
        m_report.promotedAt = m_loop.now();
        if (reply.ok())
            end(m_report);
        else
            end(reply.status());
    });
}

void PromotionAttempt::end(absl::StatusOr<PromotionReport> result)
{
    m_alive.reset();
    m_loop.cancel(m_timer);
    m_timer = TimerId::None;
    const Done done = std::move(m_done);
    done(std::move(result));
}

}
