#pragma once

#include <absl/status/status.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace parsleypaddle {

/// The outcome of a request. Unknown means that it may or may not have run.
enum class Outcome : uint8_t {
    Done,
    NotRun,
    Unknown,
};

/// The result codes that callers, operators and other daemons receive; docs/RESULT_CODES.md documents each of them.
enum class ResultCode : uint16_t {
    Done = 1000,
    DoneEarlier = 1001,

    MalformedInput = 2001,
    UnknownField = 2002,
    WrongType = 2003,
    MissingField = 2004,
    WrongVersion = 2005,
    TooLarge = 2006,
    ValueOutOfRange = 2007,
    InputTooSlow = 2008,
    UnknownResource = 2009,

    UnknownDatabase = 2101,
    UnknownClass = 2102,
    TokenInvalid = 2103,
    RequestExpired = 2104,
    RequestIdReused = 2105,
    RequestSettled = 2106,

    NoPrimary = 2201,
    TargetBehind = 2202,
    NoReplica = 2203,
    TermChanged = 2204,
    NotHome = 2205,
    TargetLeaving = 2206,
    TargetUnreachable = 2207,
    PeerUnreachable = 2208,
    ConnectionClosed = 2209,

    Overloaded = 2301,
    DeadlinePassed = 2302,
    RetryBudgetSpent = 2303,

    TransactionUnknown = 2401,
    TransactionBusy = 2402,
    TransactionEnded = 2403,

    StatementFailed = 2501,
    Draining = 2601,
    KeyRefused = 2701,

    ConfigurationInvalid = 2801,
    ConfigurationConflict = 2802,
    ReasonMissing = 2803,
    PlatformUnavailable = 2901,

    OutcomeUnknown = 3001,
    NotConfirmed = 3002,
    TargetSilent = 3003,
    ConnectionLost = 3004,
    PeerSilent = 3005,
    AnswersOutOfStep = 3006,
};

/// The stable name and one-line meaning of a result code.
struct ResultCodeInfo {
    ResultCode code;
    std::string_view name;
    std::string_view meaning;
};

/// All result codes in ascending order.
const std::vector<ResultCodeInfo>& resultCodes();

/// The stable name of `code`, such as "target_behind".
std::string_view nameOf(ResultCode);

/// Whether `number` is the value of a ResultCode.
bool isResultCode(uint64_t number);

/// The outcome of a code: 1xxx is Done, 2xxx is NotRun, any other is Unknown.
Outcome outcomeOf(ResultCode);

/// The stable name of an outcome in messages: "done", "not_run", "unknown".
std::string_view nameOf(Outcome);

/// Creates an error status that carries `code` as a payload; `message` is free text for operators and logs.
absl::Status makeError(ResultCode, std::string_view message);

/// The code that `status` carries: Done for an ok status, OutcomeUnknown for an error that makeError() did not create.
ResultCode resultCodeOf(const absl::Status&);

}
