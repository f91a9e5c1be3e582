#pragma once

#include "statements/JsonWriter.h"
#include "statements/Rows.h"

#include <json/value.h>

namespace parsleypaddle {

/// Writes a value as a JSON string, or as null for SQL's NULL.
void writeValue(JsonWriter&, const SqlValue&);

/// Writes the fields `columns`, `rows` and `changed` into the object that the writer has open.
void writeRows(JsonWriter&, const Rows&);

/// Reads the fields that writeRows() writes. Throws Json::Exception when a field has the wrong type.
Rows rowsOf(const Json::Value& object);

SqlValue sqlValueOf(const Json::Value&);

}
