#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "statements/Rows.h"

#include <optional>

namespace parsleypaddle {

/// Whether a statement may change data. A read may run at any target whose data is recent enough.
enum class AccessMode : uint8_t {
    Read,
    Write,
};

/// Whether the caller allows the statement to run again after an unknown outcome.
enum class Repeatability : uint8_t {
    Repeatable,
    NotRepeatable,
};

/// What a request does to a transaction that spans several requests.
enum class TransactionStep : uint8_t {
    Begin,
    Continue,
    Commit,
    Rollback,
};

/// The transaction that a request belongs to, and its step in it. `id` is empty for Begin.
struct TransactionPart {
    TransactionStep step { TransactionStep::Begin };
    TransactionId id;
};

/// A caller's request after decoding and validation.
struct StatementRequest {
    OrganisationId organisation;
    /// Empty when the caller asks for no session guarantee.
    SessionId session;
    RequestId id;
    ClassName workload;
    DatabaseId database;
    SqlStatement statement;
    AccessMode mode { AccessMode::Read };
    /// 1 for the first attempt; higher when the caller repeats the request with the same id. The outcome "not run" then
    /// means that no attempt ran.
    uint32_t attempt { 1 };
    Repeatability repeatability { Repeatability::NotRepeatable };
    /// Maximum age of the data that a read accepts; the configured maximum applies when absent.
    std::optional<Milliseconds> greatestAge;
    /// When the caller stops waiting; zero when the request states no deadline and the configured one is not set yet.
    Instant deadline;
    std::optional<TransactionPart> transaction;
    /// The session token from an earlier answer, unchanged; empty when the caller sent none.
    std::string token;
};

}
