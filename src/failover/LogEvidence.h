#pragma once

#include "base/Ids.h"
#include "groups/LogMark.h"

#include <optional>
#include <vector>

namespace parsleypaddle {

/// What is known of the log of one target of a group, apart from its old primary.
struct KnownLog {
    TargetId target;
    /// The end of its log, as it says itself; unset if it did not answer.
    std::optional<LogMark> received;
    /// Whether its process was started within the term, again or in place of another one, so that it may have lost its log.
    bool hasRestarted { false };
};

/// What the owner of a change of primary knows of the group's logs, once no daemon uses the old primary any more.
struct KnownLogs {
    /// In how many replicas the old primary's commits are before they are acknowledged; 0 if it does not wait for any.
    uint32_t synchronousReplicas { 0 };
    /// Where the log of the present term begins.
    LogMark termBegin;
    /// The end of the old primary's log; unset while it is unknown.
    std::optional<LogMark> oldPrimary;
    /// All other known targets that may hold acknowledged commits.
    std::vector<KnownLog> others;
    /// Whether there may be others that are not known.
    bool areOthersUnknown { false };
};

/// Whether a log that ends at `received` has all of one that ends at `required`. A log of a newer term may have fewer commits than one of an
/// older term, so that the numbers count, too.
bool reaches(const LogMark& received, const LogMark& required);

/// Whether a primary that says where its log ends has not lost any of it, as far as the other logs show.
bool isWholeLog(const LogMark& ofPrimary, const KnownLogs&);

/// Whether a target's log is known to have every acknowledged commit. Without evidence, no target may be promoted.
class LogEvidence {
public:
    /// The old primary's log must be a whole one; see isWholeLog().
    static LogEvidence evaluate(const KnownLogs&);

    bool isSufficient() const { return m_required.has_value(); }
    /// Whether a log that ends there has every acknowledged commit. Always false without evidence.
    bool covers(const LogMark& received) const;
    /// The mark up to which a log must reach; unset without evidence.
    const std::optional<LogMark>& required() const { return m_required; }
    /// Known targets whose logs are needed and not known; empty with evidence.
    const std::vector<TargetId>& missing() const { return m_missing; }

private:
    std::optional<LogMark> m_required;
    LogPosition m_termBegin;
    std::vector<TargetId> m_missing;
};

}
