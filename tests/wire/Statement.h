#pragma once

#include <absl/status/statusor.h>
#include <string>
#include <string_view>

namespace parsleypaddle::wire {

enum class StatementKind { Begin,
    BeginRead,
    Commit,
    Rollback,
    Read,
    Write,
    Set,
    PrepareRead,
    PrepareWrite,
    Execute,
    Deallocate,
    Reset,
    Status,
    Pause,
    Resume,
    Demote };

/// The text of a query.
struct Statement {
    StatementKind kind { StatementKind::Status };
    /// A value, a prepared statement or an item; empty when the statement names nothing.
    std::string name;
    /// Data, a value, a shape, a term, or the item and data of an EXECUTE. Extends to the end of the text.
    std::string rest;
    /// The TERM.NUMBER of a preceding AFTER; empty without one.
    std::string after;
    /// The text without the AFTER.
    std::string text;
};

/// Reads a query's text as a back end does. Returns InvalidArgument when the protocol has no such statement.
absl::StatusOr<Statement> parseStatement(std::string_view text);

}
