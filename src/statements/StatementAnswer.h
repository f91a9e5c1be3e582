#pragma once

#include "base/ResultCode.h"
#include "statements/StatementRequest.h"

namespace parsleypaddle {

/// How far a write is known to have been committed and replicated.
enum class AckLevel : uint8_t {
    /// Nothing is known, or the statement was a read.
    None,
    /// The primary committed it.
    Committed,
    /// After the primary's commit, a majority of the group was still on the primary's term.
    TermConfirmed,
    /// A majority of the group is on the primary's term and has the log up to the write's position.
    Replicated,
};

/// The answer to a caller's request. The outcome follows from `code`.
struct StatementAnswer {
    RequestId id;
    ResultCode code { ResultCode::OutcomeUnknown };
    std::string message;
    Rows rows;
    /// The session token that the caller sends with the session's next request, to any daemon.
    std::string token;
    AckLevel ackLevel { AckLevel::None };
    TransactionId transaction;
    /// The target that ran the statement; empty when none did.
    TargetId target;
    /// Age of the data read, as reported by the target.
    Milliseconds age;
    /// How long a rejected caller should wait before it retries; zero when no time is suggested.
    Milliseconds retryAfter;

    Outcome outcome() const { return outcomeOf(code); }
};

}
