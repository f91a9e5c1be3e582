#pragma once

#include "statements/JsonWriter.h"
#include "statements/Rows.h"

#include <json/value.h>

namespace parsleypaddle {

/// Writes a value as text, or as null.
void writeValue(JsonWriter&, const SqlValue&);

/// Writes the fields columns, rows and changed of the object under way.
void writeRows(JsonWriter&, const Rows&);

/// Reads those fields back. jsoncpp throws when one has another type.
Rows rowsOf(const Json::Value& object);

SqlValue sqlValueOf(const Json::Value&);

}
