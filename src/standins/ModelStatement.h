#pragma once

#include "base/Time.h"
#include "statements/Rows.h"

#include <absl/status/statusor.h>
#include <map>
#include <string>

namespace parsleypaddle {

/// The records of a modelled target: key to value.
using ModelRecords = std::map<std::string, std::string>;

/// One change that a modelled statement makes.
struct ModelChange {
    std::string key;
    std::string value;
    /// Add `value` as a number instead of replacing.
    bool isIncrement { false };
};

/// A statement that the model understands, its parameters bound:
///   SELECT value FROM records WHERE key = $1
///   SELECT repeat('x', $1)
///   INSERT INTO records (key, value) VALUES ($1, $2)
///   UPDATE records SET value = value + $2 WHERE key = $1
/// A text that holds work($N) runs for as many milliseconds as parameter N says.
class ModelStatement {
public:
    /// StatementFailed for any other text or a missing parameter.
    static absl::StatusOr<ModelStatement> parse(const SqlStatement&);

    bool isRead() const { return !m_isWrite; }
    Milliseconds runTime() const { return m_runTime; }
    const ModelChange& change() const { return m_change; }
    Rows read(const ModelRecords&) const;

private:
    bool m_isWrite { false };
    Milliseconds m_runTime;
    size_t m_repeat { 0 };
    ModelChange m_change;
};

/// Applies a change to the records.
void applyChange(ModelRecords&, const ModelChange&);

}
