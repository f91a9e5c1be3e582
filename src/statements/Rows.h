#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

/// A value of a row or parameter in text form; nullopt is SQL's NULL.
using SqlValue = std::optional<std::string>;

/// The result of a statement: the rows in the order in which the target returned them, and the number of rows it changed.
struct Rows {
    std::vector<std::string> columns;
    std::vector<std::vector<SqlValue>> values;
    uint64_t affectedRows { 0 };
};

/// One statement with its parameters ($1, $2, ...).
struct SqlStatement {
    std::string text;
    std::vector<SqlValue> parameters;
};

}
