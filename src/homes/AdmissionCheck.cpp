#include "homes/AdmissionCheck.h"

#include "base/ResultCode.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle {

bool isStep(const StatementRequest& request, TransactionStep step)
{
    return request.transaction && request.transaction->step == step;
}

bool isPinned(const HomeCall& call)
{
    return call.operation == HomeOperation::Write && call.request.transaction && call.request.transaction->step != TransactionStep::Begin;
}

AdmissionCheck::AdmissionCheck(const EventLoop& loop, GroupHome& group, TargetId target, const HomeSettings& settings)
    : m_loop(loop)
    , m_group(group)
    , m_target(std::move(target))
    , m_settings(settings)
{
}

absl::Status AdmissionCheck::check(const HomeCall& call, size_t openTransactions, TargetShare share) const
{
    if (m_loop.now() >= call.request.deadline)
        return makeError(ResultCode::DeadlinePassed, "the deadline passed before the request reached the target's home");
    if (isPinned(call))
        return absl::OkStatus();
    const auto leavingSince = m_group.leavingSince(m_target);
    const Milliseconds grace = isPrimary() ? m_settings.leavingGrace : Milliseconds(0);
    if (leavingSince && m_loop.now() - *leavingSince >= grace && !m_settings.brokenRules.has(BrokenRule::Leaving))
        return makeError(ResultCode::TargetLeaving, absl::StrCat(m_target.value(), " is leaving"));
    // Transactions keep their connections while their callers think; the slots need some that are free.
    if (isStep(call.request, TransactionStep::Begin) && openTransactions + share.slots >= share.connections)
        return makeError(ResultCode::Overloaded, "too many transactions are open");
    if (isSuspect())
        return makeError(ResultCode::TargetUnreachable, absl::StrCat(m_target.value(), " does not answer"));
    if (call.operation != HomeOperation::Read && !isPrimary())
        return makeError(ResultCode::NoPrimary, absl::StrCat(m_target.value(), " is not the primary"));
    return absl::OkStatus();
}

// A primary without a majority may have been replaced: a write there would only be lost, and what a read finds there is
// no younger than its last majority.
bool AdmissionCheck::needsConfirmation(const HomeCall& call) const
{
    if (isPinned(call) || !isPrimary() || m_settings.brokenRules.has(BrokenRule::Confirmation))
        return false;
    const Milliseconds span = call.operation == HomeOperation::Read ? call.greatestAge : m_settings.majorityFreshness;
    return !m_group.control().isMajorityConfirmed(span);
}

absl::Status AdmissionCheck::unconfirmed(const HomeCall& call) const
{
    if (call.operation == HomeOperation::Read)
        return makeError(ResultCode::TargetBehind, absl::StrCat(m_target.value(), " was not confirmed as primary within the age that the read accepts"));
    return makeError(ResultCode::NoPrimary, absl::StrCat("no majority of the group confirms ", m_target.value(), " as primary"));
}

bool AdmissionCheck::isSuspect() const
{
    const TargetView* seen = m_group.view().find(m_target);
    return seen && seen->isSuspect;
}

}
