#pragma once

#include "statements/StatementAnswer.h"

#include <absl/status/statusor.h>
#include <string_view>

namespace parsleypaddle {

/// The version of the request format that callers state in the field `version`.
constexpr unsigned statementVersion = 1;

/// Decodes the JSON body of a caller's request. Its relative deadline counts from `now`.
/// Errors: MalformedInput, UnknownField, WrongType, MissingField, WrongVersion, ValueOutOfRange; the message names the
/// field, or the body as a whole, and says what is wrong with it.
absl::StatusOr<StatementRequest> decodeStatementRequest(std::string_view body, Instant now);

/// Encodes an answer as the JSON body that the caller receives.
std::string encodeStatementAnswer(const StatementAnswer&);

/// Decodes the JSON of an answer. Error: MalformedInput.
absl::StatusOr<StatementAnswer> decodeStatementAnswer(std::string_view body);

}
