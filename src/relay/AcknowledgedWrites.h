#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "groups/LogMark.h"
#include "relay/PrimaryLease.h"
#include "telemetry/DecisionLog.h"

#include <optional>
#include <string>
#include <vector>

namespace parsleypaddle {

enum class AcknowledgedKind : uint8_t {
    /// A write outside a transaction.
    Write,
    /// The commit of a transaction that wrote.
    Commit,
};

/// How a write was sent to a primary.
struct SentWrite {
    Instant at;
    LeaseState lease;
    /// See PooledConnection::number().
    uint64_t connection { 0 };
};

/// A write or commit that a primary has acknowledged to this daemon.
struct AcknowledgedWrite {
    StatementId id;
    AcknowledgedKind kind { AcknowledgedKind::Write };
    TargetId primary;
    /// Term of the group, in this daemon's view, when the write was sent.
    Term term;
    SentWrite sent;
    Instant answeredAt;
    /// End of the primary's log at the time of the answer.
    std::optional<LogMark> mark;
};

/// The last writes that a group's primary has acknowledged to this daemon. They are logged only when the daemon stops using the primary,
/// because a line for each write would cost too much.
class AcknowledgedWrites {
public:
    /// Number of writes that are kept.
    static constexpr size_t capacity = 64;
    /// Writes that were answered earlier than this before the end of the use of the primary are not logged.
    static constexpr Milliseconds retention { 3000 };
    /// Longest text of the writes in one line.
    static constexpr size_t maxListLength = 6000;

    void add(AcknowledgedWrite);

    /// When the last write was answered; unset if there is none.
    std::optional<Instant> lastAnswer() const;

    /// Writes the line `writes_acknowledged` unless there is nothing to list, and forgets all writes. The primary is used until `usedUntil`.
    void logAndClear(DecisionLog&, const GroupId&, const TargetId& primary, Term, Instant usedUntil);

private:
    /// The writes to be listed, the last one first.
    std::vector<const AcknowledgedWrite*> writesSince(Instant) const;

    /// Used as a ring once it is full; the oldest write is at `m_oldest` then.
    std::vector<AcknowledgedWrite> m_writes;
    size_t m_oldest { 0 };
};

}
