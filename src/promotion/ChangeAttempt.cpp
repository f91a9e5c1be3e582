#include "promotion/ChangeAttempt.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <tuple>

namespace parsleypaddle {

namespace {

    constexpr Milliseconds catchUpCheck { 2 };
    /// How long a majority's grants wait for that of the preferred target.
    constexpr Milliseconds preferredPatience { 100 };

    TargetBatch batchOf(TargetOperation operation, Term term)
    {
        TargetBatch batch;
        batch.operation = operation;
        batch.term = term;
        return batch;
    }

}

ChangeAttempt::ChangeAttempt(EventLoop& loop, GroupControl& control, const GroupConfiguration& group, const PromoterSettings& settings, const Plan& plan, Ended ended)
    : m_loop(loop)
    , m_control(control)
    , m_group(group)
    , m_settings(settings)
    , m_plan(plan)
    , m_ended(std::move(ended))
    , m_isPreferredOutstanding(!m_plan.preferred.isEmpty())
{
    m_report.database = group.database;
    m_report.cause = plan.cause;
    m_report.term = plan.term;
    m_report.detectedAt = loop.now();
    const TargetView* primary = control.view().find(control.view().primary);
    m_report.primaryLastHeard = primary ? primary->heardAt : loop.now();
}

ChangeAttempt::~ChangeAttempt()
{
    m_loop.cancel(m_timer);
}

void ChangeAttempt::start()
{
    m_timer = m_loop.after(m_settings.fenceTimeout + m_settings.catchUpTimeout, [this] {
        m_timer = TimerId::None;
        end(makeError(ResultCode::TargetSilent, "no majority granted the term in time"));
    });
    if (m_plan.servingPrimary.isEmpty())
        fenceOthers();
    else
        fence(m_plan.servingPrimary);
}

bool ChangeAttempt::isOvertaken() const
{
    return m_control.view().term >= m_plan.term;
}

void ChangeAttempt::fence(const TargetId& target)
{
    ++m_outstanding;
    std::weak_ptr<int> alive = m_alive;
    m_control.run(target, batchOf(TargetOperation::Fence, m_plan.term), [this, alive, target](absl::StatusOr<TargetReply> reply) {
        if (!alive.expired())
            granted(target, std::move(reply));
    });
}

void ChangeAttempt::fenceOthers()
{
    // Answers may come while the loop still sends, so that one more is held outstanding until all are sent.
    ++m_outstanding;
    std::weak_ptr<int> alive = m_alive;
    for (const auto& it : m_group.targets) {
        if (it.id != m_plan.servingPrimary)
            fence(it.id);
        if (alive.expired())
            return;
    }
    --m_outstanding;
}

void ChangeAttempt::granted(const TargetId& target, absl::StatusOr<TargetReply> reply)
{
    --m_outstanding;
    m_isPreferredOutstanding = m_isPreferredOutstanding && target != m_plan.preferred;
    if (m_isPromoting)
        return;
    if (isOvertaken()) {
        end(makeError(ResultCode::TermChanged, "another primary came first"));
        return;
    }
    if (reply.ok())
        m_grants.push_back({ target, reply->status });
    if (target == m_plan.servingPrimary) {
        if (reply.ok())
            awaitLog(reply->status, m_loop.now() + m_settings.catchUpTimeout);
        else
            end(reply.status());
        return;
    }
    if (m_grants.size() >= majority() && !m_isPreferredOutstanding)
        promoteBest();
    else if (m_grants.size() == majority())
        promoteAfter(preferredPatience);
    else if (m_grants.size() + m_outstanding < majority())
        end(makeError(ResultCode::TermChanged, "no majority granted the term"));
}

// A fenced primary commits nothing more, and the others take the rest of its log until they are fenced too.
void ChangeAttempt::awaitLog(const TargetStatus& fencedPrimary, Instant until)
{
    if (holdsAll(fencedPrimary) || m_loop.now() >= until) {
        fenceOthers();
        return;
    }
    std::weak_ptr<int> alive = m_alive;
    const TargetBatch question = batchOf(TargetOperation::Status, Term());
    m_control.run(m_plan.preferred, question, [](const absl::StatusOr<TargetReply>&) {});
    m_loop.after(catchUpCheck, [this, alive, fencedPrimary, until] {
        if (!alive.expired())
            awaitLog(fencedPrimary, until);
    });
}

bool ChangeAttempt::holdsAll(const TargetStatus& fencedPrimary) const
{
    const TargetView* next = m_control.view().find(m_plan.preferred);
    if (!next || m_plan.preferred == m_plan.servingPrimary)
        return true;
    return next->status.logTerm == fencedPrimary.logTerm && next->status.position >= fencedPrimary.position;
}

void ChangeAttempt::promoteAfter(Milliseconds patience)
{
    std::weak_ptr<int> alive = m_alive;
    m_loop.after(patience, [this, alive] {
        if (!alive.expired() && !m_isPromoting)
            promoteBest();
    });
}

bool ChangeAttempt::isBetter(const Grant& a, const Grant& b) const
{
    const auto key = [this](const Grant& it) {
        return std::make_tuple(it.status.logTerm, it.status.position, it.target == m_plan.preferred, !it.status.isLeaving);
    };
    return key(a) > key(b);
}

// After a lost answer the target may have become primary, so that no other one is promoted at this term.
void ChangeAttempt::promoteBest()
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

void ChangeAttempt::end(absl::StatusOr<PromotionReport> result)
{
    m_alive.reset();
    m_loop.cancel(m_timer);
    m_timer = TimerId::None;
    const Ended ended = std::move(m_ended);
    ended(std::move(result));
}

}
