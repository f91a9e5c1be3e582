#pragma once

#include "statements/StatementAnswer.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace parsleypaddle {

/// The version of the callers' interface.
constexpr unsigned statementVersion = 1;

/// Reads a caller's JSON body. Its relative deadline counts from `now`.
/// Errors: MalformedInput, UnknownField, WrongType, MissingField, WrongVersion, ValueOutOfRange; the message names the
/// field, what was found and what was expected.
absl::StatusOr<StatementRequest> decodeStatementRequest(std::string_view body, Instant now);

/// Writes the JSON that a caller gets.
std::string encodeStatementAnswer(const StatementAnswer&);

/// Reads that JSON back, as tools and tests do. Error: MalformedInput.
absl::StatusOr<StatementAnswer> decodeStatementAnswer(std::string_view body);

}
