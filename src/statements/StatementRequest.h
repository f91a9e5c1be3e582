#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "statements/Rows.h"

#include <optional>

namespace parsleypaddle {

/// Whether a statement may change data. A read runs at any target that is fresh enough.
enum class AccessMode : uint8_t {
    Read,
    Write,
};

/// Whether the caller allows the statement to run again after an unknown outcome.
enum class Repeatability : uint8_t {
    Repeatable,
    NotRepeatable,
};

/// A step of an open transaction.
enum class TransactionStep : uint8_t {
    Begin,
    Continue,
    Commit,
    Rollback,
};

/// The transaction a statement belongs to; `id` is empty for Begin.
struct TransactionPart {
    TransactionStep step { TransactionStep::Begin };
    TransactionId id;
};

/// A caller's request, checked.
struct StatementRequest {
    ShopId shop;
    /// Empty when the caller asks for no session guarantee.
    SessionId session;
    RequestId id;
    ClassName workload;
    DatabaseId database;
    SqlStatement statement;
    AccessMode mode { AccessMode::Read };
    /// 1 for the first time; more when the caller asks again with the same id. A "not run" then covers all times.
    uint32_t attempt { 1 };
    Repeatability repeatability { Repeatability::NotRepeatable };
    /// Greatest age of the data that a read accepts; the configuration's when absent.
    std::optional<Milliseconds> greatestAge;
    /// When the caller stops waiting; zero until the entry has put the configuration's in place.
    Instant deadline;
    std::optional<TransactionPart> transaction;
    /// The session token of an earlier answer, as it was given out; empty when there is none.
    std::string token;
};

}
