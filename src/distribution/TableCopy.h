#pragma once

#include "platform_ports/PlatformPorts.h"

#include <map>
#include <optional>

namespace parsleypaddle {

/// A copy of one table of the platform, with its recent changes, from which other daemons' requests are answered. Never returns to
/// an older state: a copy of one era is replaced as a whole by the first answer of a later one. Does no I/O.
class TableCopy {
public:
    /// Takes the whole table as read. Returns false if the copy is newer and stays as it is.
    bool setAll(const RowsAnswer&);
    /// Takes the changes after the copy's version or an earlier one.
    void applyChanges(const RowsAnswer&);

    /// Whether the table was read as a whole.
    bool isComplete() const { return m_isComplete; }
    /// The newest version at which the platform is known to hold these rows.
    RowVersion version() const { return m_version; }

    RowsAnswer wholeTable() const;
    /// The changes after `after`, which must not exceed version(). `isHistoryLost` is set if they are not known any more.
    RowsAnswer changesAfter(RowVersion after) const;

private:
    void applyRow(const StoredRow&);
    void limitHistory();

    /// Rows by key, deleted ones included.
    std::map<std::string, StoredRow> m_rows;
    RowVersion m_version;
    /// Rows that were deleted by this version are not known.
    RowVersion m_historyFrom;
    Instant m_platformTime;
    size_t m_deletedRows { 0 };
    bool m_isComplete { false };
};

}
