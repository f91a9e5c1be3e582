#include "base/ResultCode.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    constexpr std::string_view payloadUrl = "parsleypaddle/result-code";
    constexpr uint16_t codesPerOutcome = 1000;

    const ResultCodeInfo* find(ResultCode code)
    {
        const auto& all = resultCodes();
        auto it = std::find_if(all.begin(), all.end(), [code](const ResultCodeInfo& info) { return info.code == code; });
        return it == all.end() ? nullptr : &*it;
    }

    absl::StatusCode statusCodeOf(Outcome outcome)
    {
        return outcome == Outcome::NotRun ? absl::StatusCode::kFailedPrecondition : absl::StatusCode::kUnknown;
    }

}

const std::vector<ResultCodeInfo>& resultCodes()
{
    static const std::vector<ResultCodeInfo> codes {
        { ResultCode::Done, "done", "the request ran and its answer is whole" },
        { ResultCode::DoneEarlier, "done_earlier", "the request had run before under the same id; it did not run again" },
        { ResultCode::MalformedInput, "malformed_input", "the body is not one JSON object" },
        { ResultCode::UnknownField, "unknown_field", "the input has a field that this version does not know" },
        { ResultCode::WrongType, "wrong_type", "a field has another type than expected" },
        { ResultCode::MissingField, "missing_field", "a required field is absent" },
        { ResultCode::WrongVersion, "wrong_version", "the input is of another version of the interface" },
        { ResultCode::TooLarge, "too_large", "the input exceeds the stated size" },
        { ResultCode::ValueOutOfRange, "value_out_of_range", "a field's value is outside its range" },
        { ResultCode::InputTooSlow, "input_too_slow", "the input did not arrive whole within the stated time" },
        { ResultCode::UnknownResource, "unknown_resource", "no such path or method" },
        { ResultCode::UnknownDatabase, "unknown_database", "no database group of that name is configured" },
        { ResultCode::UnknownClass, "unknown_class", "no workload class of that name is configured" },
        { ResultCode::TokenInvalid, "token_invalid", "the session token is damaged, forged or signed by a retired key" },
        { ResultCode::RequestExpired, "request_expired", "the request id is older than ledger entries are kept" },
        { ResultCode::RequestIdReused, "request_id_reused", "the request id was used for another statement" },
        { ResultCode::RequestSettled, "request_settled", "the request was settled as not run and will never run" },
        { ResultCode::NoPrimary, "no_primary", "no primary with a confirmed majority is in reach" },
        { ResultCode::TargetBehind, "target_behind", "the target has not yet applied what the read requires" },
        { ResultCode::NoReplica, "no_replica", "no target in reach can serve the read as required" },
        { ResultCode::TermChanged, "term_changed", "the target refused a statement of another term" },
        { ResultCode::NotHome, "not_home", "the daemon is not the home of the target" },
        { ResultCode::TargetLeaving, "target_leaving", "the target is leaving and takes no new work" },
        { ResultCode::TargetUnreachable, "target_unreachable", "no connection to the target could be opened" },
        { ResultCode::PeerUnreachable, "peer_unreachable", "the daemon that owns the target could not be reached" },
        { ResultCode::ConnectionClosed, "connection_closed", "the connection to the target was closed before anything was sent on it" },
        { ResultCode::Overloaded, "overloaded", "the request was shed before it ran; try again after the hint" },
        { ResultCode::DeadlinePassed, "deadline_passed", "the deadline passed before the request was run" },
        { ResultCode::RetryBudgetSpent, "retry_budget_spent", "a retry was due but the retry budget is spent" },
        { ResultCode::TransactionUnknown, "transaction_unknown", "no open transaction has that id" },
        { ResultCode::TransactionBusy, "transaction_busy", "the transaction is still running a statement" },
        { ResultCode::TransactionEnded, "transaction_ended", "the transaction was rolled back" },
        { ResultCode::StatementFailed, "statement_failed", "the target refused the statement and rolled it back" },
        { ResultCode::Draining, "draining", "the daemon is leaving and takes no new requests" },
        { ResultCode::KeyRefused, "key_refused", "the key is missing or wrong" },
        { ResultCode::ConfigurationInvalid, "configuration_invalid", "the configuration has faults" },
        { ResultCode::ConfigurationConflict, "configuration_conflict", "another change was accepted first" },
        { ResultCode::ReasonMissing, "reason_missing", "an exception needs a written reason" },
        { ResultCode::PlatformUnavailable, "platform_unavailable", "the platform's store did not answer" },
        { ResultCode::OutcomeUnknown, "outcome_unknown", "it could not be settled in time whether the request ran; ask again with the same id" },
        { ResultCode::NotConfirmed, "not_confirmed", "the write ran but its survival was not confirmed in time; ask again with the same id" },
        { ResultCode::TargetSilent, "target_silent", "the target did not answer in time" },
        { ResultCode::ConnectionLost, "connection_lost", "the connection to the target was lost in the middle of the work" },
        { ResultCode::PeerSilent, "peer_silent", "the daemon that owns the target did not answer in time" },
        { ResultCode::AnswersOutOfStep, "answers_out_of_step", "the answers of the target do not fit the statements that it was sent" },
    };
    return codes;
}

std::string_view nameOf(ResultCode code)
{
    const ResultCodeInfo* info = find(code);
    return info ? info->name : "unlisted";
}

bool isResultCode(uint64_t number)
{
    return number <= UINT16_MAX && find(static_cast<ResultCode>(number));
}

Outcome outcomeOf(ResultCode code)
{
    switch (static_cast<uint16_t>(code) / codesPerOutcome) {
    case 1:
        return Outcome::Done;
    case 2:
        return Outcome::NotRun;
    default:
        return Outcome::Unknown;
    }
}

std::string_view nameOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Done:
        return "done";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

absl::Status makeError(ResultCode code, std::string_view message)
{
    absl::Status status(statusCodeOf(outcomeOf(code)), absl::string_view(message.data(), message.size()));
    const absl::string_view url(payloadUrl.data(), payloadUrl.size());
    status.SetPayload(url, absl::Cord(absl::StrCat(static_cast<uint16_t>(code))));
    return status;
}

ResultCode resultCodeOf(const absl::Status& status)
{
    if (status.ok())
        return ResultCode::Done;
    const auto payload = status.GetPayload(absl::string_view(payloadUrl.data(), payloadUrl.size()));
    uint32_t number = 0;
    if (!payload || !absl::SimpleAtoi(std::string(*payload), &number) || !isResultCode(number))
        return ResultCode::OutcomeUnknown;
    return static_cast<ResultCode>(number);
}

}
