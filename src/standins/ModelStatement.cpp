#include "standins/ModelStatement.h"

#include "base/ResultCode.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <algorithm>

namespace parsleypaddle {

namespace {

    double numberOf(const std::string& text)
    {
        double number = 0;
        return absl::SimpleAtod(text, &number) ? number : 0;
    }

    absl::StatusOr<std::string> parameter(const SqlStatement& statement, size_t n)
    {
        if (n == 0 || n > statement.parameters.size() || !statement.parameters[n - 1])
            return makeError(ResultCode::StatementFailed, absl::StrCat("parameter $", n, " is missing"));
        return *statement.parameters[n - 1];
    }

    absl::StatusOr<Milliseconds> runTimeOf(const SqlStatement& statement)
    {
        constexpr std::string_view marker = "work($";
        const size_t found = statement.text.find(marker);
        if (found == std::string::npos || found + marker.size() >= statement.text.size())
            return Milliseconds(0);
        const size_t n = static_cast<size_t>(statement.text[found + marker.size()] - '0');
        auto text = parameter(statement, n);
        if (!text.ok())
            return text.status();
        return Milliseconds(numberOf(*text));
    }

}

absl::StatusOr<ModelStatement> ModelStatement::parse(const SqlStatement& statement)
{
    ModelStatement parsed;
    auto runTime = runTimeOf(statement);
    if (!runTime.ok())
        return runTime.status();
    parsed.m_runTime = *runTime;

    auto first = parameter(statement, 1);
    if (!first.ok())
        return first.status();
    parsed.m_change.key = *first;
    if (absl::StartsWith(statement.text, "SELECT value"))
        return parsed;
    if (absl::StartsWith(statement.text, "SELECT repeat('x', $1)")) {
        parsed.m_repeat = static_cast<size_t>(std::max(1.0, numberOf(*first)));
        return parsed;
    }

    parsed.m_isWrite = true;
    parsed.m_change.isIncrement = absl::StartsWith(statement.text, "UPDATE records SET value = value + $2");
    if (!parsed.m_change.isIncrement && !absl::StartsWith(statement.text, "INSERT INTO records"))
        return makeError(ResultCode::StatementFailed, "the stand-in does not know this statement");
    auto second = parameter(statement, 2);
    if (!second.ok())
        return second.status();
    parsed.m_change.value = *second;
    return parsed;
}

Rows ModelStatement::read(const ModelRecords& records) const
{
    Rows rows;
    rows.columns = { "value" };
    if (m_repeat > 0) {
        rows.values.push_back({ std::string(m_repeat, 'x') });
        return rows;
    }
    auto it = records.find(m_change.key);
    if (it != records.end())
        rows.values.push_back({ it->second });
    return rows;
}

void applyChange(ModelRecords& records, const ModelChange& change)
{
    std::string& value = records[change.key];
    if (!change.isIncrement) {
        value = change.value;
        return;
    }
    value = absl::StrCat(numberOf(value) + numberOf(change.value));
}

}
