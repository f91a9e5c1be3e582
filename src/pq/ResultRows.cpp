#include "pq/ResultRows.h"

#include <absl/strings/numbers.h>
#include <string_view>

namespace parsleypaddle {

namespace {

    SqlValue valueOf(const PGresult* result, int row, int column)
    {
        if (PQgetisnull(result, row, column))
            return std::nullopt;
        return std::string(PQgetvalue(result, row, column), static_cast<size_t>(PQgetlength(result, row, column)));
    }

    std::optional<std::string> fieldOf(const PGresult* result, const char* name)
    {
        const int column = PQfnumber(result, name);
        if (column < 0)
            return std::nullopt;
        return valueOf(result, 0, column);
    }

    std::optional<uint64_t> countOf(const PGresult* result, const char* name)
    {
        const auto text = fieldOf(result, name);
        uint64_t count = 0;
        if (!text || !absl::SimpleAtoi(*text, &count))
            return std::nullopt;
        return count;
    }

    bool changesRows(const PGresult* result)
    {
        return std::string_view(PQcmdStatus(const_cast<PGresult*>(result))).substr(0, 6) != "SELECT";
    }

}

Rows rowsOf(const PGresult* result)
{
    Rows rows;
    const int columns = PQnfields(result);
    for (int n = 0; n < columns; ++n)
        rows.columns.emplace_back(PQfname(result, n));
    const int count = PQntuples(result);
    rows.values.reserve(static_cast<size_t>(count));
    for (int row = 0; row < count; ++row) {
        auto& values = rows.values.emplace_back();
        values.reserve(static_cast<size_t>(columns));
        for (int n = 0; n < columns; ++n)
            values.push_back(valueOf(result, row, n));
    }
    if (changesRows(result) && !absl::SimpleAtoi(PQcmdTuples(const_cast<PGresult*>(result)), &rows.affectedRows))
        rows.affectedRows = 0;
    return rows;
}

std::optional<TargetStatus> statusOf(const PGresult* result)
{
    if (PQresultStatus(result) != PGRES_TUPLES_OK || PQntuples(result) != 1)
        return std::nullopt;
    const auto role = fieldOf(result, "role");
    const auto term = countOf(result, "term");
    const auto logTerm = countOf(result, "log_term");
    const auto position = countOf(result, "position");
    const auto applied = countOf(result, "applied");
    const auto age = fieldOf(result, "age_ms");
    const auto leaving = fieldOf(result, "leaving");
    double ageCount = 0;
    if (!role || !term || !logTerm || !position || !applied || !age || !leaving || !absl::SimpleAtod(*age, &ageCount))
        return std::nullopt;
    TargetStatus status;
    status.role = *role == "primary" ? TargetRole::Primary : TargetRole::Replica;
    status.term = Term(*term);
    status.logTerm = Term(*logTerm);
    status.position = LogPosition(*position);
    status.applied = LogPosition(*applied);
    status.age = Milliseconds(ageCount);
    status.isLeaving = *leaving == "t";
    return status;
}

bool isTrue(const PGresult* result)
{
    return PQntuples(result) == 1 && PQnfields(result) == 1 && std::string_view(PQgetvalue(result, 0, 0)) == "t";
}

}
