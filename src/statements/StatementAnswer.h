#pragma once

#include "base/ResultCode.h"
#include "statements/StatementRequest.h"

namespace parsleypaddle {

/// How far a write is known to have gone.
enum class AckLevel : uint8_t {
    /// Nothing is known, or the statement was a read.
    None,
    /// The primary committed it.
    Committed,
    /// A majority of the group was still on the primary's term after the commit.
    TermConfirmed,
    /// A majority of the group holds the write's position on that term.
    Replicated,
};

/// What a caller is told. `code` decides the outcome.
struct StatementAnswer {
    RequestId id;
    ResultCode code { ResultCode::OutcomeUnknown };
    std::string message;
    Rows rows;
    /// To be handed back with the session's next request, at any daemon.
    std::string token;
    AckLevel ackLevel { AckLevel::None };
    TransactionId transaction;
    /// The target that ran it; empty when none did.
    TargetId target;
    /// Age of the data read, as the target stated it.
    Milliseconds age;
    /// When a refused caller may try again; zero gives no hint.
    Milliseconds retryAfter;

    Outcome outcome() const { return outcomeOf(code); }
};

}
