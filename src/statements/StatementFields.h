#pragma once

#include "statements/StatementAnswer.h"

#include <absl/status/status.h>
#include <json/value.h>
#include <string_view>

namespace parsleypaddle {

/// The input of the field decoders, and the request that they fill in.
struct FieldContext {
    /// The request's JSON text, from which parameters that are numbers are copied without conversion.
    std::string_view body;
    /// The time from which the relative deadline counts.
    Instant now;
    StatementRequest& request;
};

/// Name and decoder of one field of a caller's request.
struct StatementField {
    const char* name;
    bool isRequired;
    absl::Status (*decode)(const char* name, const Json::Value&, const FieldContext&);
};

/// Decodes all fields of `object` into the context's request. Same errors as decodeStatementRequest(), except MalformedInput.
absl::Status decodeFields(const Json::Value& object, const FieldContext&);

/// The name of the acknowledgement level in a caller's answer, such as "committed".
const char* nameOf(AckLevel);

}
