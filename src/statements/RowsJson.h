#pragma once

#include "statements/JsonWriter.h"
#include "statements/Rows.h"

#include <json/value.h>

namespace parsleypaddle {

/// Writes a value as a JSON string, or as null for SQL's NULL.
void writeValue(JsonWriter&, const SqlValue&);

/// Writes the fields `columns`, `rows` and `changed` into the object that the writer has open.
void writeRows(JsonWriter&, const Rows&);

/// Reads the fields that writeRows() writes; an absent field is read as empty or 0. Throws Json::Exception when a column
/// name, a value or the count cannot be converted.
Rows decodeRows(const Json::Value& object);

/// Reads what writeValue() writes. Throws Json::Exception for an array or object.
SqlValue decodeSqlValue(const Json::Value&);

}
