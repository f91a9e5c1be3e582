#include "distribution/TableCopy.h"

#include <algorithm>
#include <set>

namespace parsleypaddle {

namespace {

    /// Deleted rows that are kept, so that they can be reported to daemons with an older copy.
    constexpr size_t maxDeletedRows = 500;

}

bool TableCopy::setAll(const RowsAnswer& answer)
{
    if (m_isComplete && answer.version < m_version)
        return false;
    // Rows of an earlier era say nothing about the present ones, whatever their versions.
    if (answer.version.era() != m_version.era())
        *this = TableCopy();
    std::set<std::string> present;
    for (const auto& it : answer.rows) {
        present.insert(it.key);
        applyRow(it);
    }
    // Rows that are missing were deleted at an unknown version. The answer's version is the latest possible one.
    for (auto& [key, row] : m_rows) {
        if (present.count(key) > 0 || row.isDeleted)
            continue;
        row = { row.table, key, "", answer.version, true };
        ++m_deletedRows;
    }
    if (!m_isComplete)
        m_historyFrom = answer.version;
    m_isComplete = true;
    m_version = answer.version;
    m_platformTime = answer.platformTime;
    limitHistory();
    return true;
}

void TableCopy::applyChanges(const RowsAnswer& answer)
{
    if (answer.isHistoryLost || !m_isComplete || answer.version.era() != m_version.era())
        return;
    // An answer that arrives late may hold rows that were deleted before the table was read.
    if (answer.version < m_version)
        return;
    for (const auto& it : answer.rows)
        applyRow(it);
    m_version = answer.version;
    m_platformTime = std::max(m_platformTime, answer.platformTime);
    limitHistory();
}

void TableCopy::applyRow(const StoredRow& row)
{
    auto [it, isNew] = m_rows.try_emplace(row.key, row);
    if (isNew) {
        m_deletedRows += row.isDeleted ? 1 : 0;
        return;
    }
    if (row.version < it->second.version)
        return;
    m_deletedRows -= it->second.isDeleted ? 1 : 0;
    m_deletedRows += row.isDeleted ? 1 : 0;
    it->second = row;
}

void TableCopy::limitHistory()
{
    if (m_deletedRows <= maxDeletedRows)
        return;
    for (auto it = m_rows.begin(); it != m_rows.end();)
        it = it->second.isDeleted ? m_rows.erase(it) : std::next(it);
    m_deletedRows = 0;
    m_historyFrom = m_version;
}

RowsAnswer TableCopy::wholeTable() const
{
    RowsAnswer answer;
    answer.version = m_version;
    answer.platformTime = m_platformTime;
    for (const auto& [key, row] : m_rows) {
        if (!row.isDeleted)
            answer.rows.push_back(row);
    }
    return answer;
}

RowsAnswer TableCopy::changesAfter(RowVersion after) const
{
    RowsAnswer answer;
    answer.version = m_version;
    answer.platformTime = m_platformTime;
    if (after < m_historyFrom) {
        answer.isHistoryLost = true;
        return answer;
    }
    for (const auto& [key, row] : m_rows) {
        if (row.version > after)
            answer.rows.push_back(row);
    }
    std::sort(answer.rows.begin(), answer.rows.end(), [](const StoredRow& a, const StoredRow& b) { return a.version < b.version; });
    return answer;
}

}
