#pragma once

#include "statements/StatementAnswer.h"

#include <absl/status/status.h>
#include <json/value.h>
#include <string_view>

namespace parsleypaddle {

/// What the field decoders work on.
struct FieldContext {
    /// The body, from which numbers are taken as they were written.
    std::string_view body;
    Instant now;
    StatementRequest& request;
};

/// One field of a caller's request.
struct StatementField {
    const char* name;
    bool isRequired;
    absl::Status (*decode)(const char* name, const Json::Value&, const FieldContext&);
};

/// Reads every field of `object`. Errors as decodeStatementRequest() gives them.
absl::Status decodeFields(const Json::Value& object, const FieldContext&);

/// The word for a level of acknowledgement in messages.
const char* nameOf(AckLevel);

}
