#include "statements/RowsJson.h"

namespace parsleypaddle {

void writeValue(JsonWriter& writer, const SqlValue& value)
{
    value ? writer.text(*value) : writer.null();
}

void writeRows(JsonWriter& writer, const Rows& rows)
{
    writer.key("columns");
    writer.beginArray();
    for (const auto& it : rows.columns)
        writer.text(it);
    writer.endArray();
    writer.key("rows");
    writer.beginArray();
    for (const auto& row : rows.values) {
        writer.beginArray();
        for (const auto& value : row)
            writeValue(writer, value);
        writer.endArray();
    }
    writer.endArray();
    writer.field("changed", rows.affectedRows);
}

Rows decodeRows(const Json::Value& object)
{
    Rows rows;
    for (const auto& column : object["columns"])
        rows.columns.push_back(column.asString());
    for (const auto& line : object["rows"]) {
        auto& row = rows.values.emplace_back();
        for (const auto& value : line)
            row.push_back(decodeSqlValue(value));
    }
    rows.affectedRows = object["changed"].asUInt64();
    return rows;
}

SqlValue decodeSqlValue(const Json::Value& value)
{
    return value.isNull() ? SqlValue() : SqlValue(value.asString());
}

}
