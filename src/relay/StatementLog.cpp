#include "relay/StatementLog.h"

#include "base/ResultCode.h"

#include <algorithm>
#include <array>

namespace parsleypaddle {

namespace {

    constexpr std::array<const char*, 14> errorNames { "none", "busy", "aborted", "lagging", "read_only", "misrouted", "too_many_connections", "unknown_database", "malformed", "unknown_statement", "unauthorized", "failed", "in_doubt", "timed_out" };

    struct ErrorCode {
        RelayError error;
        ResultCode code;
    };

    /// Result codes under which the metrics count errors; errors not listed count as OutcomeUnknown.
    constexpr std::array<ErrorCode, 10> errorCodes { {
        { RelayError::None, ResultCode::Done },
        { RelayError::Busy, ResultCode::Overloaded },
        { RelayError::Aborted, ResultCode::TransactionEnded },
        { RelayError::Lagging, ResultCode::TargetBehind },
        { RelayError::ReadOnly, ResultCode::NoPrimary },
        { RelayError::UnknownDatabase, ResultCode::UnknownDatabase },
        { RelayError::UnknownStatement, ResultCode::UnknownResource },
        { RelayError::Unauthorized, ResultCode::KeyRefused },
        { RelayError::Failed, ResultCode::StatementFailed },
        { RelayError::TimedOut, ResultCode::TargetSilent },
    } };

    ResultCode resultCodeFor(RelayError error)
    {
        for (const auto& it : errorCodes) {
            if (it.error == error)
                return it.code;
        }
        return ResultCode::OutcomeUnknown;
    }

    std::string describePrimary(const PrimaryView& belief)
    {
        return belief.primary.value() + " in term " + std::to_string(belief.term.value()) + (belief.isAvailable ? ", current" : ", unknown or being replaced");
    }

}

void logStatement(RelayGroup& group, std::string_view event, const RelayJob& job, const TargetId& target, RelayError error, std::string_view why)
{
    const auto required = group.requiredMark(job);
    group.log().write(event, {
                                 { "request", job.step.id.value() },
                                 { "caller", job.caller.value() },
                                 { "database", job.route->database.value() },
                                 { "group", group.id().value() },
                                 { "error", errorNames.at(static_cast<size_t>(error)) },
                                 { "why", std::string(why) },
                                 { "target", target.value() },
                                 { "needs", job.needsPrimary() ? "primary" : required ? textOf(*required)
                                                                                      : "no recent log position known" },
                                 { "primary", describePrimary(group.primary()) },
                                 { "lease", group.isLeaseValid() ? "valid" : "ended" },
                                 { "after_ms", std::to_string(static_cast<int64_t>((group.loop().now() - job.arrived).count())) },
                             });
}

void logSessionSetupRefused(RelayGroup& group, const RelayJob& job, const RelaySlot& slot, const RelayAnswer& refused)
{
    group.metrics().count(MetricCounter::SessionSetupsRefused);
    group.log().write("session_setup_refused", {
                                                   { "request", job.step.id.value() },
                                                   { "target", slot.target().value() },
                                                   { "connection", std::to_string(slot.connectionNumber()) },
                                                   { "error", errorNames.at(static_cast<size_t>(refused.error)) },
                                                   { "why", refused.errorText },
                                                   { "prepared", std::to_string(slot.session().preparedCount()) },
                                               });
}

void logPreparedStatementLost(RelayGroup& group, const RelayJob& job, const RelaySlot& slot)
{
    group.metrics().count(MetricCounter::PreparedStatementsLost);
    group.log().write("prepared_statement_lost", {
                                                     { "request", job.step.id.value() },
                                                     { "target", slot.target().value() },
                                                     { "connection", std::to_string(slot.connectionNumber()) },
                                                     { "definition", job.definition },
                                                     { "prepared", std::to_string(slot.session().preparedCount()) },
                                                 });
}

void recordSessionSetup(RelayGroup& group, const SessionSetup& setup)
{
    const bool isDropping = std::any_of(setup.steps.begin(), setup.steps.end(), [](const RelayStep& it) { return it.kind == RelayKind::Deallocate; });
    if (isDropping)
        group.metrics().count(MetricCounter::PreparedStatementsDropped);
}

void recordStatementMetrics(RelayGroup& group, const RelayJob& job, RelayError error)
{
    RequestMeasure measure;
    measure.organisation = job.caller;
    measure.workload = ClassName(job.route->database.value());
    measure.code = resultCodeFor(error);
    measure.total = group.loop().now() - job.arrived;
    measure.wasRead = !job.isWrite && !job.beginKind;
    group.metrics().recordRequest(measure);
}

}
