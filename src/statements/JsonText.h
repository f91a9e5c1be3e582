#pragma once

#include <absl/status/statusor.h>
#include <json/value.h>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// Parses one JSON object. Rejects duplicate keys, comments, trailing text and deep nesting. Error: MalformedInput.
absl::StatusOr<Json::Value> parseJsonObject(std::string_view text);

/// Writes a value on one line, in UTF-8. JsonWriter is much faster and should be preferred on frequent paths.
std::string writeJson(const Json::Value&);

/// Whether `text` is well-formed UTF-8.
bool isUtf8(std::string_view text);

}
