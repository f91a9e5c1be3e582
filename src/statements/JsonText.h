#pragma once

#include <absl/status/statusor.h>
#include <json/value.h>
#include <string>
#include <string_view>

namespace parsleypaddle {

/// Parses a text that is one JSON object without duplicate keys, comments or text after it. Error: MalformedInput.
absl::StatusOr<Json::Value> parseJsonObject(std::string_view text);

/// Writes a value on one line, in UTF-8. For what is written often, JsonWriter is much faster.
std::string writeJson(const Json::Value&);

/// Whether `text` is well-formed UTF-8.
bool isUtf8(std::string_view text);

}
