#pragma once

#include "statements/StatementAnswer.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// What a caller's request did, by the caller's own account.
enum class CallerOperation : uint8_t {
    Write,
    Read,
    /// A statement of a transaction; it counts once its commit does.
    TransactionStatement,
    Commit,
    Rollback,
};

/// One request as its caller saw it, over all times that it was sent.
struct CallerRequest {
    CallerOperation operation { CallerOperation::Write };
    RequestId id;
    /// The caller's session, and the key of the record that only this session uses.
    std::string session;
    /// What was written: unique over the whole run. For a read, nothing.
    std::string value;
    /// The caller's transaction; empty outside of one.
    std::string transaction;
    /// Number of the session's last acknowledged write when the request was sent; 0 for none.
    uint64_t acknowledgedBefore { 0 };
    Instant sentAt;
    Instant deadline;
    /// The last answer; nullopt when none came to the last time it was sent.
    std::optional<StatementAnswer> answer;
    Instant answeredAt;
};

/// All requests of a run, and which targets were told to leave.
struct CallerHistory {
    std::vector<CallerRequest> requests;
    std::map<TargetId, Instant> leavingSince;
    /// Times that a running daemon gave no answer by a request's deadline.
    uint64_t unanswered { 0 };
};

/// The value that a session's `n`th write gives its record.
std::string valueOf(const std::string& session, uint64_t n);

/// The number of a session's value; nullopt when the value is another session's.
std::optional<uint64_t> numberOf(const std::string& session, const std::string& value);

}
