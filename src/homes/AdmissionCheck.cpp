#include "homes/AdmissionCheck.h"

#include "base/ResultCode.h"

#include <absl/strings/str_cat.h>

namespace parsleypaddle {

bool isStep(const StatementRequest& request, TransactionStep step)
{
    return request.transaction && request.transaction->step == step;
}

bool isInOpenTransaction(const HomeCall& call)
{
    return call.operation == HomeOperation::Write && call.request.transaction && call.request.transaction->step != TransactionStep::Begin;
}

AdmissionCheck::AdmissionCheck(const EventLoop& loop, GroupMonitor& group, TargetId target, const HomeSettings& settings)
    : m_loop(loop)
    , m_group(group)
    , m_target(std::move(target))
    , m_settings(settings)
{
}

absl::Status AdmissionCheck::check(const HomeCall& call, size_t openTransactions, TargetShare share) const
{
    if (m_loop.now() >= call.request.deadline)
        return makeError(ResultCode::DeadlinePassed, "the deadline passed before the request reached the daemon that serves the target");
    if (isInOpenTransaction(call))
        return absl::OkStatus();
    const auto leavingSince = m_group.leavingSince(m_target);
    const Milliseconds grace = isPrimary() ? m_settings.leavingGracePeriod : Milliseconds(0);
    if (leavingSince && m_loop.now() - *leavingSince >= grace && !m_settings.brokenRules.isDisabled(BrokenRule::Leaving))
        return makeError(ResultCode::TargetLeaving, absl::StrCat(m_target.value(), " is shutting down and accepts no new work"));
    // An open transaction holds its connection even between statements. Other statements need one free connection per slot.
    if (isStep(call.request, TransactionStep::Begin) && openTransactions + share.slots >= share.connections)
        return makeError(ResultCode::Overloaded, "too many transactions are open at the target; this daemon's remaining connections to it are reserved for other statements");
    if (isSuspect())
        return makeError(ResultCode::TargetUnreachable, absl::StrCat(m_target.value(), " is not reachable: new connections to it fail or time out"));
    if (call.operation != HomeOperation::Read && !isPrimary())
        return makeError(ResultCode::NoPrimary, absl::StrCat(m_target.value(), " is not the primary of its group, so it accepts only reads"));
    return absl::OkStatus();
}

// A primary that was not confirmed by a majority may have been replaced. A write to it may then be lost, and a read from it
// may miss the commits since the last confirmation.
bool AdmissionCheck::needsConfirmation(const HomeCall& call) const
{
    if (isInOpenTransaction(call) || !isPrimary() || m_settings.brokenRules.isDisabled(BrokenRule::Confirmation))
        return false;
    const Milliseconds span = call.operation == HomeOperation::Read ? call.greatestAge : m_settings.maxConfirmationAge;
    return !m_group.control().isPrimaryConfirmedByMajority(span);
}

absl::Status AdmissionCheck::confirmationError(const HomeCall& call) const
{
    if (call.operation == HomeOperation::Read)
        return makeError(ResultCode::TargetBehind, absl::StrCat(m_target.value(), " was not confirmed as primary by a majority within the read's maximum staleness"));
    return makeError(ResultCode::NoPrimary, absl::StrCat("no majority of the group confirms ", m_target.value(), " as primary"));
}

bool AdmissionCheck::isSuspect() const
{
    const TargetView* targetView = m_group.view().find(m_target);
    return targetView && targetView->isSuspect;
}

}
